package agemulator

// Records of what callers and hosts observe, and the checks of the promises.

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/anvilglade/anvilglade"
)

// Promise names a guarantee of packet services that a run checks.
type Promise string

// Guarantees of packet services. FlowKept: a flow that is open on a running host is
// not reset. RightService: a host receives only requests of its own service.
// RunsOnce: an unrepeatable request is executed at most once. Unaltered: received
// packets have a valid checksum. OwnAnswer: a caller receives only the answer to its
// own request. Drained: a draining host receives no new flows after drainLimit.
// Evacuated: a host of an evacuated data centre receives no new flows after
// evacuateLimit. Applied: a route that operators have added is served after applyLimit.
// Listed: the store lists all processes listLimit after it has been restored.
const (
	PromiseFlowKept     Promise = "FlowKept"
	PromiseRightService Promise = "RightService"
	PromiseRunsOnce     Promise = "RunsOnce"
	PromiseUnaltered    Promise = "Unaltered"
	PromiseOwnAnswer    Promise = "OwnAnswer"
	PromiseDrained      Promise = "Drained"
	PromiseEvacuated    Promise = "Evacuated"
	PromiseApplied      Promise = "Applied"
	PromiseListed       Promise = "Listed"
)

const (
	// recoveryTime is the time after a disturbance during which PromiseFlowKept,
	// PromiseDrained and PromiseEvacuated are not checked for the process.
	recoveryTime = 4 * time.Second
	// drainLimit is the time after which a draining host must receive no new
	// flows, evacuateLimit the time after which the hosts of an evacuated data
	// centre must receive none.
	drainLimit    = 3 * time.Second
	evacuateLimit = 5 * time.Second
	// maxLatency is the upper bound of the latency histogram.
	maxLatency = 60 * time.Second
	// maxNotes is the maximum number of violations that the report describes.
	maxNotes = 20
)

// Second counts the requests that callers started in one second, or those of one demand,
// by outcome.
type Second struct {
	Asked, InTime, Late, Refused, Failed int
}

// Ledger records the events of a run. It is safe for concurrent use.
type Ledger struct {
	start time.Time

	mu             sync.Mutex
	seconds        []Second
	byDemand       map[string]*Second
	latency        *hdrhistogram.Histogram
	violations     map[Promise]int
	notes          []string
	runCounts      map[uint64]int
	disturbedUntil map[anvilglade.IPv4]time.Time
	storeCalmFrom  time.Time
}

func newLedger() *Ledger {
	return &Ledger{
		start: time.Now(), byDemand: make(map[string]*Second), latency: hdrhistogram.New(1, maxLatency.Microseconds(), 3),
		violations: make(map[Promise]int), runCounts: make(map[uint64]int), disturbedUntil: make(map[anvilglade.IPv4]time.Time),
	}
}

// recordViolation counts and describes the violation of a promise.
func (l *Ledger) recordViolation(promise Promise, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations[promise]++
	if len(l.notes) < maxNotes {
		l.notes = append(l.notes, fmt.Sprintf("%6.3fs %s: ", time.Since(l.start).Seconds(), promise)+fmt.Sprintf(format, args...))
	}
}

// markDisturbed records that the process at address is disturbed until a time. A
// process is disturbed while a trouble of the scenario affects it.
func (l *Ledger) markDisturbed(address anvilglade.IPv4, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.disturbedUntil[address]) {
		l.disturbedUntil[address] = until
	}
}

// markStoreDisturbed records that a trouble affects the store until a time.
func (l *Ledger) markStoreDisturbed(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.storeCalmFrom) {
		l.storeCalmFrom = until
	}
}

// storeCalmSince returns the end of the last trouble that affects the store.
func (l *Ledger) storeCalmSince() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.storeCalmFrom
}

// undisturbed reports whether the last disturbance of the process at address ended
// more than recoveryTime ago.
func (l *Ledger) undisturbed(address anvilglade.IPv4) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.disturbedUntil[address]) > recoveryTime
}

// recordRun records that a host started to execute a request. A second execution of
// an unrepeatable request violates PromiseRunsOnce.
func (l *Ledger) recordRun(id uint64, repeatable bool) {
	l.mu.Lock()
	l.runCounts[id]++
	violated := l.runCounts[id] > 1 && !repeatable
	l.mu.Unlock()
	if violated {
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

// recordOutcome records the outcome of a request of a demand that started at the given
// time.
func (l *Ledger) recordOutcome(of *demand, started time.Time, result outcome) {
	elapsed := time.Since(started)
	l.mu.Lock()
	defer l.mu.Unlock()
	second := int(started.Sub(l.start) / time.Second)
	for len(l.seconds) <= second {
		l.seconds = append(l.seconds, Second{})
	}
	if l.byDemand[of.name] == nil {
		l.byDemand[of.name] = &Second{}
	}
	inTime := elapsed <= of.target
	l.seconds[second].count(result, inTime)
	l.byDemand[of.name].count(result, inTime)
	if result == outcomeAnswered {
		// Latencies above the histogram's upper bound count as that bound.
		_ = l.latency.RecordValue(min(elapsed, maxLatency).Microseconds())
	}
}

// count adds one request.
func (s *Second) count(result outcome, inTime bool) {
	s.Asked++
	switch {
	case result == outcomeRefused:
		s.Refused++
	case result == outcomeFailed:
		s.Failed++
	case inTime:
		s.InTime++
	default:
		s.Late++
	}
}
