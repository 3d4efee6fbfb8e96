// Package agfleet is a balancer's knowledge of the fleet: the desired state,
// the evacuated data centres, the hosts behind agents and the other balancers.
//
// One rule decides between two sources: the higher version wins, and a version
// that is not higher changes nothing. It holds for what the platform's store
// says, for what peers say and for what agents say of themselves, so the order
// in which news arrives does not matter and nothing goes backwards while the
// process runs.
//
// A Fleet takes the time as a parameter, has no sockets and is not safe for
// concurrent use.
//
// # Usage
//
//	fleet := agfleet.NewFleet(agfleet.Options{Self: ip, DataCentre: "dk1"})
//	fleet.OfferDesired(state)
//	fleet.HearAgent(status, now)
//	route, ok := fleet.Route(address)
package agfleet

import (
	"time"

	"github.com/anvilglade/anvilglade"
)

// Times after which a silent process changes its standing.
const (
	// SilentAfter is the least silence after which a host gets no new flows,
	// missedStatuses the number of statuses that are missing then.
	SilentAfter    = 800 * time.Millisecond
	missedStatuses = 3
	// LostAfter is the least silence after which a host counts as lost together
	// with its flows, lostStatuses the number of statuses that are missing then.
	// An agent that is restarted is back before.
	LostAfter    = 2 * time.Second
	lostStatuses = 4
	// ForgetAfter is the silence after which a host or balancer is forgotten.
	// A partition that heals within it costs no rediscovery.
	ForgetAfter = 90 * time.Second
	// introduceTime is the time in which an agent that runs tells its status to
	// a balancer that others know.
	introduceTime = 1200 * time.Millisecond
	// endedMargin is how long a host that has said that it ends may still
	// answer.
	endedMargin = 250 * time.Millisecond
	// stallAfter is the time between two Ticks from which on this process was
	// paused: it has then heard nobody for a reason of its own.
	stallAfter = 700 * time.Millisecond
	// cutOffShare is the share of the hosts that a balancer has to hear. Below
	// it the balancer is more likely cut off than all the others are lost.
	cutOffShare = 0.25
	// restartAfter is the silence after which a lower incarnation is believed:
	// the clock of a VM may have jumped back before its process restarted.
	restartAfter = 700 * time.Millisecond
)

// Options are the settings of a Fleet.
type Options struct {
	Self       anvilglade.IPv4
	DataCentre anvilglade.DataCentreID
	Regions    map[anvilglade.DataCentreID]anvilglade.RegionID
}

// Host is a backend server and the agent beside it.
type Host struct {
	anvilglade.AgentStatus
	Number anvilglade.ServiceNumber
	Heard  time.Time
	// Placed counts the flows that this balancer has placed since Heard.
	Placed int
	// Silent is set while the host gets no new flows because its agent has not
	// been heard; see Changes.
	Silent bool
	// Suspect is set if an opening packet drew no answer and the agent has not
	// been heard since.
	Suspect bool
	// endedAt is the time at which the host was first known to have ended.
	endedAt time.Time
}

// Balancer is another balancer.
type Balancer struct {
	anvilglade.BalancerStatus
	Heard time.Time
	// Known is false for addresses that have not been heard yet.
	Known bool
}

// Fleet is the knowledge of one balancer.
type Fleet struct {
	options     Options
	desired     anvilglade.DesiredState
	known       bool
	routes      map[anvilglade.Endpoint]*anvilglade.PacketRoute
	evacuations anvilglade.Evacuations
	hosts       map[anvilglade.IPv4]*Host
	// told are the agents that peers know and this balancer has not heard yet,
	// with the time at which it was told.
	told map[anvilglade.IPv4]time.Time
	// listed is set once all agents have been named by the store or by a
	// balancer that knows them.
	listed bool
	// ticked is the time of the last Tick.
	ticked    time.Time
	byService map[anvilglade.ServiceID][]*Host
	balancers map[anvilglade.IPv4]*Balancer
}

