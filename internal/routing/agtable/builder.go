package agtable

// The Builder determines for each host the services in which it is listed and its
// role in them. It builds each service whose members have changed; the others are
// shared with the previous table.

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilglade/anvilglade"
)

// ServiceOf returns the service whose pool a host belongs to. It is a pure
// function of the tables of one revision.
type ServiceOf func(anvilglade.HostID) (anvilglade.ServiceID, bool)

// Options are the settings of a Builder.
type Options struct {
	Clock anvilglade.Clock
	// Baseline lists only the best accepting host of each bucket. This is plain
	// rendezvous hashing, for comparative measurements.
	Baseline bool
}

// Stats are the statistics of one Build.
type Stats struct {
	Hosts    int
	Services int
	// Ranked is the number of services whose lists were built from the members,
	// Extended that of the services whose previous lists were updated.
	Ranked   int
	Extended int
	// Cut is the number of buckets whose list was truncated to MaxCandidates.
	Cut int
}

// Builder builds tables. It is not safe for concurrent use.
type Builder struct {
	options     Options
	revision    anvilglade.Revision
	pools       map[anvilglade.HostID]poolMatch
	draining    map[anvilglade.HostID]bool
	centres     map[anvilglade.DataCentreID]anvilglade.DataCentreState
	pauses      map[anvilglade.HostID]acceptPause
	lastMembers map[anvilglade.ServiceID][]member
	table       *Table
}

type poolMatch struct {
	service anvilglade.ServiceID
	found   bool
}

// maxPause is the maximum time to wait until a host that accepts again has a later
// ArbiterStamp: its agent is informed within 30 s, and the agent's record arrives
// within HolderWindow.
const maxPause = HolderWindow + 30*time.Second

// acceptPause is the state of a host that did not block others, because it was draining,
// in a data centre that is draining or out, or not listed: its stamp, the last time at
// which it did not block, and whether it was missing from the lists.
type acceptPause struct {
	stamp      anvilglade.JoinStamp
	lastPaused time.Time
	unlisted   bool
}

// NewBuilder returns a builder without a previous table.
func NewBuilder(options Options) *Builder {
	return &Builder{
		options:     options,
		pauses:      make(map[anvilglade.HostID]acceptPause),
		lastMembers: make(map[anvilglade.ServiceID][]member),
		table:       &Table{services: make(map[anvilglade.ServiceID]*Service)},
	}
}

// Build returns the table for a configuration and members. ServiceOf must
// belong to the configuration's revision.
func (b *Builder) Build(configuration *anvilglade.Configuration, serviceOf ServiceOf, members *anvilglade.Members) (*Table, Stats) {
	b.applyConfiguration(configuration)
	groups := b.group(serviceOf, members)
	table := &Table{
		Revision: configuration.Revision,
		services: make(map[anvilglade.ServiceID]*Service, len(groups)),
		agents:   b.indexAgents(members),
	}
	stats := Stats{Hosts: len(members.Hosts), Services: len(groups)}
	for id, group := range groups {
		service := b.build(id, group, &stats)
		stats.Cut += service.cut
		table.services[id] = service
	}
	for id := range b.lastMembers {
		if _, ok := groups[id]; !ok {
			delete(b.lastMembers, id)
		}
	}
	table.routes, table.list = routesOf(configuration.Tables.Routes, table.services)
	b.table = table
	return table, stats
}

// applyConfiguration updates the state that depends only on the configuration.
func (b *Builder) applyConfiguration(configuration *anvilglade.Configuration) {
	if b.pools != nil && b.revision == configuration.Revision {
		return
	}
	b.revision = configuration.Revision
	b.pools = make(map[anvilglade.HostID]poolMatch)
	b.draining = make(map[anvilglade.HostID]bool)
	b.centres = make(map[anvilglade.DataCentreID]anvilglade.DataCentreState)
	for _, override := range configuration.Tables.Hosts {
		b.draining[override.Name] = override.Draining
	}
	for _, centre := range configuration.Tables.DataCentres {
		b.centres[centre.Name] = centre.State
	}
}

// routesOf returns the routes by address. UDP and QUIC share the port space, so if
// two routes have the same address, the first one takes effect. Only IPv4 addresses
// are supported.
func routesOf(rows []anvilglade.Route, services map[anvilglade.ServiceID]*Service) (map[addressKey]*Route, []anvilglade.Route) {
	routes := make(map[addressKey]*Route, len(rows))
	var list []anvilglade.Route
	for _, row := range rows {
		key := keyOf(row.Address)
		if _, ok := routes[key]; ok || key == 0 {
			continue
		}
		routes[key] = &Route{Protocol: row.Protocol, Number: row.Service.Number(), Service: services[row.Service]}
		list = append(list, row)
	}
	return routes, list
}

