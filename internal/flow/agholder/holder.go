// Package agholder decides at an agent what becomes of each packet between the
// balancers and the host.
//
// The host itself is the truth about its flows: it returns packets of flows
// that it does not hold. A Holder remembers the flows that it has seen, to
// count the load, to tell balancers where a flow is and to recognise a flow that
// its host has lost; a restarted agent that remembers none loses none.
//
// Each packet for the host carries a tag, under which the Holder finds out what
// to do if the host returns it: an opening packet goes to the next candidate, a
// packet of a flow that the host held before is answered with a reset, because
// the host has restarted and the flow is gone, and any other goes back to the
// balancer that believed that the host holds it.
//
// A Holder takes the time as a parameter, has no sockets and is not safe for
// concurrent use.
//
// # Usage
//
//	holder := agholder.NewHolder(options)
//	holder.FromBalancer(&forward, &packet, refusal, now, &verdict)
//	holder.FromHost(&packet, now, &verdict)
package agholder

import (
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agmessage"
)

// Action is what to do with a packet.
type Action uint8

// Actions of a verdict.
const (
	ActionDrop Action = iota
	// ActionDeliver gives the packet to the host under Tag.
	ActionDeliver
	// ActionToCaller sends a packet of the host to its caller.
	ActionToCaller
	// ActionForward forwards the packet to the agent To with Forward.
	ActionForward
	// ActionReturn gives the packet back to the balancer To.
	ActionReturn
	// ActionExhausted tells the balancer To that no candidate took the packet.
	ActionExhausted
	// ActionAbsent tells the balancer To that the host does not hold the flow.
	ActionAbsent
	// ActionReset resets the flow to its caller.
	ActionReset
)

const (
	// pendingPackets is the number of packets whose return by the host can
	// still be recognised; a power of two.
	pendingPackets = 4096
	// maxFlows bounds the memory for flows, about 150 bytes each.
	maxFlows = 50_000
	// latencyWeight is the weight of one answer in the average latency.
	latencyWeight = 0.1
	// halfOpenFor is the time in which a caller completes the opening of a
	// flow that the host has answered.
	halfOpenFor = 2 * time.Second
	// endedFor is kept after both ends have closed, for late packets.
	endedFor = 3 * time.Second
	// awaitTime is the longest time in which the first request of a new flow is
	// expected.
	awaitTime = 500 * time.Millisecond
	// lookupFor is the time in which a packet sent to find the holder of a
	// flow draws an answer of the host.
	lookupFor = 2 * time.Second
)

// Options are the settings of a Holder.
type Options struct {
	Service anvilglade.ServiceNumber
	// IdleTimeout is the time without packets after which a flow is forgotten.
	IdleTimeout time.Duration
}

// Verdict is the decision on one packet.
type Verdict struct {
	Action Action
	Tag    uint32
	To     anvilglade.IPv4
	// Forward is the header for ActionPass.
	Forward agmessage.Forward
	// Owner is news for the balancer OwnerTo, if that is set.
	Owner   agmessage.Owner
	OwnerTo anvilglade.IPv4
	// Flow is the flow of the packet, for resets and the log.
	Flow anvilglade.Flow
	// Cause says in the log why the packet did not go the usual way.
	Cause string
}

type flowState uint8

const (
	stateAsked flowState = iota
	stateHalfOpen
	stateOpen
	stateEnded
)

// LostFlow is a flow whose host has ended.
type LostFlow struct {
	Flow         anvilglade.Flow
	Acknowledged uint32
}

type pendingPacket struct {
	tag        uint32
	origin     anvilglade.IPv4
	held       bool
	candidates []anvilglade.IPv4
}

// Holder keeps the flows of one host.
type Holder struct {
	options Options
	// OnAnswer, if set, gets the time from each request to the first byte of
	// its answer.
	OnAnswer func(latency time.Duration)
	started  time.Time
	flows    map[anvilglade.Flow]*flowRecord
	pending  [pendingPackets]pendingPacket
	tag      uint32
	open     int
	working  int
	// awaited counts new flows whose first request is on its way.
	awaited  int
	latency  time.Duration
	outcomes outcomes
	// waitingFrom is the time of the first packet delivered since the host's
	// last one; zero if there is none.
	waitingFrom time.Time
}

// NewHolder returns a Holder without flows.
func NewHolder(options Options, now time.Time) *Holder {
	return &Holder{options: options, started: now, flows: make(map[anvilglade.Flow]*flowRecord)}
}

// Holds reports whether the host has answered the flow's opening packet.
func (h *Holder) Holds(flow anvilglade.Flow) bool {
	record := h.flows[flow]
	return record != nil && record.state != stateAsked
}

