package agdispatch

// Opening packets: choice of the host for a new flow and of the hosts to try next.

import (
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agsequence"
	"github.com/anvilglade/anvilglade/internal/routing/agplace"
	"github.com/anvilglade/anvilglade/internal/state/agfleet"
)

const (
	// maxCandidates is the maximum number of hosts that an opening packet may be
	// passed on to.
	maxCandidates = 4
	// maxOptions is the maximum number of hosts that are compared for a new flow,
	// so that the cost does not grow with the service. Among that many hosts there
	// is one with little load.
	maxOptions = 64
	// settleTime is the time after the start within which a balancer may not have
	// received a status of every host. Until then it refuses no flow for lack of
	// hosts.
	settleTime = 2 * time.Second
)

// opening is the kind of an opening packet. A caller may use a port again, so an entry
// with the same ends may be that of another flow.
type opening uint8

const (
	// openingNew opens a flow of which the entry, if there is one, has earlier copies only.
	openingNew opening = iota
	// openingOther opens another flow than that of the entry.
	openingOther
	// openingCopy is or may be a copy for the established flow of the entry.
	openingCopy
	// openingLate is a copy for a former flow, or for one whose holder is searched for.
	openingLate
)

// openingOf returns the kind of an opening packet for a flow with the entry e, nil if there
// is none. Searching is set if the holder of the flow is searched for.
func (e *flowEntry) openingOf(packet *anvilglade.Packet, searching bool) opening {
	switch {
	case e == nil:
		return openingNew
	case e.callerStart.Is(packet.Sequence):
		if e.established {
			return openingCopy
		}
		return openingNew
	case e.formerStart.Is(packet.Sequence):
		return openingLate
	case e.callerStart.Known():
		return openingOther
	case e.established && (!e.reached().Known() || e.reached().Opened(packet.Sequence)):
		return openingCopy
	case e.established:
		return openingOther
	case searching && e.reached().Opened(packet.Sequence):
		return openingLate
	case searching:
		return openingOther
	}
	return openingNew
}

// reopen replaces the entry of a former flow by one for a new flow with the same ends.
func (d *Dispatcher) reopen(flow anvilglade.Flow, former *flowEntry, now time.Time) *flowEntry {
	entry := d.addEntry(flow, 0, now)
	entry.formerStart = former.callerStart
	return entry
}

// open decides on an opening packet.
func (d *Dispatcher) open(flow anvilglade.Flow, entry *flowEntry, packet *anvilglade.Packet, now time.Time, verdict *Verdict) {
	searching := d.searcher.Searching(flow)
	switch entry.openingOf(packet, searching) {
	case openingLate:
		verdict.Reason = ReasonLateCopy
		if searching {
			verdict.Reason = ReasonLookup
		}
		return
	case openingCopy:
		host, _ := d.fleet.Host(entry.holder)
		if entry.callerStart.Is(packet.Sequence) || host != nil && host.MayHoldFlows(now) {
			// The agent of the holder returns it if it opens another flow.
			if d.checkHolder(entry, host, flow, now, verdict) {
				d.forwardToHolder(flow, entry, entry.holder, host, verdict)
			}
			return
		}
		entry = d.reopen(flow, entry, now)
	case openingOther:
		entry = d.reopen(flow, entry, now)
	}
	d.place(flow, entry, packet, now, verdict)
}

// place chooses a host for a new flow, or the host that receives a retransmission of
// its opening packet.
func (d *Dispatcher) place(flow anvilglade.Flow, entry *flowEntry, packet *anvilglade.Packet, now time.Time, verdict *Verdict) {
	if _, known := d.fleet.Desired(); !known {
		verdict.Reason = ReasonNoDesiredState
		return
	}
	route, ok := d.fleet.Route(flow.Service)
	if !ok {
		verdict.Action, verdict.Reason = ActionReset, ReasonNoRoute
		return
	}
	service := d.serviceOf(route, flow, entry, now, verdict)
	verdict.Service = service.Number()
	if entry == nil || entry.service != service.Number() {
		entry = d.addNewFlow(flow, entry, service.Number(), now)
	}
	entry.callerStart = agsequence.Of(packet.Sequence)
	entry.shifted = verdict.Split.Shifted()
	if len(entry.offers) > 0 {
		// A host has offered to take the flow, but its answer has not reached the
		// caller.
		d.forwardToOffer(entry, verdict)
		d.setClass(flow, verdict)
		return
	}
	if len(entry.attempts) > 0 {
		// The caller retransmits because the last host has not answered.
		d.suspect(entry, now)
	}
	place := d.placementOf(route, service, now)
	d.rank(route, service, place, entry, now)
	if len(d.ranked) == 0 {
		d.refuseNoHost(now, verdict)
		return
	}
	verdict.Action, verdict.Reason = ActionForward, ReasonPlaced
	verdict.To = append(verdict.To, d.ranked[0])
	verdict.Candidates = append(verdict.Candidates, d.ranked[1:min(len(d.ranked), 1+maxCandidates)]...)
	d.setClass(flow, verdict)
	entry.addAttempt(d.ranked[0], now)
	if host, ok := d.fleet.Host(d.ranked[0]); ok {
		d.setExpectation(host, place, verdict)
		host.PlacedFlows++
	}
}

