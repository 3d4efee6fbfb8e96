package agstand

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/anvilglade/anvilglade/internal/operate/agsettings"
	"github.com/anvilglade/anvilglade/internal/stand/agscenario"
)

type demoVerb struct {
	set     *agsettings.Set
	options agscenario.DemoOptions
}

func newDemoVerb() Verb {
	return &demoVerb{}
}

// Bind adds the settings of the demonstration.
func (v *demoVerb) Bind(subcommand *flaggy.Subcommand) {
	v.set = agsettings.NewSet(subcommand)
	v.set.Text(&v.options.Anvilglade, "anvilglade", "path of the anvilglade binary", agsettings.Required)
}

// Run runs the demonstration and prints its result table.
func (v *demoVerb) Run(ctx context.Context) int {
	if err := v.set.Check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	own, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return ExitFailed
	}
	v.options.Agstand, v.options.Output = own, os.Stdout
	if err := agscenario.Demo(ctx, v.options); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return ExitFailed
	}
	return ExitDone
}
