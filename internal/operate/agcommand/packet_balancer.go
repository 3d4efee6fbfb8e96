package agcommand

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/anvilglade/anvilglade/internal/operate/agpacketbalancer"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

// packetBalancerVerb runs the balancer of packet services on the users'
// platform.
type packetBalancerVerb struct {
	packetVerb
}

func newPacketBalancerVerb() Verb {
	return &packetBalancerVerb{packetVerb{name: "packet-balancer"}}
}

// Bind declares the settings of the process.
func (v *packetBalancerVerb) Bind(subcommand *flaggy.Subcommand) {
	v.bind(subcommand)
}

// Run runs the balancer until a signal stops it, and returns the exit code.
func (v *packetBalancerVerb) Run(ctx context.Context) int {
	settings, store, stop, err := v.open()
	if err != nil {
		fmt.Fprintln(os.Stderr, "anvilglade packet-balancer:", err)
		return ExitUsage
	}
	defer stop()
	process, closeProcess, err := agpacketbalancer.NewProcess(ctx, settings, agpacketbalancer.Parts{
		Codec:        agplatform.Codec{},
		Feed:         agplatform.NewFeed(store),
		Store:        store,
		ReadyHandler: agplatform.NewReadyHandler,
		Reload:       v.reload,
		Unreadable:   store.Unreadable,
		LogWriter:    v.log.Run,
	})
	if err != nil {
		return v.startFailed(err)
	}
	defer closeProcess()
	return v.exitCode(process.Run(ctx, v.signals()))
}
