package agpacketbalancer

// Tasks by which balancers find each other and agents learn what balancers
// know.

import (
	"context"
	"fmt"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/membership/agpace"
	"github.com/anvilglade/anvilglade/internal/packet/agmessage"
	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
)

const (
	// statusInterval is the time between two statuses to each other balancer.
	statusInterval = 250 * time.Millisecond
	// maxListed bounds the balancers that a status names, so that it fits into
	// one datagram.
	maxListed = 250
	// listEvery is the number of statuses of which one carries the lists of
	// balancers and agents. Their size grows with the fleet.
	listEvery = 8
	// answerInterval is the time between two answers to an agent while nothing
	// that it has to know has changed.
	answerInterval = 900 * time.Millisecond
	// agentListInterval is the time between two lists of balancers to an agent.
	agentListInterval = 5 * time.Second
)

// answered is what an agent was told last.
type answered struct {
	at          time.Time
	listedAt    time.Time
	incarnation anvilglade.Incarnation
	evacuated   string
	balancers   int
	desired     anvilglade.DesiredVersion
	leaving     bool
}

// sendStatus tells the other balancers what this one has.
func (p *Process) sendStatus(ctx context.Context) error {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	var told time.Time
	for {
		if now := time.Now(); now.Sub(told) >= p.broadcastInterval() {
			told = now
			p.broadcast()
		}
		p.introduce()
		p.sweep()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// broadcastInterval returns the time between two statuses to each other balancer.
func (p *Process) broadcastInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A tick may come a little early.
	return agpace.Interval(statusInterval, len(p.fleet.Balancers())) - statusInterval/2
}

// sweep resets the flows whose host has ended.
func (p *Process) sweep() {
	now := time.Now()
	p.mu.Lock()
	p.fleet.Tick(now)
	lost := p.dispatcher.Sweep(now)
	p.logChanges(now)
	p.mu.Unlock()
	p.logReadiness()
	if len(lost) == 0 {
		return
	}
	for _, flow := range lost {
		datagram := p.parts.Codec.AppendReset(nil, flow.Flow, flow.Acknowledged)
		// A caller that does not get the reset gets one for its next packet.
		_ = p.packets.WriteTo(datagram, p.endpointOf(flow.Flow.Caller.IP, p.settings.PacketPort).AddrPort())
	}
	p.log.WithField("Flows", len(lost)).WithField("First", lost[0].Flow.String()).Info("Flows are reset because their hosts have ended.")
}

// logChanges logs hosts that have become silent or are heard again. The caller
// holds the mutex.
func (p *Process) logChanges(now time.Time) {
	for _, host := range p.fleet.UpdateSilent(now) {
		line := p.log.WithField("Host", host.Host).WithField("Agent", host.Agent).WithField("HostAge", now.Sub(host.Heard).Round(time.Millisecond).String())
		if host.Silent {
			line.Warn("Agent is silent; its host gets no new flows.")
			continue
		}
		line.Info("Agent is heard again.")
	}
}

// logReadiness logs that the balancer becomes ready, or no longer is.
func (p *Process) logReadiness() {
	ready := p.Ready()
	if p.wasReady.Swap(ready) == ready {
		return
	}
	p.mu.Lock()
	heard, known := p.fleet.CountHosts(time.Now())
	desired, _ := p.fleet.Desired()
	p.mu.Unlock()
	p.log.WithField("Ready", ready).WithField("HostsHeard", heard).WithField("HostsKnown", known).WithField("Version", desired.Version).
		Info("Readiness has changed.")
}

// broadcast sends the status to every balancer that is known.
func (p *Process) broadcast() {
	now := time.Now()
	p.mu.Lock()
	status := p.status(now)
	peers := p.fleet.Balancers()
	if p.broadcasts++; p.broadcasts%agpace.MessagesPerList(listEvery, len(peers)) != 1 {
		withoutLists(&status)
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
	for _, address := range addresses {
		// A peer that cannot be reached gets the next status.
		_ = p.inner.WriteTo(datagram, p.endpointOf(address, p.settings.InnerPort).AddrPort())
	}
}

// introduce sends the status to agents that others have named. An agent that
// does not know this balancer tells its own status then.
func (p *Process) introduce() {
	p.mu.Lock()
	told := p.fleet.PendingAgents()
	if len(told) == 0 {
		p.mu.Unlock()
		return
	}
	status := p.status(time.Now())
	p.mu.Unlock()
	withoutLists(&status)
	datagram, err := agmessage.AppendBalancerStatus(nil, &status)
	if err != nil {
		p.logFailure(err, "Status cannot be encoded.")
		return
	}
	for _, agent := range told {
		// An agent that cannot be reached gets the next status.
		_ = p.packets.WriteTo(datagram, p.endpointOf(agent, p.settings.PacketPort).AddrPort())
	}
}

// withoutLists takes the lists out of a status. Without the list of agents the
// receiver must not take it as complete.
func withoutLists(status *anvilglade.BalancerStatus) {
	status.Balancers, status.Agents, status.Settled = nil, nil, false
}

// welcome sends the whole status to a balancer that has just started. The caller
// holds the mutex.
func (p *Process) welcome(writer *agsocket.Writer, balancer anvilglade.IPv4, now time.Time) {
	status := p.status(now)
	datagram, err := agmessage.AppendBalancerStatus(writer.Buffer(), &status)
	if err != nil {
		p.logFailure(err, "Status cannot be encoded.")
		return
	}
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
		Settled:     p.fleet.Settled(p.started, now) && len(agents) <= maxListed,
		Desired:     desired.Version,
		Evacuations: *p.fleet.Evacuations(),
		Balancers:   living[:min(len(living), maxListed)],
		Agents:      agents[:min(len(agents), maxListed)],
	}
}

// answerAgent tells an agent what it has to know. The caller holds the mutex.
func (p *Process) answerAgent(writer *agsocket.Writer, agent *anvilglade.AgentStatus, now time.Time) {
	desired, _ := p.fleet.Desired()
	living := len(p.fleet.LivingBalancers(now))
	told := answered{
		at: now, listedAt: now, incarnation: agent.Incarnation, evacuated: fmt.Sprint(p.fleet.Evacuations().DataCentres),
		balancers: living, desired: desired.Version, leaving: p.leaving.Load(),
	}
	before := p.answered[agent.Agent]
	told.at, told.listedAt = before.at, before.listedAt
	changed := told != before
	if !changed && now.Sub(before.at) < agpace.Interval(answerInterval, living) {
		return
	}
	status := p.status(now)
	// Agents have no use for each other's addresses.
	status.Agents, status.Settled = nil, false
	told.at = now
	if changed || now.Sub(before.listedAt) > agpace.Interval(agentListInterval, living) {
		told.listedAt = now
	} else {
		status.Balancers = nil
	}
	p.answered[agent.Agent] = told
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
	writer.Add(datagram, p.endpointOf(agent.Agent, p.settings.PacketPort).AddrPort())
}
