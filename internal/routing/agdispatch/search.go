package agdispatch

// The search for the holder of a flow that the balancer does not remember, and
// its end: the holder answers, or every agent says that its host does not hold
// the flow.

import (
	"time"

	"github.com/anvilglade/anvilglade"
)

// lookup sends a packet of a flow whose holder is not known to every agent that
// may hold it but the one given, which has said that it does not. Hosts of
// services that the route does not name are asked too: the route may have named
// them when the flow was opened.
func (d *Dispatcher) lookup(flow anvilglade.Flow, packet *anvilglade.Packet, except anvilglade.IPv4, now time.Time, verdict *Verdict) {
	verdict.Reason = ReasonLookup
	route, ok := d.fleet.Route(flow.Service)
	if !ok {
		verdict.Reason = ReasonNoRoute
		return
	}
	entry := d.flows[flow]
	if entry == nil {
		entry = d.remember(flow, 0, now)
	}
	entry.acknowledged = packet.Acknowledged
	entry.route = route
	if again := entry.startSearch(except, now); !again {
		verdict.Action = ActionHold
		return
	}
	for _, host := range d.fleet.AllHosts() {
		if host.MayHold(now) && host.Agent != except {
			verdict.To = append(verdict.To, host.Agent)
		}
	}
	if len(verdict.To) > 0 {
		verdict.Action = ActionFind
		return
	}
	d.concludeSearch(flow, entry, now, verdict)
}

// Hold keeps a packet of a flow whose holder is searched for. The packet is
// copied.
func (d *Dispatcher) Hold(flow anvilglade.Flow, packet []byte) {
	entry := d.flows[flow]
	if entry == nil || len(entry.packets) >= maxHeld || d.heldBytes+len(packet) > maxHeldBytes {
		// Its caller sends it again.
		return
	}
	entry.packets = append(entry.packets, append([]byte(nil), packet...))
	d.heldBytes += len(packet)
}

// TakeHeld returns the packets that were kept for a flow whose holder has been
// found, and the verdict to send them with; none while the search goes on.
func (d *Dispatcher) TakeHeld(flow anvilglade.Flow, verdict *Verdict) [][]byte {
	*verdict = Verdict{To: verdict.To[:0], Candidates: verdict.Candidates[:0]}
	entry := d.flows[flow]
	if entry == nil || !entry.established {
		return nil
	}
	d.toHolder(entry, entry.holder, verdict)
	return d.release(entry)
}

// Unsure takes the news that only the host of an agent can say whether it holds
// a flow. It returns the packet to ask it with, and the verdict to send that.
func (d *Dispatcher) Unsure(agent anvilglade.IPv4, flow anvilglade.Flow, verdict *Verdict) []byte {
	*verdict = Verdict{To: verdict.To[:0], Candidates: verdict.Candidates[:0]}
	entry := d.flows[flow]
	host, known := d.fleet.Host(agent)
	if entry == nil || !known || !entry.searching() || len(entry.packets) == 0 {
		return nil
	}
	verdict.Action, verdict.Reason = ActionForward, ReasonLookup
	verdict.Service, verdict.Foreign = host.Number, !routeNames(entry.route, host.Service)
	verdict.To = append(verdict.To, agent)
	return entry.packets[0]
}

func (d *Dispatcher) release(entry *flowEntry) [][]byte {
	packets := entry.packets
	for _, packet := range packets {
		d.heldBytes -= len(packet)
	}
	entry.packets = nil
	return packets
}

// forget drops a flow with the packets that are kept for it.
func (d *Dispatcher) forget(flow anvilglade.Flow, entry *flowEntry) {
	d.release(entry)
	delete(d.flows, flow)
}

func routeNames(route *anvilglade.PacketRoute, service anvilglade.ServiceID) bool {
	for _, backend := range route.Backends {
		if backend.Service == service {
			return true
		}
	}
	return false
}

// Absent takes the news that an agent's host does not hold a flow. Once no host
// is left that may hold it, the flow is reset to its caller.
func (d *Dispatcher) Absent(agent anvilglade.IPv4, flow anvilglade.Flow, now time.Time, verdict *Verdict) {
	*verdict = Verdict{To: verdict.To[:0], Candidates: verdict.Candidates[:0], Reason: ReasonUnknownFlow}
	entry := d.flows[flow]
	if entry == nil || !entry.searching() {
		return
	}
	entry.absentAt(agent)
	d.concludeSearch(flow, entry, now, verdict)
}

// concludeSearch resets a flow if no host is left that may hold it.
func (d *Dispatcher) concludeSearch(flow anvilglade.Flow, entry *flowEntry, now time.Time, verdict *Verdict) {
	if !d.fleet.Complete(d.started, now) || d.fleet.CutOff(now) || len(entry.missing(d.mayHoldFlows(now))) > 0 {
		return
	}
	verdict.Action, verdict.Reason, verdict.Acknowledged = ActionReset, ReasonNowhere, entry.acknowledged
	d.forget(flow, entry)
}

// mayHoldFlows returns the agents whose hosts may hold flows. The slice is valid
// until the next call.
func (d *Dispatcher) mayHoldFlows(now time.Time) []anvilglade.IPv4 {
	d.holders = d.holders[:0]
	for _, host := range d.fleet.AllHosts() {
		if host.MayHold(now) {
			d.holders = append(d.holders, host.Agent)
		}
	}
	return d.holders
}

// Search is a flow whose holder is still searched for.
type Search struct {
	Flow anvilglade.Flow
	// Missing are the agents that have not answered; if there are none, no host
	// holds the flow, and Acknowledged is for its reset.
	Missing      []anvilglade.IPv4
	Acknowledged uint32
}

// Searches returns the searches that have lasted for a while: an answer may have
// been lost, or an agent that did not answer may have gone since. Flows without
// a holder are forgotten.
func (d *Dispatcher) Searches(now time.Time) []Search {
	if d.fleet.CutOff(now) || !d.fleet.Complete(d.started, now) {
		return nil
	}
	holders := d.mayHoldFlows(now)
	var searches []Search
	for flow, entry := range d.flows {
		waited := now.Sub(entry.asked)
		if !entry.searching() || waited < askInterval || waited > searchTime {
			continue
		}
		search := Search{Flow: flow, Missing: entry.missing(holders), Acknowledged: entry.acknowledged}
		if len(search.Missing) == 0 {
			d.forget(flow, entry)
		}
		searches = append(searches, search)
	}
	return searches
}
