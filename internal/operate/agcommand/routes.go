package agcommand

import (
	"context"
	"fmt"
	"net/netip"
	"slices"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agconfig"
)

var routesView = &tableView{
	command: "routes", table: agconfig.TableRoutes, header: []string{"ADDRESS", "PROTOCOL", "SERVICE"},
	subset: func(tables anvilglade.Tables) anvilglade.Tables { return anvilglade.Tables{Routes: tables.Routes} },
	rows: func(tables anvilglade.Tables) [][]string {
		var rows [][]string
		for _, route := range tables.Routes {
			rows = append(rows, []string{agconfig.RouteKey(route), route.Address.String(), string(route.Protocol), string(route.Service)})
		}
		return rows
	},
}

func newRoutesVerb() Verb {
	set := action{
		name: "set", summary: "add or replace a route", edits: true,
		example: "anvilglade routes set 127.100.0.1:7001 UDP alerts",
		bind: func(c *operatorCommand) {
			c.positionalValue(&c.first, "ADDRESS", "IP:PORT of the service", true)
			c.positionalValue(&c.second, "PROTOCOL", "UDP or QUIC", true)
			c.positionalValue(&c.third, "SERVICE", "name of the service", true)
		},
		run: setRoute,
	}
	return newOperatorVerb(append(routesView.actions(), set)...)
}

func setRoute(ctx context.Context, c *operatorCommand) int {
	address, err := netip.ParseAddrPort(c.first)
	if err != nil {
		return c.fail(fmt.Errorf("%w: %w", errUsage, err))
	}
	route := anvilglade.Route{Address: address, Protocol: anvilglade.Protocol(c.second), Service: anvilglade.ServiceID(c.third)}
	key := agconfig.RouteKey(route)
	return c.submitRow(ctx, agconfig.TableRoutes, key, func(tables *tablesCopy) error {
		tables.Routes = slices.DeleteFunc(tables.Routes, func(other anvilglade.Route) bool { return agconfig.RouteKey(other) == key })
		tables.Routes = append(tables.Routes, route)
		return nil
	})
}
