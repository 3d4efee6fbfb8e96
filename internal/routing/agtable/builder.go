package agtable

// The Builder decides for each host in which services it is listed and in what
// role, and hands the hosts of each service that changed to the service's own
// build. Services whose hosts are as before are shared with the last table.

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
	// Baseline lists only the best accepting host of each bucket. It is the
	// plain rendezvous hashing that measurements compare with.
	Baseline bool
}

// Stats say what one Build did.
type Stats struct {
	Hosts    int
	Services int
	// Ranked and Extended count the services that were built anew and those
	// that were updated.
	Ranked   int
	Extended int
	// Cut counts the buckets whose list was longer than MaxCandidates.
	Cut int
}

// Builder makes tables. It is not safe for concurrent use.
type Builder struct {
	options  Options
	revision anvilglade.Revision
	pools    map[anvilglade.HostID]poolMatch
	draining map[anvilglade.HostID]bool
	centres  map[anvilglade.DataCentreID]anvilglade.DataCentreState
	pauses   map[anvilglade.HostID]pause
	inputs   map[anvilglade.ServiceID][]member
	table    *Table
}

type poolMatch struct {
	service anvilglade.ServiceID
	found   bool
}

// pauseLimit is how long a new AcceptStamp is waited for: the agent learns of
// its return within seconds and its record arrives within HolderWindow.
const pauseLimit = HolderWindow + 30*time.Second

// pause remembers a host that was not accepting.
type pause struct {
	stamp    anvilglade.JoinStamp
	seen     time.Time
	unlisted bool
}

// NewBuilder returns a builder without a previous table.
func NewBuilder(options Options) *Builder {
	return &Builder{
		options: options,
		pauses:  make(map[anvilglade.HostID]pause),
		inputs:  make(map[anvilglade.ServiceID][]member),
		table:   &Table{services: make(map[anvilglade.ServiceID]*Service)},
	}
}

// Build returns the table for a configuration and members. ServiceOf must
// belong to the configuration's revision.
func (b *Builder) Build(configuration *anvilglade.Configuration, serviceOf ServiceOf, members *anvilglade.Members) (*Table, Stats) {
	b.adopt(configuration)
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
	for id := range b.inputs {
		if _, ok := groups[id]; !ok {
			delete(b.inputs, id)
		}
	}
	table.routes, table.list = routesOf(configuration.Tables.Routes, table.services)
	b.table = table
	return table, stats
}

// adopt takes over what depends on the configuration only.
func (b *Builder) adopt(configuration *anvilglade.Configuration) {
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

// routesOf returns the routes by address. UDP and QUIC share the port space, so
// of two routes with one address the first is in force. Only IPv4 is served.
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

// group returns the members of each service in the order of host names.
func (b *Builder) group(serviceOf ServiceOf, members *anvilglade.Members) map[anvilglade.ServiceID][]member {
	now := b.options.Clock.Now()
	groups := make(map[anvilglade.ServiceID][]member)
	for i := range members.Hosts {
		record := &members.Hosts[i]
		role := b.roleOf(record, now)
		if !role.listed {
			continue
		}
		wanted, found := b.pool(serviceOf, record.Host)
		if found {
			confirmed := record.Services[0] == "" || record.Services[0] == wanted
			groups[wanted] = append(groups[wanted], role.member(record, confirmed, confirmed))
		}
		// A host that left a pool stays listed without new flows until it
		// reports that it holds none of the service's flows any more.
		for j, service := range record.Services {
			listed := found && service == wanted || slices.Contains(record.Services[:j], service)
			if service != "" && !listed {
				// Until the agent has learned of the move it goes on deciding
				// for the service, and no other host may.
				groups[service] = append(groups[service], role.member(record, false, j == 0))
			}
		}
	}
	return groups
}

func (b *Builder) pool(serviceOf ServiceOf, host anvilglade.HostID) (anvilglade.ServiceID, bool) {
	match, ok := b.pools[host]
	if !ok {
		match.service, match.found = serviceOf(host)
		b.pools[host] = match
	}
	return match.service, match.found
}

// role is what a host's state and the operators' tables make of it.
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
	alive := record.State == anvilglade.HostActive || record.State == anvilglade.HostDraining || record.State == anvilglade.HostSuspect
	willing := record.State != anvilglade.HostDraining && centre != anvilglade.DataCentreDraining && !b.draining[record.Host]
	r := role{stamp: record.ArbiterStamp()}
	r.listed = alive && record.JoinStamp != 0 && centre != anvilglade.DataCentreOut
	r.accepts = r.listed && willing && record.State == anvilglade.HostActive
	r.arbitrates = r.listed
	// A suspected host was accepting a moment ago and in most cases is again
	// a moment later, so it goes on blocking.
	r.blocks = r.listed && willing
	b.applyPause(record.Host, &r, now)
	return r
}

// applyPause keeps a host that accepts again from blocking and, if it was away,
// from arbitrating, until its agent has drawn the later AcceptStamp. Without it
// the lists would lack hosts on which flows were placed meanwhile, for as long
// as the agent needs to learn of its return. After pauseLimit the old stamp
// counts again, so that balancers agree also on agents that draw no new one.
func (b *Builder) applyPause(host anvilglade.HostID, r *role, now time.Time) {
	if !r.blocks {
		b.pauses[host] = pause{stamp: r.stamp, seen: now, unlisted: !r.listed}
		return
	}
	paused, ok := b.pauses[host]
	if !ok {
		return
	}
	if r.stamp > paused.stamp || now.Sub(paused.seen) > pauseLimit {
		delete(b.pauses, host)
		return
	}
	r.blocks = false
	r.arbitrates = !paused.unlisted
}

// member returns the host's part in a service. A host that has not confirmed
// the service takes no new flows; one that does not work for it takes no part in
// decisions.
func (r *role) member(record *anvilglade.HostRecord, confirmed, works bool) member {
	m := member{
		host:      record.Host,
		hash:      xxhash.Sum64String(string(record.Host)),
		join:      record.JoinStamp,
		since:     never,
		age:       never,
		candidate: anvilglade.Candidate{Address: record.AgentAddress, Accepts: r.accepts && confirmed},
		suspect:   record.State == anvilglade.HostSuspect,
	}
	if r.blocks && confirmed {
		m.since = r.stamp
	}
	if r.arbitrates && works {
		m.age = r.stamp
	}
	return m
}

// indexAgents returns the index of agent addresses, shared with the previous
// table if nothing changed. Of two records with one address, as left by a
// replaced VM, the one with the later incarnation counts.
func (b *Builder) indexAgents(members *anvilglade.Members) *agentIndex {
	fresh := &agentIndex{
		candidates: make([]anvilglade.Candidate, 0, len(members.Hosts)),
		out:        make([]bool, 0, len(members.Hosts)),
	}
	for i := range members.Hosts {
		record := &members.Hosts[i]
		fresh.candidates = append(fresh.candidates, anvilglade.Candidate{Address: record.AgentAddress, Accepts: true})
		fresh.out = append(fresh.out, b.centres[record.DataCentre] == anvilglade.DataCentreOut)
	}
	if last := b.table.agents; last != nil && slices.Equal(last.candidates, fresh.candidates) && slices.Equal(last.out, fresh.out) {
		return last
	}
	fresh.byAddress = make(map[addressKey]int32, len(fresh.candidates))
	for i := range fresh.candidates {
		key := keyOf(fresh.candidates[i].Address)
		if j, ok := fresh.byAddress[key]; ok && members.Hosts[j].Incarnation > members.Hosts[i].Incarnation {
			continue
		}
		fresh.byAddress[key] = int32(i)
	}
	return fresh
}
