package agdispatch

// Packets of flows that are not cached. They are buffered while agsearch queries
// the agents for the holder, and the flow is reset if no host holds it.

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agmessage"
	"github.com/anvilglade/anvilglade/internal/packet/agsequence"
	"github.com/anvilglade/anvilglade/internal/routing/agsearch"
	"github.com/anvilglade/anvilglade/internal/state/agfleet"
)

// lookup starts or continues the search for the holder of a flow. The search also
// queries the agents of services that the route does not have, because it may have
// had them when the flow was opened. Without a desired state any flow may have a
// route, so every flow is searched for.
func (d *Dispatcher) lookup(flow anvilglade.Flow, packet *anvilglade.Packet, now time.Time, verdict *Verdict) {
	verdict.Reason = ReasonLookup
	route, ok := d.fleet.Route(flow.Service)
	if _, known := d.fleet.Desired(); known && !ok {
		verdict.Reason = ReasonNoRoute
		return
	}
	entry := d.flows[flow]
	if entry == nil {
		entry = d.addEntry(flow, 0, now)
	}
	if d.searcher.Searching(flow) && !d.joinSearch(flow, entry, packet) {
		return
	}
	if !d.searcher.Searching(flow) {
		d.beginSearch(flow, entry, route, packet, now)
	}
	verdict.Action = ActionBuffer
}

// beginSearch starts the search for the holder of a packet's flow.
func (d *Dispatcher) beginSearch(flow anvilglade.Flow, entry *flowEntry, route *anvilglade.PacketRoute, packet *anvilglade.Packet, now time.Time) {
	former := entry.search
	entry.search = &flowSearch{
		beside:       entry.established || entry.opening() && !entry.followsOpening(packet),
		acknowledged: acknowledgedBy(packet),
		reached:      agsequence.Of(packet.Sequence),
		content:      contentOf(packet),
		route:        route,
	}
	if former != nil {
		entry.search.denied, entry.search.deniedAt = former.denied, former.deniedAt
	}
	number, _ := entry.search.acknowledged.Get()
	d.searcher.Begin(flow, number, now)
}

// joinSearch adds a packet to the search that is in progress. It reports whether the packet
// is buffered. A packet of another flow with the same ends ends the search, because the
// caller uses its port for one flow at a time; a reset does not, because it may be late.
func (d *Dispatcher) joinSearch(flow anvilglade.Flow, entry *flowEntry, packet *anvilglade.Packet) bool {
	search := entry.search
	number := acknowledgedBy(packet)
	value, known := number.Get()
	content := contentOf(packet)
	switch {
	case known && search.acknowledged.Relate(value) == agsequence.RelationOther:
		if content == contentResets {
			return false
		}
		d.endSearch(flow, entry)
		return true
	case known:
		search.acknowledged = number
	}
	search.content = max(search.content, content)
	return true
}

// acknowledgedBy returns the acknowledgement number of a packet, if it has one.
func acknowledgedBy(packet *anvilglade.Packet) agsequence.Number {
	if !packet.Flags.Has(anvilglade.FlagACK) {
		return agsequence.Number{}
	}
	return agsequence.Of(packet.Acknowledged)
}

// BufferPacket stores a copy of a packet until the holder of its flow is found. It
// drops the packet if a limit of the buffer is reached.
func (d *Dispatcher) BufferPacket(flow anvilglade.Flow, packet []byte) {
	entry := d.flows[flow]
	if entry == nil || entry.search == nil || len(entry.search.packets) >= maxBufferedPerFlow || d.bufferedBytes+len(packet) > maxBufferedBytes {
		// The caller retransmits it.
		return
	}
	entry.search.packets = append(entry.search.packets, append([]byte(nil), packet...))
	d.bufferedBytes += len(packet)
}

// TakeBuffered returns and removes the buffered packets of a flow whose holder has
// been found, and fills in the verdict to forward them with. It returns nil while
// the search continues.
func (d *Dispatcher) TakeBuffered(flow anvilglade.Flow, verdict *Verdict) [][]byte {
	*verdict = Verdict{To: verdict.To[:0], Candidates: verdict.Candidates[:0]}
	entry := d.flows[flow]
	if entry == nil || !entry.established || entry.searchesBeside() {
		return nil
	}
	host, _ := d.fleet.Host(entry.holder)
	d.forwardToHolder(flow, entry, entry.holder, host, verdict)
	return d.takePackets(entry)
}

// DueQueries returns the queries to send to agents now.
func (d *Dispatcher) DueQueries(now time.Time) []agsearch.Query {
	if d.searcher.Idle() {
		return nil
	}
	return d.searcher.DueQueries(d.possibleHolders(now), now)
}

// HandleFlowReply handles an agent's reply to a query. It returns the flows that the
// agent's host holds, and those that the agent has no information on. For the
// latter the host has to be probed with a packet, see ProbePacket. The reply also
// proves that the path to the agent works.
func (d *Dispatcher) HandleFlowReply(agent anvilglade.IPv4, number uint32, states []agmessage.FlowState, now time.Time) []agsearch.Finding {
	host, known := d.fleet.Host(agent)
	if !known {
		return nil
	}
	d.prober.Confirm(agent)
	findings := d.searcher.HandleReply(agent, number, states, now)
	for _, finding := range findings {
		if entry := d.flows[finding.Flow]; entry != nil && finding.State == agmessage.FlowHeld {
			d.establishFound(finding.Flow, entry, host)
		}
	}
	return findings
}

