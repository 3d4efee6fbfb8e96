package agemulator

// Records of what callers and hosts observe, and the promises checked against them.

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/anvilglade/anvilglade"
)

// Promise names a promise of packet services that a run checks.
type Promise string

// Promises of packet services.
const (
	PromiseFlowKept     Promise = "FlowKept"
	PromiseRightService Promise = "RightService"
	PromiseRunsOnce     Promise = "RunsOnce"
	PromiseUnaltered    Promise = "Unaltered"
	PromiseOwnAnswer    Promise = "OwnAnswer"
	PromiseDrained      Promise = "Drained"
	PromiseEvacuated    Promise = "Evacuated"
)

const (
	// recoveryTime is the time after a disturbance during which the process is
	// exempt from some promises.
	recoveryTime = 4 * time.Second
	// drainLimit is the time after which a draining host must receive no new
	// flows, evacuateLimit the same for the hosts of an evacuated data centre.
	drainLimit    = 3 * time.Second
	evacuateLimit = 5 * time.Second
	// maxLatency is the upper bound of the latency histogram.
	maxLatency = 60 * time.Second
	// maxNotes is the maximum number of broken promises that get a description.
	maxNotes = 20
)

// Second counts the requests that callers started in one second, by outcome.
type Second struct {
	Asked, InTime, Late, Refused, Failed int
}

// Ledger records the events of a run. It is safe for concurrent use.
type Ledger struct {
	start  time.Time
	target time.Duration

	mu             sync.Mutex
	seconds        []Second
	latency        *hdrhistogram.Histogram
	broken         map[Promise]int
	notes          []string
	runCounts      map[uint64]int
	disturbedUntil map[anvilglade.IPv4]time.Time
}

func newLedger(target time.Duration) *Ledger {
	return &Ledger{
		start: time.Now(), target: target, latency: hdrhistogram.New(1, maxLatency.Microseconds(), 3),
		broken: make(map[Promise]int), runCounts: make(map[uint64]int), disturbedUntil: make(map[anvilglade.IPv4]time.Time),
	}
}

// recordViolation counts and describes a broken promise.
func (l *Ledger) recordViolation(promise Promise, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken[promise]++
	if len(l.notes) < maxNotes {
		l.notes = append(l.notes, fmt.Sprintf("%6.3fs %s: ", time.Since(l.start).Seconds(), promise)+fmt.Sprintf(format, args...))
	}
}

// markDisturbed records that the process at address is disturbed until a time.
func (l *Ledger) markDisturbed(address anvilglade.IPv4, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.disturbedUntil[address]) {
		l.disturbedUntil[address] = until
	}
}

// undisturbed reports whether the last disturbance of the process at address ended
// more than recoveryTime ago.
func (l *Ledger) undisturbed(address anvilglade.IPv4) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.disturbedUntil[address]) > recoveryTime
}

// recordRun records that a host started to execute a request. A second execution of
// an unrepeatable request breaks PromiseRunsOnce.
func (l *Ledger) recordRun(id uint64, repeatable bool) {
	l.mu.Lock()
	l.runCounts[id]++
	twice := l.runCounts[id] > 1 && !repeatable
	l.mu.Unlock()
	if twice {
		l.recordViolation(PromiseRunsOnce, "request %x ran again", id)
	}
}

// outcome is the result of a request as its caller observed it.
type outcome uint8

const (
	outcomeAnswered outcome = iota
	outcomeRefused
	outcomeFailed
)

// recordOutcome records the outcome of a request that started at the given time.
func (l *Ledger) recordOutcome(started time.Time, result outcome) {
	elapsed := time.Since(started)
	l.mu.Lock()
	defer l.mu.Unlock()
	second := int(started.Sub(l.start) / time.Second)
	for len(l.seconds) <= second {
		l.seconds = append(l.seconds, Second{})
	}
	entry := &l.seconds[second]
	entry.Asked++
	switch {
	case result == outcomeRefused:
		entry.Refused++
		return
	case result == outcomeFailed:
		entry.Failed++
		return
	case elapsed <= l.target:
		entry.InTime++
	default:
		entry.Late++
	}
	// Latencies above the histogram's upper bound count as that bound.
	_ = l.latency.RecordValue(min(elapsed, maxLatency).Microseconds())
}
