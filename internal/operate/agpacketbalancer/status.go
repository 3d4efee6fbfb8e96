package agpacketbalancer

// Tasks that send statuses to other balancers and to agents, and that reset the
// flows of lost hosts.

import (
	"context"
	"fmt"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/membership/agpace"
	"github.com/anvilglade/anvilglade/internal/packet/agmessage"
	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
	"github.com/anvilglade/anvilglade/internal/state/agfleet"
)

const (
	// statusTick is the time between two checks whether a status is due.
	statusTick = 250 * time.Millisecond
	// maxListEntries limits the balancers and the agents that a status lists, so
	// that it fits into one datagram.
	maxListEntries = 250
	// statusesPerList is the number of statuses of which one carries the lists of
	// balancers and agents. The size of the lists grows with the fleet.
	statusesPerList = 8
	// agentReplyInterval is the minimum time between two replies with the same data to
	// an agent that requests ReplyPeriodic.
	agentReplyInterval = 900 * time.Millisecond
	// maxAgentReplyInterval is the maximum time between two replies to any other agent.
	// It is well below the time after which an agent removes a balancer.
	maxAgentReplyInterval = 10 * time.Second
	// agentListInterval is the minimum time between two lists of balancers to an
	// agent.
	agentListInterval = 30 * time.Second
)

// lastReply is the last reply to an agent and the data of which each change is sent
// at once.
type lastReply struct {
	sentAt      time.Time
	listSentAt  time.Time
	incarnation anvilglade.Incarnation
	evacuated   string
	leaving     bool
}

// sendStatus sends the status to the other balancers at regular intervals.
func (p *Process) sendStatus(ctx context.Context) error {
	ticker := time.NewTicker(statusTick)
	defer ticker.Stop()
	var lastSent time.Time
	for {
		if now := time.Now(); now.Sub(lastSent) >= p.broadcastInterval() {
			lastSent = now
			p.broadcastRegular()
		}
		p.updateSize()
		p.notifyAgents()
		p.resetLostFlows()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-p.pendingAgents:
		}
	}
}

// broadcastInterval returns the minimum time between two regular statuses to each
// other balancer.
func (p *Process) broadcastInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A tick may arrive slightly early.
	return p.fleet.PeerInterval() - statusTick/2
}

// resetLostFlows resets the flows whose host has ended or is lost.
func (p *Process) resetLostFlows() {
	now := time.Now()
	p.mu.Lock()
	p.fleet.Tick(now)
	lostFlows := p.dispatcher.RemoveLost(now)
	p.logSilentHosts(now)
	p.dispatcher.RefreshSplits(now)
	p.logSplitChanges(now)
	p.logEjections(now)
	p.mu.Unlock()
	p.logReadiness()
	if len(lostFlows) == 0 {
		return
	}
	for _, flow := range lostFlows {
		datagram := p.parts.Codec.AppendReset(nil, flow.Flow, flow.Acknowledged)
		// If the reset is lost, the caller receives another one for its next packet.
		_ = p.packets.WriteTo(datagram, p.endpointOf(flow.Flow.Caller.IP, p.settings.PacketPort).AddrPort())
	}
	p.log.WithField("Flows", len(lostFlows)).WithField("First", lostFlows[0].Flow.String()).Info("Flows are reset because their hosts have ended.")
}

// logSilentHosts logs hosts whose statuses have started to be missing or arrive
// again. The caller holds the mutex.
func (p *Process) logSilentHosts(now time.Time) {
	for _, host := range p.fleet.UpdateSilent(now) {
		line := p.log.WithField("Host", host.Host).WithField("Agent", host.Agent).WithField("HostAge", now.Sub(host.LastStatus).Round(time.Millisecond).String())
		if host.StatusOverdue {
			line.Warn("Agent is silent; its host gets no new flows.")
			continue
		}
		line.Info("Agent sends statuses again.")
	}
}

// logReadiness logs changes of the balancer's readiness.
func (p *Process) logReadiness() {
	ready := p.Ready()
	if p.loggedReady.Swap(ready) == ready {
		return
	}
	p.mu.Lock()
	responding, total := p.fleet.CountHosts(time.Now())
	desired, _ := p.fleet.Desired()
	p.mu.Unlock()
	p.log.WithField("Ready", ready).WithField("HostsHeard", responding).WithField("HostsKnown", total).WithField("Version", desired.Version).
		Info("Readiness has changed.")
}

// broadcast sends the status to all other balancers.
func (p *Process) broadcast() {
	p.sendToPeers(func(uint64, time.Time) []*agfleet.Balancer { return p.fleet.Balancers() })
}

// broadcastRegular sends a regular status to the balancers that receive it.
func (p *Process) broadcastRegular() {
	p.sendToPeers(p.fleet.StatusReceivers)
}

// sendToPeers sends the status to balancers, which it selects by the number of the status
// while it holds the mutex.
func (p *Process) sendToPeers(receivers func(number uint64, now time.Time) []*agfleet.Balancer) {
	now := time.Now()
	p.mu.Lock()
	p.broadcasts++
	peers := receivers(p.broadcasts, now)
	if len(peers) == 0 {
		p.mu.Unlock()
		return
	}
	status := p.status(now)
	status.Shifts = p.dispatcher.ReportedShifts()
	if p.broadcasts%p.fleet.StatusesPerList(statusesPerList, now) != 1 {
		clearLists(&status)
	}
	addresses := make([]anvilglade.IPv4, 0, len(peers))
	for _, peer := range peers {
		addresses = append(addresses, peer.Balancer)
	}
	p.mu.Unlock()
	datagram, err := agmessage.AppendBalancerStatus(nil, &status)
	if err != nil {
		p.logFailure(err, "Status cannot be encoded.")
		return
	}
	p.countSent(controlPeerStatus, len(addresses), len(datagram))
	for _, address := range addresses {
		// A failed send is not retried: the next status follows soon.
		_ = p.inner.WriteTo(datagram, p.endpointOf(address, p.settings.InnerPort).AddrPort())
	}
}

