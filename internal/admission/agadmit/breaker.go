// The pause between requests to a server that answers nothing but failures.

package agadmit

import "time"

const (
	// breakerFirst and breakerMost bound the pause, which doubles with each
	// failure. A server that fails at once would otherwise take a large part of
	// the requests, since its one slot is free again and again.
	breakerFirst = 100 * time.Millisecond
	breakerMost  = 2 * time.Second
)

// breaker lets one request at a time through to a failing server.
type breaker struct {
	failures int
	pause    time.Duration
	until    time.Time
}

func (b *breaker) fail(now time.Time) {
	b.failures++
	if b.failures < failuresInRow {
		return
	}
	b.pause = min(breakerMost, max(breakerFirst, 2*b.pause))
	b.until = now.Add(b.pause)
}

func (b *breaker) succeed() {
	*b = breaker{}
}

// open reports whether no request may start now.
func (b *breaker) open(now time.Time, inProgress int) bool {
	return b.failures >= failuresInRow && (inProgress > 0 || now.Before(b.until))
}
