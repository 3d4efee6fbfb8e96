// Package agcommand holds the subcommands of the anvilglade binary.
//
// Each subcommand is one file with its usage text, its settings and its work.
// The lookup table below names them all; Run parses the command line with
// flaggy and runs the one that was chosen.
//
// Exit codes: 0 done, 1 failed, 2 wrong usage or settings, 3 rejected by
// validation or conflict, 4 outcome unknown.
//
// # Usage
//
//	os.Exit(agcommand.Run(os.Args[1:]))
package agcommand

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

// Exit codes of the command.
const (
	ExitDone     = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitRejected = 3
	ExitUnknown  = 4
)

// Verb is one subcommand.
type Verb interface {
	// Bind adds flags, positional values and nested subcommands.
	Bind(subcommand *flaggy.Subcommand)
	// Run does the work and returns the exit code.
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
	{
		name: "agent", summary: "run the agent beside a backend server", create: newAgentVerb,
		example: "anvilglade agent --host dk1-h01 --data-centre dk1 --agent-address 127.0.0.1:7300 --control-address 127.0.0.1:7301 --admin-address 127.0.0.1:7302 --backends alerts=127.0.0.1:9001 --balancers 127.0.0.1:7200 --join-secret $SECRET",
	},
	{name: "balancer", summary: "run a balancer", example: "anvilglade balancer --id b1 --data-centre dk1 --datagram-address 10.0.0.1:7800 --platform http://10.0.0.9:7000 --join-secret $SECRET", create: newBalancerVerb},
	{name: "routes", summary: "edit which traffic belongs to which service", example: "anvilglade routes set 127.100.0.1:7001 UDP alerts", create: newRoutesVerb},
	{name: "pools", summary: "edit which hosts serve a service, and their limits", example: "anvilglade pools set alerts --hosts 'dk?-a*' --slots 4 --connections 2000", create: newPoolsVerb},
	{name: "datacentres", summary: "edit data centres; take them out and bring them back", example: "anvilglade datacentres out dk1 --wait --admin 10.0.0.1:7900", create: newDataCentresVerb},
	{name: "hosts", summary: "list hosts, drain and undrain them", example: "anvilglade hosts drain dk1-a3", create: newHostsVerb},
	{name: "apply", summary: "apply a file of tables", example: "anvilglade apply tables.yaml --dry-run", create: newApplyVerb},
	{name: "status", summary: "print the revision in effect at each process", example: "anvilglade status --admin 10.0.0.1:7900", create: newStatusVerb},
	{name: "timeline", summary: "merge the events of all processes", example: "anvilglade timeline --admin 10.0.0.1:7900 --host dk1-a3 --format html > timeline.html", create: newTimelineVerb},
	{name: "snapshot", summary: "save, verify and restore the tables", example: "anvilglade snapshot save before.json", create: newSnapshotVerb},
	{name: "keys", summary: "draw, rotate, retire and list keys", example: "anvilglade keys rotate --admin 10.0.0.1:7900", create: newKeysVerb},
	{name: "teams", summary: "keep the teams of the administration API", example: "anvilglade teams add alerts --role Editor --pools alerts --routes '127.100.0.*:7001'", create: newTeamsVerb},
	{name: "request", summary: "send one request as a caller", example: "anvilglade request POST https://127.0.0.1:7001/reports --data '{\"Job\":7}' --timeout 10s", create: newRequestVerb},
	{name: "requests", summary: "list requests whose outcome is unknown", example: "anvilglade requests unknown --admin 10.0.0.1:7900", create: newRequestsVerb},
	{name: "version", summary: "print the version", example: "anvilglade version", create: newVersionVerb},
}

// Run parses the arguments, runs the chosen subcommand and returns the exit
// code of the process.
func Run(args []string) int {
	parser := flaggy.NewParser("anvilglade")
	parser.Description = "layer-4 load balancer for services whose callers leave when a queue shows"
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
		fmt.Fprintln(os.Stderr, "anvilglade:", err)
		return ExitUsage
	}
	for subcommand, verb := range verbs {
		if subcommand.Used {
			return verb.Run(context.Background())
		}
	}
	parser.ShowHelp()
	return ExitUsage
}
