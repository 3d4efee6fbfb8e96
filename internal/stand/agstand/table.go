// Package agstand holds the subcommands of the agstand binary, which runs the test
// doubles, load generators and experiments for tests and measurements.
//
// Each subcommand has its own file and an entry in the lookup table.
//
// # Usage
//
//	os.Exit(agstand.Run(os.Args[1:]))
package agstand

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/anvilglade/anvilglade/internal/operate/agverb"
)

// Exit codes of the command.
const (
	ExitDone   = agverb.ExitDone
	ExitFailed = agverb.ExitFailed
	ExitUsage  = agverb.ExitUsage
)

// Verb is one subcommand.
type Verb = agverb.Verb

// table lists the subcommands in the order of the help text.
var table = []agverb.Entry{
	{Name: "api", Summary: "stand-in of the platform's object API", Example: "agstand api --address 127.0.0.1:7000", Create: newAPIVerb},
	{Name: "fabric", Summary: "network between the processes, with fault injection", Example: "agstand fabric --config fabric.json --control 127.0.0.1:7000", Create: newFabricVerb},
	{Name: "backend", Summary: "backend server", Example: "agstand backend --host dk1-alerts-01 --services alerts=127.0.0.1:9001 --slots 4", Create: newBackendVerb},
	{Name: "measure", Summary: "run the cases and print one JSON line per measure", Example: "agstand measure --anvilglade bin/anvilglade --cases test/cases --case ColdStart", Create: newMeasureVerb},
	{Name: "emulate", Summary: "play packet services on an emulated platform, with troubles", Example: "agstand emulate --anvilglade bin/anvilglade --scenario test/packets/CalmDay.yaml --plot calm.svg", Create: newEmulateVerb},
	{Name: "demo", Summary: "show a data centre leaving and returning, within 60 s", Example: "agstand demo --anvilglade bin/anvilglade", Create: newDemoVerb},
}

// Run parses the arguments, runs the chosen subcommand until it ends or the
// process gets SIGINT or SIGTERM, and returns the exit code of the process.
func Run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	program := agverb.Program{Name: "agstand", Description: "stand-ins for tests and measures of anvilglade", Table: table}
	return program.Run(ctx, args)
}
