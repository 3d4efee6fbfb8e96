package agcommand

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agconfig"
)

// poolFlags are the fields that 'pools set' changes. A zero value leaves the field
// unchanged.
type poolFlags struct {
	hosts                                 string
	slots, connections, attempts, initial int
	completions                           int
	drainLimit                            time.Duration
}

var poolsView = &tableView{
	command: "pools", table: agconfig.TablePools,
	header: []string{"SERVICE", "HOSTS", "SLOTS", "CONNECTIONS", "ATTEMPTS", "DRAIN LIMIT"},
	subset: func(tables anvilglade.Tables) anvilglade.Tables { return anvilglade.Tables{Pools: tables.Pools} },
	rows: func(tables anvilglade.Tables) [][]string {
		var rows [][]string
		for _, pool := range tables.Pools {
			rows = append(rows, []string{
				string(pool.Service), string(pool.Service), strings.Join(pool.Hosts, ","), strconv.Itoa(int(pool.Slots)),
				strconv.Itoa(int(pool.Connections)), strconv.Itoa(pool.MaxAttempts), time.Duration(pool.DrainLimit).String(),
			})
		}
		return rows
	},
}

func newPoolsVerb() Verb {
	set := action{
		name: "set", summary: "add a pool or change fields of one", edits: true,
		example: "anvilglade pools set alerts --hosts 'dk?-a*' --slots 4 --connections 2000",
		bind: func(c *operatorCommand) {
			c.positionalValue(&c.first, "SERVICE", "name of the service", true)
			flags := &c.pool
			c.settings.Text(&flags.hosts, "hosts", "patterns of host names with commas", "")
			c.settings.Int(&flags.slots, "slots", "requests at once per host", "", 1, agconfig.MaxSlots)
			c.settings.Int(&flags.connections, "connections", "open flows per host", "", 1, agconfig.MaxConnections)
			c.settings.Int(&flags.attempts, "max-attempts", "hosts tried for a repeatable request", "", 1, agconfig.MaxAttempts)
			c.settings.Duration(&flags.drainLimit, "drain-limit", "how long flows may stay on a stopping agent", "", time.Second, agconfig.MaxDrainLimit)
			c.settings.Int(&flags.initial, "initial-concurrency", "requests at once at a cold start", "", 1, agconfig.MaxSlots)
			c.settings.Int(&flags.completions, "completions-per-step", "requests that complete before the limit rises", "", 1, agconfig.MaxConnections)
		},
		run: setPool,
	}
	return newOperatorVerb(append(poolsView.actions(), set)...)
}

func setPool(ctx context.Context, c *operatorCommand) int {
	service := anvilglade.ServiceID(c.first)
	return c.submitRow(ctx, agconfig.TablePools, c.first, func(tables *tablesCopy) error {
		index := slices.IndexFunc(tables.Pools, func(pool anvilglade.Pool) bool { return pool.Service == service })
		if index < 0 {
			index = len(tables.Pools)
			tables.Pools = append(tables.Pools, anvilglade.Pool{Service: service})
		}
		c.pool.apply(&tables.Pools[index])
		return nil
	})
}

func (f *poolFlags) apply(pool *anvilglade.Pool) {
	if f.hosts != "" {
		pool.Hosts = strings.Split(f.hosts, ",")
	}
	if f.slots != 0 {
		pool.Slots = anvilglade.Slots(f.slots)
	}
	if f.connections != 0 {
		pool.Connections = anvilglade.Connections(f.connections)
	}
	if f.attempts != 0 {
		pool.MaxAttempts = f.attempts
	}
	if f.drainLimit != 0 {
		pool.DrainLimit = anvilglade.Duration(f.drainLimit)
	}
	if f.initial != 0 {
		pool.ColdStart.InitialConcurrency = anvilglade.Slots(f.initial)
	}
	if f.completions != 0 {
		pool.ColdStart.CompletionsPerStep = f.completions
	}
}
