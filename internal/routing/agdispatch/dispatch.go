// Package agdispatch decides at a balancer which agents receive each packet of a
// caller.
//
// A flow is held by the host that accepted it, its holder. The balancer caches
// the holder of each flow of which it has forwarded packets or received a message
// of an agent. The cache may be incomplete: for a packet of a flow that is not
// cached, the balancer queries the agents, buffers the packet and forwards it to
// the agent whose host holds the flow. An agent without a complete list of its
// host's flows, for example after a restart, may be unable to answer the query; it
// is sent the packet itself, and its host returns the packet if it does not hold
// the flow.
//
// An opening packet is forwarded to the host that package agplace ranks first.
// The hosts ranked next are sent along as candidates, to which an agent passes
// the packet on if its host does not take the flow. Callers retransmit the
// opening packet when they receive no answer; a retransmission is forwarded to a
// host that has not been tried yet.
//
// A Dispatcher takes the time as a parameter, has no sockets and is not safe
// for concurrent use.
//
// # Usage
//
//	dispatcher := agdispatch.NewDispatcher(fleet, random, now)
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
	"github.com/anvilglade/anvilglade/internal/membership/agpath"
	"github.com/anvilglade/anvilglade/internal/packet/agsequence"
	"github.com/anvilglade/anvilglade/internal/routing/agplace"
	"github.com/anvilglade/anvilglade/internal/routing/agsearch"
	"github.com/anvilglade/anvilglade/internal/routing/agsplit"
	"github.com/anvilglade/anvilglade/internal/state/agfleet"
)

// Action is what the balancer does with a packet.
type Action uint8

// Actions of a verdict.
const (
	ActionDrop Action = iota
	ActionForward
	ActionReset
	// ActionBuffer buffers the packet until the holder of its flow is found.
	ActionBuffer
)

// Reason is the reason for an Action. Its string is a label of the decision
// counter and a field of the log.
type Reason string

// Reasons of a verdict. Every candidate has refused a packet with ReasonAllRefused,
// which is reset, or with ReasonUnknownFlow, which is dropped because it is not an
// opening packet or because a host has taken its flow meanwhile. ReasonNoHolder
// applies to a flow that no host holds according to the replies of the agents,
// ReasonLateCopy to a copy of an opening packet whose flow has been opened already.
const (
	ReasonHeld           Reason = "Held"
	ReasonPlaced         Reason = "Placed"
	ReasonLookup         Reason = "Lookup"
	ReasonNoRoute        Reason = "NoRoute"
	ReasonNoHost         Reason = "NoHost"
	ReasonNoDesiredState Reason = "NoDesiredState"
	ReasonAllRefused     Reason = "AllRefused"
	ReasonUnknownFlow    Reason = "UnknownFlow"
	ReasonHostLost       Reason = "HostLost"
	ReasonNoHolder       Reason = "HeldNowhere"
	ReasonLateCopy       Reason = "LateCopy"
)

const (
	// maxFlows is the maximum number of cached flows. It bounds their memory; an
	// entry takes more than 200 bytes.
	maxFlows = 400_000
	// maxBufferedPerFlow is the maximum number of packets buffered for one flow,
	// maxBufferedBytes the maximum size of those buffered for all flows.
	maxBufferedPerFlow = 4
	maxBufferedBytes   = 4 << 20
	// idleMargin is added to the idle timeout of the desired state.
	idleMargin = 5 * time.Second
	// defaultIdleTimeout applies until a desired state gives an idle timeout.
	defaultIdleTimeout = 60 * time.Second
)

// Verdict is the decision on one packet.
type Verdict struct {
	Action  Action
	Reason  Reason
	Service anvilglade.ServiceNumber
	// ToHolder is set if To has one agent, the holder of the flow.
	ToHolder bool
	// To lists the agents that receive the packet.
	To []anvilglade.IPv4
	// OutsideRoute is set if the route no longer has the service of the agent in
	// To.
	OutsideRoute bool
	// Acknowledged is the caller's latest acknowledgement number; a reset needs it.
	Acknowledged uint32
	// Candidates lists the agents that an opening packet may be passed on to.
	Candidates []anvilglade.IPv4
	// Split is the choice of the service for an opening packet.
	Split agsplit.Choice
	// Class is the class of the flow's requests, the zero value if the flow's route is
	// unknown or states none.
	Class anvilglade.RequestClass
	// Expected is what is expected of the host on which a flow of a route with a class is
	// placed. Remote is set for a flow that is placed in another data centre.
	Expected agplace.Expectation
	Remote   RemoteReason
}

