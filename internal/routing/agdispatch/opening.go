package agdispatch

// Opening packets: the host that gets a new flow, and the ones to try after it.

import (
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/routing/agplace"
	"github.com/anvilglade/anvilglade/internal/state/agfleet"
)

const (
	// alternatives is the number of hosts that an opening packet may be passed
	// on to.
	alternatives = 4
	// maxOptions bounds the hosts that are compared for a new flow. Among so many
	// there is one with little work, and the cost does not grow with a service.
	maxOptions = 64
	// settleTime is the time after the start in which a balancer may not have
	// heard of every host yet; it refuses no flow for lack of hosts before.
	settleTime = 2 * time.Second
)

// open places a new flow or sends a copy of its opening packet on.
func (d *Dispatcher) open(flow anvilglade.Flow, entry *flowEntry, now time.Time, verdict *Verdict) {
	if entry != nil && entry.established {
		if d.mayHold(entry, entry.holder, flow, now, verdict) {
			d.toHolder(entry, entry.holder, verdict)
		}
		return
	}
	if d.searcher.Searching(flow) {
		// A late copy of the packet that opened a flow whose holder is not known.
		verdict.Reason = ReasonLookup
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
	verdict.Service = service.Number()
	if entry == nil || entry.service != service.Number() {
		entry = d.remember(flow, service.Number(), now)
	}
	if len(entry.offers) > 0 {
		// The answer of the host that offered has been lost.
		d.toOffering(entry, verdict)
		return
	}
	if len(entry.attempts) > 0 {
		// A copy comes when no host has answered.
		d.fleet.Suspect(entry.holder, entry.sent)
	}
	d.rank(route, service, entry, now)
	if len(d.ranked) == 0 {
		d.noHost(now, verdict)
		return
	}
	verdict.Action, verdict.Reason = ActionForward, ReasonPlaced
	verdict.To = append(verdict.To, d.ranked[0])
	verdict.Candidates = append(verdict.Candidates, d.ranked[1:min(len(d.ranked), 1+alternatives)]...)
	entry.tried(d.ranked[0], now)
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
	d.options, d.ranked = d.options[:0], d.ranked[:0]
	tried := 0
	hosts := d.fleet.Hosts(service)
	if len(hosts) == 0 {
		return
	}
	first := d.random.IntN(len(hosts))
	for i := range hosts {
		host := hosts[(first+i)%len(hosts)]
		if !d.usable(host, route, now) {
			continue
		}
		if len(d.options) == maxOptions {
			break
		}
		if entry.wasTried(host.Agent) {
			tried++
			continue
		}
		d.options = append(d.options, agplace.Option{
			Agent:   host.Agent,
			Slots:   host.Slots,
			Flows:   host.Flows + host.Placed,
			Working: host.Working + host.Placed,
			Latency: host.Latency,
			Failing: float64(host.Failing),
			Suspect: host.Suspect,
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
	if !host.Accepts || now.Sub(host.Heard) > host.SilentAfter() {
		return false
	}
	return !d.fleet.Evacuations().Has(host.DataCentre) && d.fleet.InRegions(host.DataCentre, route.Regions)
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
