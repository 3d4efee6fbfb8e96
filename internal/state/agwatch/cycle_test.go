package agwatch_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/state/agwatch"
)

// fakeStore answers the calls of a Cycle in virtual time. It never answers the calls that
// it has received before deafAt and not answered until then.
type fakeStore struct {
	now      time.Duration
	deafAt   time.Duration
	changeAt time.Duration
	// readAt is the time at which the change has been read, 0 before.
	readAt time.Duration
	// answer is the time that each answer takes.
	answer time.Duration
}

// serve performs a call and returns its error.
func (s *fakeStore) serve(call agwatch.Call) error {
	start := s.now
	end := start + call.Wait
	if s.changeAt > start && s.changeAt < end {
		end = s.changeAt
	} else if s.changeAt <= start {
		// The change is before the call, and a watch would have received it.
		end = start
	}
	end += s.answer
	unanswered := start < s.deafAt && end > s.deafAt
	if unanswered || end-start > call.Timeout {
		s.now = start + call.Timeout
		return fmt.Errorf("call: %w", context.DeadlineExceeded)
	}
	s.now = end
	if s.readAt == 0 && end-s.answer >= s.changeAt {
		s.readAt = s.now
	}
	return nil
}

// Guards against a change that is not in effect in time because the watch that should have
// delivered it is never answered.
func TestChangeIsReadInTimeAfterUnansweredWatches(t *testing.T) {
	const step = 50 * time.Millisecond
	for _, bound := range []time.Duration{3 * time.Second, 5 * time.Second, 6 * time.Second} {
		for deafAt := 10 * time.Second; deafAt < 20*time.Second; deafAt += step {
			for _, answer := range []time.Duration{10 * time.Millisecond, 250 * time.Millisecond} {
				cycle := agwatch.NewCycle(bound)
				store := &fakeStore{deafAt: deafAt, changeAt: deafAt + 2*step, answer: answer}
				for store.readAt == 0 && store.now < time.Minute {
					err := store.serve(cycle.Next())
					store.now += cycle.Record(err, anvilglade.WatchPrimary)
				}
				if late := store.readAt - store.changeAt; store.readAt == 0 || late > bound {
					t.Fatalf("bound %s, answers after %s, watches unanswered from %s on: the change is read after %s", bound, answer, deafAt, late)
				}
			}
		}
	}
}

// Guards against a watch whose timeout is so short that a slow store can never answer it.
func TestSlowStoreIsRead(t *testing.T) {
	for _, answer := range []time.Duration{250 * time.Millisecond, 1600 * time.Millisecond, 3 * time.Second} {
		cycle := agwatch.NewCycle(3 * time.Second)
		store := &fakeStore{changeAt: 10 * time.Second, answer: answer}
		for store.readAt == 0 && store.now < time.Minute {
			err := store.serve(cycle.Next())
			store.now += cycle.Record(err, anvilglade.WatchPrimary)
		}
		if late := store.readAt - store.changeAt; store.readAt == 0 || late > 20*time.Second {
			t.Errorf("the change is read after %s from a store that takes %s", late, answer)
		}
	}
}

// Guards against a watch that continues at its position after a failed call and misses what
// happened meanwhile.
func TestWholeStateIsReadAfterAFailure(t *testing.T) {
	cycle := agwatch.NewCycle(3 * time.Second)
	for _, result := range []struct {
		err   error
		whole bool
	}{
		{nil, false},
		{errors.New("connection reset"), true},
		{context.DeadlineExceeded, true},
		{nil, false},
		{anvilglade.ErrHistoryGone, true},
		{nil, false},
	} {
		cycle.Record(result.err, anvilglade.WatchPrimary)
		if call := cycle.Next(); call.Whole != result.whole {
			t.Errorf("next call after %v reads the whole state: %v, want %v", result.err, call.Whole, result.whole)
		}
	}
}

// Guards against standbys, whose number grows with the fleet, that call an unavailable
// store as often as primaries, and against a primary that detects the end of an outage
// late because it was a standby before.
func TestBackoffDependsOnTheRole(t *testing.T) {
	failure := errors.New("connection refused")
	calls := func(role anvilglade.StoreWatch, outage time.Duration) int {
		count, cycle := 0, agwatch.NewCycle(3*time.Second)
		for elapsed := time.Duration(0); elapsed < outage; elapsed += cycle.Record(failure, role) {
			count++
		}
		return count
	}
	const outage = 30 * time.Second
	if primary, standby := calls(anvilglade.WatchPrimary, outage), calls(anvilglade.WatchStandby, outage); standby > primary/3 {
		t.Errorf("a standby makes %d calls in an outage of %s, a primary %d, want at most a third", standby, outage, primary)
	}
	cycle := agwatch.NewCycle(3 * time.Second)
	for range 10 {
		cycle.Record(failure, anvilglade.WatchStandby)
	}
	if next := cycle.Record(failure, anvilglade.WatchPrimary); next > agwatch.MaxBackoff {
		t.Errorf("a standby that becomes a primary waits %s, want at most %s", next, agwatch.MaxBackoff)
	}
}
