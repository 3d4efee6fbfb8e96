package agbackend

// The load model of a server: slots in use, what a cold server can handle, and
// whether it fell over. It takes the time as a parameter and knows no sockets.

import (
	"sync"
	"time"
)

// verdict is what happens to a request that arrives.
type verdict int

const (
	verdictRun verdict = iota
	verdictShed
	verdictHang
	// verdictOver means that the load is above what the server can handle.
	verdictOver
)

// overGrace is how long a load above the limit may last before the server
// falls over. An agent that cancels a request may start the next one before
// the server has read the end of the cancelled connection.
const overGrace = 20 * time.Millisecond

// noticeDelay is the time that an answer gets to reach the agent.
const noticeDelay = 25 * time.Millisecond

// unnoticed is a time that is never reached.
var unnoticed = time.Unix(1<<40, 0)

type load struct {
	mu            sync.Mutex
	options       Options
	control       Control
	inUse         int
	lines         int
	completed     int
	warm          bool
	fellOverUntil time.Time
	fellOver      []time.Time
	turnedCold    []time.Time
	// noticedAt is when an agent can know that the server turned cold; unnoticed
	// until the answer to a request that began on the cold server has left it.
	// Requests that it had begun before end at their former speed.
	noticedAt time.Time
	busy      time.Duration
	// history holds past loads, so that /load can lag.
	history []sample
}

type sample struct {
	at    time.Time
	inUse int
	up    bool
}

type admission struct {
	verdict verdict
	load    int
	limit   int
	noticed bool
	factor  float64
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

// begin admits a request into the model. Each verdictRun needs one call of end.
func (l *load) begin(now time.Time, final bool) admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := admission{load: l.inUse + 1, limit: l.limit(), noticed: now.After(l.noticedAt), factor: l.factor()}
	switch {
	case now.Before(l.fellOverUntil):
		result.verdict = verdictHang
	case l.control.Draining || l.inUse >= l.slots():
		result.verdict = verdictShed
	case result.load > result.limit && result.noticed && !final:
		result.verdict = verdictOver
	case result.load > result.limit && result.noticed:
		result.verdict = verdictHang
		l.fallOver(now)
	default:
		l.inUse++
		l.remember(now)
	}
	return result
}

func (l *load) fallOver(now time.Time) {
	l.fellOverUntil = now.Add(l.options.FellOverFor)
	l.fellOver = append(l.fellOver, now)
	l.completed = 0
}

// factor is the slowdown of a server that is cold, falling to 1 as it warms.
func (l *load) factor() float64 {
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
	l.busy += now.Sub(started)
	if l.noticedAt.Equal(unnoticed) && started.After(l.turnedCold[len(l.turnedCold)-1]) {
		l.noticedAt = now.Add(noticeDelay)
	}
	if completed {
		l.completed++
	}
	if !l.warm && l.limit() >= l.slots() {
		l.warm = true
	}
	l.remember(now)
}

// turnCold makes the server cold. Requests that it has begun go on. Known says
// that it was out of service, so that whoever sends to it has to expect it.
func (l *load) turnCold(now time.Time, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.warm, l.completed, l.noticedAt = false, 0, unnoticed
	if known {
		l.noticedAt = now
	}
	l.turnedCold = append(l.turnedCold, now)
	if l.options.ColdInitial == 0 {
		l.options.ColdInitial = 1
	}
}

func (l *load) openLine() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.options.Connections > 0 && l.lines >= l.options.Connections {
		return false
	}
	l.lines++
	return true
}

func (l *load) closeLine() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines--
}

const historyLength = 4096

func (l *load) remember(now time.Time) {
	if len(l.history) >= historyLength {
		l.history = append(l.history[:0], l.history[historyLength/2:]...)
	}
	l.history = append(l.history, sample{at: now, inUse: l.inUse, up: now.After(l.fellOverUntil)})
}

// report returns the load that the server claims: the true one, or the one that
// it had Lag ago.
func (l *load) report(now time.Time) sample {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := sample{at: now, inUse: l.inUse, up: !now.Before(l.fellOverUntil)}
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
