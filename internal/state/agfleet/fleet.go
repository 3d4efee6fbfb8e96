// Package agfleet holds a balancer's view of the fleet: the desired state, the
// evacuated data centres, the hosts behind agents and the other balancers.
//
// Updates come from the platform's store, from other balancers and from agents.
// An update is adopted only if its version is higher than the stored one,
// whatever its source. The order in which updates arrive therefore does not
// matter, and no version decreases while the process runs. Evacuations are ordered by
// their positions in the store, see agevacuation.
//
// A host is silent while its last agent status is older than Host.SilentAfter,
// and lost once it is older than Host.LostAfter. All methods that depend on the
// time take it as a parameter. A Fleet has no sockets and is not safe for
// concurrent use.
//
// # Usage
//
//	fleet := agfleet.NewFleet(agfleet.Options{Self: ip, DataCentre: "dk1"})
//	fleet.AdoptDesired(state)
//	fleet.UpdateAgent(status, now)
//	route, ok := fleet.Route(address)
package agfleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/membership/agrank"
	"github.com/anvilglade/anvilglade/internal/state/agevacuation"
)

// Times without a status after which the state of its sender changes.
const (
	// SilentAfter is the minimum time without a status after which a host gets
	// no new flows. With a longer status interval it is the time of
	// missedStatuses statuses.
	SilentAfter    = 800 * time.Millisecond
	missedStatuses = 3
	// LostAfter is the minimum time without a status after which a host counts
	// as lost together with its flows. With a longer status interval it is the
	// time of lostStatuses statuses. A restarted agent sends a status sooner.
	LostAfter    = 2 * time.Second
	lostStatuses = 4
	// ForgetAfter is the time without a status after which a host or balancer is
	// removed. After a shorter network partition no process has to be
	// rediscovered.
	ForgetAfter = 90 * time.Second
	// discoveryTimeout is the time within which a running agent sends its status
	// to a balancer that other balancers have listed.
	discoveryTimeout = 1200 * time.Millisecond
	// endedMargin is the time for which a host may still answer after it has
	// been reported as ended.
	endedMargin = 250 * time.Millisecond
	// stallAfter is the time between two Ticks above which this process counts
	// as having been paused. Statuses are then missing because of the pause.
	stallAfter = 700 * time.Millisecond
	// isolationShare is the share of the hosts from which a balancer has to
	// receive statuses. Below this share it is more likely that the balancer has
	// lost its own network than that all the other hosts are lost.
	isolationShare = 0.25
	// restartAfter is the time without a status after which a lower incarnation
	// is accepted: the clock of a VM may have jumped back before its process
	// restarted.
	restartAfter = 700 * time.Millisecond
)

// Options are the settings of a Fleet. Regions has the region of each data
// centre.
type Options struct {
	Self       anvilglade.IPv4
	DataCentre anvilglade.DataCentreID
	Regions    map[anvilglade.DataCentreID]anvilglade.RegionID
}

// Host is a backend server with its agent, as the agent last reported it.
type Host struct {
	anvilglade.AgentStatus
	Number anvilglade.ServiceNumber
	// LastStatus is the time at which the last status was received.
	LastStatus time.Time
	// PlacedFlows counts the flows that this balancer has placed on the host
	// since the host's load was last reported.
	PlacedFlows int
	// StatusOverdue is set while the host gets no new flows because the statuses
	// of its agent are missing. UpdateSilent sets it.
	StatusOverdue bool
	// Suspect is set if an opening packet was not answered and no update from the
	// agent has been received since.
	Suspect bool
	// endedAt is the time at which the host was first reported as ended.
	endedAt time.Time
	// path has the evidence on the host's data centre.
	path     *centrePath
	reported reportedLoad
	ejection Ejection
	// unanswered counts the opening packets without an answer since the last answer.
	unanswered int
}

