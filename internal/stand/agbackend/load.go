package agbackend

// The load model of a server: the slots in use, the capacity of a cold server, and
// whether an overload made the server unresponsive. It gets the time as a parameter
// and uses no sockets.

import (
	"sync"
	"time"
)

// verdict is the decision on a received request.
type verdict int

const (
	verdictRun verdict = iota
	verdictShed
	verdictHang
	// verdictOverload means that the load is above the limit. The handler waits for
	// overloadGrace and calls begin again.
	verdictOverload
)

// overloadGrace is how long the load may exceed the limit before the server becomes
// unresponsive. It allows for agents that cancel a request and send the next one
// before the server has detected that the cancelled connection was closed.
const overloadGrace = 20 * time.Millisecond

// answerDelay is the time allowed for an answer to reach the agent.
const answerDelay = 25 * time.Millisecond

// neverDetectable is a time in the far future.
var neverDetectable = time.Unix(1<<40, 0)

type load struct {
	mu                sync.Mutex
	options           Options
	control           Control
	inUse             int
	connections       int
	completed         int
	warm              bool
	unresponsiveUntil time.Time
	overloadedAt      []time.Time
	turnedCold        []time.Time
	// coldDetectableAt is the time from which an agent can have detected that the
	// server turned cold. It is neverDetectable until the server has answered a request that
	// started on the cold server. Requests that started earlier keep their speed.
	coldDetectableAt time.Time
	busyTime         time.Duration
	// history holds past loads, for a /load that reports them with a lag.
	history []sample
}

type sample struct {
	at    time.Time
	inUse int
	up    bool
}

type admission struct {
	verdict        verdict
	load           int
	limit          int
	coldDetectable bool
	slowdown       float64
}

func newLoad(options Options) *load {
	return &load{options: options, warm: options.ColdInitial == 0}
}

func (l *load) slots() int {
	if l.control.Slots > 0 {
		return l.control.Slots
	}
	return l.options.Slots
}

func (l *load) limit() int {
	if l.warm {
		return l.slots()
	}
	return min(l.slots(), l.options.ColdInitial+l.completed/l.options.ColdStep)
}

// begin decides on a new request. Each verdictRun must be followed by one call of
// end. If final is set, an overload makes the server unresponsive at once, without a
// grace period.
func (l *load) begin(now time.Time, final bool) admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := admission{load: l.inUse + 1, limit: l.limit(), coldDetectable: now.After(l.coldDetectableAt), slowdown: l.slowdown()}
	switch {
	case now.Before(l.unresponsiveUntil):
		result.verdict = verdictHang
	case l.control.Draining || l.inUse >= l.slots():
		result.verdict = verdictShed
	case result.load > result.limit && result.coldDetectable && !final:
		result.verdict = verdictOverload
	case result.load > result.limit && result.coldDetectable:
		result.verdict = verdictHang
		l.becomeUnresponsive(now)
	default:
		l.inUse++
		l.recordSample(now)
	}
	return result
}

func (l *load) becomeUnresponsive(now time.Time) {
	l.unresponsiveUntil = now.Add(l.options.FellOverFor)
	l.overloadedAt = append(l.overloadedAt, now)
	l.completed = 0
}

// slowdown returns the factor by which a cold server multiplies the service time. It
// decreases to 1 as the server warms up.
func (l *load) slowdown() float64 {
	if l.warm || l.slots() <= l.options.ColdInitial {
		return 1
	}
	left := float64(l.slots()-l.limit()) / float64(l.slots()-l.options.ColdInitial)
	return 1 + (l.options.ColdSlowdown-1)*left
}

// end removes a request from the model.
func (l *load) end(started, now time.Time, completed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inUse--
	l.busyTime += now.Sub(started)
	if l.coldDetectableAt.Equal(neverDetectable) && started.After(l.turnedCold[len(l.turnedCold)-1]) {
		l.coldDetectableAt = now.Add(answerDelay)
	}
	if completed {
		l.completed++
	}
	if !l.warm && l.limit() >= l.slots() {
		l.warm = true
	}
	l.recordSample(now)
}

// turnCold makes the server cold. Requests in progress continue. expected means
// that the server was out of service, so that agents have to expect a cold server.
func (l *load) turnCold(now time.Time, expected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.warm, l.completed, l.coldDetectableAt = false, 0, neverDetectable
	if expected {
		l.coldDetectableAt = now
	}
	l.turnedCold = append(l.turnedCold, now)
	if l.options.ColdInitial == 0 {
		l.options.ColdInitial = 1
	}
}

func (l *load) openConnection() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.options.Connections > 0 && l.connections >= l.options.Connections {
		return false
	}
	l.connections++
	return true
}

func (l *load) closeConnection() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections--
}

const historyLength = 4096

func (l *load) recordSample(now time.Time) {
	if len(l.history) >= historyLength {
		l.history = append(l.history[:0], l.history[historyLength/2:]...)
	}
	l.history = append(l.history, sample{at: now, inUse: l.inUse, up: now.After(l.unresponsiveUntil)})
}

// reported returns the load that the server reports: its current load, or the load
// before the time Lag.
func (l *load) reported(now time.Time) sample {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := sample{at: now, inUse: l.inUse, up: !now.Before(l.unresponsiveUntil)}
	if l.control.Lag <= 0 {
		return current
	}
	past := sample{up: true}
	for _, item := range l.history {
		if item.at.After(now.Add(-time.Duration(l.control.Lag))) {
			break
		}
		past = item
	}
	return past
}
