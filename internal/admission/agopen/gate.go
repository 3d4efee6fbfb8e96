// Package agopen decides at an agent whether its host takes a new packet flow.
//
// The agent runs on the VM of its host, so what it decides holds for every
// balancer, also for one whose knowledge is old. The host's own heartbeats say
// whether it is ready, draining or cold; the evacuated data centres come from
// balancers. An agent that does not know its host's state, because it has just
// started or because heartbeats have stopped, takes nothing. A cold host gets
// new flows at the rate that its service names, metered over a sliding second.
//
// # Usage
//
//	gate := agopen.NewGate(options)
//	verdict := gate.Heartbeat(heartbeat, now)
//	if refusal := gate.Open(now); refusal != agopen.RefusalNone {
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
)

// HeartbeatResult is what became of a heartbeat.
type HeartbeatResult string

// Results of a heartbeat. An old one is from an earlier boot of the host or was
// overtaken by a later one; a foreign one is of another host.
const (
	HeartbeatNew     HeartbeatResult = "New"
	HeartbeatOld     HeartbeatResult = "Old"
	HeartbeatForeign HeartbeatResult = "Foreign"
)

const (
	// silentHeartbeats is the number of missing heartbeats after which the
	// host's state is not known any more.
	silentHeartbeats = 3
	// restartTime is less than the time from the end of a process to the start
	// of the next one on the same VM.
	restartTime = 400 * time.Millisecond
	// bornTolerance covers the rounding of births to milliseconds.
	bornTolerance = 50 * time.Millisecond
	// firstSequence is the sequence number of a host's first heartbeat.
	firstSequence = 1
	// coldWindow is the span over which new flows of a cold host are counted.
	coldWindow = time.Second
	// coldMargin is kept below the bound for flows that arrive late in one
	// window and early in the next.
	coldMargin = 1.0
	// coldTail is how long a host is still treated as cold after it says that
	// it is not, as its heartbeat and the meter are not exact.
	coldTail = 200 * time.Millisecond
	// busyFactor is the number of requests for each slot from which on another
	// host is tried first: a request would wait for as long as its work takes.
	busyFactor = 2
	// staleAfter is the age of the newest status of a balancer from which on
	// the agent no longer knows whether its data centre is evacuated.
	staleAfter = 3 * time.Second
)

// Options are the settings of a Gate.
type Options struct {
	Service           anvilglade.ServiceID
	Address           anvilglade.Endpoint
	HeartbeatInterval time.Duration
	// Started is the start of this process by the VM's clock.
	Started time.Time
	// ColdSlack is the number of flows a second that a cold host may get
	// beyond its rate.
	ColdSlack float64
}

// Gate is the state of one host as far as new flows are concerned. It is not
// safe for concurrent use.
type Gate struct {
	options   Options
	heartbeat anvilglade.HostHeartbeat
	heard     time.Time
	known     bool
	gone      bool
	// complete is set if the host has taken no flow through another process:
	// its first heartbeat was heard, or no host ran here before it.
	complete  bool
	coldUntil time.Time
	coldRate  float64
	opened    []time.Time
	evacuated bool
	informed  time.Time
}

// NewGate returns a Gate that knows nothing of its host yet.
func NewGate(options Options) *Gate {
	return &Gate{options: options}
}

// Heartbeat takes a heartbeat. One of an earlier boot, or with a sequence
// number that is not higher, changes nothing.
func (g *Gate) Heartbeat(heartbeat anvilglade.HostHeartbeat, now time.Time) HeartbeatResult {
	if heartbeat.Service != g.options.Service || heartbeat.Address != g.options.Address {
		return HeartbeatForeign
	}
	if g.known && g.isOld(&heartbeat) {
		return HeartbeatOld
	}
	if newBoot := !g.known || heartbeat.Born.After(g.heartbeat.Born); newBoot {
		g.coldUntil = time.Time{}
		g.complete = g.known || g.gone || heartbeat.Sequence <= firstSequence || g.bornWithProcess(heartbeat.Born, now)
	}
	if heartbeat.ColdLeft > 0 {
		g.coldUntil = now.Add(heartbeat.ColdLeft + coldTail)
	}
	g.heartbeat, g.heard, g.known, g.gone = heartbeat, now, true, false
	return HeartbeatNew
}

