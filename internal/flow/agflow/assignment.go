// The parts of an agent's assignment that the flow decisions use.

package agflow

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
)

// maxFullList is the number of hosts up to which a candidate list contains all
// hosts of the service.
const maxFullList = 16

// view is the membership of a service in the newest assignment. The view of a
// service that this host no longer serves is retained, so that late packets still
// reach the arbiter of that service. A nil view has no members.
type view struct {
	// members are sorted by age.
	members []anvilglade.ServiceMember
	index   map[netip.AddrPort]int
	former  bool
	mean    float64
	meanAt  int64
}

func newView(members []anvilglade.ServiceMember) *view {
	v := &view{members: slices.Clone(members), index: make(map[netip.AddrPort]int, len(members))}
	slices.SortFunc(v.members, func(a, b anvilglade.ServiceMember) int {
		return cmp.Or(cmp.Compare(a.JoinStamp, b.JoinStamp), cmp.Compare(a.Host, b.Host))
	})
	for i := range v.members {
		v.index[v.members[i].AgentAddress] = i
	}
	return v
}

func (v *view) member(address netip.AddrPort) *anvilglade.ServiceMember {
	if v == nil {
		return nil
	}
	i, ok := v.index[address]
	if !ok {
		return nil
	}
	return &v.members[i]
}

// deadOrLeft reports whether a host is dead or has left according to the
// assignment. A host that is not a member may be newer than the assignment, so it
// counts as neither.
func (v *view) deadOrLeft(address netip.AddrPort) bool {
	member := v.member(address)
	return member != nil && (member.State == anvilglade.HostDead || member.State == anvilglade.HostLeft)
}

// placementValid reports whether a placement on this incarnation of a host is
// still valid. Assignments omit hosts that are dead or have left. The incarnation
// is 0 if the host was not a member when the flow was placed.
func (v *view) placementValid(address netip.AddrPort, incarnation anvilglade.Incarnation) bool {
	if incarnation == 0 {
		return !v.deadOrLeft(address)
	}
	member := v.member(address)
	return member != nil && !v.deadOrLeft(address) && member.Incarnation == incarnation
}

func (v *view) incarnation(address netip.AddrPort) anvilglade.Incarnation {
	if member := v.member(address); member != nil {
		return member.Incarnation
	}
	return 0
}

func (v *view) dataCentre(address netip.AddrPort) anvilglade.DataCentreID {
	if member := v.member(address); member != nil {
		return member.DataCentre
	}
	return ""
}

// mayAccept reports whether a host accepts new flows. For a host that is not a
// member the balancer's list is authoritative, so it returns true.
func (v *view) mayAccept(address netip.AddrPort) bool {
	member := v.member(address)
	return member == nil || member.Accepts
}

func isLive(state anvilglade.HostState) bool {
	return state == anvilglade.HostActive || state == anvilglade.HostDraining || state == anvilglade.HostSuspect
}

// arbiter returns the oldest live host, or nil. Hosts that the packet lists as
// having left are skipped. This host is skipped, whatever the assignment contains,
// in three cases: it has left; its record in the assignment is of an earlier
// incarnation, whose entries are lost; or it announces a later stamp than the
// assignment contains, so that hosts which are older by that stamp may be missing
// in the assignment.
func (v *view) arbiter(m *Machine, declined []anvilglade.Candidate) *anvilglade.ServiceMember {
	if v == nil {
		return nil
	}
	for i := range v.members {
		member := &v.members[i]
		if !isLive(member.State) || member.Former {
			continue
		}
		if member.AgentAddress == m.options.Self {
			if m.hasLeft || v.former || member.Incarnation != m.options.Incarnation || m.announcesLaterStamp(member) {
				continue
			}
			return member
		}
		hasLeft := func(c anvilglade.Candidate) bool { return c.Accepts && c.Address == member.AgentAddress }
		if !slices.ContainsFunc(declined, hasLeft) {
			return member
		}
	}
	return nil
}

func (m *Machine) announcesLaterStamp(self *anvilglade.ServiceMember) bool {
	return m.stamp() > self.JoinStamp
}

// mayBeMissing reports whether a balancer's list of possible owners may lack the
// host only because the balancer has not received its record. The lists of small
// services contain every host, so any host may be missing there.
func (v *view) mayBeMissing(member *anvilglade.ServiceMember, now int64) bool {
	joined := agevent.UnixMilli(anvilglade.Timestamp(member.JoinStamp)) * int64(time.Millisecond)
	return len(v.members) <= maxFullList || now-joined < int64(PlacementLifetime)
}

// meanUtilisation returns the mean utilisation of the accepting members in
// thousandths. It visits every host and is therefore computed at most once per
// report interval.
func (v *view) meanUtilisation(m *Machine) float64 {
	if v == nil {
		return 0
	}
	if v.meanAt == m.lastTick && v.meanAt != 0 {
		return v.mean
	}
	sum, count := 0.0, 0
	for i := range v.members {
		if v.members[i].Accepts {
			sum += m.estimate(v.members[i].AgentAddress)
			count++
		}
	}
	v.mean, v.meanAt = 0, m.lastTick
	if count > 0 {
		v.mean = sum / float64(count)
	}
	return v.mean
}

// SetAssignment adopts an assignment, whose revision must not be lower than that
// of the previous one. If the data centre is out, all flows end.
func (m *Machine) SetAssignment(now time.Time, assignment *anvilglade.HostAssignment, actions []Action) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	service := assignment.Service.Number()
	if m.hasAssignment && service != m.service {
		m.changeService(service)
	}
	m.hasAssignment = true
	m.service, m.serviceID = service, assignment.Service
	m.draining = assignment.Draining || assignment.DataCentreState != anvilglade.DataCentreIn
	m.flowCost = float64(anvilglade.FullUtilisation) / float64(max(1, assignment.Pool.Connections))
	m.views[service] = newView(assignment.Members)
	clear(m.balancers)
	for i := range assignment.Balancers {
		m.balancers[assignment.Balancers[i].DatagramAddress] = assignment.Balancers[i].DataCentre
	}
	m.pruneLoads()
	m.dataCentreOut = assignment.DataCentreState == anvilglade.DataCentreOut
	if m.dataCentreOut {
		return m.endAll(now.UnixNano(), actions)
	}
	return actions
}

// changeService ends the decisions for the previous service. It deletes the
// placements of the new service, which are left over from an earlier assignment
// to it: the arbiter of the service has decided since.
func (m *Machine) changeService(service anvilglade.ServiceNumber) {
	if former := m.views[m.service]; former != nil {
		former.former = true
	}
	for key, entry := range m.placements {
		if entry.service == service {
			delete(m.placements, key)
		}
	}
}

func (m *Machine) pruneLoads() {
	serviceView := m.views[m.service]
	for address := range m.loads {
		if serviceView.member(address) == nil || serviceView.deadOrLeft(address) {
			delete(m.loads, address)
		}
	}
}

// Drain makes the host refuse new flows. Open flows continue.
func (m *Machine) Drain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopping = true
}

// Leave transfers the decisions on new flows to the next oldest host. The agent
// should keep running for a few seconds to forward packets in flight.
func (m *Machine) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopping, m.hasLeft = true, true
}
