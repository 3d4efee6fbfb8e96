package agdispatch

// Split routes: the loads of their services, from the statuses of the hosts, and the
// service of each new flow as package agsplit selects it.

import (
	"strings"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/routing/agsplit"
)

// maxLoadAge is the age up to which the load of a service is used for all its routes. It
// bounds the cost of many routes that share a service.
const maxLoadAge = 100 * time.Millisecond

// loadKey identifies the load of a service on the hosts of some regions.
type loadKey struct {
	service anvilglade.ServiceID
	// regions has the regions of the route, empty for all.
	regions string
}

// cachedLoad is a load and the time at which it was computed.
type cachedLoad struct {
	agsplit.Load
	at time.Time
}

// splits is the state of a Dispatcher for split routes.
type splits struct {
	*agsplit.Splitter
	cached map[loadKey]cachedLoad
	// loads is the slice that evaluateSplit reuses.
	loads []agsplit.Load
	// targets has the shortest latency target of the routes of each service, version is
	// the desired state from which it was computed.
	targets map[anvilglade.ServiceID]time.Duration
	version anvilglade.DesiredVersion
	// shiftedFlows counts the flows that were shifted.
	shiftedFlows uint64
}

func newSplits(now time.Time) *splits {
	return &splits{Splitter: agsplit.NewSplitter(now), cached: make(map[loadKey]cachedLoad)}
}

// serviceOf selects the service of a new flow. For a retransmission it returns the
// service of the first opening packet, unless that has no usable host any more.
func (d *Dispatcher) serviceOf(route *anvilglade.PacketRoute, flow anvilglade.Flow, entry *flowEntry, now time.Time, verdict *Verdict) anvilglade.ServiceID {
	if d.splits.Due(route, now) {
		d.evaluateSplit(route, now)
	}
	choice := d.splits.Select(route, flow)
	if entry != nil && entry.service != choice.Service.Number() {
		d.keepService(route, entry, now, &choice)
	}
	if choice.Shifted() && (entry == nil || entry.service != choice.Service.Number()) {
		d.splits.shiftedFlows++
	}
	verdict.Split = choice
	return choice.Service
}

// keepService changes a choice to the service of the flow's entry, if the weights or the
// steps selected that service for an earlier copy of the opening packet and it has a usable
// host.
func (d *Dispatcher) keepService(route *anvilglade.PacketRoute, entry *flowEntry, now time.Time, choice *agsplit.Choice) {
	if !entry.shifted && entry.service != choice.Weighted.Number() {
		return
	}
	for _, backend := range route.Backends {
		if backend.Service.Number() == entry.service && d.loadOf(route, backend.Service, now).Usable {
			choice.Service = backend.Service
		}
	}
}

// RefreshSplits evaluates the routes with steps, so that the steps end without new flows
// too, and removes the state of routes that have been removed.
func (d *Dispatcher) RefreshSplits(now time.Time) {
	d.prepareReported(now)
	for _, address := range d.splits.Active() {
		if route, ok := d.fleet.Route(address); ok && d.splits.Due(route, now) {
			d.evaluateSplit(route, now)
		}
	}
	d.splits.Retain(func(address anvilglade.Endpoint) bool {
		route, ok := d.fleet.Route(address)
		return ok && len(route.Backends) > 1
	}, now)
}

// ObserveShifts records the steps in the status of another balancer.
func (d *Dispatcher) ObserveShifts(status *anvilglade.BalancerStatus, now time.Time) {
	d.splits.Observe(status.Balancer, d.fleet.Local(status.DataCentre), status.Shifts, now)
}

// Shifts returns the steps above 0 that are in force.
func (d *Dispatcher) Shifts() []anvilglade.RouteShift {
	return d.splits.Shifts()
}

// ReportedShifts returns the steps for the status of this balancer: the highest of Shifts,
// as many as a status holds.
func (d *Dispatcher) ReportedShifts() []anvilglade.RouteShift {
	return d.splits.Report()
}

// ShiftedFlows returns the number of flows that were shifted.
func (d *Dispatcher) ShiftedFlows() uint64 {
	return d.splits.shiftedFlows
}

