// Package agdispatch decides at a balancer where each packet of a caller goes.
//
// The balancer remembers the holder of each flow that it has seen, but never
// has to: for a packet of an unknown flow it asks every agent, keeps the packet
// meanwhile and sends it to the one that holds the flow. An agent that has not
// seen all flows of its host is sent the packet itself, and the host returns it
// if it does not hold the flow. An opening packet goes to the
// host that package agplace ranks first, with the next ones as candidates that
// agents pass it on to. A copy of it, which callers send when no answer has
// come, goes to a host that has not been tried.
//
// A Dispatcher takes the time as a parameter, has no sockets and is not safe
// for concurrent use.
//
// # Usage
//
//	dispatcher := agdispatch.NewDispatcher(fleet, random)
//	dispatcher.FromCaller(&packet, now, &verdict)
//	switch verdict.Action {
//	case agdispatch.ActionForward:
//		// send to each of verdict.To
//	case agdispatch.ActionReset:
//		// reset the flow to its caller
//	}
package agdispatch

import (
	"math/rand/v2"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/routing/agplace"
	"github.com/anvilglade/anvilglade/internal/state/agfleet"
)

// Action is what to do with a packet.
type Action uint8

// Actions of a verdict.
const (
	ActionDrop Action = iota
	ActionForward
	ActionReset
	// ActionFind asks the agents To for the holder of the flow and keeps the
	// packet until it is found.
	ActionFind
	// ActionHold keeps the packet, as a search for the holder goes on.
	ActionHold
)

// Reason says why a packet was dropped, reset or sent where it was. Its string
// is the name of the counter and stands in the log.
type Reason string

// Reasons of a verdict.
const (
	ReasonHeld        Reason = "Held"
	ReasonPlaced      Reason = "Placed"
	ReasonLookup      Reason = "Lookup"
	ReasonNoRoute     Reason = "NoRoute"
	ReasonNoHost      Reason = "NoHost"
	ReasonNoState     Reason = "NoDesiredState"
	ReasonAllRefused  Reason = "AllRefused"
	ReasonUnknownFlow Reason = "UnknownFlow"
	ReasonLostHost    Reason = "HostLost"
	ReasonNowhere     Reason = "HeldNowhere"
)

const (
	// alternatives is the number of hosts that an opening packet may be passed
	// on to.
	alternatives = 4
	// settleTime is the time after the start in which a balancer may not have
	// heard of every host yet; it refuses no flow for lack of hosts before.
	settleTime = 2 * time.Second
	// maxFlows bounds the memory for flows, about 100 bytes each.
	maxFlows = 400_000
	// maxHeld bounds the packets that are kept for a flow, maxHeldBytes those
	// for all flows together.
	maxHeld      = 4
	maxHeldBytes = 4 << 20
	// idleMargin is kept beyond the idle timeout of the desired state.
	idleMargin = 5 * time.Second
	// defaultIdle stands in until a desired state names an idle timeout.
	defaultIdle = 60 * time.Second
)

// Verdict is the decision on one packet.
type Verdict struct {
	Action  Action
	Reason  Reason
	Service anvilglade.ServiceNumber
	// Held is set if the only entry of To is known to hold the flow.
	Held bool
	// To are the agents that get the packet.
	To []anvilglade.IPv4
	// Foreign is set if the route does not name the service of To any more.
	Foreign bool
	// Acknowledged is the caller's newest acknowledgement, for a reset.
	Acknowledged uint32
	// Candidates are the agents that an opening packet may be passed on to.
	Candidates []anvilglade.IPv4
}

// Dispatcher keeps the flows of one balancer.
type Dispatcher struct {
	fleet   *agfleet.Fleet
	random  *rand.Rand
	started time.Time
	flows   map[anvilglade.Flow]*flowEntry
	options []agplace.Option
	ranked  []anvilglade.IPv4
	// holders is reused by mayHoldFlows.
	holders []anvilglade.IPv4
	// heldBytes is the size of all packets that are kept.
	heldBytes int
}

// NewDispatcher returns a Dispatcher that reads the fleet.
func NewDispatcher(fleet *agfleet.Fleet, random *rand.Rand, now time.Time) *Dispatcher {
	return &Dispatcher{fleet: fleet, random: random, started: now, flows: make(map[anvilglade.Flow]*flowEntry)}
}

// Flows returns the number of flows that are remembered.
func (d *Dispatcher) Flows() int {
	return len(d.flows)
}