// establishFound records the holder of a flow that a search has found.
func (d *Dispatcher) establishFound(flow anvilglade.Flow, entry *flowEntry, host *agfleet.Host) {
	if entry.searchesBeside() {
		d.replaceByFound(flow, entry, host, agsequence.Number{})
		return
	}
	d.establish(flow, entry, host)
}

// ProbePacket returns a buffered packet of a flow and fills in the verdict to
// forward it with. The agent's host accepts the packet if it holds the flow and
// returns it otherwise. It is the longest one, because a host does not answer a packet
// without data. A search for packets that only end a flow has no probes, because the host
// may hold another flow with the same ends and take them for its end. ProbePacket returns nil if no packet is buffered or the
// flow is not searched for.
func (d *Dispatcher) ProbePacket(agent anvilglade.IPv4, flow anvilglade.Flow, verdict *Verdict) []byte {
	*verdict = Verdict{To: verdict.To[:0], Candidates: verdict.Candidates[:0]}
	entry := d.flows[flow]
	host, known := d.fleet.Host(agent)
	if entry == nil || !known || !d.searcher.Searching(flow) || len(entry.search.packets) == 0 || entry.search.content != contentOther {
		return nil
	}
	verdict.Action, verdict.Reason = ActionForward, ReasonLookup
	verdict.Service, verdict.OutsideRoute = host.Number, entry.search.route != nil && !routeHasService(entry.search.route, host.Service)
	verdict.To = append(verdict.To, agent)
	d.setClass(flow, verdict)
	return slices.MaxFunc(entry.search.packets, func(a, b []byte) int { return cmp.Compare(len(a), len(b)) })
}

// HandleFlowAbsent handles an agent's message that its host has returned a probe
// packet, so it does not hold the flow.
func (d *Dispatcher) HandleFlowAbsent(agent anvilglade.IPv4, flow anvilglade.Flow) {
	d.searcher.HandleFlowAbsent(agent, flow)
}

// RemoveUnheld removes the flows that no host holds and returns them to be reset.
// It returns none while the balancer's list of hosts may be incomplete, and only those of
// which resetsUnheld is true.
func (d *Dispatcher) RemoveUnheld(now time.Time) []LostFlow {
	if d.searcher.Idle() || !d.fleet.DiscoveryComplete(d.started, now) || d.fleet.Isolated(now) {
		return nil
	}
	var lost []LostFlow
	for _, flow := range d.searcher.RemoveUnheld(d.possibleHolders(now)) {
		entry := d.flows[flow]
		if entry.resetsUnheld() {
			lost = append(lost, lostFlow(flow, entry.search.acknowledged))
		}
		d.concludeSearch(flow, entry)
	}
	return lost
}

// resetsUnheld reports whether to reset the flow of the packets for which a search has found
// no holder. A reset of the caller needs none. While the caller opens another flow with the
// same ends, a reset would reach that one. Beside an established flow the packets may be late
// ones of a former flow, so only a flow that sends again is reset.
func (e *flowEntry) resetsUnheld() bool {
	search := e.search
	switch {
	case search.content == contentResets:
		return false
	case !search.beside:
		return true
	case e.opening():
		return false
	}
	number, known := search.acknowledged.Get()
	again := known && search.denied.Relate(number) == agsequence.RelationSame && search.deniedAt == e.acknowledged
	search.denied, search.deniedAt = search.acknowledged, e.acknowledged
	return again
}

// concludeSearch ends a search without a result. The entry stays if the search was for
// packets of another flow.
func (d *Dispatcher) concludeSearch(flow anvilglade.Flow, entry *flowEntry) {
	if entry.search.beside {
		d.endSearch(flow, entry)
		return
	}
	d.removeEntry(flow, entry)
}

// ExpireSearches expires unanswered queries, and removes flows whose search has
// timed out. The next packet of such a flow starts another search.
func (d *Dispatcher) ExpireSearches(now time.Time) {
	for _, flow := range d.searcher.Expire(now) {
		d.concludeSearch(flow, d.flows[flow])
	}
}

// possibleHolders returns the agents whose hosts may hold flows. The slice is
// valid until the next call.
func (d *Dispatcher) possibleHolders(now time.Time) []anvilglade.IPv4 {
	d.holders = d.holders[:0]
	for _, host := range d.fleet.AllHosts() {
		if host.MayHoldFlows(now) {
			d.holders = append(d.holders, host.Agent)
		}
	}
	return d.holders
}

func (d *Dispatcher) takePackets(entry *flowEntry) [][]byte {
	if entry.search == nil {
		return nil
	}
	packets := entry.search.packets
	for _, packet := range packets {
		d.bufferedBytes -= len(packet)
	}
	entry.search.packets = nil
	return packets
}

// establish records the holder of a flow and ends the search for it.
func (d *Dispatcher) establish(flow anvilglade.Flow, entry *flowEntry, host *agfleet.Host) {
	if d.searcher.Searching(flow) {
		entry.acknowledged = entry.search.acknowledged
	}
	entry.establish(host)
	d.searcher.End(flow)
}

// endSearch ends a search and drops its packets.
func (d *Dispatcher) endSearch(flow anvilglade.Flow, entry *flowEntry) {
	d.takePackets(entry)
	if entry.search != nil {
		entry.search.beside = false
	}
	d.searcher.End(flow)
}

// removeEntry removes a flow with its buffered packets and its search.
func (d *Dispatcher) removeEntry(flow anvilglade.Flow, entry *flowEntry) {
	d.takePackets(entry)
	d.searcher.End(flow)
	delete(d.flows, flow)
}

func routeHasService(route *anvilglade.PacketRoute, service anvilglade.ServiceID) bool {
	for _, backend := range route.Backends {
		if backend.Service == service {
			return true
		}
	}
	return false
}
