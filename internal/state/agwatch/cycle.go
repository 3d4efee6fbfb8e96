// Package agwatch schedules the calls of a watch of the platform's store.
//
// A watch that is not answered looks like one without changes: its connection may be
// silent, or the store may no longer serve it. A Cycle therefore bounds the time for which
// a watch may stay without an answer, and reads the whole state again after each call that
// failed, because a failed watch may have missed changes. As long as the store answers new
// calls, a change is read within the bound of the Cycle, whatever has become of the calls
// before.
//
// A Cycle makes no calls and has no clock. It is not safe for concurrent use.
//
// # Usage
//
//	cycle := agwatch.NewCycle(3 * time.Second)
//	for {
//		call := cycle.Next()
//		callCtx, cancel := context.WithTimeout(ctx, call.Timeout)
//		err := read(callCtx, call) // the whole state, or changes within call.Wait
//		cancel()
//		sleep(cycle.Record(err, role))
//	}
package agwatch

import (
	"context"
	"errors"
	"time"

	"github.com/anvilglade/anvilglade"
)

// Pauses between two calls.
const (
	// BatchDelay is the pause after an answer. Changes in quick succession are read
	// together, because each read costs a call to the store.
	BatchDelay = 150 * time.Millisecond
	// MinBackoff and MaxBackoff bound the pause after a failed call. The end of an outage
	// is detected within MaxBackoff.
	MinBackoff = 150 * time.Millisecond
	MaxBackoff = 1500 * time.Millisecond
	// MinStandbyBackoff and MaxStandbyBackoff bound the pause of a standby, whose calls
	// grow with the fleet. Primaries detect the end of an outage earlier.
	MinStandbyBackoff = 1500 * time.Millisecond
	MaxStandbyBackoff = 10 * time.Second
)

const (
	// answerTimeout is the time for an answer of the store, in addition to the wait of a
	// watch. A slow store takes a quarter of a second. The timeout doubles up to
	// maxAnswerTimeout while calls time out, so that a slower store can answer too.
	answerTimeout    = time.Second
	maxAnswerTimeout = 4 * time.Second
	// rereadTime is the time for the pause after a failed call, the read of the whole state
	// and the statuses to the other balancers.
	rereadTime = 500 * time.Millisecond
	// minWait and maxWait bound the wait of a watch. Each watch costs a call.
	minWait = 500 * time.Millisecond
	maxWait = 4 * time.Second
)

// Call is the next call of a Cycle.
type Call struct {
	// Whole is set for a read of the whole state. Otherwise the call is a watch that the
	// store answers after Wait at the latest.
	Whole bool
	Wait  time.Duration
	// Timeout is the time after which the call has failed.
	Timeout time.Duration
}

// Cycle schedules the calls of one watch.
type Cycle struct {
	wait    time.Duration
	loaded  bool
	timeout time.Duration
	backoff time.Duration
}

// NewCycle returns a Cycle whose first call reads the whole state. The bound is the time
// within which a change has to be in effect.
func NewCycle(bound time.Duration) *Cycle {
	return &Cycle{
		wait:    min(max(bound-answerTimeout-rereadTime, minWait), maxWait),
		timeout: answerTimeout,
	}
}

// Next returns the next call.
func (c *Cycle) Next() Call {
	if !c.loaded {
		return Call{Whole: true, Timeout: c.timeout}
	}
	return Call{Wait: c.wait, Timeout: c.wait + c.timeout}
}

// Record records the result of a call of a balancer with a role and returns the maximum
// pause before the next call.
func (c *Cycle) Record(err error, role anvilglade.StoreWatch) time.Duration {
	c.loaded = err == nil
	switch {
	case err == nil, errors.Is(err, anvilglade.ErrHistoryGone):
		c.timeout, c.backoff = answerTimeout, 0
		return BatchDelay
	case errors.Is(err, context.DeadlineExceeded):
		c.timeout = min(2*c.timeout, maxAnswerTimeout)
	}
	c.backoff = nextBackoff(c.backoff, role)
	return c.backoff
}

// nextBackoff returns the pause after another failed call of a balancer with a role;
// former is the pause before the call, 0 if it was the first.
func nextBackoff(former time.Duration, role anvilglade.StoreWatch) time.Duration {
	low, high := MinBackoff, MaxBackoff
	if role != anvilglade.WatchPrimary {
		low, high = MinStandbyBackoff, MaxStandbyBackoff
	}
	return min(max(2*former, low), high)
}
