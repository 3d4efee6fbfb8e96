package agholder

// Opening packets. A caller may use a port again, so an opening packet for a flow with a
// record is either a copy of the packet that has opened this flow or opens another one. A
// copy goes to the host in any case: it answers again and changes nothing. A new flow is
// subject to the refusal of the host, whatever the record says.

import (
	"cmp"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agmessage"
	"github.com/anvilglade/anvilglade/internal/packet/agsequence"
)

// opening is the kind of an opening packet.
type opening uint8

const (
	// openingNew opens a flow that the host has not answered yet.
	openingNew opening = iota
	// openingCopy is a copy of the packet that has opened the recorded flow.
	openingCopy
	// openingLate is a copy of the packet that opened a flow which has ended.
	openingLate
)

// NeedsAdmission reports whether an opening packet is delivered as that of a new flow,
// unless the host refuses new flows.
func (h *Holder) NeedsAdmission(forward *agmessage.Forward, packet *anvilglade.Packet, now time.Time) bool {
	record := h.flows[packet.FromCaller()]
	return record.openingOf(packet, now) == openingNew && otherHostTakes(forward, record) == ""
}

// otherHostTakes returns the reason for which another host takes a new flow, empty if the
// host with the record of a former flow may take it.
func otherHostTakes(forward *agmessage.Forward, former *flowRecord) string {
	switch {
	case forward.ToHolder:
		// The balancer has this host as the holder of the former flow. It places the new one.
		return "opens another flow"
	case former.living() && len(forward.Candidates) > 0:
		// The caller has left the former flow without the host's knowledge. The host would
		// take the packet for one of that flow.
		return "holds another flow"
	}
	return ""
}

// openingOf returns the kind of an opening packet for a flow with the record r, nil if
// there is none.
func (r *flowRecord) openingOf(packet *anvilglade.Packet, now time.Time) opening {
	switch {
	case r == nil || r.state == stateUnconfirmed:
		return openingNew
	case r.formerStart.Is(packet.Sequence):
		return openingLate
	case !r.callerStart.Known() && !r.ended():
		// This agent has started after the flow was opened.
		if r.hostAcknowledged.Opened(packet.Sequence) {
			return openingCopy
		}
		return openingNew
	case !r.callerStart.Is(packet.Sequence):
		return openingNew
	case !r.ended():
		return openingCopy
	case now.Sub(r.endedAt) <= endedRetention:
		return openingLate
	}
	return openingNew
}

// ended reports whether the flow has ended or was reset by its caller.
func (r *flowRecord) ended() bool {
	return r.state == stateReset || r.state == stateEnded
}

// living reports whether the host probably holds the flow with the record r, nil if there is
// none, and nobody has closed it.
func (r *flowRecord) living() bool {
	return r != nil && (r.state == stateHalfOpen || r.state == stateOpen) && !r.callerClosed && !r.hostClosed
}

// open decides on an opening packet.
func (h *Holder) open(forward *agmessage.Forward, packet *anvilglade.Packet, refusal string, now time.Time, verdict *Verdict) {
	record := h.flows[verdict.Flow]
	kind := record.openingOf(packet, now)
	if kind == openingLate {
		verdict.Cause = "opens a flow that has ended"
		return
	}
	if kind == openingNew {
		if cause := cmp.Or(otherHostTakes(forward, record), refusal); cause != "" {
			h.refuse(forward, packet, cause, verdict)
			return
		}
	}
	if record == nil {
		record = h.addRecord(verdict.Flow, now)
	}
	record.lastUsed = now
	if record.origin != forward.Origin {
		record.origin, record.originNotified = forward.Origin, false
	}
	if kind == openingNew {
		record.class, record.lookupPending = forward.Class, false
		h.expectOpeningAnswer(record)
	}
	h.expectAnswer(now)
	h.deliver(forward, verdict)
}

// recordOffer records the host's answer to an opening packet and notifies the
// balancer of it.
func (h *Holder) recordOffer(record *flowRecord, packet *anvilglade.Packet, verdict *Verdict) {
	h.clearOpening(record)
	if !record.repeatsAnswer(packet) {
		h.startFlow(record, packet)
	}
	if record.origin == (anvilglade.IPv4{}) {
		return
	}
	verdict.OwnerTo = record.origin
	verdict.Owner = agmessage.Owner{Flow: record.flow, Sequence: packet.Sequence, Flows: clamp(h.openFlows), ActiveRequests: clamp(h.ExpectedRequests())}
}

// repeatsAnswer reports whether an answer to an opening packet repeats the one with which
// the host has accepted the recorded flow.
func (r *flowRecord) repeatsAnswer(packet *anvilglade.Packet) bool {
	if r.state == stateUnconfirmed {
		return false
	}
	if r.hostStart.Known() {
		return r.hostStart.Is(packet.Sequence)
	}
	// This agent has started after the host's first answer.
	return r.hostNext.Opened(packet.Sequence)
}

// startFlow makes the record that of a flow which the host has just accepted. The record
// may be that of an earlier flow with the same ends.
func (h *Holder) startFlow(record *flowRecord, packet *anvilglade.Packet) {
	h.abandonRequest(record, record.lastUsed)
	h.uncount(record)
	*record = flowRecord{
		flow: record.flow, class: record.class, lastUsed: record.lastUsed, origin: record.origin,
		state: stateHalfOpen, formerStart: record.callerStart, callerStart: agsequence.Of(packet.Acknowledged - 1),
		hostStart: agsequence.Of(packet.Sequence), hostNext: agsequence.Of(packet.Sequence + 1), hostAcknowledged: agsequence.Of(packet.Acknowledged),
	}
	h.count(record)
	h.expectFirstRequest(record)
}
