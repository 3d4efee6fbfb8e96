// Package agdispatch decides at a balancer where each packet of a caller goes.
//
// The balancer remembers the holder of each flow that it has seen, but never
// has to: for a packet of an unknown flow it asks the agents, keeps the packet
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
	"github.com/anvilglade/anvilglade/internal/routing/agsearch"
	"github.com/anvilglade/anvilglade/internal/state/agfleet"
)

// Action is what to do with a packet.
type Action uint8

// Actions of a verdict.
const (
	ActionDrop Action = iota
	ActionForward
	ActionReset
	// ActionHold keeps the packet until the holder of its flow is found.
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
	holders  []anvilglade.IPv4
	searcher *agsearch.Searcher
	// heldBytes is the size of all packets that are kept.
	heldBytes int
}

// NewDispatcher returns a Dispatcher that reads the fleet.
func NewDispatcher(fleet *agfleet.Fleet, random *rand.Rand, now time.Time) *Dispatcher {
	return &Dispatcher{fleet: fleet, random: random, started: now, flows: make(map[anvilglade.Flow]*flowEntry), searcher: agsearch.NewSearcher()}
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
		if holder, ok := d.holderOf(flow, entry, packet); ok && d.mayHold(entry, holder, flow, now, verdict) {
			d.toHolder(entry, holder, verdict)
			return
		}
		if verdict.Action == ActionReset {
			return
		}
	}
	d.lookup(flow, packet, now, verdict)
}

// holderOf returns the agent for a packet after the opening one, if it is known.
// A choice of the caller ends the search for the holder.
func (d *Dispatcher) holderOf(flow anvilglade.Flow, entry *flowEntry, packet *anvilglade.Packet) (anvilglade.IPv4, bool) {
	if entry.established {
		return entry.holder, true
	}
	holder, ok := entry.chosen(packet)
	if ok {
		d.searcher.End(flow)
	}
	return holder, ok
}

// mayHold reports whether the host that held a flow may still run. A host that
// has been silent for too long is lost with its machine, and the caller is told
// with a reset.
func (d *Dispatcher) mayHold(entry *flowEntry, holder anvilglade.IPv4, flow anvilglade.Flow, now time.Time, verdict *Verdict) bool {
	host, known := d.fleet.Host(holder)
	if !known || host.Lost(now) {
		if d.fleet.Isolated(now) {
			// Another balancer may reach the host.
			return true
		}
		verdict.Action, verdict.Reason = ActionReset, ReasonLostHost
		d.forget(flow, entry)
		return false
	}
	return host.MayHoldFlows(now) && (entry.born == 0 || entry.born == host.Born)
}

// LostFlow is a flow whose host has ended.
type LostFlow struct {
	Flow         anvilglade.Flow
	Acknowledged uint32
}

// Sweep forgets the flows whose host has ended or is lost and returns them, so
// that their callers are told before they send the next request.
func (d *Dispatcher) Sweep(now time.Time) []LostFlow {
	if d.fleet.Isolated(now) {
		return nil
	}
	gone := make(map[anvilglade.IPv4]bool)
	for _, host := range d.fleet.AllHosts() {
		if !host.MayHoldFlows(now) {
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

// Owner takes the news that an agent's host holds a flow or offers to. It returns
// the time since the opening packet for the first offer, and 0 otherwise.
func (d *Dispatcher) Owner(agent anvilglade.IPv4, flow anvilglade.Flow, established bool, sequence uint32, now time.Time) time.Duration {
	host, ok := d.fleet.Host(agent)
	if !ok {
		return 0
	}
	host.Suspect = false
	entry := d.flows[flow]
	if entry == nil {
		entry = d.remember(flow, host.Number, now)
	}
	entry.used = now
	if established {
		d.fleet.ConfirmRunning(agent)
		d.establish(flow, entry, host)
		return 0
	}
	first := len(entry.offers) == 0 && len(entry.attempts) > 0
	entry.offer(agent, sequence)
	if !first {
		return 0
	}
	return now.Sub(entry.begun)
}

// Returned decides on a packet that came back from the agent that was believed
// to hold its flow.
func (d *Dispatcher) Returned(agent anvilglade.IPv4, packet *anvilglade.Packet, now time.Time, verdict *Verdict) {
	*verdict = Verdict{To: verdict.To[:0], Candidates: verdict.Candidates[:0], Acknowledged: packet.Acknowledged}
	flow := packet.FromCaller()
	if entry := d.flows[flow]; entry != nil && entry.holder == agent {
		d.forget(flow, entry)
	}
	d.lookup(flow, packet, now, verdict)
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
		verdict.Service = entry.service
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
	if former := d.flows[flow]; former != nil {
		d.forget(flow, former)
	}
	entry := &flowEntry{service: service, begun: now, used: now}
	d.flows[flow] = entry
	return entry
}
