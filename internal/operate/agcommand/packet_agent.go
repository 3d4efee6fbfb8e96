package agcommand

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/anvilglade/anvilglade/internal/operate/agpacketagent"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

// packetAgentVerb runs the agent of packet services on the users' platform.
type packetAgentVerb struct {
	packetVerb
}

func newPacketAgentVerb() Verb {
	return &packetAgentVerb{packetVerb{name: "packet-agent"}}
}

// Bind declares the settings of the process.
func (v *packetAgentVerb) Bind(subcommand *flaggy.Subcommand) {
	v.bind(subcommand)
}

// Run runs the agent until a signal stops it, and returns the exit code.
func (v *packetAgentVerb) Run(ctx context.Context) int {
	settings, store, stop, err := v.open()
	if err != nil {
		fmt.Fprintln(os.Stderr, "anvilglade packet-agent:", err)
		return ExitUsage
	}
	defer stop()
	process, closeProcess, err := agpacketagent.NewProcess(ctx, settings, agpacketagent.Parts{
		Codec:            agplatform.Codec{},
		Store:            store,
		HeartbeatHandler: agplatform.NewHeartbeatHandler,
		ReadyHandler:     agplatform.NewReadyHandler,
		Reload:           v.reload,
		Unreadable:       store.Unreadable,
		LogWriter:        v.log.Run,
	})
	if err != nil {
		return v.startFailed(err)
	}
	defer closeProcess()
	return v.exitCode(process.Run(ctx, v.signals()))
}
