// The assignment of an agent as the flow decisions use them.

package agflow

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
)

// listAll is the number of hosts up to which a candidate list has all hosts of
// the service.
const listAll = 16

// view is the newest known membership of a service. A view of a former service
// is kept, so that late packets of it still reach its arbiter. A nil view knows
// nothing.
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

// gone reports whether a host is known to be dead or to have left. A host that
// is not known at all may be newer than the assignment.
func (v *view) gone(address netip.AddrPort) bool {
	member := v.member(address)
	return member != nil && (member.State == anvilglade.HostDead || member.State == anvilglade.HostLeft)
}

// lives reports whether a placement on this incarnation still stands. Assignments
// leave out hosts that are dead or have left. The incarnation is 0 if the host
// was not known when the flow was placed.
func (v *view) lives(address netip.AddrPort, incarnation anvilglade.Incarnation) bool {
	if incarnation == 0 {
		return !v.gone(address)
	}
	member := v.member(address)
	return member != nil && !v.gone(address) && member.Incarnation == incarnation
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

// mayAccept trusts the balancer's list for hosts that the assignment does not have.
func (v *view) mayAccept(address netip.AddrPort) bool {
	member := v.member(address)
	return member == nil || member.Accepts
}

func living(state anvilglade.HostState) bool {
	return state == anvilglade.HostActive || state == anvilglade.HostDraining || state == anvilglade.HostSuspect
}

// arbiter returns the oldest living host, or nil. Hosts that told the packet
// that they have left are none. An agent is none itself, whatever the assignment
// say, if it has left, if it restarted under a former record (the entries of its
// former life are gone), or if it announces a later stamp than the assignment has:
// then older hosts may exist that this assignment does not know.
func (v *view) arbiter(m *Machine, declined []anvilglade.Candidate) *anvilglade.ServiceMember {
	if v == nil {
		return nil
	}
	for i := range v.members {
		member := &v.members[i]
		if !living(member.State) || member.Former {
			continue
		}
		if member.AgentAddress == m.options.Self {
			if m.left || v.former || member.Incarnation != m.options.Incarnation || m.announcesLater(member) {
				continue
			}
			return member
		}
		left := func(c anvilglade.Candidate) bool { return c.Accepts && c.Address == member.AgentAddress }
		if !slices.ContainsFunc(declined, left) {
			return member
		}
	}
	return nil
}

func (m *Machine) announcesLater(self *anvilglade.ServiceMember) bool {
	return m.stamp() > self.JoinStamp
}

// mayBeMissing reports whether a balancer's list of possible holders may lack
// the host only because the balancer does not know it yet. Small services list
// every host, so any missing one counts.
func (v *view) mayBeMissing(member *anvilglade.ServiceMember, now int64) bool {
	joined := agevent.UnixMilli(anvilglade.Timestamp(member.JoinStamp)) * int64(time.Millisecond)
	return len(v.members) <= listAll || now-joined < int64(EntryLife)
}

// meanUtilisation is computed at most once for each report interval, as it
// visits every host.
func (v *view) meanUtilisation(m *Machine) float64 {
	if v == nil {
		return 0
	}
	if v.meanAt == m.utilAt && v.meanAt != 0 {
		return v.mean
	}
	sum, count := 0.0, 0
	for i := range v.members {
		if v.members[i].Accepts {
			sum += m.estimate(v.members[i].AgentAddress)
			count++
		}
	}
	v.mean, v.meanAt = 0, m.utilAt
	if count > 0 {
		v.mean = sum / float64(count)
	}
	return v.mean
}

// SetAssignment adopts an assignment of a revision that is not lower. When the data centre
// goes out, all flows end.
func (m *Machine) SetAssignment(now time.Time, assignment *anvilglade.HostAssignment, actions []Action) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	service := assignment.Service.Number()
	if m.ordered && service != m.service {
		m.changeService(service)
	}
	m.ordered = true
	m.service, m.serviceID = service, assignment.Service
	m.draining = assignment.Draining || assignment.DataCentreState != anvilglade.DataCentreIn
	m.flowCost = float64(anvilglade.FullUtilisation) / float64(max(1, assignment.Pool.Connections))
	m.views[service] = newView(assignment.Members)
	clear(m.balancers)
	for i := range assignment.Balancers {
		m.balancers[assignment.Balancers[i].DatagramAddress] = assignment.Balancers[i].DataCentre
	}
	m.forgetLoads()
	m.out = assignment.DataCentreState == anvilglade.DataCentreOut
	if m.out {
		return m.endAll(now.UnixNano(), actions)
	}
	return actions
}

// changeService ends the decisions on the former service. Placements of the new
// one are from an earlier time at it: its arbiter has decided since.
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

func (m *Machine) forgetLoads() {
	assigned := m.views[m.service]
	for address := range m.loads {
		if assigned.member(address) == nil || assigned.gone(address) {
			delete(m.loads, address)
		}
	}
}

// Drain refuses new flows from now on. Flows that are open go on.
func (m *Machine) Drain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopping = true
}

// Leave hands the decisions on new flows to the next oldest host. The agent
// should stay for a few seconds after it, for packets on their way.
func (m *Machine) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopping, m.left = true, true
}
