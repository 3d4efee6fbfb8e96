// Package agopen decides at an agent whether its host takes a new packet flow.
//
// The agent runs on the VM of its host, so its decisions apply to the flows of
// every balancer, including balancers with outdated state. The host's heartbeats
// report whether it is ready, draining or cold; the evacuated data centres come
// from balancers. An agent without a recent state of its host, because the agent
// has just started or because heartbeats are missing, takes no flows. A cold host
// receives new flows at the rate given by its service, counted over a sliding
// window of one second. A host that returns opening packets receives none for a time
// that grows with each further one, and then one at a time until it accepts one.
//
// # Usage
//
//	gate := agopen.NewGate(options)
//	result := gate.Heartbeat(heartbeat, now)
//	if refusal := gate.AdmitFlow(now); refusal != agopen.RefusalNone {
//		// pass the packet on
//	}
package agopen

import (
	"time"

	"github.com/anvilglade/anvilglade"
)

// Refusal is the reason for which a new flow is not taken.
type Refusal string

// Reasons of a refusal.
const (
	RefusalNone        Refusal = ""
	RefusalNoHeartbeat Refusal = "NoHeartbeat"
	RefusalDraining    Refusal = "Draining"
	RefusalGone        Refusal = "Gone"
	RefusalEvacuated   Refusal = "Evacuated"
	RefusalCold        Refusal = "Cold"
	RefusalStale       Refusal = "StaleState"
	RefusalBusy        Refusal = "Busy"
	RefusalReturned    Refusal = "HostReturnsFlows"
)

// HeartbeatResult is the result of handling a heartbeat.
type HeartbeatResult string

// Results of a heartbeat. An old one is from an earlier boot of the host or arrived
// after a later one; a foreign one is from another service or address.
const (
	HeartbeatNew     HeartbeatResult = "New"
	HeartbeatOld     HeartbeatResult = "Old"
	HeartbeatForeign HeartbeatResult = "Foreign"
)

const (
	// maxMissedHeartbeats is the number of missing heartbeats after which the
	// host's state counts as unknown.
	maxMissedHeartbeats = 3
	// minRestartTime is a lower bound of the time from the end of a process to the
	// start of the next one on the same VM.
	minRestartTime = 400 * time.Millisecond
	// bornTolerance covers the rounding of start times to milliseconds.
	bornTolerance = 50 * time.Millisecond
	// firstSequence is the sequence number of a host's first heartbeat.
	firstSequence = 1
	// coldWindow is the window in which the new flows of a cold host are counted.
	coldWindow = time.Second
	// coldMargin is the number of flows subtracted from the limit of a cold host,
	// for flows that arrive late in one window and early in the next.
	coldMargin = 1.0
	// coldGrace is the time for which a host counts as cold after it has reported
	// that it is warm, because the times in heartbeats and the counting of flows
	// are not exact.
	coldGrace = 200 * time.Millisecond
	// busyRequestsPerSlot is the number of requests per slot from which another
	// host is tried first: a request would wait for as long as its processing
	// takes.
	busyRequestsPerSlot = 2
	// staleAfter is the age of the latest balancer status from which its
	// evacuations count as unknown.
	staleAfter = 3 * time.Second
)

// Options are the settings of a Gate.
type Options struct {
	Service           anvilglade.ServiceID
	Address           anvilglade.Endpoint
	HeartbeatInterval time.Duration
	// Started is the start of this process by the VM's clock.
	Started time.Time
	// ColdSlack is the number of flows per second that a cold host may receive in
	// excess of its rate.
	ColdSlack float64
}

// Gate holds the state of one host that decides on new flows. It is not safe for
// concurrent use.
type Gate struct {
	options      Options
	heartbeat    anvilglade.HostHeartbeat
	heartbeatAt  time.Time
	hasHeartbeat bool
	hostEnded    bool
	// hasAllFlows is set if the host has taken no flow through another agent
	// process: its first heartbeat was received by this one, or no earlier agent
	// can have run beside it.
	hasAllFlows bool
	// coldUntil is the time until which the host counts as cold, coldRate its limit of
	// new flows per second, and recentFlows the times of those in the latest window.
	coldUntil   time.Time
	coldRate    float64
	recentFlows []time.Time
	breaker     breaker
	// evacuated is the state of the data centre as of policyAt.
	evacuated bool
	policyAt  time.Time
}

// NewGate returns a Gate that refuses all flows until it has received a heartbeat
// and a policy.
func NewGate(options Options) *Gate {
	return &Gate{options: options}
}

// Heartbeat handles a heartbeat. A heartbeat of an earlier boot, or with a sequence
// number that is not higher than the last one, has no effect.
func (g *Gate) Heartbeat(heartbeat anvilglade.HostHeartbeat, now time.Time) HeartbeatResult {
	if heartbeat.Service != g.options.Service || heartbeat.Address != g.options.Address {
		return HeartbeatForeign
	}
	if g.hasHeartbeat && g.isOutdated(&heartbeat) {
		return HeartbeatOld
	}
	if newBoot := !g.hasHeartbeat || heartbeat.Born.After(g.heartbeat.Born); newBoot {
		g.coldUntil, g.breaker = time.Time{}, breaker{}
		g.hasAllFlows = g.hasHeartbeat || g.hostEnded || heartbeat.Sequence <= firstSequence || g.startedWithProcess(heartbeat.Born, now)
	}
	if heartbeat.ColdLeft > 0 {
		g.coldUntil = now.Add(heartbeat.ColdLeft + coldGrace)
	}
	g.heartbeat, g.heartbeatAt, g.hasHeartbeat, g.hostEnded = heartbeat, now, true, false
	return HeartbeatNew
}

