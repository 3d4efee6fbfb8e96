package agdispatch

import (
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/state/agfleet"
)

// flowEntry is the cached state of a flow.
type flowEntry struct {
	service anvilglade.ServiceNumber
	// shifted is set if the steps of the route selected the service, not its weights.
	shifted bool
	// firstSeen is the time of the first packet of the flow at this balancer,
	// lastUsed that of the latest packet.
	firstSeen time.Time
	lastUsed  time.Time
	// holder is the agent whose host holds the flow if established is set, and
	// otherwise the agent that the latest opening packet was forwarded to.
	holder      anvilglade.IPv4
	established bool
	// hostStarted is the start time of the holder's host as in AgentStatus.Born,
	// 0 if unknown.
	hostStarted int64
	// attempts lists the agents that an opening packet was forwarded to.
	attempts []anvilglade.IPv4
	// lastAttempt is the time of the latest attempt.
	lastAttempt time.Time
	// offers lists the hosts that have answered the opening packet.
	offers []offer
	// class is the class of the flow's route as of the desired state classVersion.
	class        anvilglade.RequestClass
	classVersion anvilglade.DesiredVersion
	// acknowledged is the caller's latest acknowledgement number.
	acknowledged uint32
	// route is the route at the start of the search for the holder, nil if there
	// was no desired state.
	route *anvilglade.PacketRoute
	// packets is the buffer of packets until the holder is found.
	packets [][]byte
}

// offer is the answer of an agent's host to an opening packet, with the initial
// sequence number of that answer.
type offer struct {
	agent    anvilglade.IPv4
	sequence uint32
}

// chosenHolder returns the agent for a packet after the opening one of a flow that
// is not established yet. If several hosts have offered to take the flow, the
// caller's acknowledgement number identifies the offer that it accepted: it is one
// above the sequence number of the offer.
func (e *flowEntry) chosenHolder(packet *anvilglade.Packet) (anvilglade.IPv4, bool) {
	for _, offer := range e.offers {
		if offer.sequence+1 == packet.Acknowledged {
			e.holder, e.established = offer.agent, true
			return e.holder, true
		}
	}
	if len(e.offers) == 0 && len(e.attempts) == 1 {
		return e.holder, true
	}
	return anvilglade.IPv4{}, false
}

func (e *flowEntry) establish(host *agfleet.Host) {
	e.holder, e.hostStarted, e.service, e.established = host.Agent, host.Born, host.Number, true
}

// acknowledge records the acknowledgement number of a packet after the opening one. New
// data that the caller acknowledges shows that the holder's host runs; host is nil if it
// is unknown.
func (e *flowEntry) acknowledge(packet *anvilglade.Packet, host *agfleet.Host, now time.Time) {
	if e.acknowledged == packet.Acknowledged {
		return
	}
	e.acknowledged = packet.Acknowledged
	if host != nil {
		host.RecordProgress(now)
	}
}

// startSearch marks the holder as unknown and records the route for the search.
func (e *flowEntry) startSearch(route *anvilglade.PacketRoute, acknowledged uint32) {
	e.established = false
	e.offers, e.attempts = nil, nil
	e.route, e.acknowledged = route, acknowledged
}

func (e *flowEntry) addAttempt(agent anvilglade.IPv4, now time.Time) {
	e.holder, e.lastAttempt = agent, now
	e.attempts = append(e.attempts, agent)
}

func (e *flowEntry) wasTried(agent anvilglade.IPv4) bool {
	return slices.Contains(e.attempts, agent)
}

func (e *flowEntry) clearAttempts() {
	e.attempts = e.attempts[:0]
}

func (e *flowEntry) offer(agent anvilglade.IPv4, sequence uint32) {
	for i := range e.offers {
		if e.offers[i].agent == agent {
			e.offers[i].sequence = sequence
			return
		}
	}
	e.offers = append(e.offers, offer{agent: agent, sequence: sequence})
}
