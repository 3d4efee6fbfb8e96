package agholder

// The record of each flow and the load counters derived from the records.

import (
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agmessage"
	"github.com/anvilglade/anvilglade/internal/packet/agsequence"
)

type flowRecord struct {
	flow     anvilglade.Flow
	class    anvilglade.RequestClass
	state    flowState
	lastUsed time.Time
	// origin is the balancer that last forwarded a packet of the flow or
	// searched for it.
	origin anvilglade.IPv4
	// lookupPending is set while origin searches for the holder of the flow.
	lookupPending bool
	// originNotified is set once origin has been notified that this host holds
	// the flow.
	originNotified bool
	// openingPending is set while the host has not answered the opening packet.
	openingPending bool
	// firstRequestPending is set while the first request of a new flow has not
	// arrived.
	firstRequestPending bool
	// unansweredSince is the arrival time of the first caller data that the
	// host has not answered; zero if there is none.
	unansweredSince          time.Time
	callerClosed, hostClosed bool
	// acknowledged is the caller's newest acknowledgement number. A reset must
	// carry it for the caller to accept the reset.
	acknowledged uint32
	// counted is set while the flow counts in openFlows.
	counted bool
	// hostAcknowledged is the host's newest acknowledgement number.
	hostAcknowledged agsequence.Number
	// callerStart is the sequence number of the caller's opening packet, formerStart that of
	// the former flow with the same ends.
	callerStart agsequence.Number
	formerStart agsequence.Number
	// hostStart is the sequence number of the host's answer to the opening packet,
	// hostNext the one after the host's newest data.
	hostStart agsequence.Number
	hostNext  agsequence.Number
	// endedAt is the time at which the flow was reset by its caller or has ended.
	endedAt time.Time
}

// isCopy reports whether a packet of the caller has only data that the host has
// acknowledged. Sequence numbers wrap around.
func (r *flowRecord) isCopy(packet *anvilglade.Packet) bool {
	return r.hostAcknowledged.Covers(packet.Sequence + uint32(packet.DataLength))
}

// startsRequest reports whether a packet of the caller has the first data of a request.
func (r *flowRecord) startsRequest(packet *anvilglade.Packet) bool {
	return packet.DataLength > 0 && r.unansweredSince.IsZero() && !r.isCopy(packet)
}

// completesOpening reports whether a packet of the caller accepts the host's answer to the
// opening packet, so that the flow opens at this host.
func (r *flowRecord) completesOpening(packet *anvilglade.Packet) bool {
	accepts := packet.Flags.Has(anvilglade.FlagACK) && !packet.Flags.Has(anvilglade.FlagRST)
	return accepts && r.state == stateHalfOpen && r.hostStart.Is(packet.Acknowledged-1)
}

// recordNumbers records the numbers of a packet of the host after the answer to the
// opening packet.
func (r *flowRecord) recordNumbers(packet *anvilglade.Packet) {
	if packet.Flags&(anvilglade.FlagRST|anvilglade.FlagSYN|anvilglade.FlagACK) != anvilglade.FlagACK {
		return
	}
	next := packet.Sequence + uint32(packet.DataLength)
	if packet.Flags.Has(anvilglade.FlagFIN) {
		next++
	}
	r.hostAcknowledged.Advance(packet.Acknowledged)
	r.hostNext.Advance(next)
}

// relate returns the relation of a caller's packet to the recorded flow. A packet of
// another flow with the same ends is one of an earlier flow that arrives late, or one of a
// later flow at another host.
func (r *flowRecord) relate(packet *anvilglade.Packet) agsequence.Relation {
	relation := r.hostAcknowledged.Relate(packet.Sequence)
	if packet.Flags.Has(anvilglade.FlagACK) {
		relation = agsequence.Combine(relation, r.hostNext.Relate(packet.Acknowledged))
	}
	return relation
}

// endsOtherFlow reports whether a packet of the caller ends another flow with the same
// ends, so that the host must not receive it.
func (r *flowRecord) endsOtherFlow(packet *anvilglade.Packet) bool {
	ends := packet.Flags&(anvilglade.FlagFIN|anvilglade.FlagRST) != 0 && packet.DataLength == 0
	return ends && r.relate(packet) == agsequence.RelationOther
}

