package agpacketbalancer

// What the metrics and the logs say about the watches of the store.

import (
	"sync/atomic"
	"time"

	"github.com/anvilglade/anvilglade"
)

// watchHealth describes the reads of one watch of the store. It is safe for concurrent
// use.
type watchHealth struct {
	// role is the role in which the last read was answered, as anvilglade.StoreWatch;
	// WatchNone if it failed.
	role atomic.Uint32
	// answered is the time of the last answer, as the time since the process started.
	answered atomic.Int64
	// revision is the revision of the store up to which the watch has received changes.
	revision atomic.Uint64
}

// age returns the time since the last answer at a process of the given age.
func (h *watchHealth) age(process time.Duration) time.Duration {
	return process - time.Duration(h.answered.Load())
}

// recordAnswer records an answer to a read in a role.
func (h *watchHealth) recordAnswer(role anvilglade.StoreWatch, process time.Duration) {
	h.role.Store(uint32(role))
	h.answered.Store(int64(process))
}

// recordRole records the role of a watch that is not answered, or that reads nothing.
func (h *watchHealth) recordRole(role anvilglade.StoreWatch) {
	h.role.Store(uint32(role))
}

// watchAges returns the time since the last answer to each watch of the store while this
// balancer watches it.
func (p *Process) watchAges() map[string]time.Duration {
	process := time.Since(p.started)
	ages := make(map[string]time.Duration)
	for what, health := range map[string]*watchHealth{whatDesired: &p.desiredWatch, whatEvacuations: &p.evacuationWatch} {
		if health.role.Load() != uint32(anvilglade.WatchNone) {
			ages[what] = health.age(process)
		}
	}
	return ages
}
