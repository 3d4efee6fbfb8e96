// Package agtable builds the routing table: for each service and each bucket of
// the key space, the ordered list of hosts that may hold a flow.
//
// A table is immutable. A Builder makes one from the operators' tables and the
// members. Unchanged parts are shared with the previous table.
//
// The list of a bucket contains the possible holders in descending order of their
// rendezvous score, followed by the arbiter of the service. In a service with more
// than SmallService hosts, a host is excluded from a list if at least Placements
// accepting hosts with higher scores, its blockers, began to accept HolderWindow
// or more before it joined. By then every balancer had the blockers in its table,
// so no flow of the bucket can have been placed on the excluded host.
//
// The blockers of a host are fixed when it joins, and a blocker that pauses
// accepting gets a later AcceptStamp. So a host that has been in a list remains in
// it.
//
// # Usage
//
//	builder := agtable.NewBuilder(agtable.Options{Clock: clock})
//	table, stats := builder.Build(configuration, serviceOf, members)
//	service := table.Service("alerts")
//	order := service.Order(service.Bucket(flow))
package agtable

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/anvilglade/anvilglade"
)

const (
	// Buckets is the number of parts into which the key space of a service is
	// divided. All balancers must always use the same number, because scores
	// depend on it. With 420 hosts, each host is among the three best of 15
	// buckets on average.
	Buckets = 1 << bucketBits

	// SmallService is the maximum number of hosts of a service whose lists
	// contain all of its hosts.
	SmallService = 16

	// Placements is the number of blockers that exclude a host from a list.
	Placements = 3

	// HolderWindow is the maximum time for which a balancer or an arbiter may use
	// outdated members or tables.
	HolderWindow = 60 * time.Second

	bucketBits = 11

	// stampWindow is HolderWindow in units of a stamp, see
	// anvilglade.Timestamp.
	stampWindow = anvilglade.JoinStamp(HolderWindow/time.Millisecond) << 16
)

// Table is an immutable routing table.
type Table struct {
	Revision anvilglade.Revision
	routes   map[addressKey]*Route
	list     []anvilglade.Route
	services map[anvilglade.ServiceID]*Service
	agents   *agentIndex
}

// Route is the service that a service address leads to.
type Route struct {
	Protocol anvilglade.Protocol
	Number   anvilglade.ServiceNumber
	// Service is nil if the service has no hosts.
	Service *Service
}

// addressKey is an IPv4 address and port. A map lookup with this key takes about
// half the time of one with a netip.AddrPort.
type addressKey uint64

// keyOf returns the key of an IPv4 address and port. It returns 0, which is no
// socket's address, for any other address.
func keyOf(address netip.AddrPort) addressKey {
	ip := address.Addr()
	if !ip.Is4() {
		return 0
	}
	raw := ip.As4()
	return addressKey(binary.BigEndian.Uint32(raw[:]))<<16 | addressKey(address.Port())
}

// Route returns the route of a service address, or nil.
func (t *Table) Route(address netip.AddrPort) *Route {
	return t.routes[keyOf(address)]
}

// Routes returns the routes in effect, one for each address.
func (t *Table) Routes() []anvilglade.Route {
	return t.list
}

// Service returns the hosts and lists of a service, or nil if it has no hosts.
func (t *Table) Service(id anvilglade.ServiceID) *Service {
	return t.services[id]
}

// Agent returns a list that contains the agent with the given address, and whether
// its data centre is out of service. The list is nil if no host has the address.
func (t *Table) Agent(address netip.AddrPort) (list []anvilglade.Candidate, dataCentreOut bool) {
	i, ok := t.agents.byAddress[keyOf(address)]
	if !ok {
		return nil, false
	}
	return t.agents.candidates[i : i+1 : i+1], t.agents.dataCentreOut[i]
}

// agentIndex maps the addresses of agents to candidates.
type agentIndex struct {
	byAddress     map[addressKey]int32
	candidates    []anvilglade.Candidate
	dataCentreOut []bool
}

// Service contains the hosts of one service and the list of each bucket.
type Service struct {
	number  anvilglade.ServiceNumber
	hosts   []anvilglade.Candidate
	offsets []uint32
	orders  []uint16
	// cut is the number of buckets whose list was longer than MaxCandidates.
	cut     int
	arbiter anvilglade.HostID

	// members are the hosts from which the lists were computed, by slot. A host
	// keeps its slot while it is in the service. A free slot has an empty host name.
	members []member
}

// Hosts returns the candidates to which the indexes of Order refer.
func (s *Service) Hosts() []anvilglade.Candidate {
	return s.hosts
}

// Bucket returns the bucket of a flow.
func (s *Service) Bucket(flow anvilglade.FlowKey) int {
	return int(flow >> (64 - bucketBits))
}

// Order returns the list of a bucket as indexes of Hosts.
func (s *Service) Order(bucket int) []uint16 {
	return s.orders[s.offsets[bucket]:s.offsets[bucket+1]]
}

// Arbiter returns the host that decides where new flows are placed.
func (s *Service) Arbiter() anvilglade.HostID {
	return s.arbiter
}

// HostAt returns the host at an index that Order contains.
func (s *Service) HostAt(index uint16) anvilglade.HostID {
	return s.members[int(index)%len(s.members)].host
}

// Cut returns the number of buckets whose list was truncated to MaxCandidates.
func (s *Service) Cut() int {
	return s.cut
}