// bornWithProcess reports whether a host was born so shortly before this process
// that no earlier one can have carried its flows. A birth in the future means
// that the clock has jumped and tells nothing.
func (g *Gate) bornWithProcess(born, now time.Time) bool {
	return born.After(g.options.Started.Add(-restartTime)) && !born.After(now.Add(bornTolerance))
}

func (g *Gate) isOld(heartbeat *anvilglade.HostHeartbeat) bool {
	if !heartbeat.Born.Equal(g.heartbeat.Born) {
		return heartbeat.Born.Before(g.heartbeat.Born)
	}
	return heartbeat.Sequence <= g.heartbeat.Sequence
}

// Leave takes the message that the host ends, and reports whether it is about
// the present host.
func (g *Gate) Leave(host anvilglade.HostID) bool {
	if !g.known || host != g.heartbeat.Host {
		return false
	}
	g.gone = true
	return true
}

// MarkHostDown takes the finding that the host does not run. Its next heartbeat
// puts it back.
func (g *Gate) MarkHostDown() {
	g.gone = true
}

// SawAllFlows reports whether every flow of the host has come through this process.
func (g *Gate) SawAllFlows() bool {
	return g.known && g.complete
}

// Ended reports whether it is known that the host does not run any more.
func (g *Gate) Ended() bool {
	return g.gone
}

// SetPolicy takes what balancers say of the evacuations and of the service.
func (g *Gate) SetPolicy(evacuated bool, coldRate float64, now time.Time) {
	g.evacuated, g.coldRate, g.informed = evacuated, coldRate, now
}

// Host returns the newest heartbeat, or false before the first one.
func (g *Gate) Host() (*anvilglade.HostHeartbeat, bool) {
	return &g.heartbeat, g.known
}

// ColdRate returns the number of new flows a second that the host bears while it
// is cold.
func (g *Gate) ColdRate() float64 {
	return g.coldRate
}

// HeartbeatAge returns the time since the newest heartbeat, 0 before the first one.
func (g *Gate) HeartbeatAge(now time.Time) time.Duration {
	if !g.known {
		return 0
	}
	return now.Sub(g.heard)
}

// Cold reports whether the host is cold.
func (g *Gate) Cold(now time.Time) bool {
	return now.Before(g.coldUntil)
}

// AdmissionState returns the reason for which the host takes no new flows at all,
// without the limit of a cold host.
func (g *Gate) AdmissionState(now time.Time) Refusal {
	switch {
	case !g.known:
		return RefusalNoHeartbeat
	case g.gone:
		return RefusalGone
	case g.heartbeat.Draining:
		return RefusalDraining
	case now.Sub(g.heard) > silentHeartbeats*g.options.HeartbeatInterval:
		return RefusalNoHeartbeat
	case g.evacuated:
		return RefusalEvacuated
	case g.informed.IsZero() || now.Sub(g.informed) > staleAfter:
		return RefusalStale
	}
	return RefusalNone
}

// Busy reports whether another host should be tried first, given the requests
// that the host has or is about to get. Balancers place by loads that are some
// milliseconds old; after an outage hundreds of flows come in that time.
func (g *Gate) Busy(expected int) bool {
	return g.known && g.heartbeat.Slots > 0 && expected >= busyFactor*int(g.heartbeat.Slots)
}

// AdmitFlow asks for one new flow and counts it if it is allowed.
func (g *Gate) AdmitFlow(now time.Time) Refusal {
	if refusal := g.AdmissionState(now); refusal != RefusalNone {
		return refusal
	}
	if !g.Cold(now) || g.coldRate <= 0 {
		return RefusalNone
	}
	for len(g.opened) > 0 && now.Sub(g.opened[0]) > coldWindow {
		g.opened = g.opened[1:]
	}
	if float64(len(g.opened)+1) > g.coldRate+g.options.ColdSlack-coldMargin {
		return RefusalCold
	}
	g.opened = append(g.opened, now)
	return RefusalNone
}