// NewFleet returns an empty Fleet.
func NewFleet(options Options) *Fleet {
	return &Fleet{
		options:   options,
		routes:    make(map[anvilglade.Endpoint]*anvilglade.PacketRoute),
		hosts:     make(map[anvilglade.IPv4]*Host),
		told:      make(map[anvilglade.IPv4]time.Time),
		byService: make(map[anvilglade.ServiceID][]*Host),
		balancers: make(map[anvilglade.IPv4]*Balancer),
	}
}

// AdoptDesired adopts a desired state if its version is higher than the one in
// effect, and reports whether it did.
func (f *Fleet) AdoptDesired(state anvilglade.DesiredState) bool {
	if f.known && state.Version <= f.desired.Version {
		return false
	}
	f.desired, f.known = state, true
	f.routes = make(map[anvilglade.Endpoint]*anvilglade.PacketRoute, len(state.Routes))
	for i := range state.Routes {
		f.routes[state.Routes[i].Address] = &state.Routes[i]
	}
	return true
}

// Desired returns the desired state in effect, or false before the first one.
func (f *Fleet) Desired() (*anvilglade.DesiredState, bool) {
	return &f.desired, f.known
}

// Route returns the route of a service address.
func (f *Fleet) Route(address anvilglade.Endpoint) (*anvilglade.PacketRoute, bool) {
	route, ok := f.routes[address]
	return route, ok
}

// AdoptEvacuations adopts evacuations of a higher revision and reports whether
// it did.
func (f *Fleet) AdoptEvacuations(evacuations anvilglade.Evacuations) bool {
	if evacuations.Revision <= f.evacuations.Revision {
		return false
	}
	f.evacuations = evacuations
	return true
}

// Evacuations returns the evacuations in effect.
func (f *Fleet) Evacuations() *anvilglade.Evacuations {
	return &f.evacuations
}

// UpdateAgent takes the status of an agent and reports whether it is news: an
// agent, host or standing that was not known.
func (f *Fleet) UpdateAgent(status anvilglade.AgentStatus, now time.Time) bool {
	host, ok := f.hosts[status.Agent]
	if ok && now.Sub(host.Heard) < restartAfter && !newer(status.Incarnation, status.Sequence, host.Incarnation, host.Sequence) {
		return false
	}
	news := !ok || host.Host != status.Host || host.Born != status.Born || host.Accepts != status.Accepts
	if !ok {
		host = &Host{}
		f.hosts[status.Agent] = host
		delete(f.told, status.Agent)
	}
	moved := host.Service != status.Service
	if status.Ended && !host.Ended {
		host.endedAt = now
	}
	host.AgentStatus, host.Heard, host.Placed, host.Suspect = status, now, 0, false
	host.Number = status.Service.Number()
	if !ok || moved {
		f.index()
	}
	for _, balancer := range status.Balancers {
		f.learnBalancer(balancer)
	}
	return news
}

// ConfirmRunning takes the news that an agent's host holds a flow, so it runs.
func (f *Fleet) ConfirmRunning(agent anvilglade.IPv4) {
	if host, ok := f.hosts[agent]; ok {
		host.Ended = false
	}
}

// Suspect notes that an opening packet that was sent to an agent drew no answer.
// If the agent has not been heard since, its VM may have gone, which its silence
// shows only later.
func (f *Fleet) Suspect(agent anvilglade.IPv4, sent time.Time) {
	if host, ok := f.hosts[agent]; ok && host.Heard.Before(sent) {
		host.Suspect = true
	}
}

// Tick tells the time. It is to be called several times a second; after a
// longer pause of the whole process no host counts as silent for that pause.
func (f *Fleet) Tick(now time.Time) {
	if pause := now.Sub(f.ticked); !f.ticked.IsZero() && pause > stallAfter {
		for _, host := range f.hosts {
			host.Heard = host.Heard.Add(pause)
		}
	}
	f.ticked = now
}

// UpdateSilent returns the hosts that have become silent, or are heard again, since
// the last call.
func (f *Fleet) UpdateSilent(now time.Time) []*Host {
	var changed []*Host
	for _, host := range f.hosts {
		if silent := now.Sub(host.Heard) > host.SilentAfter(); silent != host.Silent {
			host.Silent = silent
			changed = append(changed, host)
		}
	}
	return changed
}

