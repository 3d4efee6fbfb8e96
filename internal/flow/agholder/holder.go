// Package agholder decides at an agent how to handle each packet between the
// balancers and the host.
//
// The host is the authoritative source for its flows: it returns packets of
// flows that it does not hold. A Holder keeps a record of each flow of which it has
// handled a packet, to count the load, to report to balancers which host holds a
// flow and to detect a flow that its host has lost. An agent that restarts without
// records loses no flow.
//
// Each packet for the host carries a tag. If the host returns the packet, the
// Holder looks up the tag to decide what to do. An opening packet is forwarded to
// the next candidate. A packet of a flow that the host held before is answered
// with a reset, because the host has restarted and lost the flow. Any other
// packet is returned to the balancer that forwarded it, or reported to it as a
// packet of a flow that the host does not hold.
//
// A Holder takes the time as a parameter, has no sockets and is not safe for
// concurrent use.
//
// # Usage
//
//	holder := agholder.NewHolder(options, now)
//	holder.FromBalancer(&forward, &packet, refusal, ended, now, &verdict)
//	holder.FromHost(&packet, now, &verdict)
package agholder

import (
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agmessage"
	"github.com/anvilglade/anvilglade/internal/packet/agsequence"
)

// Action is the way to handle a packet.
type Action uint8

// Actions of a verdict.
const (
	ActionDrop Action = iota
	// ActionDeliver delivers the packet to the host with the tag Tag.
	ActionDeliver
	// ActionToCaller sends a packet of the host to its caller.
	ActionToCaller
	// ActionForward forwards the packet to the agent To with the header Forward.
	ActionForward
	// ActionReturn returns the packet to the balancer To.
	ActionReturn
	// ActionExhausted notifies the balancer To that no candidate accepted the
	// packet.
	ActionExhausted
	// ActionAbsent notifies the balancer To that the host does not hold the flow.
	ActionAbsent
	// ActionReset sends a reset of the flow to its caller.
	ActionReset
)

const (
	// pendingPackets is the number of delivered packets for which the agent can
	// still handle a return by the host; a power of two.
	pendingPackets = 4096
	// maxFlows is the maximum number of flow records. It limits their memory, about
	// 200 bytes each.
	maxFlows = 50_000
	// latencyWeight is the weight of one answer in the average latency.
	latencyWeight = 0.1
	// halfOpenTimeout is the time after which a flow whose opening the caller has not
	// completed no longer counts as open. Its record is kept: the packet that completes
	// the opening may have been lost, and the host then opens the flow with a later one.
	halfOpenTimeout = 2 * time.Second
	// endedRetention is the time for which the record of a closed flow is kept
	// to handle late packets.
	endedRetention = 3 * time.Second
	// resetTime is the time from the delivery of a caller's reset until the host sends no
	// packet that it has sent without regard to the reset.
	resetTime = 100 * time.Millisecond
	// firstRequestTimeout is the time after which the first request of a new
	// flow, or the answer to its opening packet, is no longer counted as expected.
	firstRequestTimeout = 500 * time.Millisecond
	// lookupTimeout is the time that the host has to answer a packet that was
	// delivered to find the holder of a flow.
	lookupTimeout = 2 * time.Second
)

// Options are the settings of a Holder.
type Options struct {
	Service anvilglade.ServiceNumber
	// IdleTimeout is the time without packets after which the record of a flow
	// expires.
	IdleTimeout time.Duration
}

// Verdict is the decision on one packet.
type Verdict struct {
	Action Action
	Tag    uint32
	To     anvilglade.IPv4
	// Forward is the header for ActionForward.
	Forward agmessage.Forward
	// Owner is a message for the balancer OwnerTo, if that is set.
	Owner   agmessage.Owner
	OwnerTo anvilglade.IPv4
	// Flow is the flow of the packet, for resets and the log.
	Flow anvilglade.Flow
	// Cause is the reason for the log if the packet was neither delivered nor
	// sent to its caller.
	Cause string
}

// flowState is the state of a flow record. A flow is unconfirmed until the host
// has answered one of its packets, and half-open after the host has answered the
// opening packet. A flow that its caller has reset is ended if the host has accepted the
// reset, which the host does not confirm.
type flowState uint8

const (
	stateUnconfirmed flowState = iota
	stateHalfOpen
	stateOpen
	stateReset
	stateEnded
)

// LostFlow is an open flow whose host has terminated. Acknowledged is the
// caller's newest acknowledgement number.
type LostFlow struct {
	Flow         anvilglade.Flow
	Acknowledged uint32
}

