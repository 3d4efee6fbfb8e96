// The ramp of a cold server and the signs by which a server is found cold.

package agadmit

import (
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
)

const (
	// steadyFactor bounds the latency of a completion that counts towards the
	// next step, against the lowest latency of the present step.
	steadyFactor = 2.0
	// highFactor is the latency, against the normal one, at which the adaptive
	// limit falls; jumpFactor the one at which a server may have turned cold. A
	// server that starts cold takes several times as long; ordinary queueing
	// inside a server with few slots stays below a factor of three.
	highFactor = 2.5
	jumpFactor = 4.0
	// leastLatency is the lowest latency, in seconds, that counts as a jump, so
	// that the scheduling noise of sub-millisecond answers does not.
	leastLatency = 0.005
	// jumpsInRow and failuresInRow are the completions in a row that show a cold
	// server. One slow answer may be a large one.
	jumpsInRow    = 2
	failuresInRow = 3
	// learned is the number of completions after which the normal latency is
	// trusted.
	learned = 10
	// smoothing is the weight of one completion in the normal latency.
	smoothing = 0.05
)

// ramp is the limit of a cold server.
type ramp struct {
	cold  bool
	limit int
	// completed counts the steady completions of the present step; lowest is
	// the lowest latency seen in it, in seconds.
	completed int
	lowest    float64
	// phase changes with each restart.
	phase uint64
}

func (r *ramp) restart(initial anvilglade.Slots) {
	*r = ramp{cold: true, limit: int(initial), phase: r.phase + 1}
}

// complete counts a completion. It returns true when the server has become
// warm. Completions while less than the limit is in use count as well: the
// server warms by the work it does.
func (r *ramp) complete(seconds float64, pool *anvilglade.Pool) bool {
	if !r.cold {
		return false
	}
	if r.lowest == 0 || seconds < r.lowest {
		r.lowest = seconds
	}
	if seconds > r.lowest*steadyFactor && seconds > leastLatency {
		return false
	}
	r.completed++
	if r.completed < pool.ColdStart.CompletionsPerStep {
		return false
	}
	r.limit++
	r.completed, r.lowest = 0, 0
	r.cold = r.limit < int(pool.Slots)
	return !r.cold
}

// latency keeps what is normal at the server, in seconds.
type latency struct {
	normal   float64
	count    int
	jumps    int
	failures int
}

// observe adds a completion and reports whether it is a jump. Jumps do not move
// the normal latency, so that a server that has turned cold is measured against
// its warm state.
func (l *latency) observe(seconds float64) bool {
	if l.isJump(seconds) {
		l.jumps++
		return true
	}
	l.jumps = 0
	l.count++
	weight := max(smoothing, 1/float64(l.count))
	l.normal += (seconds - l.normal) * weight
	return false
}

func (l *latency) isJump(seconds float64) bool {
	return l.count >= learned && seconds > leastLatency && seconds > l.normal*jumpFactor
}

func (l *latency) isHigh(seconds float64) bool {
	return l.count >= learned && seconds > leastLatency && seconds > l.normal*highFactor
}

type reaction func(h *Host, now time.Time, entry *request, inProgress int)

// reactions says what each outcome of a request changes.
var reactions = map[anvilglade.Outcome]reaction{
	anvilglade.OutcomeAnswered: (*Host).onAnswered,
	anvilglade.OutcomeFailed:   (*Host).onFailed,
	anvilglade.OutcomeTimedOut: (*Host).onFailed,
	anvilglade.OutcomeShed:     (*Host).onShed,
	anvilglade.OutcomeCanceled: (*Host).onCanceled,
}

func (h *Host) onAnswered(now time.Time, entry *request, inProgress int) {
	h.latency.failures = 0
	if entry.phase != h.ramp.phase {
		return
	}
	seconds := now.Sub(entry.started).Seconds()
	high := h.latency.isHigh(seconds)
	if h.latency.observe(seconds) && h.latency.jumps >= min(jumpsInRow, h.limit()) {
		h.turnCold("latency jumped")
		return
	}
	if high {
		h.adaptive.lower(now, entry.started, decreaseLatency)
		return
	}
	h.adaptive.raise(inProgress)
	if h.ramp.complete(seconds, &h.pool) {
		h.record(agevent.ServerWarm, "")
	}
}

func (h *Host) onFailed(now time.Time, entry *request, _ int) {
	if entry.phase != h.ramp.phase {
		return
	}
	h.adaptive.lower(now, entry.started, decreaseFailure)
	h.latency.failures++
	if h.latency.failures >= min(failuresInRow, h.limit()+1) {
		h.turnCold("failures in a row")
	}
}

// onShed believes a server that says it has enough: the answer costs nothing
// and comes before the failures.
func (h *Host) onShed(now time.Time, entry *request, _ int) {
	if entry.phase == h.ramp.phase {
		h.adaptive.lower(now, entry.started, decreaseFailure)
	}
}

// onCanceled changes nothing: the caller left, the server showed nothing.
func (*Host) onCanceled(time.Time, *request, int) {}

// watchStalls finds a cold server before its first slow answer: when most of
// the requests in progress are older than a jump in latency.
func (h *Host) watchStalls(now time.Time) {
	stalled, present := 0, 0
	for entry := range h.requests {
		if entry.phase != h.ramp.phase {
			continue
		}
		present++
		if h.latency.isJump(now.Sub(entry.started).Seconds()) {
			stalled++
		}
	}
	if stalled >= jumpsInRow && 2*stalled > present {
		h.turnCold("requests stalled")
	}
}

// RefusedConnection tells that the backend server refused a connection or a
// datagram: it is restarting and will be cold.
func (h *Host) RefusedConnection() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.service != "" && !h.ramp.fresh(h.pool.ColdStart.InitialConcurrency) {
		h.turnCold("connection refused")
	}
}

// fresh reports whether a restart would change nothing.
func (r *ramp) fresh(initial anvilglade.Slots) bool {
	return r.cold && r.limit == int(initial) && r.completed == 0
}

// turnCold restarts the ramp. The normal latency is learned anew, since a cold
// server is slower.
func (h *Host) turnCold(detail string) {
	h.counts.TurnedCold++
	h.ramp.restart(h.pool.ColdStart.InitialConcurrency)
	h.adaptive.restart(h.pool.Slots)
	h.latency = latency{}
	h.record(agevent.ServerTurnedCold, detail)
}