// lostWith reports whether the host's return of a packet proves that the host has lost the
// recorded flow while the caller needs it. A caller that has closed the flow and waits for
// no answer may use its port for another flow, which a reset would reach.
func (r *flowRecord) lostWith(packet *anvilglade.Packet) bool {
	left := r.callerClosed && r.unansweredSince.IsZero()
	return r.state == stateOpen && !r.hostClosed && !left && r.relate(packet) <= agsequence.RelationSame
}

// find returns the state of a flow that a balancer searches for, as the record of a flow
// with its ends shows it. The host decides about a flow that has probably ended.
func (r *flowRecord) find(searched *agmessage.SearchedFlow) agmessage.FlowState {
	relation := agsequence.RelationUnknown
	if searched.Acknowledged != 0 {
		relation = r.hostNext.Relate(searched.Acknowledged)
	}
	accepted := searched.Acknowledged != 0 && r.hostStart.Is(searched.Acknowledged-1)
	switch {
	case relation == agsequence.RelationOther:
		// The host has the recorded flow or has had it since the searched one.
		return agmessage.FlowAbsent
	case r.state == stateOpen && relation != agsequence.RelationUndecided, r.state == stateHalfOpen && accepted:
		return agmessage.FlowHeld
	}
	return agmessage.FlowUnknown
}

// recordAcknowledged records the acknowledgement number of a packet of the caller, unless
// it is older than the recorded one: a packet that was queued at the agent is handled after
// later acknowledgements of its flow.
func (r *flowRecord) recordAcknowledged(packet *anvilglade.Packet) {
	if r.acknowledged == 0 || int32(packet.Acknowledged-r.acknowledged) > 0 {
		r.acknowledged = packet.Acknowledged
	}
}

func (h *Holder) lifetime(record *flowRecord) time.Duration {
	switch record.state {
	case stateUnconfirmed:
		return lookupTimeout
	case stateEnded:
		return endedRetention
	default:
		return h.options.IdleTimeout
	}
}

func (h *Holder) addRecord(flow anvilglade.Flow, now time.Time) *flowRecord {
	if len(h.flows) >= maxFlows {
		// Evict an arbitrary record. Its flow may be open, so the records are incomplete.
		for other, record := range h.flows {
			h.removeFlow(other, record, now)
			h.recordsSince, h.evicted = now, true
			break
		}
	}
	record := &flowRecord{flow: flow, lastUsed: now}
	h.flows[flow] = record
	return record
}

func (h *Holder) setOpen(record *flowRecord) {
	h.clearOpening(record)
	if record.state == stateUnconfirmed || record.state == stateHalfOpen {
		record.state = stateOpen
		h.count(record)
	}
}

// confirm records that the host has sent a packet of a flow other than the answer to the
// opening packet. Packets that the host had sent before it received a reset of the caller
// do not confirm the flow.
func (h *Holder) confirm(record *flowRecord, packet *anvilglade.Packet, now time.Time) {
	if record.state != stateReset {
		h.setOpen(record)
		return
	}
	if !packet.Flags.Has(anvilglade.FlagRST) && now.Sub(record.endedAt) > resetTime {
		record.state = stateOpen
		h.count(record)
	}
}

// count counts a flow as open, uncount stops counting it.
func (h *Holder) count(record *flowRecord) {
	if !record.counted {
		record.counted = true
		h.openFlows++
	}
}

func (h *Holder) uncount(record *flowRecord) {
	if record.counted {
		record.counted = false
		h.openFlows--
	}
}

func (h *Holder) removeFlow(flow anvilglade.Flow, record *flowRecord, now time.Time) {
	h.abandonRequest(record, now)
	h.clearOpening(record)
	h.uncount(record)
	delete(h.flows, flow)
}

