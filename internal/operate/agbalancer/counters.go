package agbalancer

import (
	"sync/atomic"

	"github.com/anvilglade/anvilglade"
)

// dropReasons lists the reasons of the Drop counters. The counts of the opener are
// added in snapshot.
var dropReasons = []anvilglade.Drop{
	anvilglade.DropNoRoute, anvilglade.DropNoHost, anvilglade.DropWrongService, anvilglade.DropDataCentreOut,
	anvilglade.DropMalformed, anvilglade.DropNoConfiguration, anvilglade.DropUnknownKey, anvilglade.DropReplay,
	anvilglade.DropOversized, anvilglade.DropRingFull,
}

// counters contains the counters of the balancer. The map of drops is not modified
// after creation, so it needs no lock.
type counters struct {
	forwarded, direct, replies, heartbeats, sendErrors atomic.Uint64
	tables, cut, bindErrors, resets                    atomic.Uint64
	drops                                              map[anvilglade.Drop]*atomic.Uint64
}

func newCounters() *counters {
	c := &counters{drops: make(map[anvilglade.Drop]*atomic.Uint64, len(dropReasons))}
	for _, reason := range dropReasons {
		c.drops[reason] = new(atomic.Uint64)
	}
	return c
}

func (c *counters) drop(reason anvilglade.Drop) {
	if counter, ok := c.drops[reason]; ok {
		counter.Add(1)
	}
}

// snapshot returns all counters by name. The drops of the opener are added.
func (c *counters) snapshot(openerDrops map[anvilglade.Drop]uint64) map[string]uint64 {
	values := map[string]uint64{
		"Forwarded": c.forwarded.Load(), "Direct": c.direct.Load(), "Replies": c.replies.Load(),
		"Heartbeats": c.heartbeats.Load(), "SendErrors": c.sendErrors.Load(), "Tables": c.tables.Load(),
		"CutLists": c.cut.Load(), "BindErrors": c.bindErrors.Load(), "Resets": c.resets.Load(),
	}
	for reason, counter := range c.drops {
		values["Drop"+string(reason)] = counter.Load() + openerDrops[reason]
	}
	return values
}
