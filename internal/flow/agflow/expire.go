// The end of flows, the expiry of entries and the periodic report to the arbiter.

package agflow

import (
	"net/netip"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
)

// TickInterval is the interval at which Tick has to be called.
const TickInterval = time.Second

// Tick ends idle flows, deletes expired placements and tombstones, and appends the
// report of the utilisation to the actions.
func (m *Machine) Tick(now time.Time, actions []Action) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := now.UnixNano()
	m.lastTick = at
	for key, flow := range m.flows {
		if flow.Protocol == anvilglade.ProtocolQUIC && flow.release != nil && at-flow.createdAt >= int64(quicHandshakeTime) {
			flow.release()
			flow.release = nil
		}
		if at-flow.lastUsed >= int64(m.idleTimeout(flow.Protocol)) {
			actions = m.end(key, flow, "idle", actions)
		}
	}
	for key, entry := range m.placements {
		if at-entry.lastUsed >= int64(PlacementLifetime) {
			delete(m.placements, key)
		}
	}
	for key, refusedPlace := range m.tombstones {
		if at-refusedPlace.at >= int64(tombstoneLifetime) {
			delete(m.tombstones, key)
		}
	}
	return m.report(actions)
}

func (m *Machine) idleTimeout(protocol anvilglade.Protocol) time.Duration {
	if protocol == anvilglade.ProtocolQUIC {
		return quicIdleTimeout
	}
	return m.options.IdleTimeout
}

// report sends the utilisation to the arbiter. In services of up to maxFullList
// hosts it is sent to all hosts, so that each can compare itself with the mean.
func (m *Machine) report(actions []Action) []Action {
	serviceView := m.views[m.service]
	arbiter := serviceView.arbiter(m, nil)
	if arbiter == nil || m.dataCentreOut {
		return actions
	}
	header := agheader.Header{Service: m.service, Protocol: anvilglade.ProtocolUDP, Sender: m.options.Self, Utilisation: m.options.Admitter.Utilisation()}
	for i := range serviceView.members {
		member := &serviceView.members[i]
		receives := member == arbiter || len(serviceView.members) <= maxFullList && isLive(member.State) && !member.Former
		if receives && member.AgentAddress != m.options.Self {
			actions = send(actions, member.AgentAddress, agheader.KindUtilisation, &header, nil)
		}
	}
	return actions
}

func (m *Machine) end(key anvilglade.FlowKey, flow *Flow, detail string, actions []Action) []Action {
	delete(m.flows, key)
	if flow.release != nil {
		flow.release()
		flow.release = nil
	}
	m.statistics.Ended++
	m.recordFlow(agevent.FlowEnded, key, m.options.Host, detail)
	return append(actions, Action{Kind: ActionEnd, Flow: flow})
}

func (m *Machine) endAll(_ int64, actions []Action) []Action {
	for key, flow := range m.flows {
		actions = m.end(key, flow, "data centre is out", actions)
	}
	clear(m.placements)
	return actions
}

// EndAll ends every flow. An agent calls it when it stops at the drain limit.
func (m *Machine) EndAll(now time.Time, actions []Action) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.endAll(now.UnixNano(), actions)
}

// OpenFlows returns the number of open plain UDP flows.
func (m *Machine) OpenFlows() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, flow := range m.flows {
		if flow.Protocol == anvilglade.ProtocolUDP {
			count++
		}
	}
	return count
}

// AnswerBalancer returns the balancer through which an answer of a flow is sent, and
// resets the idle time of the flow. It returns false if no answer may be sent.
func (m *Machine) AnswerBalancer(now time.Time, flow *Flow) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	flow.lastUsed = now.UnixNano()
	return m.chooseBalancer(flow.lastUsed, flow.balancer, flow.lastFromCaller)
}

// answerBalancer returns the balancer through which an answer to a caller of a QUIC
// service is sent. It returns false if no answer may be sent.
func (m *Machine) answerBalancer(now time.Time, balancer netip.AddrPort, lastFromCaller int64) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.chooseBalancer(now.UnixNano(), balancer, lastFromCaller)
}

// SetRecentBalancer records the balancer from which a message, such as a heartbeat
// acknowledgement, has just arrived, so that answers can be sent through it.
func (m *Machine) SetRecentBalancer(balancer netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recentBalancer = balancer
}

// chooseBalancer returns the balancer that forwarded the last packet of the flow if
// that was within balancerMaxAge. Otherwise that balancer may have stopped, and
// the balancer that last sent a message to this agent is returned.
func (m *Machine) chooseBalancer(now int64, balancer netip.AddrPort, lastFromCaller int64) (netip.AddrPort, bool) {
	if m.dataCentreOut {
		return netip.AddrPort{}, false
	}
	if now-lastFromCaller <= int64(balancerMaxAge) && balancer.IsValid() {
		return balancer, true
	}
	if m.recentBalancer.IsValid() {
		return m.recentBalancer, true
	}
	return balancer, balancer.IsValid()
}
