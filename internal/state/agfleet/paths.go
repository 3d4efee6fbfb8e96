package agfleet

// Evidence on the hosts of a data centre other than their agents' statuses. Links may
// lose the packets from a data centre to this balancer while those in the other
// direction arrive. Its hosts then still serve their flows, because they answer the
// callers directly, and the callers acknowledge the answers through this balancer.

import (
	"time"

	"github.com/anvilglade/anvilglade"
)

// progressMargin is the time after the last status from a data centre until a
// caller's acknowledgement proves that its hosts run. Within it a caller may
// acknowledge an answer that was sent before the data centre lost its power.
const progressMargin = time.Second

// centrePath is the evidence on one data centre.
type centrePath struct {
	// lastStatus is the time of the last status of any of its agents, lastProgress
	// that of the last packet in which a caller acknowledged new data of a host.
	lastStatus   time.Time
	lastProgress time.Time
	// opening is the shortest time from an opening packet to a host's answer.
	opening windowedMinimum
}

func (f *Fleet) pathOf(dataCentre anvilglade.DataCentreID) *centrePath {
	path := f.paths[dataCentre]
	if path == nil {
		path = &centrePath{}
		f.paths[dataCentre] = path
	}
	return path
}

// RecordProgress records that a caller has acknowledged new data of the host.
func (h *Host) RecordProgress(now time.Time) {
	h.path.lastProgress = now
}

// statusesLost reports whether the statuses from the data centre are lost on their way:
// there is none from any of its agents, although its hosts have served callers since.
func (p *centrePath) statusesLost(now time.Time) bool {
	return p.lastProgress.Sub(p.lastStatus) >= progressMargin && now.Sub(p.lastProgress) < LostAfter
}

// Lost reports whether the host counts as lost together with its VM: no status has been
// received for LostAfter, and there is no sign that the statuses from its data centre
// are lost on their way.
func (h *Host) Lost(now time.Time) bool {
	return h.statusesMissing(now) && !h.path.statusesLost(now)
}

// MayHoldFlows reports whether the host may be running and hold flows: it is not lost
// and has not been reported as ended.
func (h *Host) MayHoldFlows(now time.Time) bool {
	if h.Ended && now.Sub(h.endedAt) >= endedMargin {
		return false
	}
	return !h.Lost(now)
}

const (
	// defaultPathCost is the assumed cost of the path to another data centre while it is
	// unknown: a round trip over a few hundred kilometres.
	defaultPathCost = 5 * time.Millisecond
	// maxPathCost bounds the cost, so that few slow answers cannot close a path.
	maxPathCost = 100 * time.Millisecond
	// minimumWindow is the time after which a shortest time is replaced, as paths
	// change.
	minimumWindow = 30 * time.Second
)

// windowedMinimum is the minimum of a time over the last one to two windows. The minimum
// leaves out the waits at hosts.
type windowedMinimum struct {
	current, former time.Duration
	since           time.Time
}

func (m *windowedMinimum) add(value time.Duration, now time.Time) {
	if now.Sub(m.since) > minimumWindow {
		m.former, m.current, m.since = m.current, value, now
		return
	}
	m.current = min(m.current, value)
}

// value returns the minimum, 0 if unknown.
func (m *windowedMinimum) value() time.Duration {
	if m.former == 0 {
		return m.current
	}
	return min(m.current, m.former)
}

// RecordOpening records the time from an opening packet to the answer of the host.
func (h *Host) RecordOpening(latency time.Duration, now time.Time) {
	h.path.opening.add(latency, now)
}

// PathCost returns the time that the path to the host adds to each request, compared with
// a host of the local data centre: the difference of the shortest times from an opening
// packet to an answer, which is one round trip between the data centres.
func (f *Fleet) PathCost(host *Host) time.Duration {
	if f.Local(host.DataCentre) {
		return 0
	}
	remote, local := host.path.opening.value(), f.pathOf(f.options.DataCentre).opening.value()
	if remote == 0 || local == 0 {
		return defaultPathCost
	}
	return min(max(0, remote-local), maxPathCost)
}
