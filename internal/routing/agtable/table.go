// Package agtable builds the routing table: for each service and each bucket of
// the key space the ordered list of hosts that may hold a flow.
//
// A table is immutable. A Builder makes one from the operators' tables and the
// members, and shares with its previous table whatever has not changed.
//
// The list of a bucket holds the possible holders in descending order of their
// rendezvous score, then the arbiter of the service. A host of a service with
// more than SmallService hosts is a possible holder unless at least Placements
// accepting hosts with higher scores began to accept HolderWindow or more
// before it joined: every balancer then knew those hosts, so the host was in no
// list on which a flow was placed. Such a host is called a blocker below. Since
// the blockers of a host are fixed when it joins, and a blocker that pauses
// accepting gets a later AcceptStamp, a host stays in a list once it was in it.
//
// # Usage
//
//	builder := agtable.NewBuilder(agtable.Options{ServiceOf: match, Clock: clock})
//	table, stats := builder.Build(configuration, members)
//	service := table.Service(address)
//	order := service.Order(service.Bucket(flow))
package agtable

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/anvilglade/anvilglade"
)

const (
	// Buckets is the number of parts of the key space of a service. All
	// balancers must use the same number at all times, because scores depend
	// on it. At 420 hosts each is among the three best of 15 buckets on
	// average.
	Buckets = 1 << bucketBits

	// SmallService is the largest number of hosts of which all are listed.
	SmallService = 16

	// Placements is the number of blockers that exclude a host.
	Placements = 3

	// HolderWindow is the longest time for which a balancer or an arbiter may
	// work on old members or tables.
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

// Route is the service behind a service address.
type Route struct {
	Protocol anvilglade.Protocol
	Number   anvilglade.ServiceNumber
	// Service is nil if the service has no hosts.
	Service *Service
}

// addressKey is an IPv4 address and port. As a map key it is found in about
// half the time of a netip.AddrPort.
type addressKey uint64

// keyOf returns the key of an IPv4 address, or 0, which no socket can have.
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

// Routes returns the routes in force, one for each address.
func (t *Table) Routes() []anvilglade.Route {
	return t.list
}

// Service returns the hosts of a service, or nil if it has none.
func (t *Table) Service(id anvilglade.ServiceID) *Service {
	return t.services[id]
}

// Agent returns a list of one candidate for a known agent, and whether its data
// centre is out of service. The list is nil if no host has the address.
func (t *Table) Agent(address netip.AddrPort) (list []anvilglade.Candidate, out bool) {
	i, ok := t.agents.byAddress[keyOf(address)]
	if !ok {
		return nil, false
	}
	return t.agents.candidates[i : i+1 : i+1], t.agents.out[i]
}

// agentIndex finds hosts by the address of their agent.
type agentIndex struct {
	byAddress  map[addressKey]int32
	candidates []anvilglade.Candidate
	out        []bool
}

// Service is the hosts of one service and the list of each bucket.
type Service struct {
	number  anvilglade.ServiceNumber
	hosts   []anvilglade.Candidate
	offsets []uint32
	orders  []uint16
	// cut is the number of buckets whose list was longer than MaxCandidates.
	cut     int
	arbiter anvilglade.HostID

	// members are the inputs of the lists, by slot. A host keeps its slot
	// while it is in the service; the host of a free slot is empty.
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

// Order returns the list of a bucket.
func (s *Service) Order(bucket int) []uint16 {
	return s.orders[s.offsets[bucket]:s.offsets[bucket+1]]
}

// Arbiter returns the host that decides on new flows.
func (s *Service) Arbiter() anvilglade.HostID {
	return s.arbiter
}

// HostAt returns the host of an index of Order.
func (s *Service) HostAt(index uint16) anvilglade.HostID {
	return s.members[int(index)%len(s.members)].host
}

// Cut returns the number of buckets whose list was cut to MaxCandidates.
func (s *Service) Cut() int {
	return s.cut
}
