package agholder

// What is remembered of each flow, and the load that is counted from it.

import (
	"time"

	"github.com/anvilglade/anvilglade"
)

type flowRecord struct {
	state flowState
	used  time.Time
	// origin is the balancer that asked for the flow last.
	origin anvilglade.IPv4
	// searched is set while origin searches for the holder of the flow.
	searched bool
	// informed is set once origin knows that the flow is held here.
	informed bool
	// awaited is set while the first request of a new flow is on its way.
	awaited bool
	// waitingSince is the time of the caller's data that the host has not
	// answered; zero if none waits.
	waitingSince         time.Time
	callerDone, hostDone bool
	// acknowledged is the newest acknowledgement of the caller, by which it
	// recognises a reset.
	acknowledged uint32
}

func (h *Holder) lifetime(record *flowRecord) time.Duration {
	switch record.state {
	case stateAsked:
		return lookupFor
	case stateHalfOpen:
		return halfOpenFor
	case stateEnded:
		return endedFor
	default:
		return h.options.IdleTimeout
	}
}

func (h *Holder) remember(flow anvilglade.Flow, now time.Time) *flowRecord {
	if len(h.flows) >= maxFlows {
		for other, record := range h.flows {
			h.drop(other, record)
			break
		}
	}
	record := &flowRecord{used: now}
	h.flows[flow] = record
	return record
}

func (h *Holder) setOpen(record *flowRecord) {
	switch record.state {
	case stateAsked:
		h.open++
		record.state = stateOpen
	case stateHalfOpen:
		record.state = stateOpen
	}
}

func (h *Holder) drop(flow anvilglade.Flow, record *flowRecord) {
	h.setIdle(record)
	if record.state == stateHalfOpen || record.state == stateOpen {
		h.open--
	}
	delete(h.flows, flow)
}

func (h *Holder) countCaller(record *flowRecord, packet *anvilglade.Packet, now time.Time) {
	ends := packet.Flags.Has(anvilglade.FlagFIN) || packet.Flags.Has(anvilglade.FlagRST)
	if ends && !record.waitingSince.IsZero() && now.Sub(record.waitingSince) > patience {
		// The caller gives up a request.
		h.outcomes.note(true, now)
	}
	if packet.DataLength > 0 && record.waitingSince.IsZero() {
		h.arrived(record)
		record.waitingSince = now
		h.working++
	}
	if packet.Flags.Has(anvilglade.FlagFIN) {
		record.callerDone = true
		h.checkEnded(record)
	}
}

func (h *Holder) countHost(record *flowRecord, packet *anvilglade.Packet, now time.Time) {
	if packet.DataLength > 0 && !record.waitingSince.IsZero() {
		took := now.Sub(record.waitingSince)
		if h.latency == 0 {
			h.latency = took
		}
		h.latency += time.Duration(latencyWeight * float64(took-h.latency))
		if h.OnAnswer != nil {
			h.OnAnswer(took)
		}
		h.setIdle(record)
		h.outcomes.note(false, now)
	}
	if packet.Flags.Has(anvilglade.FlagRST) && !record.waitingSince.IsZero() {
		h.outcomes.note(true, now)
	}
	if packet.Flags.Has(anvilglade.FlagFIN) || packet.Flags.Has(anvilglade.FlagRST) {
		record.hostDone = true
		record.callerDone = record.callerDone || packet.Flags.Has(anvilglade.FlagRST)
		h.checkEnded(record)
	}
}

// await counts the first request of a flow that the host has just accepted.
func (h *Holder) await(record *flowRecord) {
	record.awaited = true
	h.awaited++
}

// arrived ends the wait for the first request.
func (h *Holder) arrived(record *flowRecord) {
	if record.awaited {
		record.awaited = false
		h.awaited--
	}
}

func (h *Holder) setIdle(record *flowRecord) {
	h.arrived(record)
	if !record.waitingSince.IsZero() {
		record.waitingSince = time.Time{}
		h.working--
	}
}

func (h *Holder) checkEnded(record *flowRecord) {
	if !record.callerDone || !record.hostDone || record.state == stateEnded {
		return
	}
	h.setIdle(record)
	if record.state == stateHalfOpen || record.state == stateOpen {
		h.open--
	}
	record.state = stateEnded
}

func clamp(n int) uint16 {
	return uint16(min(max(n, 0), 1<<16-1))
}