// Dispatcher caches the flows of one balancer and decides on their packets.
type Dispatcher struct {
	fleet   *agfleet.Fleet
	random  *rand.Rand
	started time.Time
	flows   map[anvilglade.Flow]*flowEntry
	// rankOptions and ranked are the slices that rank reuses.
	rankOptions []agplace.Option
	ranked      []anvilglade.IPv4
	ranker      agplace.Ranker
	placements  map[placementKey]*placement
	// holders is the slice that possibleHolders reuses.
	holders  []anvilglade.IPv4
	searcher *agsearch.Searcher
	splits   *splits
	prober   *agpath.Prober
	// bufferedBytes is the total size of the buffered packets.
	bufferedBytes int
}

// NewDispatcher returns a Dispatcher without flows that reads routes and hosts
// from the fleet. Now is the start of the balancer.
func NewDispatcher(fleet *agfleet.Fleet, random *rand.Rand, now time.Time) *Dispatcher {
	return &Dispatcher{
		fleet: fleet, random: random, started: now, flows: make(map[anvilglade.Flow]*flowEntry), searcher: agsearch.NewSearcher(),
		splits: newSplits(now), prober: agpath.NewProber(), placements: make(map[placementKey]*placement),
	}
}

// Flows returns the number of cached flows.
func (d *Dispatcher) Flows() int {
	return len(d.flows)
}

// FromCaller decides on a packet of a caller.
func (d *Dispatcher) FromCaller(packet *anvilglade.Packet, now time.Time, verdict *Verdict) {
	*verdict = Verdict{To: verdict.To[:0], Candidates: verdict.Candidates[:0], Acknowledged: packet.Acknowledged}
	flow := packet.FromCaller()
	entry := d.flows[flow]
	if entry != nil {
		entry.lastUsed = now
	}
	if packet.Opens() {
		d.open(flow, entry, packet, now, verdict)
		return
	}
	if entry != nil {
		if holder, ok := d.holderOf(flow, entry, packet); ok {
			host, _ := d.fleet.Host(holder)
			entry.acknowledge(packet, host, now)
			entry.ended |= packet.Flags & (anvilglade.FlagFIN | anvilglade.FlagRST)
			if d.checkHolder(entry, host, flow, now, verdict) {
				d.forwardToHolder(flow, entry, holder, host, verdict)
				return
			}
			// checkHolder has set the action if the host is lost.
			if verdict.Action == ActionReset {
				return
			}
			entry.forgetHolder()
		}
	}
	d.lookup(flow, packet, now, verdict)
}

// holderOf returns the agent of the holder for a packet after the opening one,
// if the entry determines it. If the packet shows which offer the caller
// accepted, the search for the holder ends.
func (d *Dispatcher) holderOf(flow anvilglade.Flow, entry *flowEntry, packet *anvilglade.Packet) (anvilglade.IPv4, bool) {
	if entry.established && entry.belongs(packet) {
		return entry.holder, true
	}
	holder, ok := entry.chosenHolder(packet)
	if ok && entry.established {
		d.endSearch(flow, entry)
	}
	return holder, ok
}

// checkHolder reports whether the host may still hold the flow; nil stands for an
// unknown host. If the host is unknown or lost, it also removes the entry and sets the verdict to a reset of the
// flow, unless this balancer is isolated. If the host has ended or restarted,
// it returns false without a reset.
func (d *Dispatcher) checkHolder(entry *flowEntry, host *agfleet.Host, flow anvilglade.Flow, now time.Time, verdict *Verdict) bool {
	if host == nil || host.Lost(now) {
		if d.fleet.Isolated(now) {
			// This balancer receives statuses of so few hosts that it has probably
			// lost its own network; another balancer may still reach the host.
			return true
		}
		verdict.Action, verdict.Reason = ActionReset, ReasonHostLost
		d.removeEntry(flow, entry)
		return false
	}
	return host.MayHoldFlows(now) && (entry.hostStarted == 0 || entry.hostStarted == host.Born)
}

// LostFlow is a flow to be reset because no running host holds it.
type LostFlow struct {
	Flow         anvilglade.Flow
	Acknowledged uint32
}

func lostFlow(flow anvilglade.Flow, acknowledged agsequence.Number) LostFlow {
	number, _ := acknowledged.Get()
	return LostFlow{Flow: flow, Acknowledged: number}
}

