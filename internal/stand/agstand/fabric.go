package agstand

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"

	"github.com/integrii/flaggy"

	"github.com/anvilglade/anvilglade/internal/operate/agsettings"
	"github.com/anvilglade/anvilglade/internal/stand/agfabric"
)

type fabricVerb struct {
	set     *agsettings.Set
	config  string
	control netip.AddrPort
}

func newFabricVerb() Verb {
	return &fabricVerb{}
}

// Bind adds the settings of the fabric.
func (v *fabricVerb) Bind(subcommand *flaggy.Subcommand) {
	v.set = agsettings.NewSet(subcommand)
	v.set.Text(&v.config, "config", "JSON file with parties and services", agsettings.Required)
	v.set.Addr(&v.control, "control", "address of the control port", agsettings.Required)
}

// Run forwards packets until ctx ends.
func (v *fabricVerb) Run(ctx context.Context) int {
	if err := v.set.Check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	config, err := agfabric.ReadConfig(v.config)
	if err != nil {
		fmt.Fprintln(os.Stderr, "fabric:", err)
		return ExitUsage
	}
	return exitCode("fabric", agfabric.NewFabric(config).Run(ctx, v.control))
}

// exitCode prints an error other than context.Canceled and returns the exit code.
func exitCode(name string, err error) int {
	if err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return ExitFailed
	}
	return ExitDone
}
