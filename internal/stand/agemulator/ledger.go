package agemulator

// What callers and hosts see, and the promises that are checked against it.

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/anvilglade/anvilglade"
)

// Promise is a promise that may be broken.
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
	// settleTime is the time after a disturbance of a process in which it need
	// not keep every promise.
	settleTime = 4 * time.Second
	// drainLimit and evacuateLimit are the times after which a draining host
	// and an evacuated data centre get no new flows.
	drainLimit    = 3 * time.Second
	evacuateLimit = 5 * time.Second
	// maxLatency is the upper end of the histogram.
	maxLatency = 60 * time.Second
	// maxNoted bounds the broken promises that are described.
	maxNoted = 20
)

// Second is what callers got for the requests that they began in one second.
type Second struct {
	Asked, InTime, Late, Refused, Failed int
}

// Ledger collects what happens in a run. It is safe for concurrent use.
type Ledger struct {
	start  time.Time
	target time.Duration

	mu       sync.Mutex
	seconds  []Second
	latency  *hdrhistogram.Histogram
	broken   map[Promise]int
	notes    []string
	runs     map[uint64]int
	disturbs map[anvilglade.IPv4]time.Time
}

func newLedger(target time.Duration) *Ledger {
	return &Ledger{
		start: time.Now(), target: target, latency: hdrhistogram.New(1, maxLatency.Microseconds(), 3),
		broken: make(map[Promise]int), runs: make(map[uint64]int), disturbs: make(map[anvilglade.IPv4]time.Time),
	}
}

// breaks notes a broken promise.
func (l *Ledger) breaks(promise Promise, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken[promise]++
	if len(l.notes) < maxNoted {
		l.notes = append(l.notes, fmt.Sprintf("%6.3fs %s: ", time.Since(l.start).Seconds(), promise)+fmt.Sprintf(format, args...))
	}
}

// disturb notes that a process is disturbed until a time.
func (l *Ledger) disturb(address anvilglade.IPv4, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.disturbs[address]) {
		l.disturbs[address] = until
	}
}

// calm reports whether a process has not been disturbed for settleTime.
func (l *Ledger) calm(address anvilglade.IPv4) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.disturbs[address]) > settleTime
}

// ran notes that a host began to work on a request.
func (l *Ledger) ran(id uint64, repeatable bool) {
	l.mu.Lock()
	l.runs[id]++
	twice := l.runs[id] > 1 && !repeatable
	l.mu.Unlock()
	if twice {
		l.breaks(PromiseRunsOnce, "request %x ran again", id)
	}
}

// outcome is how a request ended for its caller.
type outcome uint8

const (
	outcomeAnswered outcome = iota
	outcomeRefused
	outcomeFailed
)

// ended notes how a request ended that was begun at a time.
func (l *Ledger) ended(begun time.Time, result outcome) {
	took := time.Since(begun)
	l.mu.Lock()
	defer l.mu.Unlock()
	second := int(begun.Sub(l.start) / time.Second)
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
	case took <= l.target:
		entry.InTime++
	default:
		entry.Late++
	}
	// Values beyond the histogram's end count as its end.
	_ = l.latency.RecordValue(min(took, maxLatency).Microseconds())
}