// FromCaller decides on a packet of a caller.
func (d *Dispatcher) FromCaller(packet *anvilglade.Packet, now time.Time, verdict *Verdict) {
	*verdict = Verdict{To: verdict.To[:0], Candidates: verdict.Candidates[:0], Acknowledged: packet.Acknowledged}
	flow := packet.FromCaller()
	entry := d.flows[flow]
	if entry != nil {
		entry.used = now
		entry.acknowledged = packet.Acknowledged
	}
	if packet.Opens() {
		d.open(flow, entry, now, verdict)
		return
	}
	if entry != nil {
		if holder, ok := entry.holderOf(packet); ok && d.mayHold(entry, holder, flow, now, verdict) {
			d.toHolder(entry, holder, verdict)
			return
		}
		if verdict.Action == ActionReset {
			return
		}
	}
	d.lookup(flow, packet, anvilglade.IPv4{}, now, verdict)
}

// mayHold reports whether the host that held a flow may still run. A host that
// has been silent for too long is lost with its machine, and the caller is told
// with a reset.
func (d *Dispatcher) mayHold(entry *flowEntry, holder anvilglade.IPv4, flow anvilglade.Flow, now time.Time, verdict *Verdict) bool {
	host, known := d.fleet.Host(holder)
	if !known || host.Lost(now) {
		if d.fleet.CutOff(now) {
			// Another balancer may reach the host.
			return true
		}
		verdict.Action, verdict.Reason = ActionReset, ReasonLostHost
		d.forget(flow, entry)
		return false
	}
	return host.MayHold(now) && (entry.born == 0 || entry.born == host.Born)
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

// LostFlow is a flow whose host has ended.
type LostFlow struct {
	Flow         anvilglade.Flow
	Acknowledged uint32
}

// Sweep forgets the flows whose host has ended or is lost and returns them, so
// that their callers are told before they send the next request.
func (d *Dispatcher) Sweep(now time.Time) []LostFlow {
	if d.fleet.CutOff(now) {
		return nil
	}
	gone := make(map[anvilglade.IPv4]bool)
	for _, host := range d.fleet.AllHosts() {
		if !host.MayHold(now) {
			gone[host.Agent] = true
		}
	}
	if len(gone) == 0 {
		return nil
	}
	var lost []LostFlow
	for flow, entry := range d.flows {
		if entry.established && gone[entry.holder] {
			lost = append(lost, LostFlow{Flow: flow, Acknowledged: entry.acknowledged})
			d.forget(flow, entry)
		}
	}
	return lost
}

func (d *Dispatcher) toHolder(entry *flowEntry, holder anvilglade.IPv4, verdict *Verdict) {
	verdict.Action, verdict.Reason, verdict.Held = ActionForward, ReasonHeld, true
	verdict.Service = entry.service
	verdict.To = append(verdict.To, holder)
}

// open places a new flow or sends a copy of its opening packet on.
func (d *Dispatcher) open(flow anvilglade.Flow, entry *flowEntry, now time.Time, verdict *Verdict) {
	if entry != nil && entry.established {
		if d.mayHold(entry, entry.holder, flow, now, verdict) {
			d.toHolder(entry, entry.holder, verdict)
		}
		return
	}
	if _, known := d.fleet.Desired(); !known {
		verdict.Reason = ReasonNoState
		return
	}
	route, ok := d.fleet.Route(flow.Service)
	if !ok {
		verdict.Action, verdict.Reason = ActionReset, ReasonNoRoute
		return
	}
	service := serviceOf(route, flow)
	if entry == nil || entry.service != service.Number() {
		entry = d.remember(flow, service.Number(), now)
	}
	if len(entry.offers) > 0 {
		// The answer of the host that offered has been lost.
		d.toOffering(entry, verdict)
		return
	}
	d.rank(route, service, entry, now)
	if len(d.ranked) == 0 {
		d.noHost(now, verdict)
		return
	}
	verdict.Action, verdict.Reason, verdict.Service = ActionForward, ReasonPlaced, service.Number()
	verdict.To = append(verdict.To, d.ranked[0])
	verdict.Candidates = append(verdict.Candidates, d.ranked[1:min(len(d.ranked), 1+alternatives)]...)
	entry.tried(d.ranked[0])
	if host, ok := d.fleet.Host(d.ranked[0]); ok {
		host.Placed++
	}
}

func (d *Dispatcher) toOffering(entry *flowEntry, verdict *Verdict) {
	verdict.Action, verdict.Reason, verdict.Service = ActionForward, ReasonPlaced, entry.service
	verdict.To = append(verdict.To, entry.offers[0].agent)
}

// noHost refuses a flow that no host can take, unless hosts may still be heard
// of for the first time: the copy of the opening packet then finds them.
func (d *Dispatcher) noHost(now time.Time, verdict *Verdict) {
	verdict.Reason = ReasonNoHost
	if now.Sub(d.started) > settleTime {
		verdict.Action = ActionReset
	}
}

// rank fills d.ranked with the agents that may take a new flow, those that
// have been tried for it last.
func (d *Dispatcher) rank(route *anvilglade.PacketRoute, service anvilglade.ServiceID, entry *flowEntry, now time.Time) {
	d.options = d.options[:0]
	tried := 0
	for _, host := range d.fleet.Hosts(service) {
		if !d.usable(host, route, now) {
			continue
		}
		if entry.wasTried(host.Agent) {
			tried++
			continue
		}
		d.options = append(d.options, agplace.Option{
			Agent:   host.Agent,
			Slots:   host.Slots,
			Flows:   host.Flows + host.Placed,
			Working: host.Working,
			Latency: host.Latency,
			Local:   d.fleet.Local(host.DataCentre),
			Cold:    host.Cold,
			Order:   d.random.Uint64(),
		})
	}
	d.ranked = agplace.Rank(d.ranked[:0], d.options)
	if len(d.ranked) == 0 && tried > 0 {
		entry.forgetTried()
		d.rank(route, service, entry, now)
	}
}

func (d *Dispatcher) usable(host *agfleet.Host, route *anvilglade.PacketRoute, now time.Time) bool {
	if !host.Accepts || now.Sub(host.Heard) > agfleet.SilentAfter {
		return false
	}
	return !d.fleet.Evacuations().Has(host.DataCentre) && d.fleet.SameRegion(host.DataCentre, route.Regions)
}

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

// forget drops a flow with the packets that are kept for it.
func (d *Dispatcher) forget(flow anvilglade.Flow, entry *flowEntry) {
	d.release(entry)
	delete(d.flows, flow)
}

func (d *Dispatcher) release(entry *flowEntry) [][]byte {
	packets := entry.packets
	for _, packet := range packets {
		d.heldBytes -= len(packet)
	}
	entry.packets = nil
	return packets
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

// Owner takes the news that an agent's host holds a flow or offers to.
func (d *Dispatcher) Owner(agent anvilglade.IPv4, flow anvilglade.Flow, established bool, sequence uint32, now time.Time) {
	host, ok := d.fleet.Host(agent)
	if !ok {
		return
	}
	entry := d.flows[flow]
	if entry == nil {
		entry = d.remember(flow, host.Number, now)
	}
	entry.used = now
	if established {
		d.fleet.HearFlow(agent)
		entry.establish(host)
		return
	}
	entry.offer(agent, sequence)
}

// Returned decides on a packet that came back from the agent that was believed
// to hold its flow.
func (d *Dispatcher) Returned(agent anvilglade.IPv4, packet *anvilglade.Packet, now time.Time, verdict *Verdict) {
	*verdict = Verdict{To: verdict.To[:0], Candidates: verdict.Candidates[:0], Acknowledged: packet.Acknowledged}
	flow := packet.FromCaller()
	if entry := d.flows[flow]; entry != nil && entry.holder == agent {
		d.forget(flow, entry)
	}
	d.lookup(flow, packet, agent, now, verdict)
}

// Exhausted decides on a packet that no candidate took.
func (d *Dispatcher) Exhausted(packet *anvilglade.Packet, verdict *Verdict) {
	*verdict = Verdict{To: verdict.To[:0], Candidates: verdict.Candidates[:0], Reason: ReasonUnknownFlow}
	if !packet.Opens() {
		return
	}
	flow := packet.FromCaller()
	if entry := d.flows[flow]; entry != nil && (entry.established || len(entry.offers) > 0) {
		return
	}
	if entry := d.flows[flow]; entry != nil {
		d.forget(flow, entry)
	}
	verdict.Action, verdict.Reason = ActionReset, ReasonAllRefused
}

// Expire forgets flows that have been idle for longer than callers may be.
func (d *Dispatcher) Expire(now time.Time) {
	idle := defaultIdle
	if state, ok := d.fleet.Desired(); ok && state.IdleTimeout > 0 {
		idle = state.IdleTimeout + idleMargin
	}
	for flow, entry := range d.flows {
		if now.Sub(entry.used) > idle {
			d.forget(flow, entry)
		}
	}
}

func (d *Dispatcher) remember(flow anvilglade.Flow, service anvilglade.ServiceNumber, now time.Time) *flowEntry {
	if len(d.flows) >= maxFlows {
		for other, entry := range d.flows {
			d.forget(other, entry)
			break
		}
	}
	entry := &flowEntry{service: service, used: now}
	d.flows[flow] = entry
	return entry
}

// serviceOf chooses the service of a new flow by the weights of its route. All
// balancers choose the same one.
func serviceOf(route *anvilglade.PacketRoute, flow anvilglade.Flow) anvilglade.ServiceID {
	total := 0
	for _, backend := range route.Backends {
		total += backend.Weight
	}
	if total <= 0 {
		return route.Backends[0].Service
	}
	point := int(flow.Hash() % uint64(total))
	for _, backend := range route.Backends {
		if point < backend.Weight {
			return backend.Service
		}
		point -= backend.Weight
	}
	return route.Backends[0].Service
}