// Isolated reports whether this balancer hears so few hosts that it is likely
// cut off itself.
func (f *Fleet) Isolated(now time.Time) bool {
	heard, running := 0, 0
	for _, host := range f.hosts {
		if host.Ended {
			continue
		}
		running++
		if now.Sub(host.Heard) < host.SilentAfter() {
			heard++
		}
	}
	return float64(heard) < cutOffShare*float64(running)
}

// UpdateLoad takes the load of a host as its agent told it with other news.
func (f *Fleet) UpdateLoad(agent anvilglade.IPv4, flows, working int) {
	if host, ok := f.hosts[agent]; ok {
		host.Flows, host.Working, host.Placed, host.Suspect = flows, working, 0, false
	}
}

// Ages returns the time since each other balancer and each agent was heard, by
// its address.
func (f *Fleet) Ages(now time.Time) map[string]time.Duration {
	ages := make(map[string]time.Duration, len(f.balancers)+len(f.hosts))
	for address, balancer := range f.balancers {
		if balancer.Known && !balancer.Leaving {
			ages[address.String()] = now.Sub(balancer.Heard)
		}
	}
	for address, host := range f.hosts {
		ages[address.String()] = now.Sub(host.Heard)
	}
	return ages
}

// ServiceOf returns the service of a number, empty if neither a host nor the
// desired state names it.
func (f *Fleet) ServiceOf(number anvilglade.ServiceNumber) anvilglade.ServiceID {
	for _, host := range f.hosts {
		if host.Number == number {
			return host.Service
		}
	}
	for _, service := range f.desired.Services {
		if service.Service.Number() == number {
			return service.Service
		}
	}
	return ""
}

// Hosts returns the hosts of a service. The slice must not be changed.
func (f *Fleet) Hosts(service anvilglade.ServiceID) []*Host {
	return f.byService[service]
}

// Host returns the host behind an agent.
func (f *Fleet) Host(agent anvilglade.IPv4) (*Host, bool) {
	host, ok := f.hosts[agent]
	return host, ok
}

// AllHosts returns every host in no order.
func (f *Fleet) AllHosts() []*Host {
	list := make([]*Host, 0, len(f.hosts))
	for _, host := range f.hosts {
		list = append(list, host)
	}
	return list
}

// CountHosts returns the number of hosts that were heard within SilentAfter and
// the number that is known.
func (f *Fleet) CountHosts(now time.Time) (heard, known int) {
	for _, host := range f.hosts {
		if now.Sub(host.Heard) < host.SilentAfter() {
			heard++
		}
	}
	return heard, len(f.hosts)
}

// Forget drops hosts and balancers that have been silent for ForgetAfter.
func (f *Fleet) Forget(now time.Time) {
	changed := false
	for address, host := range f.hosts {
		if now.Sub(host.Heard) > ForgetAfter {
			delete(f.hosts, address)
			changed = true
		}
	}
	if changed {
		f.index()
	}
	for address, told := range f.told {
		if now.Sub(told) > ForgetAfter {
			delete(f.told, address)
		}
	}
	for address, balancer := range f.balancers {
		if balancer.Known && now.Sub(balancer.Heard) > ForgetAfter {
			delete(f.balancers, address)
		}
	}
}

// InRegions reports whether a data centre is in one of the regions; an empty
// list stands for all.
func (f *Fleet) InRegions(dataCentre anvilglade.DataCentreID, regions []anvilglade.RegionID) bool {
	if len(regions) == 0 {
		return true
	}
	for _, region := range regions {
		if f.options.Regions[dataCentre] == region {
			return true
		}
	}
	return false
}

// Local reports whether a data centre is this balancer's own.
func (f *Fleet) Local(dataCentre anvilglade.DataCentreID) bool {
	return dataCentre == f.options.DataCentre
}

func (f *Fleet) index() {
	f.byService = make(map[anvilglade.ServiceID][]*Host)
	for _, host := range f.hosts {
		f.byService[host.Service] = append(f.byService[host.Service], host)
	}
}

func newer(incarnation anvilglade.Incarnation, sequence anvilglade.Sequence, thanIncarnation anvilglade.Incarnation, thanSequence anvilglade.Sequence) bool {
	if incarnation != thanIncarnation {
		return incarnation > thanIncarnation
	}
	return sequence > thanSequence
}