// Load returns the host's open flows, those with a request in progress, and the
// average latency of answers.
func (h *Holder) Load() (flows, working int, latency time.Duration) {
	return h.open, h.working, h.latency
}

// ExpectedRequests returns the requests in progress and the first ones of new flows, which
// arrive within a round trip.
func (h *Holder) ExpectedRequests() int {
	return h.working + h.awaited
}

// Failing returns the share of the newest requests that the host has failed, 0
// to 1.
func (h *Holder) Failing(now time.Time) float64 {
	return h.outcomes.share(now)
}

// FromBalancer decides on a packet that a balancer or an agent has forwarded.
// Refusal is empty if an opening packet may go to the host; ended is set if the
// host does not run any more.
func (h *Holder) FromBalancer(forward *agmessage.Forward, packet *anvilglade.Packet, refusal string, ended bool, now time.Time, verdict *Verdict) {
	flow := packet.FromCaller()
	*verdict = Verdict{Flow: flow, Forward: agmessage.Forward{Candidates: verdict.Forward.Candidates[:0]}}
	record := h.flows[flow]
	switch {
	case forward.Service != h.options.Service:
		h.refuse(forward, packet, "service moved", verdict)
	case packet.Opens() && refusal != "" && !h.Holds(flow):
		h.refuse(forward, packet, refusal, verdict)
	case !packet.Opens() && (ended || forward.Foreign && record == nil && h.remembersAll(now)):
		verdict.Action, verdict.To = ActionAbsent, forward.Origin
	default:
		h.toHost(forward, packet, now, verdict)
	}
}

// toHost gives a packet to the host and notes what it tells of the flow.
func (h *Holder) toHost(forward *agmessage.Forward, packet *anvilglade.Packet, now time.Time, verdict *Verdict) {
	record := h.flows[verdict.Flow]
	if record == nil {
		record = h.remember(verdict.Flow, now)
	}
	record.used = now
	if record.origin != forward.Origin {
		record.origin, record.informed = forward.Origin, false
	}
	record.searched = !forward.Held && !packet.Opens()
	record.acknowledged = packet.Acknowledged
	h.countCaller(record, packet, now)
	if record.state == stateOpen && !forward.Held && !record.informed {
		h.inform(verdict.Flow, record, verdict)
	}
	if h.waitingFrom.IsZero() && (packet.Opens() || packet.DataLength > 0) {
		// A host owes no answer to any other packet.
		h.waitingFrom = now
	}
	h.deliver(forward, verdict)
}

// Find says whether the host holds a flow that a balancer searches for. Complete
// is set if this agent has seen every flow of its host, ended if the host does
// not run any more.
func (h *Holder) Find(flow anvilglade.Flow, origin anvilglade.IPv4, complete, ended bool, now time.Time) agmessage.FlowState {
	record := h.flows[flow]
	switch {
	case record != nil && record.state == stateOpen && !ended:
		record.origin, record.informed = origin, true
		return agmessage.FlowHeld
	case record != nil && record.state == stateHalfOpen && !ended:
		// The caller's next packet opens the flow if it has chosen this host.
		return agmessage.FlowUnknown
	case ended || complete || h.remembersAll(now):
		return agmessage.FlowAbsent
	}
	return agmessage.FlowUnknown
}

func (h *Holder) deliver(forward *agmessage.Forward, verdict *Verdict) {
	h.tag++
	slot := &h.pending[h.tag%pendingPackets]
	slot.tag, slot.origin, slot.held = h.tag, forward.Origin, forward.Held
	slot.candidates = append(slot.candidates[:0], forward.Candidates...)
	verdict.Action, verdict.Tag = ActionDeliver, h.tag
}

// refuse passes an opening packet to the next candidate and gives any other
// back to the balancer if that believed that the flow is here.
func (h *Holder) refuse(forward *agmessage.Forward, packet *anvilglade.Packet, cause string, verdict *Verdict) {
	verdict.Cause = cause
	if !packet.Opens() {
		if forward.Held {
			verdict.Action, verdict.To = ActionReturn, forward.Origin
		}
		return
	}
	h.pass(forward.Origin, forward.Candidates, forward.Service, verdict)
}

func (h *Holder) pass(origin anvilglade.IPv4, candidates []anvilglade.IPv4, service anvilglade.ServiceNumber, verdict *Verdict) {
	if len(candidates) == 0 {
		verdict.Action, verdict.To = ActionExhausted, origin
		return
	}
	verdict.Action, verdict.To = ActionForward, candidates[0]
	verdict.Forward.Origin, verdict.Forward.Service = origin, service
	verdict.Forward.Candidates = append(verdict.Forward.Candidates[:0], candidates[1:]...)
}

