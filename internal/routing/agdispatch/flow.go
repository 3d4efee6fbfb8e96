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
	used    time.Time
	// holder is the agent whose host holds the flow if established is set, and
	// otherwise the one that the newest opening packet went to.
	holder      anvilglade.IPv4
	established bool
	// born is the start of the holder's host, 0 if unknown.
	born     int64
	attempts []anvilglade.IPv4
	// offers are the hosts that have answered the opening packet.
	offers []offer
	// acknowledged is the caller's newest acknowledgement.
	acknowledged uint32
	// absent are the agents whose hosts do not hold the flow, nil if no search
	// for its holder is going on.
	absent map[anvilglade.IPv4]struct{}
	// asked is the time at which the agents were last asked, route the route
	// then, and packets are those kept until the holder is found.
	asked   time.Time
	route   *anvilglade.PacketRoute
	packets [][]byte
}

// askInterval is the least time between two rounds of questions for a flow; the
// answers of a round take a few milliseconds.
const askInterval = 50 * time.Millisecond

// searchTime is how long after its caller's last packet a search goes on by
// itself. Callers repeat a packet after at most 1.6 s.
const searchTime = 3 * time.Second

type offer struct {
	agent    anvilglade.IPv4
	sequence uint32
}

// holderOf returns the agent for a packet after the opening one. While several
// hosts have offered to take the flow, the caller's acknowledgement tells which
// one it has chosen.
func (e *flowEntry) holderOf(packet *anvilglade.Packet) (anvilglade.IPv4, bool) {
	if e.established {
		return e.holder, true
	}
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
	e.absent = nil
}

// startSearch begins a search for the holder or goes on with it, and reports
// whether agents are to be asked. One agent is known not to hold the flow, unless
// it is the zero address.
func (e *flowEntry) startSearch(except anvilglade.IPv4, now time.Time) bool {
	recent := e.absent != nil && now.Sub(e.asked) < askInterval
	e.established = false
	e.offers, e.attempts = nil, nil
	if e.absent == nil {
		e.absent = make(map[anvilglade.IPv4]struct{})
	}
	if except != (anvilglade.IPv4{}) {
		e.absent[except] = struct{}{}
	}
	if !recent {
		e.asked = now
	}
	return !recent
}

func (e *flowEntry) searching() bool {
	return e.absent != nil
}

func (e *flowEntry) absentAt(agent anvilglade.IPv4) {
	e.absent[agent] = struct{}{}
}

// missing returns the agents that have not said that they do not hold the flow.
func (e *flowEntry) missing(agents []anvilglade.IPv4) []anvilglade.IPv4 {
	var missing []anvilglade.IPv4
	for _, agent := range agents {
		if _, absent := e.absent[agent]; !absent {
			missing = append(missing, agent)
		}
	}
	return missing
}

func (e *flowEntry) tried(agent anvilglade.IPv4) {
	e.holder = agent
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
