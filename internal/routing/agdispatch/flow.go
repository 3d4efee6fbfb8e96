package agdispatch

import (
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/state/agfleet"
)

// flowEntry is what a balancer remembers of a flow.
type flowEntry struct {
	service anvilglade.ServiceNumber
	// begun is the time at which the balancer first saw the flow, used that of
	// its newest packet.
	begun time.Time
	used  time.Time
	// holder is the agent whose host holds the flow if established is set, and
	// otherwise the one that the newest opening packet went to.
	holder      anvilglade.IPv4
	established bool
	// born is the start of the holder's host, 0 if unknown.
	born     int64
	attempts []anvilglade.IPv4
	// sent is the time of the newest attempt.
	sent time.Time
	// offers are the hosts that have answered the opening packet.
	offers []offer
	// acknowledged is the caller's newest acknowledgement.
	acknowledged uint32
	// route is the route when the holder was searched for, nil if there was no
	// desired state yet, and packets are those kept until it is found.
	route   *anvilglade.PacketRoute
	packets [][]byte
}

type offer struct {
	agent    anvilglade.IPv4
	sequence uint32
}

// chosen returns the agent for a packet after the opening one of a flow that is
// not established yet. While several hosts have offered to take the flow, the
// caller's acknowledgement tells which one it has chosen.
func (e *flowEntry) chosen(packet *anvilglade.Packet) (anvilglade.IPv4, bool) {
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
	e.holder, e.born, e.service, e.established = host.Agent, host.Born, host.Number, true
}

// startSearch notes that the holder is not known.
func (e *flowEntry) startSearch(route *anvilglade.PacketRoute, acknowledged uint32) {
	e.established = false
	e.offers, e.attempts = nil, nil
	e.route, e.acknowledged = route, acknowledged
}

func (e *flowEntry) tried(agent anvilglade.IPv4, now time.Time) {
	e.holder, e.sent = agent, now
	e.attempts = append(e.attempts, agent)
}

func (e *flowEntry) wasTried(agent anvilglade.IPv4) bool {
	return slices.Contains(e.attempts, agent)
}

func (e *flowEntry) forgetTried() {
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