// FromHost decides on a packet that the host has sent or returned.
func (h *Holder) FromHost(packet *anvilglade.Packet, now time.Time, verdict *Verdict) {
	h.waitingFrom = time.Time{}
	if packet.Flags.Has(anvilglade.FlagReturned) {
		h.returned(packet, verdict)
		return
	}
	flow := packet.FromHost()
	*verdict = Verdict{Action: ActionToCaller, Flow: flow, Forward: agmessage.Forward{Candidates: verdict.Forward.Candidates[:0]}}
	record := h.flows[flow]
	if record == nil {
		record = h.remember(flow, now)
	}
	if packet.Flags.Has(anvilglade.FlagRST) && record.state == stateAsked && record.searched {
		// A host that is starting or ending resets flows that are not its own.
		h.drop(flow, record)
		verdict.Action, verdict.To, verdict.Cause = ActionAbsent, record.origin, "host resets a flow that it was asked for"
		return
	}
	record.used = now
	if packet.Flags.Has(anvilglade.FlagSYN) {
		h.offered(flow, record, packet, verdict)
		return
	}
	h.setOpen(record)
	h.countHost(record, packet, now)
	if !record.informed && record.origin != (anvilglade.IPv4{}) {
		h.inform(flow, record, verdict)
	}
}

// offered takes the host's answer to an opening packet.
func (h *Holder) offered(flow anvilglade.Flow, record *flowRecord, packet *anvilglade.Packet, verdict *Verdict) {
	if record.state == stateAsked {
		record.state = stateHalfOpen
		h.open++
		h.await(record)
	}
	if record.origin == (anvilglade.IPv4{}) {
		return
	}
	verdict.OwnerTo = record.origin
	verdict.Owner = agmessage.Owner{Flow: flow, Sequence: packet.Sequence, Flows: clamp(h.open), Working: clamp(h.ExpectedRequests())}
}

func (h *Holder) inform(flow anvilglade.Flow, record *flowRecord, verdict *Verdict) {
	record.informed = true
	verdict.OwnerTo = record.origin
	verdict.Owner = agmessage.Owner{Flow: flow, Established: true, Flows: clamp(h.open), Working: clamp(h.ExpectedRequests())}
}

// returned decides on a packet that the host does not take.
func (h *Holder) returned(packet *anvilglade.Packet, verdict *Verdict) {
	flow := packet.FromCaller()
	*verdict = Verdict{Flow: flow, Cause: "returned by the host", Forward: agmessage.Forward{Candidates: verdict.Forward.Candidates[:0]}}
	slot := &h.pending[packet.Tag%pendingPackets]
	if slot.tag != packet.Tag || packet.Tag == 0 {
		verdict.Cause = "returned under an unknown tag"
		return
	}
	record := h.flows[flow]
	if packet.Opens() {
		if record != nil && record.state == stateAsked {
			h.drop(flow, record)
		}
		h.pass(slot.origin, slot.candidates, h.options.Service, verdict)
		return
	}
	if record != nil && record.state == stateOpen && !record.hostDone {
		h.drop(flow, record)
		verdict.Action, verdict.Cause = ActionReset, "the host has lost the flow"
		return
	}
	if record != nil && record.state != stateEnded {
		h.drop(flow, record)
	}
	verdict.Action, verdict.To = ActionAbsent, slot.origin
	if slot.held {
		verdict.Action = ActionReturn
		return
	}
	// The usual answer of a host that was asked for a flow.
	verdict.Cause = ""
}

// remembersAll reports whether the holder has run for longer than a flow may
// last, so that it has seen every flow of its host.
func (h *Holder) remembersAll(now time.Time) bool {
	return now.Sub(h.started) > h.options.IdleTimeout
}

// RemoveAll returns the open flows and forgets them; the host that held them is
// known to have ended.
func (h *Holder) RemoveAll() []LostFlow {
	var lost []LostFlow
	for flow, record := range h.flows {
		if record.state == stateOpen && !record.hostDone {
			lost = append(lost, LostFlow{Flow: flow, Acknowledged: record.acknowledged})
		}
		h.drop(flow, record)
	}
	return lost
}

// UnansweredTime returns for how long the host has not sent or returned anything
// since a packet was delivered; 0 if no packet waits.
func (h *Holder) UnansweredTime(now time.Time) time.Duration {
	if h.waitingFrom.IsZero() {
		return 0
	}
	return now.Sub(h.waitingFrom)
}

// Expire forgets flows that have ended or been idle for too long.
func (h *Holder) Expire(now time.Time) {
	for flow, record := range h.flows {
		if now.Sub(record.used) > awaitTime {
			h.arrived(record)
		}
		if now.Sub(record.used) > h.lifetime(record) {
			h.drop(flow, record)
		}
	}
}