// Balancer is another balancer, as it last reported itself.
type Balancer struct {
	anvilglade.BalancerStatus
	// LastStatus is the time at which the last status was received.
	LastStatus time.Time
	// HasStatus is set once a status has been received from the address.
	HasStatus bool
	// listedAt is the time at which the address was listed, if it has sent no status.
	listedAt time.Time
	// fetchFailedAt is the time of the last RecordFetchFailure for the balancer.
	fetchFailedAt time.Time
}

// Fleet is one balancer's view of the fleet.
type Fleet struct {
	options     Options
	desired     anvilglade.DesiredState
	hasDesired  bool
	routes      map[anvilglade.Endpoint]*anvilglade.PacketRoute
	evacuations *agevacuation.Set
	hosts       map[anvilglade.IPv4]*Host
	// pending has the agents that the store or a peer has listed and that have
	// not sent a status yet, with the time at which they were first listed.
	pending map[anvilglade.IPv4]time.Time
	// agentsListed is set once a complete list of agents has been received from
	// the store or from a balancer that has one.
	agentsListed bool
	lastTick     time.Time
	byService    map[anvilglade.ServiceID][]*Host
	balancers    map[anvilglade.IPv4]*Balancer
	// unconfirmed is the number of balancers without a status.
	unconfirmed int
	paths       map[anvilglade.DataCentreID]*centrePath
	// fetchFailedAt is the time of the last RecordFetchFailure.
	fetchFailedAt time.Time
	// ejected lists the hosts that have been ejected since the last TakeEjected.
	ejected []*Host
	// capacity is the capacity that this balancer announces.
	capacity anvilglade.Capacity
}

// NewFleet returns an empty Fleet.
func NewFleet(options Options) *Fleet {
	return &Fleet{
		options:     options,
		evacuations: agevacuation.NewSet(),
		routes:      make(map[anvilglade.Endpoint]*anvilglade.PacketRoute),
		hosts:       make(map[anvilglade.IPv4]*Host),
		pending:     make(map[anvilglade.IPv4]time.Time),
		byService:   make(map[anvilglade.ServiceID][]*Host),
		balancers:   make(map[anvilglade.IPv4]*Balancer),
		paths:       make(map[anvilglade.DataCentreID]*centrePath),
	}
}

// AdoptDesired adopts a desired state if its version is higher than that of the
// state in effect, and reports whether it did.
func (f *Fleet) AdoptDesired(state anvilglade.DesiredState) bool {
	if f.hasDesired && state.Version <= f.desired.Version {
		return false
	}
	f.desired, f.hasDesired = state, true
	f.routes = make(map[anvilglade.Endpoint]*anvilglade.PacketRoute, len(state.Routes))
	for i := range state.Routes {
		f.routes[state.Routes[i].Address] = &state.Routes[i]
	}
	return true
}

// Desired returns the desired state in effect. It returns false before the first
// one is adopted.
func (f *Fleet) Desired() (*anvilglade.DesiredState, bool) {
	return &f.desired, f.hasDesired
}

// Route returns the route of a service address.
func (f *Fleet) Route(address anvilglade.Endpoint) (*anvilglade.PacketRoute, bool) {
	route, ok := f.routes[address]
	return route, ok
}

// AdoptEvacuations adopts the evacuations that were read from the store. It reports
// whether the evacuated data centres have changed.
func (f *Fleet) AdoptEvacuations(update *anvilglade.EvacuationUpdate, now time.Time) bool {
	return f.evacuations.Update(update, now)
}

// Evacuations returns the evacuations in effect. The result must not be modified.
func (f *Fleet) Evacuations() *anvilglade.Evacuations {
	return f.evacuations.Evacuations()
}

// MissingEvacuations returns the evacuated data centres whose evacuation a restored store
// lacks.
func (f *Fleet) MissingEvacuations() []anvilglade.DataCentreID {
	return f.evacuations.Missing()
}

