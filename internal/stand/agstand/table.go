// Package agstand holds the subcommands of the agstand binary, which runs the
// stand-ins that tests and measures need.
//
// Each subcommand is one file; the lookup table below names them all.
//
// # Usage
//
//	os.Exit(agstand.Run(os.Args[1:]))
package agstand

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// Exit codes of the command.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Verb is one subcommand.
type Verb interface {
	// Bind adds flags and positional values.
	Bind(subcommand *flaggy.Subcommand)
	// Run does the work until ctx ends and returns the exit code.
	Run(ctx context.Context) int
}

type entry struct {
	name    string
	summary string
	example string
	create  func() Verb
}

// table names the subcommands in the order of the help text.
var table = []entry{
	{name: "api", summary: "stand-in of the platform's object API", example: "agstand api --address 127.0.0.1:7000", create: newAPIVerb},
	{name: "fabric", summary: "network between the processes, with fault injection", example: "agstand fabric --config fabric.json --control 127.0.0.1:7000", create: newFabricVerb},
	{name: "backend", summary: "backend server", example: "agstand backend --host dk1-alerts-01 --services alerts=127.0.0.1:9001 --slots 4", create: newBackendVerb},
	{name: "measure", summary: "run the cases and print one JSON line per measure", example: "agstand measure --anvilglade bin/anvilglade --cases test/cases --case ColdStart", create: newMeasureVerb},
	{name: "demo", summary: "show a data centre leaving and returning, within 60 s", example: "agstand demo --anvilglade bin/anvilglade", create: newDemoVerb},
}

// Run parses the arguments, runs the chosen subcommand until it ends or the
// process gets SIGINT or SIGTERM, and returns the exit code of the process.
func Run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser := flaggy.NewParser("agstand")
	parser.Description = "stand-ins for tests and measures of anvilglade"
	parser.ShowVersionWithVersionFlag = false
	verbs := make(map[*flaggy.Subcommand]Verb, len(table))
	for _, item := range table {
		subcommand := flaggy.NewSubcommand(item.name)
		subcommand.Description = item.summary
		subcommand.AdditionalHelpAppend = "\nExample:\n  " + item.example
		verb := item.create()
		verb.Bind(subcommand)
		parser.AttachSubcommand(subcommand, 1)
		verbs[subcommand] = verb
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, "agstand:", err)
		return ExitUsage
	}
	for subcommand, verb := range verbs {
		if subcommand.Used {
			return verb.Run(ctx)
		}
	}
	parser.ShowHelp()
	return ExitUsage
}
