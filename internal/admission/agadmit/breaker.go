// The circuit breaker: a server that answers almost everything with an error
// gets single probes instead of work.

package agadmit

import (
	"math/bits"
	"time"

	"github.com/anvilglade/anvilglade"
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
	// breakerLongest. A server that fails at once would otherwise take a large
	// part of the requests, since its slot is free again and again.
	breakerFirst   = 100 * time.Millisecond
	breakerLongest = 2 * time.Second
)

type breaker struct {
	// results has a bit for each of the last results, set for errors.
	results uint32
	count   int
	// lost counts the requests in a row without any answer.
	lost    int
	open    bool
	probing bool
	wait    time.Duration
	next    time.Time
}

// allows reports whether a request may start.
func (b *breaker) allows(now time.Time) bool {
	if !b.open {
		return true
	}
	return !b.probing && !now.Before(b.next)
}

// start counts a request that allows let through and reports whether it is a
// probe.
func (b *breaker) start() bool {
	b.probing = b.open
	return b.open
}

// observe counts a result. It returns true when the breaker opens: after
// failuresInRow requests in a row without an answer, or by the share of errors.
// Requests that started before it opened say nothing about the server now.
func (b *breaker) observe(now time.Time, probe bool, outcome anvilglade.Outcome) bool {
	failed := outcome != anvilglade.OutcomeAnswered
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
	b.lost++
	if !failed || outcome == anvilglade.OutcomeError {
		b.lost = 0
	}
	erroneous := b.count >= breakerLeast && float64(b.errors()) >= breakerShare*float64(b.count)
	if b.lost < failuresInRow && !erroneous {
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
	if !failed {
		*b = breaker{}
		return
	}
	b.wait = min(2*b.wait, breakerLongest)
	b.next = now.Add(b.wait)
}
