package agplace

// Expected completion time of the next request on a host. The wait follows from the
// utilisation that the open flows bring, because a long flow stays on its host for much
// longer than the queue of the last status; a longer queue counts while it lasts.

import (
	"math"
	"time"

	"github.com/anvilglade/anvilglade"
)

const (
	// linearFrom is the utilisation above which the expected wait grows linearly. Hosts
	// queue few requests, so waits near full load stay below those of a long queue, and
	// the error of a rate that is averaged over seconds would dominate the ranking.
	linearFrom = 0.6
	// rateWindow is the time over which agents average the rate of requests. Flows that
	// were opened within it are not yet counted in full.
	rateWindow = 2 * time.Second
)

// Load is the load of a host that reports its service time.
type Load struct {
	// ServiceTime, Wait and RequestRate are the fields of the last status, Age is the
	// time since then.
	ServiceTime time.Duration
	Wait        time.Duration
	RequestRate float64
	Age         time.Duration
	// NewFlows is the number of open flows above the average over rateWindow, including
	// those that this balancer has placed since. Placed counts only the latter.
	NewFlows float64
	Placed   int
}

// utilisation returns the share of the slots that the flows of the host occupy if each of
// its new flows brings flowRate requests per second.
func (l *Load) utilisation(slots anvilglade.Slots, flowRate float64) float64 {
	return (l.RequestRate + flowRate*max(l.NewFlows, 0)) * l.ServiceTime.Seconds() / slotCount(slots)
}

// expectedWait returns the wait in seconds of a request that arrives at a host with a
// utilisation. It is an approximation of the wait in a queue with several servers, and
// exact for one.
func (l *Load) expectedWait(slots anvilglade.Slots, utilisation float64) float64 {
	perSlot := l.ServiceTime.Seconds() / slotCount(slots)
	if utilisation <= linearFrom {
		return perSlot * utilisation * utilisation / (1 - utilisation)
	}
	const free = 1 - linearFrom
	const slope = linearFrom * (2 - linearFrom) / (free * free)
	return perSlot * (linearFrom*linearFrom/free + slope*(utilisation-linearFrom))
}

// backlog returns what remains in seconds of the wait in the last status: the host works
// it off with the slots that its flows leave free.
func (l *Load) backlog(utilisation float64) float64 {
	return max(0, l.Wait.Seconds()-max(0, 1-utilisation)*l.Age.Seconds())
}

// wait returns the expected wait in seconds of the first request of a new flow.
func (l *Load) wait(slots anvilglade.Slots, flowRate float64) float64 {
	perSlot := l.ServiceTime.Seconds() / slotCount(slots)
	utilisation := l.utilisation(slots, flowRate)
	withFlow := utilisation + flowRate*perSlot
	return l.backlog(utilisation) + l.expectedWait(slots, withFlow) + perSlot*float64(l.Placed)
}

// spare returns the requests per second that the host can serve beyond those of its flows,
// at least a small share of its capacity.
func (l *Load) spare(slots anvilglade.Slots, flowRate float64) float64 {
	const minShare = 0.02
	capacity := slotCount(slots) / l.ServiceTime.Seconds()
	return capacity * max(1-l.utilisation(slots, flowRate), minShare)
}

func slotCount(slots anvilglade.Slots) float64 {
	return float64(max(slots, 1))
}

// Average is a running average over rateWindow of a number that changes at irregular
// times, such as the open flows of a host.
type Average struct {
	value     float64
	updatedAt time.Time
}

// Add advances the average to a time. Value is the number since the last call.
func (a *Average) Add(value float64, now time.Time) {
	if a.updatedAt.IsZero() {
		a.value, a.updatedAt = value, now
		return
	}
	passed := now.Sub(a.updatedAt)
	if passed <= 0 {
		return
	}
	a.value += (value - a.value) * (1 - math.Exp(-passed.Seconds()/rateWindow.Seconds()))
	a.updatedAt = now
}

// Value returns the average.
func (a *Average) Value() float64 {
	return a.value
}
