// Package agpath detects at a balancer that it cannot reach an agent, although it may
// still receive the agent's statuses.
//
// Packets between two VMs can be lost in one direction only. A status proves the path
// from the agent to the balancer, an answer to a probe proves both directions. Probes
// are sent only after a suspicion, an opening packet without an answer, and then to
// all agents of that data centre, because a broken path usually concerns all of them.
// An agent that does not answer maxMissedProbes probes in a row is unreachable, and it
// is probed at a longer interval until it answers.
//
// A Prober takes the time as a parameter, has no sockets and is not safe for
// concurrent use.
//
// # Usage
//
//	prober := agpath.NewProber()
//	if prober.Suspect("dk1", now) {
//		prober.Probe(agentsOfDataCentre)
//	}
//	for _, agent := range prober.Due(now) {
//		// send a probe
//	}
//	prober.Confirm(agent) // after an answer
//	if prober.Unreachable(agent) {
//		// prefer other agents
//	}
package agpath

import (
	"time"

	"github.com/anvilglade/anvilglade"
)

const (
	// probeTimeout is the time after which a probe or its answer counts as lost.
	probeTimeout = 100 * time.Millisecond
	// maxMissedProbes is the number of unanswered probes in a row from which an agent
	// is unreachable. A single one may be lost on a link that works.
	maxMissedProbes = 2
	// retryInterval is the time between two probes to an unreachable agent.
	retryInterval = 500 * time.Millisecond
	// suspicionInterval is the minimum time between two suspicions of the same data
	// centre that lead to probes. It limits the probes on a link that loses packets.
	suspicionInterval = time.Second
)

// probe is the state of the probes to one agent.
type probe struct {
	sentAt time.Time
	// missed is the number of probes in a row without an answer.
	missed int
}

// Prober probes the agents of suspected data centres.
type Prober struct {
	// probes has the agents that have not answered since the suspicion.
	probes      map[anvilglade.IPv4]*probe
	suspectedAt map[anvilglade.DataCentreID]time.Time
}

// NewProber returns a Prober without suspicions.
func NewProber() *Prober {
	return &Prober{probes: make(map[anvilglade.IPv4]*probe), suspectedAt: make(map[anvilglade.DataCentreID]time.Time)}
}

// Suspect handles a suspicion of a data centre and reports whether its agents have to be
// probed. It returns false if it has returned true within suspicionInterval.
func (p *Prober) Suspect(dataCentre anvilglade.DataCentreID, now time.Time) bool {
	if last, suspected := p.suspectedAt[dataCentre]; suspected && now.Sub(last) < suspicionInterval {
		return false
	}
	p.suspectedAt[dataCentre] = now
	return true
}

// Probe starts probes to agents.
func (p *Prober) Probe(agents []anvilglade.IPv4) {
	for _, agent := range agents {
		if p.probes[agent] == nil {
			p.probes[agent] = &probe{}
		}
	}
}

// Due returns the agents to send a probe to now.
func (p *Prober) Due(now time.Time) []anvilglade.IPv4 {
	var due []anvilglade.IPv4
	for agent, probe := range p.probes {
		if !probe.sentAt.IsZero() && now.Sub(probe.sentAt) < probe.wait() {
			continue
		}
		if !probe.sentAt.IsZero() {
			probe.missed++
		}
		probe.sentAt = now
		due = append(due, agent)
	}
	return due
}

// wait returns the time from a probe to the next one.
func (p *probe) wait() time.Duration {
	if p.missed >= maxMissedProbes {
		return retryInterval
	}
	return probeTimeout
}

// Confirm handles a message that an agent sends only in response to one of this
// balancer. It ends the probes to the agent.
func (p *Prober) Confirm(agent anvilglade.IPv4) {
	delete(p.probes, agent)
}

// Unreachable reports whether an agent has not answered maxMissedProbes probes in a
// row.
func (p *Prober) Unreachable(agent anvilglade.IPv4) bool {
	probe := p.probes[agent]
	return probe != nil && probe.missed >= maxMissedProbes
}

// Forget ends the probes to the agents that are no longer known.
func (p *Prober) Forget(known func(anvilglade.IPv4) bool) {
	for agent := range p.probes {
		if !known(agent) {
			delete(p.probes, agent)
		}
	}
}
