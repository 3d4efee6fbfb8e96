package agserve

// The retry budget, and the shortest recent duration of a request.

import (
	"sync"
	"time"
)

const (
	// budgetShare is the number of retries that each request adds to the
	// budget. An agent then makes at most 1.1 attempts per request in the long
	// term, which leaves room for saved tokens below the limit of 1.2.
	budgetShare = 0.1
	// budgetBurst is the maximum number of saved tokens; a retry takes one.
	budgetBurst = 10
)

// retryBudget is a token bucket that is filled by requests, not by time.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget {
	return &retryBudget{tokens: 1}
}

// deposit adds the tokens of one request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetShare, budgetBurst)
}

// withdraw takes a token for one retry. It returns false if there is none.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// generationSize is the number of responses in a generation of minDuration. The
// minimum covers two generations, so that it adapts to a server that has become
// slower.
const generationSize = 128

// minDuration tracks the shortest recent time from the admission of a request to
// its complete response, for responses that are buffered completely. A request
// with less time left is refused, because no recent one has completed within that
// time.
type minDuration struct {
	mu                sync.Mutex
	current, previous time.Duration
	count             int
}

func (m *minDuration) add(elapsed time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.count == 0 || elapsed < m.current {
		m.current = elapsed
	}
	m.count++
	if m.count == generationSize {
		m.previous, m.current, m.count = m.current, 0, 0
	}
}

// shortest returns the minimum, or 0 until the first generation is complete.
func (m *minDuration) shortest() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.count > 0 && m.current < m.previous {
		return m.current
	}
	return m.previous
}
