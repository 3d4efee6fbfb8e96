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

// Reasons for another data centre. RemoteNoLocal: no local host accepts the flow or all
// have been tried; RemoteSooner: a host there completes its request sooner;
// RemoteUtilisation: the ranking by utilisation prefers a host there.
const (
	RemoteNoLocal     RemoteReason = "NoLocalHost"
	RemoteSooner      RemoteReason = "Sooner"
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

// placement is the state of one service.
type placement struct {
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
	place := d.placements[service]
	if place == nil {
		place = &placement{}
		d.placements[service] = place
	}
	if place.centres.Due(now) {
		d.updatePlacement(place, route, service, now)
	}
	return place
}

func (d *Dispatcher) updatePlacement(place *placement, route *anvilglade.PacketRoute, service anvilglade.ServiceID, now time.Time) {
	place.hosts, place.mostFailed = place.hosts[:0], false
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
	place.mostFailed = float64(failed) > maxFailedShare*float64(usable)
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
	place.centres.Update(place.hosts, d.fleet.DataCentre(), pathCost, route.Class.Target/attemptsInTarget, now)
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
	if d.fleet.Local(host.DataCentre) {
		return
	}
	verdict.Remote = RemoteNoLocal
	for i := range d.rankOptions {
		if !d.rankOptions[i].Local {
			continue
		}
		verdict.Remote = RemoteUtilisation
		if place != nil && host.ServiceTime > 0 {
			verdict.Remote = RemoteSooner
		}
		return
	}
}