// group returns the members of each service, sorted by host name.
func (b *Builder) group(serviceOf ServiceOf, members *anvilglade.Members) map[anvilglade.ServiceID][]member {
	now := b.options.Clock.Now()
	groups := make(map[anvilglade.ServiceID][]member)
	for i := range members.Hosts {
		record := &members.Hosts[i]
		role := b.roleOf(record, now)
		if !role.listed {
			continue
		}
		wanted, found := b.poolOf(serviceOf, record.Host)
		if found {
			confirmed := record.Services[0] == "" || record.Services[0] == wanted
			groups[wanted] = append(groups[wanted], role.member(record, confirmed, confirmed))
		}
		// A host that was moved to another pool stays listed, without new flows,
		// until it reports that it no longer holds flows of the old service.
		for j, service := range record.Services {
			listed := found && service == wanted || slices.Contains(record.Services[:j], service)
			if service != "" && !listed {
				// Until the agent has received the move, it continues to arbitrate
				// for the service, so no other host may do so.
				groups[service] = append(groups[service], role.member(record, false, j == 0))
			}
		}
	}
	return groups
}

func (b *Builder) poolOf(serviceOf ServiceOf, host anvilglade.HostID) (anvilglade.ServiceID, bool) {
	match, ok := b.pools[host]
	if !ok {
		match.service, match.found = serviceOf(host)
		b.pools[host] = match
	}
	return match.service, match.found
}

// role is the role of a host by its state and the operators' tables.
type role struct {
	listed  bool
	accepts bool
	// blocks is set if the host counts as a blocker.
	blocks bool
	// arbitrates is set if the host may be arbiter.
	arbitrates bool
	stamp      anvilglade.JoinStamp
}

func (b *Builder) roleOf(record *anvilglade.HostRecord, now time.Time) role {
	centre := b.centres[record.DataCentre]
	live := record.State == anvilglade.HostActive || record.State == anvilglade.HostDraining || record.State == anvilglade.HostSuspect
	mayAccept := record.State != anvilglade.HostDraining && centre != anvilglade.DataCentreDraining && !b.draining[record.Host]
	r := role{stamp: record.ArbiterStamp()}
	r.listed = live && record.JoinStamp != 0 && centre != anvilglade.DataCentreOut
	r.accepts = r.listed && mayAccept && record.State == anvilglade.HostActive
	r.arbitrates = r.listed
	// A suspected host was accepting recently and in most cases accepts again within
	// a short time, so it still counts as a blocker.
	r.blocks = r.listed && mayAccept
	b.applyPause(record.Host, &r, now)
	return r
}

// applyPause handles a host that accepts again after a pause. During the pause flows were
// placed on hosts that this host would block. Until its agent sets a later stamp, it
// must therefore not block with the old one, because the lists would lack those hosts,
// nor, if it was not listed, arbitrate. If no later stamp arrives within maxPause, the
// old one is used, so that all balancers use the same stamp.
func (b *Builder) applyPause(host anvilglade.HostID, r *role, now time.Time) {
	if !r.blocks {
		b.pauses[host] = acceptPause{stamp: r.stamp, lastPaused: now, unlisted: !r.listed}
		return
	}
	paused, ok := b.pauses[host]
	if !ok {
		return
	}
	if r.stamp > paused.stamp || now.Sub(paused.lastPaused) > maxPause {
		delete(b.pauses, host)
		return
	}
	r.blocks = false
	r.arbitrates = !paused.unlisted
}

// member returns the entry of a host in a service. A host whose agent has not
// confirmed the service takes no new flows there. A host whose agent does not serve the
// service arbitrates for it only if there is no other.
func (r *role) member(record *anvilglade.HostRecord, confirmed, serving bool) member {
	m := member{
		host:         record.Host,
		hash:         xxhash.Sum64String(string(record.Host)),
		join:         record.JoinStamp,
		blocksFrom:   noStamp,
		arbiterStamp: noStamp,
		candidate:    anvilglade.Candidate{Address: record.AgentAddress, Accepts: r.accepts && confirmed},
		suspect:      record.State == anvilglade.HostSuspect,
	}
	if r.blocks && confirmed {
		m.blocksFrom = r.stamp
	}
	if r.arbitrates && serving {
		m.arbiterStamp = r.stamp
	}
	return m
}

// indexAgents returns the index of agent addresses. It is shared with the previous
// table if no address and no data centre state has changed. If two records have the same address, because a VM
// was replaced, the one with the later incarnation is used.
func (b *Builder) indexAgents(members *anvilglade.Members) *agentIndex {
	index := &agentIndex{
		candidates:    make([]anvilglade.Candidate, 0, len(members.Hosts)),
		dataCentreOut: make([]bool, 0, len(members.Hosts)),
	}
	for i := range members.Hosts {
		record := &members.Hosts[i]
		index.candidates = append(index.candidates, anvilglade.Candidate{Address: record.AgentAddress, Accepts: true})
		index.dataCentreOut = append(index.dataCentreOut, b.centres[record.DataCentre] == anvilglade.DataCentreOut)
	}
	if last := b.table.agents; last != nil && slices.Equal(last.candidates, index.candidates) && slices.Equal(last.dataCentreOut, index.dataCentreOut) {
		return last
	}
	index.byAddress = make(map[addressKey]int32, len(index.candidates))
	for i := range index.candidates {
		key := keyOf(index.candidates[i].Address)
		if j, ok := index.byAddress[key]; ok && members.Hosts[j].Incarnation > members.Hosts[i].Incarnation {
			continue
		}
		index.byAddress[key] = int32(i)
	}
	return index
}