// notifyAgents sends the status to agents that may not have this balancer in their
// roster: those that the store or a peer has listed and that have not sent a status yet,
// and some of those whose statuses are missing. An agent adds the balancer and sends its
// own status in return.
func (p *Process) notifyAgents() {
	p.mu.Lock()
	agents := append(p.fleet.PendingAgents(), p.fleet.OverdueAgents()...)
	if len(agents) == 0 {
		p.mu.Unlock()
		return
	}
	status := p.status(time.Now())
	p.mu.Unlock()
	clearLists(&status)
	datagram, err := agmessage.AppendBalancerStatus(nil, &status)
	if err != nil {
		p.logFailure(err, "Status cannot be encoded.")
		return
	}
	p.countSent(controlNotify, len(agents), len(datagram))
	for _, agent := range agents {
		// A failed send is not retried: the next status follows soon.
		_ = p.packets.WriteTo(datagram, p.endpointOf(agent, p.settings.PacketPort).AddrPort())
	}
}

// clearLists removes the lists from a status. It clears Settled too, because the
// receiver must not treat a missing list of agents as a complete one.
func clearLists(status *anvilglade.BalancerStatus) {
	status.Balancers, status.Agents, status.Settled = nil, nil, false
}

// sendFullStatus sends the status with its lists to a balancer that has just
// started. The caller holds the mutex.
func (p *Process) sendFullStatus(writer *agsocket.Writer, balancer anvilglade.IPv4, now time.Time) {
	status := p.status(now)
	status.Shifts = p.dispatcher.ReportedShifts()
	datagram, err := agmessage.AppendBalancerStatus(writer.Buffer(), &status)
	if err != nil {
		p.logFailure(err, "Status cannot be encoded.")
		return
	}
	p.countControl(directionSent, controlPeerStatus, 1, len(datagram))
	writer.Add(datagram, p.endpointOf(balancer, p.settings.InnerPort).AddrPort())
}

// status returns the status of this balancer. The caller holds the mutex.
func (p *Process) status(now time.Time) anvilglade.BalancerStatus {
	living := p.fleet.LivingBalancers(now)
	agents := p.fleet.Agents(now)
	desired, _ := p.fleet.Desired()
	return anvilglade.BalancerStatus{
		Balancer:    p.settings.IP,
		Incarnation: p.incarnation,
		Sequence:    anvilglade.Sequence(p.sequence.Add(1)),
		DataCentre:  p.settings.DataCentre,
		Leaving:     p.leaving.Load(),
		Settled:     p.fleet.Settled(p.started, now) && len(agents) <= maxListEntries,
		Desired:     desired.Version,
		Evacuations: *p.fleet.Evacuations(),
		Watch:       p.watch(),
		Capacity:    p.monitor.Capacity(),
		Balancers:   living[:min(len(living), maxListEntries)],
		Agents:      agents[:min(len(agents), maxListEntries)],
	}
}

// replyToAgent replies to the status of an agent with the status of this balancer and
// the cold rate of the agent's service, if the reply is due. The caller holds the
// mutex.
func (p *Process) replyToAgent(writer *agsocket.Writer, agent *anvilglade.AgentStatus, now time.Time) {
	last := p.lastReply[agent.Agent]
	reply := last
	reply.incarnation, reply.evacuated, reply.leaving = agent.Incarnation, fmt.Sprint(p.fleet.Evacuations().DataCentres), p.leaving.Load()
	changed := reply != last
	if !changed && now.Sub(last.sentAt) < p.replyWait(agent.Reply, now) {
		return
	}
	status := p.status(now)
	// Agents do not need each other's addresses.
	status.Agents, status.Settled = nil, false
	reply.sentAt = now
	if reply.incarnation != last.incarnation || now.Sub(last.listSentAt) > agentListInterval {
		reply.listSentAt = now
	} else {
		status.Balancers = nil
	}
	p.lastReply[agent.Agent] = reply
	desired, _ := p.fleet.Desired()
	for _, service := range desired.Services {
		if service.Service == agent.Service {
			status.ColdRates = append(status.ColdRates, service)
		}
	}
	datagram, err := agmessage.AppendBalancerStatus(writer.Buffer(), &status)
	if err != nil {
		p.logFailure(err, "Status cannot be encoded.")
		return
	}
	p.countControl(directionSent, controlAgentReply, 1, len(datagram))
	writer.Add(datagram, p.endpointOf(agent.Agent, p.settings.PacketPort).AddrPort())
}

// replyWait returns the minimum time since the last reply to an agent after which one
// with the same data is due. The caller holds the mutex.
func (p *Process) replyWait(request anvilglade.ReplyRequest, now time.Time) time.Duration {
	switch request {
	case anvilglade.ReplyNow:
		return 0
	case anvilglade.ReplyOnChange:
		return maxAgentReplyInterval
	}
	return agpace.Interval(agentReplyInterval, len(p.fleet.LivingBalancers(now)))
}
