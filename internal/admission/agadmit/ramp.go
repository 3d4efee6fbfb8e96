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
	// limit falls.
	highFactor = 2.5
	// The evidence that a server has turned cold grows with each slow completion
	// by its latency against the normal one, less evidenceDrift and at most
	// evidenceMost. A normal completion that started later takes it away. At
	// evidenceHold, one answer above highFactor, the server is held at the initial
	// concurrency until such a completion: if it is cold it gets nothing more, and
	// if it is not one request shows that. At evidenceCold the ramp restarts: after
	// three answers of more than four times the normal latency, or 12 of 2.5 times.
	// A plain bound on single answers missed servers whose answers in progress
	// slowed down only in part; it let 22 requests too many through (4 slots).
	// Up to normalFactor a completion is normal; between that and evidenceDrift it
	// shows nothing, as a request in progress may have slowed down in part.
	normalFactor  = 1.5
	evidenceDrift = 2.0
	evidenceMost  = 2.25
	evidenceHold  = 0.5
	evidenceCold  = 6.0
	// stalledRequests in progress that are older than holdFactor times the normal
	// latency hold the server as well, and older than stallFactor restart the
	// ramp: it may answer nothing at all.
	stalledRequests = 2
	holdFactor      = 4.0
	stallFactor     = 8.0
	// leastLatency is the lowest latency, in seconds, that counts as high, so
	// that the scheduling noise of sub-millisecond answers does not.
	leastLatency = 0.005
	// failuresInRow are the failures in a row that show a cold server.
	failuresInRow = 3
	// learned is the number of completions after which the normal latency is
	// trusted. After that it moves by blockWeight of the mean of each block of
	// blockSize completions, so that the first slow answers of a cold server do
	// not become normal.
	learned     = 32
	blockSize   = 32
	blockWeight = 0.3
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
	normal     float64
	count      int
	blockSum   float64
	blockCount int
	evidence   float64
	// steady is the latest start of a request that completed at normal latency.
	// A slow request that started earlier shows nothing: it is a large one.
	// Without this rule two large answers in a row restarted the ramp of a
	// healthy server, 46 times in 300 s with 2% of large requests.
	steady time.Time
	// slow is the latest start of a request that added evidence.
	slow     time.Time
	failures int
}

// observe adds a completion and reports whether the server has turned cold.
func (l *latency) observe(started time.Time, seconds float64) bool {
	if l.count < learned {
		l.count++
		l.normal += (seconds - l.normal) / float64(l.count)
		return false
	}
	if l.weigh(started, seconds); l.evidence >= evidenceCold {
		return true
	}
	l.blockSum += seconds
	if l.blockCount++; l.blockCount == blockSize {
		l.normal += (l.blockSum/blockSize - l.normal) * blockWeight
		l.blockSum, l.blockCount = 0, 0
	}
	return false
}

// weigh changes the evidence by one completion.
func (l *latency) weigh(started time.Time, seconds float64) {
	ratio := seconds / l.normal
	switch {
	case ratio <= normalFactor || seconds <= leastLatency:
		if started.After(l.steady) {
			l.steady = started
		}
		if started.After(l.slow) {
			l.evidence = 0
		}
	case ratio > evidenceDrift && !l.steady.After(started):
		l.evidence += min(ratio-evidenceDrift, evidenceMost)
		if started.After(l.slow) {
			l.slow = started
		}
	}
}

// exceeds reports whether a request that started then and took or has taken
// until now is slower than factor times the normal latency, and no later one
// was normal.
func (l *latency) exceeds(started, now time.Time, factor float64) bool {
	seconds := now.Sub(started).Seconds()
	return l.count >= learned && seconds > leastLatency && seconds > l.normal*factor && !l.steady.After(started)
}

type reaction func(h *Host, now time.Time, entry *request, inProgress int)

// reactions says what each outcome of a request changes.
var reactions = map[anvilglade.Outcome]reaction{
	anvilglade.OutcomeAnswered: (*Host).onAnswered,
	anvilglade.OutcomeError:    (*Host).onError,
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
	high := h.latency.exceeds(entry.started, now, highFactor)
	if h.latency.observe(entry.started, seconds) {
		h.turnCold("latency jumped")
		return
	}
	if high {
		h.adaptive.lower(now, entry.started, decreaseLatency)
		return
	}
	h.adaptive.raise(inProgress)
	if h.ramp.complete(seconds, &h.pool) {
		// What was normal while the server was cold is too slow now.
		h.latency = latency{}
		h.record(agevent.ServerWarm, "")
	}
}

// onError changes no limit: the server answered, so it can bear the load. The
// circuit breaker counts it.
func (h *Host) onError(time.Time, *request, int) {
	h.latency.failures = 0
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

// watchStalls finds a cold server before its first slow answers: by requests
// that take long already while no later one completed at normal latency.
func (h *Host) watchStalls(now time.Time) {
	if h.stalled(now, stallFactor) >= stalledRequests {
		h.turnCold("requests stalled")
	}
}

// stalled counts the requests in progress that are older than factor times the
// normal latency.
func (h *Host) stalled(now time.Time, factor float64) int {
	count := 0
	for entry := range h.requests {
		if entry.phase == h.ramp.phase && h.latency.exceeds(entry.started, now, factor) {
			count++
		}
	}
	return count
}

// held reports whether the last answers make it likely that the server is cold.
func (h *Host) held(now time.Time) bool {
	return h.latency.evidence >= evidenceHold || h.stalled(now, holdFactor) >= stalledRequests
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
