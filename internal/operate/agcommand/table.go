// Package agcommand implements the subcommands of the anvilglade binary.
//
// Each subcommand has a file with its usage text, its settings and its
// implementation. Run parses the command line with flaggy and runs the chosen
// subcommand.
//
// Exit codes: 0 success, 1 failure, 2 wrong usage or settings, 3 rejected by
// validation or because of a conflict, 4 outcome unknown.
//
// # Usage
//
//	os.Exit(agcommand.Run(os.Args[1:]))
package agcommand

import (
	"context"

	"github.com/anvilglade/anvilglade/internal/operate/agverb"
)

// Exit codes of the command.
const (
	ExitDone     = agverb.ExitDone
	ExitFailed   = agverb.ExitFailed
	ExitUsage    = agverb.ExitUsage
	ExitRejected = 3
	ExitUnknown  = 4
)

// Verb is one subcommand.
type Verb = agverb.Verb

// subcommands lists the subcommands in the order of the help text.
var subcommands = []agverb.Entry{
	{
		Name: "agent", Summary: "run the agent beside a backend server", Create: newAgentVerb,
		Example: "anvilglade agent --host dk1-h01 --data-centre dk1 --agent-address 127.0.0.1:7300 --control-address 127.0.0.1:7301 --admin-address 127.0.0.1:7302 --backends alerts=127.0.0.1:9001 --balancers 127.0.0.1:7200 --join-secret $SECRET",
	},
	{Name: "balancer", Summary: "run a balancer", Example: "anvilglade balancer --id b1 --data-centre dk1 --datagram-address 10.0.0.1:7800 --platform http://10.0.0.9:7000 --join-secret $SECRET", Create: newBalancerVerb},
	{Name: "packet-balancer", Summary: "run a balancer of packet services on the platform", Example: "ANVILGLADE_CONFIG=node.toml anvilglade packet-balancer", Create: newPacketBalancerVerb},
	{Name: "packet-agent", Summary: "run the agent of packet services beside a backend server", Example: "ANVILGLADE_CONFIG=node.toml anvilglade packet-agent", Create: newPacketAgentVerb},
	{Name: "routes", Summary: "edit which traffic belongs to which service", Example: "anvilglade routes set 127.100.0.1:7001 UDP alerts", Create: newRoutesVerb},
	{Name: "pools", Summary: "edit which hosts serve a service, and their limits", Example: "anvilglade pools set alerts --hosts 'dk?-a*' --slots 4 --connections 2000", Create: newPoolsVerb},
	{Name: "datacentres", Summary: "edit data centres; take them out and bring them back", Example: "anvilglade datacentres out dk1 --wait --admin 10.0.0.1:7900", Create: newDataCentresVerb},
	{Name: "hosts", Summary: "list hosts, drain and undrain them", Example: "anvilglade hosts drain dk1-a3", Create: newHostsVerb},
	{Name: "apply", Summary: "apply a file of tables", Example: "anvilglade apply tables.yaml --dry-run", Create: newApplyVerb},
	{Name: "status", Summary: "print the revision in effect at each process", Example: "anvilglade status --admin 10.0.0.1:7900", Create: newStatusVerb},
	{Name: "timeline", Summary: "merge the events of all processes", Example: "anvilglade timeline --admin 10.0.0.1:7900 --host dk1-a3 --format html > timeline.html", Create: newTimelineVerb},
	{Name: "explain", Summary: "tell from logs what happened to a flow or host", Example: "anvilglade explain --logs b1.log,a7.log --flow 100.64.0.7:1031", Create: newExplainVerb},
	{Name: "snapshot", Summary: "save, verify and restore the tables", Example: "anvilglade snapshot save before.json", Create: newSnapshotVerb},
	{Name: "keys", Summary: "draw, rotate, retire and list keys", Example: "anvilglade keys rotate --admin 10.0.0.1:7900", Create: newKeysVerb},
	{Name: "teams", Summary: "keep the teams of the administration API", Example: "anvilglade teams add alerts --role Editor --pools alerts --routes '127.100.0.*:7001'", Create: newTeamsVerb},
	{Name: "request", Summary: "send one request as a caller", Example: "anvilglade request POST https://127.0.0.1:7001/reports --data '{\"Job\":7}' --timeout 10s", Create: newRequestVerb},
	{Name: "requests", Summary: "list requests whose outcome is unknown", Example: "anvilglade requests unknown --admin 10.0.0.1:7900", Create: newRequestsVerb},
	{Name: "version", Summary: "print the version", Example: "anvilglade version", Create: newVersionVerb},
}

// Run parses the arguments, runs the chosen subcommand and returns the exit
// code of the process.
func Run(args []string) int {
	program := agverb.Program{Name: "anvilglade", Description: "layer-4 load balancer that keeps flows on their backend server and refuses excess load instead of queueing it", Table: subcommands}
	return program.Run(context.Background(), args)
}