// pendingPacket is a delivered packet that the host may still return.
type pendingPacket struct {
	tag    uint32
	origin anvilglade.IPv4
	// toHolder is set if the balancer forwarded the packet to this host as the
	// flow's holder.
	toHolder   bool
	candidates []anvilglade.IPv4
	class      anvilglade.RequestClass
}

// Holder keeps the records of the flows of one host.
type Holder struct {
	options Options
	// Observer, if set, receives the arrival and the end of each request.
	Observer anvilglade.RequestObserver
	// OnAnswer, if set, is called with the time from each request to the first
	// byte of its answer.
	OnAnswer func(latency time.Duration)
	// recordsSince is the time from which there is a record of each flow: the start, or the
	// latest eviction of a record. evicted is set if a record has been evicted since the
	// Holder was last complete.
	recordsSince   time.Time
	evicted        bool
	flows          map[anvilglade.Flow]*flowRecord
	pending        [pendingPackets]pendingPacket
	tag            uint32
	openFlows      int
	activeRequests int
	// openingsPending counts new flows whose opening packet the host has not answered,
	// firstRequestPending those whose first request has not arrived.
	openingsPending     int
	firstRequestPending int
	latency             time.Duration
	outcomes            outcomes
	// hostUnansweredSince is the delivery time of the first packet that needs an
	// answer since the last packet from the host; zero if there is none.
	hostUnansweredSince time.Time
}

// NewHolder returns a Holder without flows.
func NewHolder(options Options, now time.Time) *Holder {
	return &Holder{options: options, recordsSince: now, flows: make(map[anvilglade.Flow]*flowRecord)}
}

// StartsRequest reports whether a packet of a caller has the first data of a request on a
// flow that the host holds.
func (h *Holder) StartsRequest(packet *anvilglade.Packet) bool {
	record := h.flows[packet.FromCaller()]
	held := record != nil && (record.state == stateHalfOpen || record.state == stateOpen)
	return held && !packet.Opens() && record.startsRequest(packet) && record.relate(packet) != agsequence.RelationOther
}

// IsLate reports whether a packet of a caller is a late one of another flow than the
// recorded one, or a copy of an opening packet.
func (h *Holder) IsLate(packet *anvilglade.Packet, now time.Time) bool {
	record := h.flows[packet.FromCaller()]
	if packet.Opens() {
		return record.openingOf(packet, now) != openingNew
	}
	return record != nil && record.relate(packet) == agsequence.RelationOther
}

// Load returns the number of the host's open flows, the number of flows with a
// request in progress, and the average latency of answers.
func (h *Holder) Load() (flows, activeRequests int, latency time.Duration) {
	return h.openFlows, h.activeRequests, h.latency
}

// ExpectedRequests returns the number of requests in progress plus the first
// requests of new flows, which arrive within a round trip.
func (h *Holder) ExpectedRequests() int {
	return h.activeRequests + h.firstRequestPending
}

// NewFlows returns the number of flows whose first request has not arrived: those that
// the host has accepted, and those that wait in its queue to be accepted.
func (h *Holder) NewFlows() int {
	return h.openingsPending + h.firstRequestPending
}

// Failing returns the share of recent requests that the host has failed, from 0
// to 1.
func (h *Holder) Failing(now time.Time) float64 {
	return h.outcomes.share(now)
}

// FromBalancer decides on a packet that a balancer or an agent has forwarded and
// writes the decision to verdict. Refusal is empty if the host accepts new flows;
// ended is set if the host is no longer running.
func (h *Holder) FromBalancer(forward *agmessage.Forward, packet *anvilglade.Packet, refusal string, ended bool, now time.Time, verdict *Verdict) {
	flow := packet.FromCaller()
	*verdict = Verdict{Flow: flow, Forward: agmessage.Forward{Candidates: verdict.Forward.Candidates[:0]}}
	record := h.flows[flow]
	switch {
	case forward.Service != h.options.Service:
		h.refuse(forward, packet, "service moved", verdict)
	case packet.Opens():
		h.open(forward, packet, refusal, now, verdict)
	case ended || forward.OutsideRoute && record == nil && h.coversAllFlows(now):
		verdict.Action, verdict.To = ActionAbsent, forward.Origin
	case record != nil && record.endsOtherFlow(packet):
		verdict.Cause = "ends another flow"
	default:
		h.recordAndDeliver(forward, packet, now, verdict)
	}
}