// RemoveLost removes the flows whose holder has ended or is lost and returns
// them, so that the callers receive a reset before they send the next request. It
// removes none while the balancer is isolated, see Fleet.Isolated. A flow that its caller
// has reset is removed without being returned.
func (d *Dispatcher) RemoveLost(now time.Time) []LostFlow {
	if d.fleet.Isolated(now) {
		return nil
	}
	withoutFlows := make(map[anvilglade.IPv4]bool)
	for _, host := range d.fleet.AllHosts() {
		if !host.MayHoldFlows(now) {
			withoutFlows[host.Agent] = true
		}
	}
	if len(withoutFlows) == 0 {
		return nil
	}
	var lost []LostFlow
	for flow, entry := range d.flows {
		if !entry.established || !withoutFlows[entry.holder] {
			continue
		}
		if !entry.ended.Has(anvilglade.FlagRST) {
			lost = append(lost, lostFlow(flow, entry.acknowledged))
		}
		d.removeEntry(flow, entry)
	}
	return lost
}

// forwardToHolder sets the verdict to forward a packet to the holder of its flow. Host is
// the holder's host, nil if it is unknown.
func (d *Dispatcher) forwardToHolder(flow anvilglade.Flow, entry *flowEntry, holder anvilglade.IPv4, host *agfleet.Host, verdict *Verdict) {
	verdict.Action, verdict.Reason, verdict.ToHolder = ActionForward, ReasonHeld, true
	verdict.Service = entry.service
	verdict.To = append(verdict.To, holder)
	if host != nil && host.TakesClass {
		verdict.Class = d.classOf(flow, entry)
	}
}

// classOf returns the class of a cached flow, the zero value if its route is unknown. The
// entry keeps it until the desired state changes, which saves a lookup of the route for
// each packet.
func (d *Dispatcher) classOf(flow anvilglade.Flow, entry *flowEntry) anvilglade.RequestClass {
	desired, _ := d.fleet.Desired()
	if entry.classVersion == desired.Version {
		return entry.class
	}
	entry.class, entry.classVersion = anvilglade.RequestClass{}, desired.Version
	if route, ok := d.fleet.Route(flow.Service); ok {
		entry.class = route.Class
	}
	return entry.class
}

// setClass sets the class of a verdict to that of the flow's route. It leaves the class
// out if one of the agents that may receive the packet cannot decode it.
func (d *Dispatcher) setClass(flow anvilglade.Flow, verdict *Verdict) {
	route, ok := d.fleet.Route(flow.Service)
	if ok && route.Class.HasTarget() && d.takeClass(verdict.To) && d.takeClass(verdict.Candidates) {
		verdict.Class = route.Class
	}
}

// takeClass reports whether all agents can decode the class of a forwarded packet.
func (d *Dispatcher) takeClass(agents []anvilglade.IPv4) bool {
	for _, agent := range agents {
		if host, known := d.fleet.Host(agent); !known || !host.TakesClass {
			return false
		}
	}
	return true
}

// Expire removes the flows that have been idle for longer than the idle timeout of
// the desired state and a margin, and ends the probes to agents that have been
// removed.
func (d *Dispatcher) Expire(now time.Time) {
	idle := defaultIdleTimeout
	if state, ok := d.fleet.Desired(); ok && state.IdleTimeout > 0 {
		idle = state.IdleTimeout + idleMargin
	}
	for flow, entry := range d.flows {
		if now.Sub(entry.lastUsed) > idle {
			d.removeEntry(flow, entry)
		}
	}
	for key, place := range d.placements {
		if now.Sub(place.usedAt) > idle {
			delete(d.placements, key)
		}
	}
	d.prober.Forget(func(agent anvilglade.IPv4) bool {
		_, known := d.fleet.Host(agent)
		return known
	})
}

func (d *Dispatcher) addEntry(flow anvilglade.Flow, service anvilglade.ServiceNumber, now time.Time) *flowEntry {
	if len(d.flows) >= maxFlows {
		// Remove any one flow. Its next packet starts a search for its holder.
		for other, entry := range d.flows {
			d.removeEntry(other, entry)
			break
		}
	}
	if former := d.flows[flow]; former != nil {
		d.removeEntry(flow, former)
	}
	entry := &flowEntry{service: service, firstSeen: now, lastUsed: now}
	d.flows[flow] = entry
	return entry
}