// addNewFlow adds the entry of a new flow in place of the one for another service, nil if
// there is none.
func (d *Dispatcher) addNewFlow(flow anvilglade.Flow, former *flowEntry, service anvilglade.ServiceNumber, now time.Time) *flowEntry {
	entry := d.addEntry(flow, service, now)
	if former != nil {
		entry.formerStart = former.formerStart
	}
	return entry
}

// suspect handles an opening packet to which no host has answered: the VM of the host
// may be lost, or the path to its data centre may be broken.
func (d *Dispatcher) suspect(entry *flowEntry, now time.Time) {
	d.fleet.Suspect(entry.holder, entry.lastAttempt, now)
	host, known := d.fleet.Host(entry.holder)
	if !known || !d.prober.Suspect(host.DataCentre, now) {
		return
	}
	var agents []anvilglade.IPv4
	for _, other := range d.fleet.AllHosts() {
		if other.DataCentre == host.DataCentre && !other.Lost(now) {
			agents = append(agents, other.Agent)
		}
	}
	d.prober.Probe(agents)
}

// DueProbes returns the agents to send a probe to, so that a path to them that is
// broken is detected.
func (d *Dispatcher) DueProbes(now time.Time) []anvilglade.IPv4 {
	return d.prober.Due(now)
}

func (d *Dispatcher) forwardToOffer(entry *flowEntry, verdict *Verdict) {
	verdict.Action, verdict.Reason, verdict.Service = ActionForward, ReasonPlaced, entry.service
	verdict.To = append(verdict.To, entry.offers[0].agent)
}

// refuseNoHost resets a flow that no host can take. Within settleTime it only
// drops the packet, because a host may be found when the caller retransmits.
func (d *Dispatcher) refuseNoHost(now time.Time, verdict *Verdict) {
	verdict.Reason = ReasonNoHost
	if now.Sub(d.started) > settleTime {
		verdict.Action = ActionReset
	}
}

// rank fills d.ranked with the agents that may take a new flow, best first. Agents
// that have been tried for the flow are left out unless all have been tried. Place is nil
// for a route without a class.
func (d *Dispatcher) rank(route *anvilglade.PacketRoute, service anvilglade.ServiceID, place *placement, entry *flowEntry, now time.Time) {
	d.ranked = d.ranked[:0]
	tried, avoided := d.fillOptions(route, service, place, entry, now)
	if place != nil {
		d.ranked = d.ranker.Rank(d.ranked, d.rankOptions, place.centres.FlowRate())
	} else {
		d.ranked = agplace.Rank(d.ranked, d.rankOptions)
	}
	switch {
	case len(d.ranked) > 0:
	case avoided > 0:
		// The other hosts have been ejected or tried since the last update of place.
		place.mostFailed = true
		d.rank(route, service, place, entry, now)
	case tried > 0:
		entry.clearAttempts()
		d.rank(route, service, place, entry, now)
	}
}

// fillOptions fills d.rankOptions with up to maxOptions hosts that may take a new flow. It
// starts at a random host, so that all hosts of a large service get flows. It returns the
// numbers of hosts left out because they have been tried for the flow or are avoided.
func (d *Dispatcher) fillOptions(route *anvilglade.PacketRoute, service anvilglade.ServiceID, place *placement, entry *flowEntry, now time.Time) (tried, avoided int) {
	d.rankOptions = d.rankOptions[:0]
	hosts := d.fleet.Hosts(service)
	if len(hosts) == 0 {
		return 0, 0
	}
	first := d.random.IntN(len(hosts))
	for i := range hosts {
		host := hosts[(first+i)%len(hosts)]
		if !d.usable(host, route, now) {
			continue
		}
		if d.avoided(host, place, now) {
			avoided++
			continue
		}
		if len(d.rankOptions) == maxOptions {
			break
		}
		if entry.wasTried(host.Agent) {
			tried++
			continue
		}
		d.rankOptions = append(d.rankOptions, d.optionOf(host))
		d.addLoad(&d.rankOptions[len(d.rankOptions)-1], host, place, now)
	}
	return tried, avoided
}

// optionOf returns the option of a host without its load.
func (d *Dispatcher) optionOf(host *agfleet.Host) agplace.Option {
	return agplace.Option{
		Agent:          host.Agent,
		Slots:          host.Slots,
		Flows:          host.Flows + host.PlacedFlows,
		ActiveRequests: host.ActiveRequests + host.PlacedFlows,
		Latency:        host.Latency,
		Failing:        float64(host.Failing),
		Suspect:        host.Suspect || d.prober.Unreachable(host.Agent),
		Local:          d.fleet.Local(host.DataCentre),
		Cold:           host.Cold,
		Order:          d.random.Uint64(),
	}
}

// usable reports whether a host accepts new flows of a route: its agent accepts them and
// sends statuses, and its data centre is neither evacuated nor outside the route's regions.
func (d *Dispatcher) usable(host *agfleet.Host, route *anvilglade.PacketRoute, now time.Time) bool {
	if !host.Accepts || now.Sub(host.LastStatus) > host.SilentAfter() {
		return false
	}
	return !d.fleet.Evacuations().Has(host.DataCentre) && d.fleet.InRegions(host.DataCentre, route.Regions)
}