// TakeSplitChanges returns the changes of steps since the last call.
func (d *Dispatcher) TakeSplitChanges() []agsplit.Change {
	return d.splits.TakeChanges()
}

// prepareReported applies the steps that other balancers have reported since this one
// started, so that they are in force before its first flow.
func (d *Dispatcher) prepareReported(now time.Time) {
	if now.Sub(d.started) > settleTime {
		return
	}
	desired, _ := d.fleet.Desired()
	for i := range desired.Routes {
		if route := &desired.Routes[i]; d.splits.Due(route, now) && d.splits.Reported(route) {
			d.evaluateSplit(route, now)
		}
	}
}

// evaluateSplit updates the steps of a route. Shortly after the start a service may seem
// to have no host because the statuses of its hosts have not arrived yet.
func (d *Dispatcher) evaluateSplit(route *anvilglade.PacketRoute, now time.Time) {
	if now.Sub(d.started) <= settleTime && !d.fleet.DiscoveryComplete(d.started, now) {
		d.splits.Prepare(route, now)
		return
	}
	d.splits.loads = d.splits.loads[:0]
	for _, backend := range route.Backends {
		d.splits.loads = append(d.splits.loads, d.loadOf(route, backend.Service, now))
	}
	d.splits.Evaluate(route, d.splits.loads, now)
}

// loadOf returns the load of a service on the hosts that a route may use.
func (d *Dispatcher) loadOf(route *anvilglade.PacketRoute, service anvilglade.ServiceID, now time.Time) agsplit.Load {
	d.updateTargets()
	key := loadKey{service: service, regions: regionsOf(route)}
	cached, ok := d.splits.cached[key]
	if !ok || now.Sub(cached.at) >= maxLoadAge {
		cached = cachedLoad{Load: d.measure(route, service, now), at: now}
		d.splits.cached[key] = cached
	}
	return cached.Load
}

// measure computes the load of a service from the latest statuses of its hosts.
func (d *Dispatcher) measure(route *anvilglade.PacketRoute, service anvilglade.ServiceID, now time.Time) agsplit.Load {
	load := agsplit.Load{Target: d.splits.targets[service]}
	// Counts of slots, as Durations because they weight Durations.
	slots, reporting, busy := time.Duration(0), time.Duration(0), time.Duration(0)
	for _, host := range d.fleet.Hosts(service) {
		if !d.usable(host, route, now) {
			continue
		}
		weight := time.Duration(max(host.Slots, 1))
		load.Usable = true
		slots += weight
		busy += min(time.Duration(host.ActiveRequests), weight)
		if host.ServiceTime > 0 {
			reporting += weight
			load.Wait += weight * host.Wait
			load.ServiceTime += weight * host.ServiceTime
		}
	}
	if slots > 0 {
		load.Utilisation = float64(busy) / float64(slots)
	}
	if reporting > 0 {
		load.Wait /= reporting
		load.ServiceTime /= reporting
	}
	return load
}

// updateTargets computes the targets again and clears the loads when the desired state
// has changed.
func (d *Dispatcher) updateTargets() {
	desired, _ := d.fleet.Desired()
	if d.splits.targets != nil && d.splits.version == desired.Version {
		return
	}
	d.splits.version = desired.Version
	d.splits.targets = make(map[anvilglade.ServiceID]time.Duration)
	clear(d.splits.cached)
	for i := range desired.Routes {
		route := &desired.Routes[i]
		if !route.Class.HasTarget() {
			continue
		}
		for _, backend := range route.Backends {
			if former, ok := d.splits.targets[backend.Service]; !ok || route.Class.Target < former {
				d.splits.targets[backend.Service] = route.Class.Target
			}
		}
	}
}

// regionsOf returns the regions of a route as one string.
func regionsOf(route *anvilglade.PacketRoute) string {
	if len(route.Regions) == 0 {
		return ""
	}
	var text strings.Builder
	for _, region := range route.Regions {
		text.WriteString(string(region))
		text.WriteByte(',')
	}
	return text.String()
}