// UpdateAgent adopts the status of an agent if it is newer than the stored one,
// and adds the balancers that it lists. After restartAfter without a status, one
// with a lower incarnation is adopted too. UpdateAgent reports whether the agent
// is new or its host's start or admission of new flows has changed.
func (f *Fleet) UpdateAgent(status anvilglade.AgentStatus, now time.Time) bool {
	host, ok := f.hosts[status.Agent]
	if ok && now.Sub(host.LastStatus) < restartAfter && !newer(status.Incarnation, status.Sequence, host.Incarnation, host.Sequence) {
		return false
	}
	changed := !ok || host.Born != status.Born || host.Accepts != status.Accepts
	if !ok {
		host = &Host{}
		f.hosts[status.Agent] = host
		delete(f.pending, status.Agent)
	}
	host.keepName(&status)
	serviceChanged := host.Service != status.Service
	if status.Ended && !host.Ended {
		host.endedAt = now
	}
	f.recordRefusal(host, &status, now)
	host.AgentStatus, host.LastStatus, host.PlacedFlows, host.Suspect = status, now, 0, false
	host.reported.adoptStatus(&status, now)
	host.Number = status.Service.Number()
	host.path = f.pathOf(status.DataCentre)
	host.path.lastStatus = now
	if !ok || serviceChanged {
		f.indexHosts()
	}
	f.AddBalancers(status.Balancers, now)
	return changed
}

// keepName adds the name of the host to a status that leaves it out.
func (h *Host) keepName(status *anvilglade.AgentStatus) {
	if status.Host == "" && status.Born == h.Born {
		status.Host = h.Host
	}
}

// ConfirmRunning clears the Ended state of an agent's host. It is called when
// the host is found to hold a flow.
func (f *Fleet) ConfirmRunning(agent anvilglade.IPv4) {
	if host, ok := f.hosts[agent]; ok {
		host.Ended = false
	}
}

// Suspect marks the host of an agent as suspect after an opening packet, sent at
// the given time, was not answered. It has no effect if a status has been received
// since. The VM may be lost, which missing statuses show only later. Packets in
// succession without an answer also eject the host.
func (f *Fleet) Suspect(agent anvilglade.IPv4, sent, now time.Time) {
	host, ok := f.hosts[agent]
	if !ok {
		return
	}
	if host.LastStatus.Before(sent) {
		host.Suspect = true
	}
	f.recordUnanswered(host, sent, now)
}

// Tick detects pauses of the whole process, so that the time of a pause does not
// count towards missing statuses. It must be called several times a second.
func (f *Fleet) Tick(now time.Time) {
	if pause := now.Sub(f.lastTick); !f.lastTick.IsZero() && pause > stallAfter {
		for _, host := range f.hosts {
			host.LastStatus = host.LastStatus.Add(pause)
		}
		for _, path := range f.paths {
			path.lastStatus = path.lastStatus.Add(pause)
		}
	}
	f.lastTick = now
}

// UpdateSilent updates Host.StatusOverdue of all hosts and returns those for
// which it has changed since the last call.
func (f *Fleet) UpdateSilent(now time.Time) []*Host {
	var changed []*Host
	for _, host := range f.hosts {
		if overdue := now.Sub(host.LastStatus) > host.SilentAfter(); overdue != host.StatusOverdue {
			host.StatusOverdue = overdue
			changed = append(changed, host)
		}
	}
	return changed
}

// Isolated reports whether so few hosts send statuses to this balancer that it
// has probably lost its own network.
func (f *Fleet) Isolated(now time.Time) bool {
	responding, running := 0, 0
	for _, host := range f.hosts {
		if host.Ended {
			continue
		}
		running++
		if now.Sub(host.LastStatus) < host.SilentAfter() {
			responding++
		}
	}
	return float64(responding) < isolationShare*float64(running)
}