// startedWithProcess reports whether a host started so shortly before this process
// that no earlier agent process can have forwarded its flows. It returns false for a
// start time in the future, which means that the clock has been set.
func (g *Gate) startedWithProcess(born, now time.Time) bool {
	return born.After(g.options.Started.Add(-minRestartTime)) && !born.After(now.Add(bornTolerance))
}

func (g *Gate) isOutdated(heartbeat *anvilglade.HostHeartbeat) bool {
	if !heartbeat.Born.Equal(g.heartbeat.Born) {
		return heartbeat.Born.Before(g.heartbeat.Born)
	}
	return heartbeat.Sequence <= g.heartbeat.Sequence
}

// Leave handles the message that a host leaves. It returns false and has no effect if
// the message is not about the current host.
func (g *Gate) Leave(host anvilglade.HostID) bool {
	if !g.hasHeartbeat || host != g.heartbeat.Host {
		return false
	}
	g.hostEnded = true
	return true
}

// MarkHostDown records that the host does not run. The next heartbeat clears this.
func (g *Gate) MarkHostDown() {
	g.hostEnded = true
}

// HasAllFlows reports whether this process has forwarded every flow of the host.
func (g *Gate) HasAllFlows() bool {
	return g.hasHeartbeat && g.hasAllFlows
}

// Ended reports whether the host has ended: it has announced that it leaves, or
// MarkHostDown has been called since the latest heartbeat.
func (g *Gate) Ended() bool {
	return g.hostEnded
}

// SetPolicy records what balancers report at a time: whether the host's data centre
// is evacuated, and the rate of new flows per second for a cold host of its service.
func (g *Gate) SetPolicy(evacuated bool, coldRate float64, now time.Time) {
	g.evacuated, g.coldRate, g.policyAt = evacuated, coldRate, now
}

// Host returns the latest heartbeat, or false before the first one.
func (g *Gate) Host() (*anvilglade.HostHeartbeat, bool) {
	return &g.heartbeat, g.hasHeartbeat
}

// ColdRate returns the number of new flows per second that the host can handle while
// it is cold.
func (g *Gate) ColdRate() float64 {
	return g.coldRate
}

// HeartbeatAge returns the time since the latest heartbeat, 0 before the first one.
func (g *Gate) HeartbeatAge(now time.Time) time.Duration {
	if !g.hasHeartbeat {
		return 0
	}
	return now.Sub(g.heartbeatAt)
}

// Cold reports whether the host is cold.
func (g *Gate) Cold(now time.Time) bool {
	return now.Before(g.coldUntil)
}

// AdmissionState returns the reason for which the host takes no new flows, or
// RefusalNone. It does not consider the rate limit of a cold host.
func (g *Gate) AdmissionState(now time.Time) Refusal {
	switch {
	case !g.hasHeartbeat:
		return RefusalNoHeartbeat
	case g.hostEnded:
		return RefusalGone
	case g.heartbeat.Draining:
		return RefusalDraining
	case now.Sub(g.heartbeatAt) > maxMissedHeartbeats*g.options.HeartbeatInterval:
		return RefusalNoHeartbeat
	case g.evacuated:
		return RefusalEvacuated
	case g.policyAt.IsZero() || now.Sub(g.policyAt) > staleAfter:
		return RefusalStale
	case g.breaker.open(now):
		return RefusalReturned
	}
	return RefusalNone
}

// FlowReturned records that the host has returned an opening packet, so that the next
// flows go to other hosts.
func (g *Gate) FlowReturned(now time.Time) {
	g.breaker.returned(now)
}

// FlowAccepted records that the host has accepted a flow.
func (g *Gate) FlowAccepted(now time.Time) {
	g.breaker.accepted(now)
}

// Busy reports whether another host should be tried first, given the number of
// requests that the host has or is expected to receive. Balancers place flows by
// loads that are a few milliseconds old, and after an outage hundreds of flows
// arrive in that time.
func (g *Gate) Busy(expected int) bool {
	return g.hasHeartbeat && g.heartbeat.Slots > 0 && expected >= busyRequestsPerSlot*int(g.heartbeat.Slots)
}

// AdmitFlow decides on one new flow. It returns RefusalNone and counts the flow if
// the host takes it, otherwise the reason of the refusal.
func (g *Gate) AdmitFlow(now time.Time) Refusal {
	if refusal := g.CheckFlow(now); refusal != RefusalNone {
		return refusal
	}
	g.breaker.take(now)
	if g.limitsRate(now) {
		g.recentFlows = append(g.recentFlows, now)
	}
	return RefusalNone
}

// CheckFlow returns what AdmitFlow would return, without counting a flow.
func (g *Gate) CheckFlow(now time.Time) Refusal {
	if refusal := g.AdmissionState(now); refusal != RefusalNone {
		return refusal
	}
	if !g.breaker.admits(now) {
		return RefusalReturned
	}
	if !g.limitsRate(now) {
		return RefusalNone
	}
	for len(g.recentFlows) > 0 && now.Sub(g.recentFlows[0]) > coldWindow {
		g.recentFlows = g.recentFlows[1:]
	}
	if float64(len(g.recentFlows)+1) > g.coldRate+g.options.ColdSlack-coldMargin {
		return RefusalCold
	}
	return RefusalNone
}

// limitsRate reports whether new flows are counted because the host is cold.
func (g *Gate) limitsRate(now time.Time) bool {
	return g.Cold(now) && g.coldRate > 0
}
