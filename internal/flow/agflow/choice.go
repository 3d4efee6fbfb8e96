// The choice of a host for a new flow by the utilisation that the arbiter knows.
//
// The best host is the least utilised one of the PlaceChoices best accepting
// candidates and the arbiter itself. Hosts in the data centre of the balancer
// that got the packet go first while they are not above the moving threshold:
// the mean utilisation of the service with a small margin. So a data centre
// that gets more than its part spills over before its hosts are uneven.

package agflow

import (
	"net/netip"
	"slices"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
)

const (
	// thresholdFactor and thresholdMargin bound how far above the mean a host
	// of the preferred data centre may be. The target for the largest host is
	// 1.15 times the mean, and reports are up to a second old.
	thresholdFactor = 1.03
	thresholdMargin = 2.0
)

// load is what an arbiter knows of another host.
type load struct {
	utilisation anvilglade.Utilisation
	at          int64
	// placed counts the flows that were placed there since the report.
	placed int
}

func (m *Machine) learn(now int64, header *agheader.Header) {
	assigned := m.loads[header.Sender]
	if assigned == nil {
		assigned = &load{}
		m.loads[header.Sender] = assigned
	}
	*assigned = load{utilisation: header.Utilisation, at: now}
}

// estimate returns the utilisation of a host in thousandths. A host that is not
// known yet counts as idle, so that it gets work and reports.
func (m *Machine) estimate(address netip.AddrPort) float64 {
	if address == m.options.Self {
		return float64(m.options.Admitter.Utilisation())
	}
	assigned := m.loads[address]
	if assigned == nil {
		return 0
	}
	return float64(assigned.utilisation) + float64(assigned.placed)*m.flowCost
}

// choose returns the host for the next attempt.
func (m *Machine) choose(header *agheader.Header, tried []netip.AddrPort) (netip.AddrPort, bool) {
	var places [PlaceChoices + 1]netip.AddrPort
	count := m.eligible(header, tried, &places)
	assigned := m.views[header.Service]
	preferred := m.balancers[header.Balancer]
	var best, local netip.AddrPort
	for _, address := range places[:count] {
		if !best.IsValid() || m.better(address, best) {
			best = address
		}
		if preferred == "" || assigned.dataCentre(address) != preferred {
			continue
		}
		if !local.IsValid() || m.better(address, local) {
			local = address
		}
	}
	if local.IsValid() && m.estimate(local) <= assigned.meanUtilisation(m)*thresholdFactor+thresholdMargin {
		best = local
	}
	return best, best.IsValid()
}

func (m *Machine) better(a, b netip.AddrPort) bool {
	first, second := m.estimate(a), m.estimate(b)
	return first < second || first == second && m.options.Random.IntN(2) == 0
}

// eligible collects the hosts that may get the flow. The list counts as the
// balancer saw it: hosts that the assignment knows as not accepting are left out and
// not replaced by a later candidate, as a later one could be missing in the
// lists of other balancers.
func (m *Machine) eligible(header *agheader.Header, tried []netip.AddrPort, places *[PlaceChoices + 1]netip.AddrPort) int {
	assigned := m.views[header.Service]
	count, seen := 0, 0
	for _, candidate := range header.Candidates[:max(0, len(header.Candidates)-1)] {
		if !candidate.Accepts || candidate.Address == m.options.Self {
			continue
		}
		if seen++; seen > PlaceChoices {
			break
		}
		if assigned.mayAccept(candidate.Address) && !slices.Contains(tried, candidate.Address) {
			places[count] = candidate.Address
			count++
		}
	}
	if m.accepts(header.Service) == anvilglade.RefusalNone && !slices.Contains(tried, m.options.Self) {
		places[count] = m.options.Self
		count++
	}
	return count
}

// spillFactor and spillMargin bound how far above the mean a host may be before
// it offers new requests to others. Both hosts report once a second, so a
// smaller margin would send requests to and fro.
const (
	spillFactor = 1.05
	spillMargin = 10.0
)

// Spill returns a host that should get a new request of the own service instead
// of this one: this host is above the moving threshold, and the other one is the
// less utilised of two drawn at random among those below the mean. Each call
// counts as one request there until its next report. It returns false if this
// host should take the request itself, and always in services whose hosts do not
// report to each other.
func (m *Machine) Spill() (anvilglade.ServiceMember, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	assigned := m.views[m.service]
	if assigned == nil {
		return anvilglade.ServiceMember{}, false
	}
	mean := assigned.meanUtilisation(m)
	if m.estimate(m.options.Self) <= mean*spillFactor+spillMargin {
		return anvilglade.ServiceMember{}, false
	}
	var below []*anvilglade.ServiceMember
	for i := range assigned.members {
		member := &assigned.members[i]
		reported := m.loads[member.AgentAddress]
		if member.Accepts && reported != nil && member.AgentAddress != m.options.Self && m.estimate(member.AgentAddress) < mean {
			below = append(below, member)
		}
	}
	if len(below) == 0 {
		return anvilglade.ServiceMember{}, false
	}
	chosen, second := below[m.options.Random.IntN(len(below))], below[m.options.Random.IntN(len(below))]
	if m.estimate(second.AgentAddress) < m.estimate(chosen.AgentAddress) {
		chosen = second
	}
	m.loads[chosen.AgentAddress].placed++
	return *chosen, true
}
