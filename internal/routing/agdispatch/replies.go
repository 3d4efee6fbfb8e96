package agdispatch

// Messages of agents on flows: which host holds a flow, and packets that no host accepted.

import (
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agmessage"
	"github.com/anvilglade/anvilglade/internal/packet/agsequence"
	"github.com/anvilglade/anvilglade/internal/state/agfleet"
)

// HandleHolder handles a message in which an agent reports that its host holds a
// flow or offers to take it. For the first offer it returns the time since the opening
// packet, otherwise 0.
func (d *Dispatcher) HandleHolder(agent anvilglade.IPv4, owner *agmessage.Owner, now time.Time) time.Duration {
	host, ok := d.fleet.Host(agent)
	if !ok {
		return 0
	}
	host.RecordAnswer()
	d.prober.Confirm(agent)
	flow := owner.Flow
	entry := d.flows[flow]
	if entry == nil {
		entry = d.addEntry(flow, host.Number, now)
	}
	entry.lastUsed = now
	if owner.Established {
		d.fleet.ConfirmRunning(agent)
		d.handleEstablished(flow, entry, host, owner)
		return 0
	}
	first := len(entry.offers) == 0 && len(entry.attempts) > 0
	entry.offer(agent, owner.Sequence)
	if d.searcher.Searching(flow) && entry.search.acknowledged.Is(owner.Sequence+1) {
		// The buffered packets accept this offer.
		entry.search.beside = false
		d.establish(flow, entry, host)
	}
	if !first {
		return 0
	}
	if len(entry.attempts) == 1 && entry.attempts[0] == agent {
		host.RecordOpening(now.Sub(entry.firstSeen), now)
	}
	return now.Sub(entry.firstSeen)
}

// handleEstablished handles the report that a host holds a flow. The report may concern
// another flow with the same ends than that of the entry: a former one, or one that is
// searched for beside it.
func (d *Dispatcher) handleEstablished(flow anvilglade.Flow, entry *flowEntry, host *agfleet.Host, owner *agmessage.Owner) {
	start, known := owner.CallerStart.Get()
	other := known && entry.callerStart.IsNot(start)
	switch {
	case !entry.searchesBeside() && other:
		// A late report on a former flow.
	case !entry.searchesBeside():
		d.establish(flow, entry, host)
		if known {
			entry.callerStart = owner.CallerStart
		}
	case other, (!known || !entry.callerStart.Known()) && host.Agent != entry.holder:
		d.replaceByFound(flow, entry, host, owner.CallerStart)
	case known && entry.callerStart.Is(start):
		entry.establish(host)
	}
}

// replaceByFound makes the entry that of the flow that was searched for beside it.
func (d *Dispatcher) replaceByFound(flow anvilglade.Flow, entry *flowEntry, host *agfleet.Host, callerStart agsequence.Number) {
	entry.forgetHolder()
	entry.callerStart, entry.ended, entry.search.beside = callerStart, 0, false
	d.establish(flow, entry, host)
}

// HandleReturned decides on a packet that an agent returned because its host does
// not hold the flow.
func (d *Dispatcher) HandleReturned(agent anvilglade.IPv4, packet *anvilglade.Packet, now time.Time, verdict *Verdict) {
	*verdict = Verdict{To: verdict.To[:0], Candidates: verdict.Candidates[:0], Acknowledged: packet.Acknowledged}
	flow := packet.FromCaller()
	entry := d.flows[flow]
	if packet.Opens() {
		d.openReturned(agent, flow, entry, packet, now, verdict)
		return
	}
	if entry != nil && entry.established && entry.belongs(packet) {
		if entry.holder != agent {
			// The flow has been found at another host meanwhile.
			host, _ := d.fleet.Host(entry.holder)
			d.forwardToHolder(flow, entry, entry.holder, host, verdict)
			return
		}
		d.removeEntry(flow, entry)
	}
	d.lookup(flow, packet, now, verdict)
}

// openReturned decides on an opening packet that an agent returned because it opens another
// flow than the one that the agent's host holds or has held.
func (d *Dispatcher) openReturned(agent anvilglade.IPv4, flow anvilglade.Flow, entry *flowEntry, packet *anvilglade.Packet, now time.Time, verdict *Verdict) {
	if entry != nil && entry.established && entry.holder == agent {
		if entry.callerStart.Is(packet.Sequence) && entry.ended == 0 {
			// A copy for a living flow whose agent has restarted.
			verdict.Reason = ReasonLateCopy
			return
		}
		entry = d.reopen(flow, entry, now)
	}
	d.open(flow, entry, packet, now, verdict)
}

// HandleAllRefused decides on a packet that every candidate refused. An opening
// packet is reset unless a host has offered to take its flow meanwhile, or another flow
// with the same ends has been opened.
func (d *Dispatcher) HandleAllRefused(packet *anvilglade.Packet, verdict *Verdict) {
	*verdict = Verdict{To: verdict.To[:0], Candidates: verdict.Candidates[:0], Reason: ReasonUnknownFlow}
	if !packet.Opens() {
		return
	}
	flow := packet.FromCaller()
	if entry := d.flows[flow]; entry != nil {
		if entry.established || len(entry.offers) > 0 || entry.callerStart.IsNot(packet.Sequence) {
			return
		}
		verdict.Service = entry.service
		d.removeEntry(flow, entry)
	}
	verdict.Action, verdict.Reason = ActionReset, ReasonAllRefused
}
