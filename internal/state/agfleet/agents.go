package agfleet

// The discovery of agents, and the times after which a host without a status is
// silent or lost.

import (
	"time"

	"github.com/anvilglade/anvilglade"
)

// maxOverdue is the maximum number of agents that OverdueAgents returns. After the loss
// of a data centre most of them do not run.
const maxOverdue = 8

// AdoptAgentList adds the agents from the store's complete list of agents.
func (f *Fleet) AdoptAgentList(agents []anvilglade.IPv4, now time.Time) {
	f.addPending(agents, now)
	f.agentsListed = true
}

func (f *Fleet) addPending(agents []anvilglade.IPv4, now time.Time) {
	for _, agent := range agents {
		if _, exists := f.hosts[agent]; exists {
			continue
		}
		if _, pending := f.pending[agent]; !pending {
			f.pending[agent] = now
		}
	}
}

// PendingAgents returns the agents that have been listed by the store or by a
// peer and have not sent a status yet.
func (f *Fleet) PendingAgents() []anvilglade.IPv4 {
	list := make([]anvilglade.IPv4, 0, len(f.pending))
	for address := range f.pending {
		list = append(list, address)
	}
	return list
}

// HasPendingAgents reports whether PendingAgents returns any.
func (f *Fleet) HasPendingAgents() bool {
	return len(f.pending) > 0
}

// OverdueAgents returns up to maxOverdue agents, chosen at random, whose statuses are
// missing although their hosts have not ended. Such an agent may have restarted while
// this balancer was paused or cut off, and then has this balancer in no list.
func (f *Fleet) OverdueAgents() []anvilglade.IPv4 {
	var list []anvilglade.IPv4
	// The order of a map is random.
	for address, host := range f.hosts {
		if len(list) == maxOverdue {
			break
		}
		if host.StatusOverdue && !host.Ended {
			list = append(list, address)
		}
	}
	return list
}

// Settled reports whether every agent that may run is listed or has sent a
// status. That is so once the store or a settled balancer has sent its list, or
// LostAfter after this balancer started, as each running agent has then sent a
// status of its own.
func (f *Fleet) Settled(started, now time.Time) bool {
	return f.agentsListed || now.Sub(started) >= LostAfter
}

// Agents returns the agents whose hosts may hold flows; see Host.MayHoldFlows.
func (f *Fleet) Agents(now time.Time) []anvilglade.IPv4 {
	var list []anvilglade.IPv4
	for address, host := range f.hosts {
		if host.MayHoldFlows(now) {
			list = append(list, address)
		}
	}
	return list
}

// DiscoveryComplete reports whether every host that may hold a flow has sent a
// status. It is false shortly after the start of this balancer, and for
// discoveryTimeout after an agent without a status was first listed.
func (f *Fleet) DiscoveryComplete(started, now time.Time) bool {
	if !f.Settled(started, now) {
		return false
	}
	for _, pending := range f.pending {
		if now.Sub(pending) < discoveryTimeout {
			return false
		}
	}
	return true
}

// SilentAfter returns the time without a status after which the host gets no new
// flows: three consecutive statuses are then missing.
func (h *Host) SilentAfter() time.Duration {
	return max(SilentAfter, missedStatuses*h.Interval)
}

// LostAfter returns the time without a status after which the host counts as
// lost together with its flows.
func (h *Host) LostAfter() time.Duration {
	return max(LostAfter, lostStatuses*h.Interval)
}

// statusesMissing reports whether no status has been received for Host.LostAfter.
func (h *Host) statusesMissing(now time.Time) bool {
	return now.Sub(h.LastStatus) >= h.LostAfter()
}
