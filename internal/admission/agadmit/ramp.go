// The ramp of a cold server, and the detection of a server that has turned cold.

package agadmit

import (
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
)

const (
	// steadyFactor is the maximum latency of a completion that counts towards the
	// next step of the ramp, as a multiple of the lowest latency in this step.
	steadyFactor = 2.0
	// highFactor is the latency above which the adaptive limit falls, as a multiple
	// of the normal latency.
	highFactor = 2.5
	// The evidence that a server has turned cold is a sum over slow completions.
	// Each adds its latency as a multiple of the normal latency, less evidenceDrift
	// and at most evidenceMaxStep. A completion at normal latency that started
	// later resets the sum.
	//
	// At evidenceHoldThreshold, reached by one answer above highFactor, the server
	// is limited to the initial concurrency until a completion at normal latency: a
	// cold server receives no more work, and one request shows if it is warm. At
	// evidenceColdThreshold the ramp restarts: after three answers at more than
	// four times the normal latency, or 12 at 2.5 times. A threshold on single
	// answers missed servers whose requests in progress slowed down only in part;
	// it admitted 22 requests too many at a server with 4 slots.
	//
	// Up to normalFactor a completion is normal. Between normalFactor and
	// evidenceDrift it is ignored, because the request may have slowed down in part.
	normalFactor          = 1.5
	evidenceDrift         = 2.0
	evidenceMaxStep       = 2.25
	evidenceHoldThreshold = 0.5
	evidenceColdThreshold = 6.0
	// A cold server may not answer at all, so requests in progress also count.
	// If stalledRequests of them are older than holdFactor times the normal
	// latency, the server is limited to the initial concurrency; if they are older
	// than stallFactor times, the ramp restarts.
	stalledRequests = 2
	holdFactor      = 4.0
	stallFactor     = 8.0
	// minHighLatency is the minimum latency in seconds that counts as high, so that
	// scheduling delays of sub-millisecond answers do not count.
	minHighLatency = 0.005
	// maxConsecutiveFailures is the number of consecutive failures after which a
	// server counts as cold, or the circuit breaker opens.
	maxConsecutiveFailures = 3
	// learningCompletions is the number of completions over which the normal
	// latency is averaged at first. After that each block of blockSize completions
	// changes it by blockWeight of the difference to the block's mean, so that the
	// first slow answers of a cold server do not become normal.
	learningCompletions = 32
	blockSize           = 32
	blockWeight         = 0.3
)

// ramp is the limit of a cold server.
type ramp struct {
	cold  bool
	limit int
	// completed is the number of steady completions in this step, minLatency the
	// lowest latency in it, in seconds.
	completed  int
	minLatency float64
	// phase is incremented with each restart.
	phase uint64
}

func (r *ramp) restart(initial anvilglade.Slots) {
	*r = ramp{cold: true, limit: int(initial), phase: r.phase + 1}
}

// recordCompletion records a completion and returns true if the server has become
// warm. Completions count also while less than the limit is in use, because the
// server warms up by the work that it does.
func (r *ramp) recordCompletion(seconds float64, pool *anvilglade.Pool) bool {
	if !r.cold {
		return false
	}
	if r.minLatency == 0 || seconds < r.minLatency {
		r.minLatency = seconds
	}
	if seconds > r.minLatency*steadyFactor && seconds > minHighLatency {
		return false
	}
	r.completed++
	if r.completed < pool.ColdStart.CompletionsPerStep {
		return false
	}
	r.limit++
	r.completed, r.minLatency = 0, 0
	r.cold = r.limit < int(pool.Slots)
	return !r.cold
}

// latency tracks the normal latency of the server, in seconds, and the evidence that
// the server has turned cold.
type latency struct {
	normal     float64
	count      int
	blockSum   float64
	blockCount int
	evidence   float64
	// lastNormalStart is the latest start of a request that completed at normal
	// latency. A slow request that started earlier is ignored: it is slow because
	// it is large. Without this rule, two consecutive large answers restarted the
	// ramp of a healthy server, 46 times in 300 s with 2% of large requests.
	lastNormalStart time.Time
	// lastSlowStart is the latest start of a request that added evidence.
	lastSlowStart       time.Time
	consecutiveFailures int
}

// observe records a completion and reports whether the server has turned cold.
func (l *latency) observe(started time.Time, seconds float64) bool {
	if l.count < learningCompletions {
		l.count++
		l.normal += (seconds - l.normal) / float64(l.count)
		return false
	}
	if l.updateEvidence(started, seconds); l.evidence >= evidenceColdThreshold {
		return true
	}
	l.blockSum += seconds
	if l.blockCount++; l.blockCount == blockSize {
		l.normal += (l.blockSum/blockSize - l.normal) * blockWeight
		l.blockSum, l.blockCount = 0, 0
	}
	return false
}

