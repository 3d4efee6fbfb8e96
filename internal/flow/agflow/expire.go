// Ends of flows, expiry of entries and the regular report to the arbiter.

package agflow

import (
	"net/netip"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
)

// TickInterval is how often Tick is to be called.
const TickInterval = time.Second

// Tick ends idle flows, forgets old entries and reports the utilisation to the
// arbiter.
func (m *Machine) Tick(now time.Time, actions []Action) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := now.UnixNano()
	m.utilAt = at
	for key, flow := range m.flows {
		if flow.Protocol == anvilglade.ProtocolQUIC && flow.release != nil && at-flow.created >= int64(quicHold) {
			flow.release()
			flow.release = nil
		}
		if at-flow.used >= int64(m.idleTimeout(flow.Protocol)) {
			actions = m.end(key, flow, "idle", actions)
		}
	}
	for key, entry := range m.placements {
		if at-entry.used >= int64(EntryLife) {
			delete(m.placements, key)
		}
	}
	for key, stone := range m.tombstones {
		if at-stone.at >= int64(tombstoneLife) {
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

// report sends the utilisation to the arbiter. In small services it goes to all
// hosts, so that each can tell whether it is above the mean.
func (m *Machine) report(actions []Action) []Action {
	assigned := m.views[m.service]
	arbiter := assigned.arbiter(m, nil)
	if arbiter == nil || m.out {
		return actions
	}
	header := agheader.Header{Service: m.service, Protocol: anvilglade.ProtocolUDP, Sender: m.options.Self, Utilisation: m.options.Admitter.Utilisation()}
	for i := range assigned.members {
		member := &assigned.members[i]
		wanted := member == arbiter || len(assigned.members) <= listAll && living(member.State) && !member.Former
		if wanted && member.AgentAddress != m.options.Self {
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

// EndAll ends every flow, for an agent that stops at the drain limit.
func (m *Machine) EndAll(now time.Time, actions []Action) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.endAll(now.UnixNano(), actions)
}

// OpenFlows returns the number of plain UDP flows.
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

// AnswerPath returns the balancer that gets an answer of a flow and notes that
// the flow is in use. It returns false when no answer may be sent.
func (m *Machine) AnswerPath(now time.Time, flow *Flow) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	flow.used = now.UnixNano()
	return m.path(flow.used, flow.balancer, flow.heard)
}

// answerPath is AnswerPath for a caller of a QUIC service.
func (m *Machine) answerPath(now time.Time, balancer netip.AddrPort, heard int64) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.path(now.UnixNano(), balancer, heard)
}

// SetRecentBalancer notes that a balancer sent something now, such as the answer to
// a heartbeat, so that answers can go through it.
func (m *Machine) SetRecentBalancer(balancer netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recent = balancer
}

// path prefers the balancer that forwarded a packet of the flow recently. Another
// balancer that was heard last stands in when that one is silent: it may have
// stopped.
func (m *Machine) path(now int64, balancer netip.AddrPort, heard int64) (netip.AddrPort, bool) {
	if m.out {
		return netip.AddrPort{}, false
	}
	if now-heard <= int64(balancerFresh) && balancer.IsValid() {
		return balancer, true
	}
	if m.recent.IsValid() {
		return m.recent, true
	}
	return balancer, balancer.IsValid()
}
