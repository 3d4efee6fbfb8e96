// The circuit breaker: a server that answers almost all requests with an error
// receives single probe requests instead of its share of the work.

package agadmit

import (
	"math/bits"
	"time"

	"github.com/anvilglade/anvilglade"
)

const (
	// breakerWindow is the number of latest results that count, breakerMinResults
	// the minimum number of results for a decision, and breakerErrorShare the share
	// of errors at which the breaker opens. A server that fails half of its
	// requests stays in use, because otherwise the other servers would have to
	// handle the half that it answers.
	breakerWindow     = 32
	breakerMinResults = 8
	breakerErrorShare = 0.9
	// firstProbeDelay is the delay of the first probe. The delay doubles with each
	// failed probe up to maxProbeDelay. Without it, a server that fails immediately
	// would receive a large share of the requests, since its slots are always free.
	firstProbeDelay = 100 * time.Millisecond
	maxProbeDelay   = 2 * time.Second
)

// breaker is the circuit breaker of one server. It is open while the server
// receives only probes.
type breaker struct {
	// results has a bit for each of the latest results, set for errors; count is
	// their number.
	results uint32
	count   int
	// unanswered is the number of consecutive requests without an answer.
	unanswered int
	open       bool
	// probing is set while a probe is in progress.
	probing    bool
	probeDelay time.Duration
	nextProbe  time.Time
}

// allows reports whether a request may start.
func (b *breaker) allows(now time.Time) bool {
	if !b.open {
		return true
	}
	return !b.probing && !now.Before(b.nextProbe)
}

// start records the start of a request that allows permitted, and reports whether it
// is a probe.
func (b *breaker) start() bool {
	b.probing = b.open
	return b.open
}

// observe records a result and returns true if the breaker opens: after
// maxConsecutiveFailures consecutive requests without an answer, or by the share of
// errors. While the breaker is open, only results of probes count; other requests
// started before it opened.
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
	b.unanswered++
	if !failed || outcome == anvilglade.OutcomeError {
		b.unanswered = 0
	}
	erroneous := b.count >= breakerMinResults && float64(b.errors()) >= breakerErrorShare*float64(b.count)
	if b.unanswered < maxConsecutiveFailures && !erroneous {
		return false
	}
	*b = breaker{open: true, probeDelay: firstProbeDelay, nextProbe: now.Add(firstProbeDelay)}
	return true
}

func (b *breaker) errors() int {
	return bits.OnesCount32(b.results & (1<<b.count - 1))
}

// cancelProbe ends a probe without a result, because its caller cancelled it or the
// server shed it. The next request becomes a probe.
func (b *breaker) cancelProbe(probe bool) {
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
	b.probeDelay = min(2*b.probeDelay, maxProbeDelay)
	b.nextProbe = now.Add(b.probeDelay)
}
