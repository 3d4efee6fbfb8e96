package agdispatch

import (
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agsequence"
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
	acknowledged agsequence.Number
	// callerStart is the sequence number of the packet that opened the flow, formerStart
	// that of the former flow with the same ends.
	callerStart agsequence.Number
	formerStart agsequence.Number
	// ended has the FIN and RST bits of the caller's packets.
	ended anvilglade.PacketFlags
	// search is the state of the latest search for the holder of a packet's flow, nil if
	// there was none.
	search *flowSearch
}

// flowSearch is the state of a search for the holder of a flow.
type flowSearch struct {
	// beside is set if the packets belong to another flow with the same ends than the entry,
	// or may do so. The search then changes the entry only if it finds a holder.
	beside bool
	// acknowledged is the caller's acknowledgement number in the packets, reached the
	// sequence number of the first one.
	acknowledged agsequence.Number
	reached      agsequence.Number
	// content is the kind of the packets.
	content searchContent
	// denied is the acknowledgement number in the packets of the latest search beside an
	// established flow that found no holder, deniedAt that of the established flow then.
	denied   agsequence.Number
	deniedAt agsequence.Number
	// route is the route at the start of the search, nil if there was no desired state.
	route *anvilglade.PacketRoute
	// packets is the buffer of packets until the holder is found.
	packets [][]byte
}

// searchContent is the kind of the packets for whose flow a search looks.
type searchContent uint8

const (
	// contentResets: all are resets of the caller.
	contentResets searchContent = iota
	// contentEnds: all end the flow and have no data.
	contentEnds
	// contentOther: there are others.
	contentOther
)

// contentOf returns the kind of a packet.
func contentOf(packet *anvilglade.Packet) searchContent {
	switch {
	case packet.Flags.Has(anvilglade.FlagRST):
		return contentResets
	case packet.Flags.Has(anvilglade.FlagFIN) && packet.DataLength == 0:
		return contentEnds
	}
	return contentOther
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
			e.hostStarted, e.acknowledged = 0, agsequence.Number{}
			return e.holder, true
		}
	}
	if !e.established && len(e.offers) == 0 && len(e.attempts) == 1 && e.followsOpening(packet) {
		return e.holder, true
	}
	return anvilglade.IPv4{}, false
}

// followsOpening reports whether a packet may belong to the flow that the opening packet
// of the entry opens.
func (e *flowEntry) followsOpening(packet *anvilglade.Packet) bool {
	return e.callerStart.Relate(packet.Sequence) <= agsequence.RelationSame
}

// belongs reports whether a packet after the opening one may belong to the established flow
// of the entry. A port may have been used again for a flow that was opened through another
// balancer.
func (e *flowEntry) belongs(packet *anvilglade.Packet) bool {
	return !packet.Flags.Has(anvilglade.FlagACK) || e.acknowledged.Relate(packet.Acknowledged) != agsequence.RelationOther
}

func (e *flowEntry) establish(host *agfleet.Host) {
	e.holder, e.hostStarted, e.service, e.established = host.Agent, host.Born, host.Number, true
}

// acknowledge records the acknowledgement number of a packet after the opening one. New
// data that the caller acknowledges shows that the holder's host runs; host is nil if it
// is unknown.
func (e *flowEntry) acknowledge(packet *anvilglade.Packet, host *agfleet.Host, now time.Time) {
	former, _ := e.acknowledged.Get()
	if former == packet.Acknowledged || !packet.Flags.Has(anvilglade.FlagACK) {
		return
	}
	e.acknowledged = agsequence.Of(packet.Acknowledged)
	if host != nil {
		host.RecordProgress(now)
	}
}

// forgetHolder marks the holder as unknown, because its host has ended or restarted.
func (e *flowEntry) forgetHolder() {
	e.established = false
	e.offers, e.attempts = nil, nil
}

// searchesBeside reports whether a search is for packets that belong to another flow with the
// same ends, or may do so.
func (e *flowEntry) searchesBeside() bool {
	return e.search != nil && e.search.beside
}

// reached returns the sequence number of the packet with which the latest search began.
func (e *flowEntry) reached() agsequence.Number {
	if e.search == nil {
		return agsequence.Number{}
	}
	return e.search.reached
}

// opening reports whether the entry is that of a flow that is being opened.
func (e *flowEntry) opening() bool {
	return !e.established && (len(e.offers) > 0 || len(e.attempts) > 0)
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