// recordAndDeliver delivers a packet after the opening one to the host and updates the
// record of its flow.
func (h *Holder) recordAndDeliver(forward *agmessage.Forward, packet *anvilglade.Packet, now time.Time, verdict *Verdict) {
	record := h.flows[verdict.Flow]
	if record == nil {
		record = h.addRecord(verdict.Flow, now)
	}
	ownFlow := record.relate(packet) != agsequence.RelationOther
	if ownFlow {
		h.record(record, forward, packet, now)
	}
	if ownFlow && record.state == stateOpen && !forward.ToHolder && !record.originNotified {
		h.notifyOrigin(verdict.Flow, record, verdict)
	}
	if packet.DataLength > 0 {
		h.expectAnswer(now)
	}
	h.deliver(forward, verdict)
}

// expectAnswer records the delivery of a packet that the host has to answer: an opening
// packet or data.
func (h *Holder) expectAnswer(now time.Time) {
	if h.hostUnansweredSince.IsZero() {
		h.hostUnansweredSince = now
	}
}

// record updates a record by a packet of its flow after the opening one.
func (h *Holder) record(record *flowRecord, forward *agmessage.Forward, packet *anvilglade.Packet, now time.Time) {
	record.lastUsed = now
	if record.origin != forward.Origin {
		record.origin, record.originNotified = forward.Origin, false
	}
	record.lookupPending = !forward.ToHolder
	record.class = forward.Class
	record.recordAcknowledged(packet)
	h.recordCallerPacket(record, packet, now)
}

// Find reports whether the host holds a flow that a balancer searches for. Complete is
// set if this agent has handled packets of every flow of its host, ended if the host is
// no longer running.
func (h *Holder) Find(searched *agmessage.SearchedFlow, origin anvilglade.IPv4, complete, ended bool, now time.Time) agmessage.FlowState {
	record := h.flows[searched.Flow]
	if ended {
		return agmessage.FlowAbsent
	}
	if record == nil || record.state == stateUnconfirmed {
		if h.isComplete(complete, now) {
			return agmessage.FlowAbsent
		}
		return agmessage.FlowUnknown
	}
	state := record.find(searched)
	if state == agmessage.FlowHeld {
		record.origin, record.originNotified = origin, true
	}
	return state
}

func (h *Holder) deliver(forward *agmessage.Forward, verdict *Verdict) {
	h.tag++
	slot := &h.pending[h.tag%pendingPackets]
	slot.tag, slot.origin, slot.toHolder = h.tag, forward.Origin, forward.ToHolder
	slot.candidates, slot.class = append(slot.candidates[:0], forward.Candidates...), forward.Class
	verdict.Action, verdict.Tag = ActionDeliver, h.tag
}

// refuse returns a packet to the balancer if that forwarded it to this host as the
// flow's holder. Otherwise it forwards an opening packet to the next candidate and drops
// any other packet.
func (h *Holder) refuse(forward *agmessage.Forward, packet *anvilglade.Packet, cause string, verdict *Verdict) {
	verdict.Cause = cause
	switch {
	case forward.ToHolder:
		verdict.Action, verdict.To = ActionReturn, forward.Origin
	case packet.Opens():
		h.forwardToNext(forward.Origin, forward.Candidates, forward.Service, forward.Class, verdict)
	}
}

func (h *Holder) forwardToNext(origin anvilglade.IPv4, candidates []anvilglade.IPv4, service anvilglade.ServiceNumber, class anvilglade.RequestClass, verdict *Verdict) {
	if len(candidates) == 0 {
		verdict.Action, verdict.To = ActionExhausted, origin
		return
	}
	verdict.Action, verdict.To = ActionForward, candidates[0]
	verdict.Forward.Origin, verdict.Forward.Service, verdict.Forward.Class = origin, service, class
	verdict.Forward.Candidates = append(verdict.Forward.Candidates[:0], candidates[1:]...)
}

// FromHost decides on a packet that the host has sent or returned and writes the
// decision to verdict.
func (h *Holder) FromHost(packet *anvilglade.Packet, now time.Time, verdict *Verdict) {
	h.hostUnansweredSince = time.Time{}
	if packet.Flags.Has(anvilglade.FlagReturned) {
		h.handleReturned(packet, now, verdict)
		return
	}
	flow := packet.FromHost()
	*verdict = Verdict{Action: ActionToCaller, Flow: flow, Forward: agmessage.Forward{Candidates: verdict.Forward.Candidates[:0]}}
	record := h.flows[flow]
	if record == nil {
		if packet.Flags.Has(anvilglade.FlagRST) {
			return
		}
		record = h.addRecord(flow, now)
	}
	if packet.Flags.Has(anvilglade.FlagRST) && record.state == stateUnconfirmed && record.lookupPending {
		// A host that is starting or stopping also resets flows that it never
		// held, so this reset must not reach the caller.
		h.removeFlow(flow, record, now)
		verdict.Action, verdict.To, verdict.Cause = ActionAbsent, record.origin, "host resets a flow that it was asked for"
		return
	}
	record.lastUsed = now
	record.recordNumbers(packet)
	if packet.Flags.Has(anvilglade.FlagSYN) {
		h.recordOffer(record, packet, verdict)
		return
	}
	h.confirm(record, packet, now)
	h.recordHostPacket(record, packet, now)
	if !record.originNotified && record.origin != (anvilglade.IPv4{}) {
		h.notifyOrigin(flow, record, verdict)
	}
}

