package agdispatch

// Placement of the flows of routes with a class by expected completion time. The state
// that all flows of a service share is updated at intervals, not for each flow.

import (
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/routing/agplace"
	"github.com/anvilglade/anvilglade/internal/state/agfleet"
)

// RemoteReason is the reason for which a flow is placed in another data centre. It is a
// label of a counter.
type RemoteReason string

// Reasons for another data centre.
const (
	// RemoteNoLocal: no local host accepts the flow, or all have been tried.
	RemoteNoLocal RemoteReason = "NoLocalHost"
	// RemoteSooner: a host there is expected to complete the request sooner.
	RemoteSooner RemoteReason = "Sooner"
	// RemoteUtilisation: the ranking by utilisation prefers a host there.
	RemoteUtilisation RemoteReason = "Utilisation"
)

const (
	// maxFailedShare is the share of a service's hosts above which the balancer ignores
	// its judgement on them: the rest could not serve the load.
	maxFailedShare = 0.5
	// attemptsInTarget is the number of attempts that the latency target has to allow for,
	// so that a refused request still has time for another one.
	attemptsInTarget = 2
	// failedShare is the share of failed requests at which a host counts as failed.
	failedShare = 0.5
)

// placementKey identifies the flows that share a placement: those of routes with the same
// regions and latency target to one service.
type placementKey struct {
	service anvilglade.ServiceID
	// regions has the regions of the route, empty for all.
	regions string
	target  time.Duration
}

// placement is the state of a service for some routes.
type placement struct {
	usedAt  time.Time
	centres agplace.Centres
	hosts   []agplace.CentreHost
	// mostFailed is set while most hosts of the service are judged as failed.
	mostFailed bool
}

// placementOf returns the updated placement of a service. It returns nil for a route
// without a class, whose flows are ranked by utilisation.
func (d *Dispatcher) placementOf(route *anvilglade.PacketRoute, service anvilglade.ServiceID, now time.Time) *placement {
	if !route.Class.HasTarget() {
		return nil
	}
	key := placementKey{service: service, regions: regionsOf(route), target: route.Class.Target}
	place := d.placements[key]
	if place == nil {
		place = &placement{}
		d.placements[key] = place
	}
	place.usedAt = now
	if place.centres.Due(now) {
		d.updatePlacement(place, route, service, now)
	}
	return place
}

// updatePlacement computes the state of a service from the latest statuses of its hosts.
func (d *Dispatcher) updatePlacement(place *placement, route *anvilglade.PacketRoute, service anvilglade.ServiceID, now time.Time) {
	place.mostFailed = d.mostFailed(route, service, now)
	pathCost := d.fillHosts(place, route, service, now)
	place.centres.Update(place.hosts, d.fleet.DataCentre(), pathCost, route.Class.Target/attemptsInTarget, now)
}

// mostFailed reports whether the balancer judges most usable hosts of a service as failed.
func (d *Dispatcher) mostFailed(route *anvilglade.PacketRoute, service anvilglade.ServiceID, now time.Time) bool {
	usable, failed := 0, 0
	for _, host := range d.fleet.Hosts(service) {
		if !d.usable(host, route, now) {
			continue
		}
		usable++
		if host.Suspect || host.Ejected(now) || host.Failing >= failedShare {
			failed++
		}
	}
	return float64(failed) > maxFailedShare*float64(usable)
}

// fillHosts fills place.hosts with the hosts that report a service time and get flows. It
// returns the cost of the cheapest path to one in another data centre, 0 if there is none.
func (d *Dispatcher) fillHosts(place *placement, route *anvilglade.PacketRoute, service anvilglade.ServiceID, now time.Time) time.Duration {
	place.hosts = place.hosts[:0]
	pathCost := time.Duration(0)
	for _, host := range d.fleet.Hosts(service) {
		if host.ServiceTime == 0 || !d.usable(host, route, now) || d.avoided(host, place, now) {
			continue
		}
		if cost := d.fleet.PathCost(host); cost > 0 && (pathCost == 0 || cost < pathCost) {
			pathCost = cost
		}
		place.hosts = append(place.hosts, agplace.CentreHost{
			DataCentre: host.DataCentre, Slots: host.Slots, Flows: host.Flows, Load: host.Load(now),
		})
	}
	return pathCost
}

// avoided reports whether a usable host of a route with a class gets no flows while the
// service has others.
func (d *Dispatcher) avoided(host *agfleet.Host, place *placement, now time.Time) bool {
	return place != nil && !place.mostFailed && host.Ejected(now)
}

// addLoad adds the data for the ranking by expected completion time to an option.
func (d *Dispatcher) addLoad(option *agplace.Option, host *agfleet.Host, place *placement, now time.Time) {
	if place == nil {
		return
	}
	if place.mostFailed {
		option.Suspect, option.Failing = false, 0
	}
	if host.ServiceTime == 0 {
		return
	}
	option.Load = host.Load(now)
	if !option.Local {
		option.PathCost, option.Open = d.fleet.PathCost(host), place.centres.Receives(host.DataCentre)
	}
}

// setExpectation sets what is expected of the host of a placed flow, and the reason if it
// is in another data centre.
func (d *Dispatcher) setExpectation(host *agfleet.Host, place *placement, verdict *Verdict) {
	if place != nil {
		verdict.Expected = d.ranker.Best()
	}
	if !d.fleet.Local(host.DataCentre) {
		verdict.Remote = d.remoteReason(host, place)
	}
}

// remoteReason returns the reason for which a flow is placed on a host in another data
// centre.
func (d *Dispatcher) remoteReason(host *agfleet.Host, place *placement) RemoteReason {
	switch {
	case !d.hasLocalOption():
		return RemoteNoLocal
	case place != nil && host.ServiceTime > 0:
		return RemoteSooner
	}
	return RemoteUtilisation
}

// hasLocalOption reports whether a local host was among the options for the flow.
func (d *Dispatcher) hasLocalOption() bool {
	for i := range d.rankOptions {
		if d.rankOptions[i].Local {
			return true
		}
	}
	return false
}
