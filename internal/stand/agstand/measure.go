package agstand

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/anvilglade/anvilglade/internal/operate/agsettings"
	"github.com/anvilglade/anvilglade/internal/stand/agscenario"
)

type measureVerb struct {
	set     *agsettings.Set
	options agscenario.MeasureOptions
	seed    int
}

func newMeasureVerb() Verb {
	return &measureVerb{}
}

// Bind adds the settings of a run.
func (v *measureVerb) Bind(subcommand *flaggy.Subcommand) {
	v.set = agsettings.NewSet(subcommand)
	v.set.Text(&v.options.Anvilglade, "anvilglade", "path of the anvilglade binary", agsettings.Required)
	v.set.Text(&v.options.Cases, "cases", "folder of the cases", "test/cases")
	v.set.Text(&v.options.Case, "case", "name of one case, all cases if empty", "")
	v.set.Int(&v.seed, "seed", "seed of callers and faults", "1", 1, 1<<31-1)
	v.set.Int(&v.options.Parallel, "parallel", "cases at once", "3", 1, 16)
}

// Run runs the cases. It writes measures to standard output and the log to standard
// error.
func (v *measureVerb) Run(ctx context.Context) int {
	if err := v.set.Check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	own, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		return ExitFailed
	}
	v.options.Agstand, v.options.Seed = own, uint64(v.seed)
	v.options.Output, v.options.Notes = os.Stdout, os.Stderr
	good, err := agscenario.RunCases(ctx, v.options)
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		return ExitUsage
	}
	if !good {
		return ExitFailed
	}
	return ExitDone
}
