package agdispatch

// Packets of flows that the balancer does not remember: they are kept while
// agsearch asks the agents for the holder, and the flow is reset if no host
// holds it.

import (
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agmessage"
	"github.com/anvilglade/anvilglade/internal/routing/agsearch"
	"github.com/anvilglade/anvilglade/internal/state/agfleet"
)

// lookup begins the search for the holder of a flow, or goes on with it. Hosts
// of services that the route does not name are asked too: the route may have
// named them when the flow was opened. Without a desired state every flow may
// have a route.
func (d *Dispatcher) lookup(flow anvilglade.Flow, packet *anvilglade.Packet, now time.Time, verdict *Verdict) {
	verdict.Reason = ReasonLookup
	route, ok := d.fleet.Route(flow.Service)
	if _, known := d.fleet.Desired(); known && !ok {
		verdict.Reason = ReasonNoRoute
		return
	}
	entry := d.flows[flow]
	if entry == nil {
		entry = d.remember(flow, 0, now)
	}
	entry.startSearch(route, packet.Acknowledged)
	d.searcher.Begin(flow, now)
	verdict.Action = ActionHold
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

// Questions returns what to ask agents now.
func (d *Dispatcher) Questions(now time.Time) []agsearch.Question {
	if d.searcher.Idle() {
		return nil
	}
	return d.searcher.Questions(d.mayHoldFlows(now), now)
}

// Found takes an agent's answer to a question. It returns the flows that its
// host holds, and those for which the host itself has to be asked with a packet;
// see Unsure.
func (d *Dispatcher) Found(agent anvilglade.IPv4, number uint32, states []agmessage.FlowState, now time.Time) []agsearch.Finding {
	host, known := d.fleet.Host(agent)
	if !known {
		return nil
	}
	findings := d.searcher.Answer(agent, number, states, now)
	for _, finding := range findings {
		if entry := d.flows[finding.Flow]; entry != nil && finding.State == agmessage.FlowHeld {
			d.establish(finding.Flow, entry, host)
		}
	}
	return findings
}

// Unsure returns the packet by which to ask the host of an agent whether it
// holds a flow, and the verdict to send that; nil if there is none.
func (d *Dispatcher) Unsure(agent anvilglade.IPv4, flow anvilglade.Flow, verdict *Verdict) []byte {
	*verdict = Verdict{To: verdict.To[:0], Candidates: verdict.Candidates[:0]}
	entry := d.flows[flow]
	host, known := d.fleet.Host(agent)
	if entry == nil || !known || !d.searcher.Searching(flow) || len(entry.packets) == 0 {
		return nil
	}
	verdict.Action, verdict.Reason = ActionForward, ReasonLookup
	verdict.Service, verdict.Foreign = host.Number, entry.route != nil && !routeNames(entry.route, host.Service)
	verdict.To = append(verdict.To, agent)
	return entry.packets[0]
}

// Absent takes the news that the host of an agent has returned the packet by
// which it was asked.
func (d *Dispatcher) Absent(agent anvilglade.IPv4, flow anvilglade.Flow) {
	d.searcher.Absent(agent, flow)
}

// Conclude returns the flows that no host holds, for their resets, and forgets
// them. It returns none while this balancer may not know all hosts.
func (d *Dispatcher) Conclude(now time.Time) []LostFlow {
	if d.searcher.Idle() || !d.fleet.DiscoveryComplete(d.started, now) || d.fleet.Isolated(now) {
		return nil
	}
	var lost []LostFlow
	for _, flow := range d.searcher.Conclude(d.mayHoldFlows(now)) {
		entry := d.flows[flow]
		lost = append(lost, LostFlow{Flow: flow, Acknowledged: entry.acknowledged})
		d.forget(flow, entry)
	}
	return lost
}

// TickSearches gives up questions without an answer, and searches that have
// lasted for too long: the next packet of their callers begins others.
func (d *Dispatcher) TickSearches(now time.Time) {
	for _, flow := range d.searcher.Tick(now) {
		d.forget(flow, d.flows[flow])
	}
}

// mayHoldFlows returns the agents whose hosts may hold flows. The slice is valid
// until the next call.
func (d *Dispatcher) mayHoldFlows(now time.Time) []anvilglade.IPv4 {
	d.holders = d.holders[:0]
	for _, host := range d.fleet.AllHosts() {
		if host.MayHoldFlows(now) {
			d.holders = append(d.holders, host.Agent)
		}
	}
	return d.holders
}

func (d *Dispatcher) release(entry *flowEntry) [][]byte {
	packets := entry.packets
	for _, packet := range packets {
		d.heldBytes -= len(packet)
	}
	entry.packets = nil
	return packets
}

// establish notes the holder of a flow, which ends the search for it.
func (d *Dispatcher) establish(flow anvilglade.Flow, entry *flowEntry, host *agfleet.Host) {
	entry.establish(host)
	d.searcher.End(flow)
}

// forget drops a flow with the packets that are kept for it.
func (d *Dispatcher) forget(flow anvilglade.Flow, entry *flowEntry) {
	d.release(entry)
	d.searcher.End(flow)
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
