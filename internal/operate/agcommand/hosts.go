package agcommand

import (
	"context"
	"slices"
	"strconv"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agconfig"
)

func newHostsVerb() Verb {
	return newOperatorVerb(
		action{
			name: "list", summary: "print the hosts that the balancers know and the operators' overrides",
			example: "anvilglade hosts list --admin 10.0.0.1:7900", run: listHosts,
		},
		action{
			name: "drain", summary: "let a host take no new work; its flows stay", edits: true, example: "anvilglade hosts drain dk1-a3",
			bind: func(c *operatorCommand) { c.positionalValue(&c.first, "NAME", "name of the host", true) },
			run:  func(ctx context.Context, c *operatorCommand) int { return setDraining(ctx, c, true) },
		},
		action{
			name: "undrain", summary: "let a host take new work again", edits: true, example: "anvilglade hosts undrain dk1-a3",
			bind: func(c *operatorCommand) { c.positionalValue(&c.first, "NAME", "name of the host", true) },
			run:  func(ctx context.Context, c *operatorCommand) int { return setDraining(ctx, c, false) },
		},
	)
}

// setDraining adds or removes the override of a host. A host without a record can
// be drained too, because it may be temporarily unreachable.
func setDraining(ctx context.Context, c *operatorCommand, draining bool) int {
	name := anvilglade.HostID(c.first)
	return c.submitRow(ctx, agconfig.TableHosts, c.first, func(tables *tablesCopy) error {
		tables.Hosts = slices.DeleteFunc(tables.Hosts, func(host anvilglade.HostOverride) bool { return host.Name == name })
		if draining {
			tables.Hosts = append(tables.Hosts, anvilglade.HostOverride{Name: name, Draining: true})
		}
		return nil
	})
}

// hostLine is one host in the output of 'hosts list'.
type hostLine struct {
	Host       anvilglade.HostID
	Service    anvilglade.ServiceID
	DataCentre anvilglade.DataCentreID
	State      anvilglade.HostState
	Draining   bool
}

func listHosts(ctx context.Context, c *operatorCommand) int {
	snapshot, err := c.read(ctx)
	if err != nil {
		return c.fail(err)
	}
	matcher := agconfig.NewMatcher(snapshot.Document.Tables)
	lines := map[anvilglade.HostID]*hostLine{}
	for _, host := range c.fetchHosts(ctx) {
		lines[host.Host] = &hostLine{Host: host.Host, DataCentre: host.DataCentre, State: host.State}
	}
	for _, override := range snapshot.Document.Tables.Hosts {
		if lines[override.Name] == nil {
			lines[override.Name] = &hostLine{Host: override.Name}
		}
		lines[override.Name].Draining = override.Draining
	}
	var names []anvilglade.HostID
	for name := range lines {
		names = append(names, name)
	}
	slices.Sort(names)
	sorted := []hostLine{}
	var rows [][]string
	for _, name := range names {
		line := *lines[name]
		line.Service, _ = matcher.Service(name)
		sorted = append(sorted, line)
		rows = append(rows, []string{string(name), orDash(string(line.Service)), orDash(string(line.DataCentre)), orDash(string(line.State)), strconv.FormatBool(line.Draining)})
	}
	if c.json {
		return c.printJSON(sorted)
	}
	printTable([]string{"HOST", "SERVICE", "DATA CENTRE", "STATE", "DRAINING"}, rows)
	return ExitDone
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
