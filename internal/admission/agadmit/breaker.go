// The circuit breaker: a server that answers almost everything with an error
// gets single probes instead of work.

package agadmit

import (
	"math/bits"
	"time"
)

const (
	// breakerWindow is the number of results that count, breakerLeast the number
	// from which on they say enough, breakerShare the share of errors at which
	// the breaker opens. A server that fails half of its requests stays in use:
	// the others would have to bear the half that it answers.
	breakerWindow = 32
	breakerLeast  = 8
	breakerShare  = 0.9
	// Probes start after breakerFirst and then at doubled intervals up to
	// breakerLongest. breakerProbes answered in a row close the breaker.
	breakerFirst   = 200 * time.Millisecond
	breakerLongest = 2 * time.Second
	breakerProbes  = 2
)

type breaker struct {
	// results has a bit for each of the last results, set for errors.
	results uint32
	count   int
	open    bool
	probing bool
	passed  int
	wait    time.Duration
	next    time.Time
}

// allows reports whether a request may start. While the breaker is open the
// request that it allows is a probe.
func (b *breaker) allows(now time.Time) bool {
	if !b.open {
		return true
	}
	if b.probing || now.Before(b.next) {
		return false
	}
	b.probing = true
	return true
}

// observe counts a result. It returns true when the breaker opens. Requests
// that started before it opened say nothing about the server now.
func (b *breaker) observe(now time.Time, probe, failed bool) bool {
	if b.open {
		if probe {
			b.finishProbe(now, failed)
		}
		return false
	}
	b.results <<= 1
	if failed {
		b.results |= 1
	}
	b.count = min(b.count+1, breakerWindow)
	if b.count < breakerLeast || float64(b.errors()) < breakerShare*float64(b.count) {
		return false
	}
	*b = breaker{open: true, wait: breakerFirst, next: now.Add(breakerFirst)}
	return true
}

func (b *breaker) errors() int {
	return bits.OnesCount32(b.results & (1<<b.count - 1))
}

// release ends a probe that showed nothing, because its caller left.
func (b *breaker) release(probe bool) {
	if probe {
		b.probing = false
	}
}

func (b *breaker) finishProbe(now time.Time, failed bool) {
	b.probing = false
	if failed {
		b.passed = 0
		b.wait = min(2*b.wait, breakerLongest)
		b.next = now.Add(b.wait)
		return
	}
	b.passed++
	if b.passed >= breakerProbes {
		*b = breaker{}
	}
}
