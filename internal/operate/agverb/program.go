// Package agverb runs programs that consist of subcommands.
//
// A program has a table of its subcommands. Each entry contains the help texts of
// a subcommand and its constructor. Run parses the command line with flaggy and
// runs the selected subcommand.
//
// # Usage
//
//	program := agverb.Program{Name: "anvilglade", Description: "...", Table: table}
//	os.Exit(program.Run(ctx, os.Args[1:]))
package agverb

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

// Exit codes of all programs: success, failure of the subcommand and invalid
// command line.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Verb is one subcommand.
type Verb interface {
	// Bind adds flags, positional values and nested subcommands to subcommand.
	Bind(subcommand *flaggy.Subcommand)
	// Run runs the subcommand and returns the exit code.
	Run(ctx context.Context) int
}

// Entry describes one subcommand in the table of a program.
type Entry struct {
	Name    string
	Summary string
	Example string
	Create  func() Verb
}

// Program is a command-line program. Table lists its subcommands in the order of
// the help text.
type Program struct {
	Name        string
	Description string
	Table       []Entry
}

// Run parses the arguments, runs the selected subcommand and returns the exit code
// of the process. Without a subcommand it prints the help and returns ExitUsage.
func (p *Program) Run(ctx context.Context, args []string) int {
	parser := flaggy.NewParser(p.Name)
	parser.Description = p.Description
	parser.ShowVersionWithVersionFlag = false
	verbs := make(map[*flaggy.Subcommand]Verb, len(p.Table))
	for _, item := range p.Table {
		subcommand := flaggy.NewSubcommand(item.Name)
		subcommand.Description = item.Summary
		subcommand.AdditionalHelpAppend = "\nExample:\n  " + item.Example
		verb := item.Create()
		verb.Bind(subcommand)
		parser.AttachSubcommand(subcommand, 1)
		verbs[subcommand] = verb
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
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
