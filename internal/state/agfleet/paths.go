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
}

func (f *Fleet) pathOf(dataCentre anvilglade.DataCentreID) *centrePath {
	path := f.paths[dataCentre]
	if path == nil {
		path = &centrePath{}
		f.paths[dataCentre] = path
	}
	return path
}

// RecordProgress records that a caller has acknowledged new data of an agent's host.
func (f *Fleet) RecordProgress(agent anvilglade.IPv4, now time.Time) {
	if host, ok := f.hosts[agent]; ok {
		f.pathOf(host.DataCentre).lastProgress = now
	}
}

// statusesLost reports whether the statuses from a data centre are lost on their way:
// there is none from any of its agents, although its hosts have served callers since.
func (f *Fleet) statusesLost(dataCentre anvilglade.DataCentreID, now time.Time) bool {
	path, ok := f.paths[dataCentre]
	if !ok {
		return false
	}
	return path.lastProgress.Sub(path.lastStatus) >= progressMargin && now.Sub(path.lastProgress) < LostAfter
}

// Lost reports whether a host counts as lost together with its VM: no status has
// been received for Host.LostAfter, and there is no sign that the statuses from its
// data centre are lost on their way.
func (f *Fleet) Lost(host *Host, now time.Time) bool {
	return host.Lost(now) && !f.statusesLost(host.DataCentre, now)
}

// MayHoldFlows reports whether a host may be running and hold flows: it is not lost
// and has not been reported as ended.
func (f *Fleet) MayHoldFlows(host *Host, now time.Time) bool {
	if host.Ended && now.Sub(host.endedAt) >= endedMargin {
		return false
	}
	return !f.Lost(host, now)
}
