package agserve

// The retry budget and the estimate of how fast a request can be at all.

import (
	"sync"
	"time"
)

const (
	// budgetShare is the part of recent requests that may be repeated. It
	// keeps attempts per request below 1.2 at every hop.
	budgetShare = 0.1
	// budgetBurst bounds what a quiet time saves up.
	budgetBurst = 10
)

// budget is a token bucket that fills with requests, not with time.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget {
	return &budget{tokens: 1}
}

// earn adds the share of one request.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetShare, budgetBurst)
}

// take spends a token for one repeat.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// generationSize is the number of answers over which the minimum is kept. Two
// generations make it follow a server that has become slower.
const generationSize = 128

// durations keeps the shortest recent time from first byte to whole answer. It
// is a lower bound for any request, so refusing below it refuses nothing that
// could have ended in time.
type durations struct {
	mu                sync.Mutex
	current, previous time.Duration
	count             int
}

func (d *durations) add(took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.count == 0 || took < d.current {
		d.current = took
	}
	d.count++
	if d.count == generationSize {
		d.previous, d.current, d.count = d.current, 0, 0
	}
}

// shortest returns 0 until a generation is complete.
func (d *durations) shortest() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.count > 0 && d.current < d.previous {
		return d.current
	}
	return d.previous
}