func (h *Holder) notifyOrigin(flow anvilglade.Flow, record *flowRecord, verdict *Verdict) {
	record.originNotified = true
	verdict.OwnerTo = record.origin
	verdict.Owner = agmessage.Owner{Flow: flow, Established: true, CallerStart: record.callerStart, Flows: clamp(h.openFlows), ActiveRequests: clamp(h.ExpectedRequests())}
}

// handleReturned decides on a packet that the host has returned.
func (h *Holder) handleReturned(packet *anvilglade.Packet, now time.Time, verdict *Verdict) {
	flow := packet.FromCaller()
	*verdict = Verdict{Flow: flow, Cause: "returned by the host", Forward: agmessage.Forward{Candidates: verdict.Forward.Candidates[:0]}}
	slot := &h.pending[packet.Tag%pendingPackets]
	if slot.tag != packet.Tag || packet.Tag == 0 {
		verdict.Cause = "returned under an unknown tag"
		return
	}
	record := h.flows[flow]
	if packet.Opens() {
		if record != nil {
			h.clearOpening(record)
		}
		if record != nil && record.state == stateUnconfirmed {
			h.removeFlow(flow, record, now)
		}
		h.forwardToNext(slot.origin, slot.candidates, h.options.Service, slot.class, verdict)
		return
	}
	if record != nil && record.lostWith(packet) {
		h.removeFlow(flow, record, now)
		verdict.Action, verdict.Cause = ActionReset, "the host has lost the flow"
		return
	}
	if record != nil && record.state != stateEnded && record.relate(packet) != agsequence.RelationOther {
		h.removeFlow(flow, record, now)
	}
	verdict.Action, verdict.To = ActionAbsent, slot.origin
	if slot.toHolder {
		verdict.Action = ActionReturn
		return
	}
	// This is the usual result of a lookup at a host that does not hold the flow,
	// so there is no cause to log.
	verdict.Cause = ""
}

// coversAllFlows reports whether the Holder has kept all records for longer than the idle
// timeout, so that there is one of every flow of its host.
func (h *Holder) coversAllFlows(now time.Time) bool {
	return now.Sub(h.recordsSince) > h.options.IdleTimeout
}

// isComplete reports whether there is a record of every flow of the host. HandledAll is set
// if this agent has handled packets of every flow.
func (h *Holder) isComplete(handledAll bool, now time.Time) bool {
	return handledAll && !h.evicted || h.coversAllFlows(now)
}

// RemoveAll removes all records and returns the flows that were open. It is called
// when the host has terminated.
func (h *Holder) RemoveAll(now time.Time) []LostFlow {
	var lost []LostFlow
	for flow, record := range h.flows {
		if record.state == stateOpen && !record.hostClosed {
			lost = append(lost, LostFlow{Flow: flow, Acknowledged: record.acknowledged})
		}
		h.removeFlow(flow, record, now)
	}
	return lost
}

// UnansweredTime returns the time since the delivery of the first packet that
// needs an answer and since which the host has neither sent nor returned a packet;
// 0 if there is none.
func (h *Holder) UnansweredTime(now time.Time) time.Duration {
	if h.hostUnansweredSince.IsZero() {
		return 0
	}
	return now.Sub(h.hostUnansweredSince)
}

// Expire removes the records whose lifetime has passed and stops counting openings that
// were not answered and first requests that have not arrived in time.
func (h *Holder) Expire(now time.Time) {
	h.evicted = h.evicted && !h.coversAllFlows(now)
	for flow, record := range h.flows {
		if now.Sub(record.lastUsed) > firstRequestTimeout {
			h.clearOpening(record)
			h.clearFirstRequest(record)
		}
		if record.state == stateHalfOpen && now.Sub(record.lastUsed) > halfOpenTimeout {
			h.uncount(record)
		}
		if now.Sub(record.lastUsed) > h.lifetime(record) {
			h.removeFlow(flow, record, now)
		}
	}
}