func (h *Holder) recordCallerPacket(record *flowRecord, packet *anvilglade.Packet, now time.Time) {
	ends := packet.Flags.Has(anvilglade.FlagFIN) || packet.Flags.Has(anvilglade.FlagRST)
	if ends && !record.unansweredSince.IsZero() && now.Sub(record.unansweredSince) > answerTimeout {
		// The caller abandons a request that the host has not answered in time.
		h.outcomes.add(true, now)
	}
	if record.completesOpening(packet) {
		// The host does not answer this packet if it has no data.
		h.setOpen(record)
	}
	if record.startsRequest(packet) {
		h.clearFirstRequest(record)
		record.unansweredSince = now
		h.activeRequests++
		if h.Observer != nil {
			h.Observer.Arrive(record.flow, record.class, now)
		}
	}
	if packet.Flags.Has(anvilglade.FlagFIN) {
		record.callerClosed = true
		h.checkEnded(record, now)
	}
	if packet.Flags.Has(anvilglade.FlagRST) && (record.state == stateHalfOpen || record.state == stateOpen) {
		h.leave(record, stateReset, now)
	}
}

// leave changes the state of a flow to one in which it no longer counts as load.
func (h *Holder) leave(record *flowRecord, state flowState, now time.Time) {
	h.abandonRequest(record, now)
	h.clearOpening(record)
	h.uncount(record)
	record.state, record.endedAt = state, now
}

func (h *Holder) recordHostPacket(record *flowRecord, packet *anvilglade.Packet, now time.Time) {
	if packet.DataLength > 0 && !record.unansweredSince.IsZero() {
		answerTime := now.Sub(record.unansweredSince)
		if h.latency == 0 {
			h.latency = answerTime
		}
		h.latency += time.Duration(latencyWeight * float64(answerTime-h.latency))
		if h.OnAnswer != nil {
			h.OnAnswer(answerTime)
		}
		if h.Observer != nil {
			h.Observer.Answer(record.flow, now)
		}
		h.clearRequest(record)
		h.outcomes.add(false, now)
	}
	if packet.Flags.Has(anvilglade.FlagRST) && !record.unansweredSince.IsZero() {
		h.outcomes.add(true, now)
	}
	if packet.Flags.Has(anvilglade.FlagFIN) || packet.Flags.Has(anvilglade.FlagRST) {
		record.hostClosed = true
		record.callerClosed = record.callerClosed || packet.Flags.Has(anvilglade.FlagRST)
		h.checkEnded(record, now)
	}
}

// expectOpeningAnswer counts a new flow whose opening packet is delivered to the host.
func (h *Holder) expectOpeningAnswer(record *flowRecord) {
	if !record.openingPending {
		record.openingPending = true
		h.openingsPending++
	}
}

// clearOpening stops counting an opening packet that the host has answered or is no
// longer expected to answer.
func (h *Holder) clearOpening(record *flowRecord) {
	if record.openingPending {
		record.openingPending = false
		h.openingsPending--
	}
}

// expectFirstRequest counts the first request of a flow that the host has just
// accepted as load before it arrives.
func (h *Holder) expectFirstRequest(record *flowRecord) {
	record.firstRequestPending = true
	h.firstRequestPending++
}

// clearFirstRequest stops counting a first request that has arrived or is no
// longer expected.
func (h *Holder) clearFirstRequest(record *flowRecord) {
	if record.firstRequestPending {
		record.firstRequestPending = false
		h.firstRequestPending--
	}
}

func (h *Holder) clearRequest(record *flowRecord) {
	h.clearFirstRequest(record)
	if !record.unansweredSince.IsZero() {
		record.unansweredSince = time.Time{}
		h.activeRequests--
	}
}

// abandonRequest stops counting a request that the host has not answered.
func (h *Holder) abandonRequest(record *flowRecord, now time.Time) {
	if h.Observer != nil && !record.unansweredSince.IsZero() {
		h.Observer.Abandon(record.flow, now)
	}
	h.clearRequest(record)
}

func (h *Holder) checkEnded(record *flowRecord, now time.Time) {
	if !record.callerClosed || !record.hostClosed || record.state == stateEnded {
		return
	}
	h.leave(record, stateEnded, now)
}

func clamp(n int) uint16 {
	return uint16(min(max(n, 0), 1<<16-1))
}
