// The choice of a host for a new flow by the reported utilisation.
//
// The best host is the least utilised of the arbiter itself and the PlaceChoices
// highest ranked accepting candidates. Hosts in the data centre of the balancer
// that received the packet are preferred while they are not above the moving
// threshold, which is the mean utilisation of the service plus a small margin.
// Flows of a data centre that receives more than its share are therefore placed in
// other data centres before the load of the hosts becomes uneven.

package agflow

import (
	"net/netip"
	"slices"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
)

const (
	// thresholdFactor and thresholdMargin (in thousandths) give the maximum
	// utilisation of a host in the preferred data centre: mean*factor + margin. The
	// target for the most utilised host is 1.15 times the mean, and reports are up
	// to a second old.
	thresholdFactor = 1.03
	thresholdMargin = 2.0
)

// load is the last reported load of another host.
type load struct {
	utilisation anvilglade.Utilisation
	at          int64
	// placed counts the flows that were placed on the host since the report.
	placed int
}

func (m *Machine) updateLoad(now int64, header *agheader.Header) {
	hostLoad := m.loads[header.Sender]
	if hostLoad == nil {
		hostLoad = &load{}
		m.loads[header.Sender] = hostLoad
	}
	*hostLoad = load{utilisation: header.Utilisation, at: now}
}

// estimate returns the estimated utilisation of a host in thousandths. A host
// without a report counts as idle, so that it receives work and reports back.
func (m *Machine) estimate(address netip.AddrPort) float64 {
	if address == m.options.Self {
		return float64(m.options.Admitter.Utilisation())
	}
	hostLoad := m.loads[address]
	if hostLoad == nil {
		return 0
	}
	return float64(hostLoad.utilisation) + float64(hostLoad.placed)*m.flowCost
}

// chooseHost returns the host for the next attempt, false if no host remains.
func (m *Machine) chooseHost(header *agheader.Header, tried []netip.AddrPort) (netip.AddrPort, bool) {
	var places [PlaceChoices + 1]netip.AddrPort
	count := m.eligibleHosts(header, tried, &places)
	serviceView := m.views[header.Service]
	preferred := m.balancers[header.Balancer]
	var best, local netip.AddrPort
	for _, address := range places[:count] {
		if !best.IsValid() || m.lessLoaded(address, best) {
			best = address
		}
		if preferred == "" || serviceView.dataCentre(address) != preferred {
			continue
		}
		if !local.IsValid() || m.lessLoaded(address, local) {
			local = address
		}
	}
	if local.IsValid() && m.estimate(local) <= serviceView.meanUtilisation(m)*thresholdFactor+thresholdMargin {
		best = local
	}
	return best, best.IsValid()
}

func (m *Machine) lessLoaded(a, b netip.AddrPort) bool {
	first, second := m.estimate(a), m.estimate(b)
	return first < second || first == second && m.options.Random.IntN(2) == 0
}

// eligibleHosts writes the hosts that may receive the flow to places and returns
// their number. The candidates are those that the balancer chose: a host that does
// not accept flows according to the assignment is left out and not replaced by a
// later candidate, because that could be missing in the lists of other balancers.
func (m *Machine) eligibleHosts(header *agheader.Header, tried []netip.AddrPort, places *[PlaceChoices + 1]netip.AddrPort) int {
	serviceView := m.views[header.Service]
	count, seen := 0, 0
	for _, candidate := range header.Candidates[:max(0, len(header.Candidates)-1)] {
		if !candidate.Accepts || candidate.Address == m.options.Self {
			continue
		}
		if seen++; seen > PlaceChoices {
			break
		}
		if serviceView.mayAccept(candidate.Address) && !slices.Contains(tried, candidate.Address) {
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

// spillFactor and spillMargin (in thousandths) give the utilisation above which a
// host forwards new requests to others: mean*factor + margin.
// Hosts report only once a second, so with a smaller margin two hosts would
// forward requests back and forth.
const (
	spillFactor = 1.05
	spillMargin = 10.0
)

// Spill returns a host that should receive a new request of this host's service
// because this host is above the moving threshold. The returned host is the less
// utilised of two hosts chosen at random among those below the mean. Each call
// counts as one request on that host until its next report. Spill returns false
// if this host should handle the request itself, which is always so in services
// whose hosts do not report to each other.
func (m *Machine) Spill() (anvilglade.ServiceMember, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	serviceView := m.views[m.service]
	if serviceView == nil {
		return anvilglade.ServiceMember{}, false
	}
	mean := serviceView.meanUtilisation(m)
	if m.estimate(m.options.Self) <= mean*spillFactor+spillMargin {
		return anvilglade.ServiceMember{}, false
	}
	var below []*anvilglade.ServiceMember
	for i := range serviceView.members {
		member := &serviceView.members[i]
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
