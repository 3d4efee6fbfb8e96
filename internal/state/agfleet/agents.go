package agfleet

// Which agents may run, also those that have not been heard yet, and how long a
// host may be silent.

import (
	"time"

	"github.com/anvilglade/anvilglade"
)

// AdoptAgentList takes the list of all agents that the store has.
func (f *Fleet) AdoptAgentList(agents []anvilglade.IPv4, now time.Time) {
	f.learnAgents(agents, now)
	f.listed = true
}

func (f *Fleet) learnAgents(agents []anvilglade.IPv4, now time.Time) {
	for _, agent := range agents {
		if _, known := f.hosts[agent]; known {
			continue
		}
		if _, told := f.told[agent]; !told {
			f.told[agent] = now
		}
	}
}

// PendingAgents returns the agents that have been named and not heard yet.
func (f *Fleet) PendingAgents() []anvilglade.IPv4 {
	list := make([]anvilglade.IPv4, 0, len(f.told))
	for address := range f.told {
		list = append(list, address)
	}
	return list
}

// Settled reports whether every agent that may run has been named: by the
// store, by a balancer that is settled, or by itself since this balancer
// started.
func (f *Fleet) Settled(started, now time.Time) bool {
	return f.listed || now.Sub(started) >= LostAfter
}

// Agents returns the agents whose hosts may hold flows: those that have not
// been silent for LostAfter and whose host is not known to have ended.
func (f *Fleet) Agents(now time.Time) []anvilglade.IPv4 {
	var list []anvilglade.IPv4
	for address, host := range f.hosts {
		if host.MayHoldFlows(now) {
			list = append(list, address)
		}
	}
	return list
}

// DiscoveryComplete reports whether every host that may hold a flow is known. It is false
// while this balancer has just started, or has been told of an agent that it has
// not heard yet.
func (f *Fleet) DiscoveryComplete(started, now time.Time) bool {
	if !f.Settled(started, now) {
		return false
	}
	for _, told := range f.told {
		if now.Sub(told) < introduceTime {
			return false
		}
	}
	return true
}

// SilentAfter returns the silence after which the host gets no new flows: three
// statuses in a row are then missing.
func (h *Host) SilentAfter() time.Duration {
	return max(SilentAfter, missedStatuses*h.Interval)
}

// LostAfter returns the silence after which the host counts as lost together with
// its flows.
func (h *Host) LostAfter() time.Duration {
	return max(LostAfter, lostStatuses*h.Interval)
}

// MayHoldFlows reports whether the host may be running and hold flows.
func (h *Host) MayHoldFlows(now time.Time) bool {
	if h.Ended && now.Sub(h.endedAt) >= endedMargin {
		return false
	}
	return now.Sub(h.Heard) < h.LostAfter()
}

// Lost reports whether the host has been silent for so long that it counts as
// lost with its machine.
func (h *Host) Lost(now time.Time) bool {
	return now.Sub(h.Heard) >= h.LostAfter()
}