// updateEvidence updates the evidence with one completion.
func (l *latency) updateEvidence(started time.Time, seconds float64) {
	ratio := seconds / l.normal
	switch {
	case ratio <= normalFactor || seconds <= minHighLatency:
		if started.After(l.lastNormalStart) {
			l.lastNormalStart = started
		}
		if started.After(l.lastSlowStart) {
			l.evidence = 0
		}
	case ratio > evidenceDrift && !l.lastNormalStart.After(started):
		l.evidence += min(ratio-evidenceDrift, evidenceMaxStep)
		if started.After(l.lastSlowStart) {
			l.lastSlowStart = started
		}
	}
}

// isSlow reports whether a request from started to now, completed or in progress, is
// slower than factor times the normal latency, and no request that started later was
// normal.
func (l *latency) isSlow(started, now time.Time, factor float64) bool {
	seconds := now.Sub(started).Seconds()
	return l.count >= learningCompletions && seconds > minHighLatency && seconds > l.normal*factor && !l.lastNormalStart.After(started)
}

type outcomeHandler func(h *Host, now time.Time, entry *request, inProgress int)

// outcomeHandlers maps each outcome of a request to the function that updates the
// limits.
var outcomeHandlers = map[anvilglade.Outcome]outcomeHandler{
	anvilglade.OutcomeAnswered: (*Host).onAnswered,
	anvilglade.OutcomeError:    (*Host).onError,
	anvilglade.OutcomeFailed:   (*Host).onFailed,
	anvilglade.OutcomeTimedOut: (*Host).onFailed,
	anvilglade.OutcomeShed:     (*Host).onShed,
	anvilglade.OutcomeCanceled: (*Host).onCanceled,
}

func (h *Host) onAnswered(now time.Time, entry *request, inProgress int) {
	h.latency.consecutiveFailures = 0
	if entry.phase != h.ramp.phase {
		return
	}
	seconds := now.Sub(entry.started).Seconds()
	high := h.latency.isSlow(entry.started, now, highFactor)
	if h.latency.observe(entry.started, seconds) {
		h.turnCold("latency jumped")
		return
	}
	if high {
		h.adaptive.lower(now, entry.started, decreaseLatency)
		return
	}
	h.adaptive.raise(inProgress)
	if h.ramp.recordCompletion(seconds, &h.pool) {
		// The normal latency of the cold server is too high for the warm one.
		h.latency = latency{}
		h.record(agevent.ServerWarm, "")
	}
}

// onError changes no limit: the server answered, so it can handle the load. The
// circuit breaker counts the error.
func (h *Host) onError(time.Time, *request, int) {
	h.latency.consecutiveFailures = 0
}

func (h *Host) onFailed(now time.Time, entry *request, _ int) {
	if entry.phase != h.ramp.phase {
		return
	}
	h.adaptive.lower(now, entry.started, decreaseFailure)
	h.latency.consecutiveFailures++
	if h.latency.consecutiveFailures >= min(maxConsecutiveFailures, h.limit()+1) {
		h.turnCold("failures in a row")
	}
}

// onShed lowers the limit when the server sheds a request. Shedding costs the server
// little and precedes failures.
func (h *Host) onShed(now time.Time, entry *request, _ int) {
	if entry.phase == h.ramp.phase {
		h.adaptive.lower(now, entry.started, decreaseFailure)
	}
}

// onCanceled changes nothing: a request cancelled by its caller has no result.
func (*Host) onCanceled(time.Time, *request, int) {}

// checkStalls detects a cold server before its first slow answers, by requests in
// progress that are already slow while no later one has completed at normal latency.
func (h *Host) checkStalls(now time.Time) {
	if h.countStalled(now, stallFactor) >= stalledRequests {
		h.turnCold("requests stalled")
	}
}

// countStalled returns the number of requests in progress that are older than factor
// times the normal latency.
func (h *Host) countStalled(now time.Time, factor float64) int {
	count := 0
	for entry := range h.requests {
		if entry.phase == h.ramp.phase && h.latency.isSlow(entry.started, now, factor) {
			count++
		}
	}
	return count
}

// likelyCold reports whether the server is to be limited to the initial concurrency,
// because slow answers or stalled requests suggest that it is cold.
func (h *Host) likelyCold(now time.Time) bool {
	return h.latency.evidence >= evidenceHoldThreshold || h.countStalled(now, holdFactor) >= stalledRequests
}

// RefusedConnection handles a connection or a datagram that the backend server
// refused. The server is restarting and will be cold, so the ramp restarts.
func (h *Host) RefusedConnection() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.service != "" && !h.ramp.atStart(h.pool.ColdStart.InitialConcurrency) {
		h.turnCold("connection refused")
	}
}

// atStart reports whether the ramp is at its start, so that a restart would change
// nothing.
func (r *ramp) atStart(initial anvilglade.Slots) bool {
	return r.cold && r.limit == int(initial) && r.completed == 0
}

// turnCold restarts the ramp and records the event with a detail. It resets the
// normal latency, because a cold server is slower.
func (h *Host) turnCold(detail string) {
	h.counts.TurnedCold++
	h.ramp.restart(h.pool.ColdStart.InitialConcurrency)
	h.adaptive.restart(h.pool.Slots)
	h.latency = latency{}
	h.record(agevent.ServerTurnedCold, detail)
}