// UpdateLoad adopts the load of a host that its agent has reported in a message
// other than a status.
func (f *Fleet) UpdateLoad(agent anvilglade.IPv4, flows, working int, now time.Time) {
	if host, ok := f.hosts[agent]; ok {
		host.adoptLoad(flows, working, now)
	}
}

// Ages returns the time since the last status of each other balancer and each
// agent, by its address. Balancers that leave are omitted.
func (f *Fleet) Ages(now time.Time) map[string]time.Duration {
	ages := make(map[string]time.Duration, len(f.balancers)+len(f.hosts))
	for address, balancer := range f.balancers {
		if balancer.HasStatus && !balancer.Leaving {
			ages[address.String()] = now.Sub(balancer.LastStatus)
		}
	}
	for address, host := range f.hosts {
		ages[address.String()] = now.Sub(host.LastStatus)
	}
	return ages
}

// ServiceOf returns the service with the given number, or an empty id if neither
// a host nor the desired state has such a service.
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

// Host returns the host of an agent.
func (f *Fleet) Host(agent anvilglade.IPv4) (*Host, bool) {
	host, ok := f.hosts[agent]
	return host, ok
}

// AllHosts returns all hosts in unspecified order.
func (f *Fleet) AllHosts() []*Host {
	list := make([]*Host, 0, len(f.hosts))
	for _, host := range f.hosts {
		list = append(list, host)
	}
	return list
}

// CountHosts returns the number of hosts that have sent a status within
// Host.SilentAfter and the number of all hosts.
func (f *Fleet) CountHosts(now time.Time) (responding, total int) {
	for _, host := range f.hosts {
		if now.Sub(host.LastStatus) < host.SilentAfter() {
			responding++
		}
	}
	return responding, len(f.hosts)
}

// Forget removes hosts, balancers and pending agents from which no status has
// been received for ForgetAfter. Seeds have to be added again.
func (f *Fleet) Forget(now time.Time) {
	changed := false
	for address, host := range f.hosts {
		if now.Sub(host.LastStatus) > ForgetAfter {
			delete(f.hosts, address)
			changed = true
		}
	}
	if changed {
		f.indexHosts()
	}
	for address, pending := range f.pending {
		if now.Sub(pending) > ForgetAfter {
			delete(f.pending, address)
		}
	}
	for address, balancer := range f.balancers {
		switch {
		case balancer.HasStatus && now.Sub(balancer.LastStatus) > ForgetAfter:
			delete(f.balancers, address)
		case !balancer.HasStatus && now.Sub(balancer.listedAt) > ForgetAfter:
			delete(f.balancers, address)
			f.unconfirmed--
		}
	}
}

// InRegions reports whether a data centre is in one of the regions. An empty
// list means all regions.
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

// Local reports whether a data centre is that of this balancer.
func (f *Fleet) Local(dataCentre anvilglade.DataCentreID) bool {
	return dataCentre == f.options.DataCentre
}

// DataCentre returns the data centre of this balancer.
func (f *Fleet) DataCentre() anvilglade.DataCentreID {
	return f.options.DataCentre
}

// indexHosts lists the hosts of each service in the order of a hash: it is the same in
// each run, and hosts next to each other are of different data centres.
func (f *Fleet) indexHosts() {
	f.byService = make(map[anvilglade.ServiceID][]*Host)
	for _, host := range f.hosts {
		f.byService[host.Service] = append(f.byService[host.Service], host)
	}
	for _, hosts := range f.byService {
		slices.SortFunc(hosts, func(a, b *Host) int { return cmp.Compare(agrank.Rank(a.Agent), agrank.Rank(b.Agent)) })
	}
}

func newer(incarnation anvilglade.Incarnation, sequence anvilglade.Sequence, thanIncarnation anvilglade.Incarnation, thanSequence anvilglade.Sequence) bool {
	if incarnation != thanIncarnation {
		return incarnation > thanIncarnation
	}
	return sequence > thanSequence
}
