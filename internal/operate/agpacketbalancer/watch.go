package agpacketbalancer

// Repeated reads of the store. Few balancers watch it (agfleet.WatchRole); the others
// receive changes from their peers.

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/state/agfleet"
)

const (
	// minBackoff and maxBackoff bound the pause after a failed call to the store. The
	// end of an outage is detected within maxBackoff.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 1500 * time.Millisecond
	// minStandbyBackoff and maxStandbyBackoff bound the pause of a standby, whose calls
	// grow with the fleet. Primaries detect the end of an outage earlier.
	minStandbyBackoff = 1500 * time.Millisecond
	maxStandbyBackoff = 10 * time.Second
	// rolePoll is the time between two checks whether this balancer has to watch.
	rolePoll = 200 * time.Millisecond
	// peerGrace is how long a balancer that has just started waits for the status of a
	// peer before it reads the store, stateGrace how long it waits for the state of a
	// peer that has one.
	peerGrace  = 100 * time.Millisecond
	stateGrace = 150 * time.Millisecond
	// startPoll is the time between two checks for peers during peerGrace.
	startPoll = 10 * time.Millisecond
	// batchDelay is the pause after a successful read. Changes in quick succession
	// are read together, because each read costs a call to the store.
	batchDelay = 150 * time.Millisecond
	// shortWait and longWait are how long a watch waits for a change. A broken
	// connection that returns no error is detected only after the wait. Meanwhile
	// the balancers with a short wait report changes to the others.
	shortWait = 4 * time.Second
	longWait  = 25 * time.Second
)

// watchWait returns how long the next watch waits for a change. Each watch costs
// a call to the store, so only a few balancers use the short wait.
func (p *Process) watchWait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fleet.UsesShortWait(time.Now()) {
		return shortWait
	}
	return longWait
}

// storeTask is a read of the store that is repeated.
type storeTask struct {
	what string
	// health describes the reads. Nil stands for a task that every balancer runs; its
	// role determines the backoff only.
	health *watchHealth
	read   func(context.Context) error
}

// watchStore repeats a read of the store until the context ends, while this balancer
// has to watch. It backs off while the store does not answer.
func (p *Process) watchStore(ctx context.Context, task storeTask) error {
	var backoff time.Duration
	reachable := true
	for ctx.Err() == nil {
		role, err := p.awaitRole(ctx, task)
		if err != nil {
			return err
		}
		called := time.Now()
		err = task.read(ctx)
		p.metrics.StoreCalls.WithLabelValues(task.what, outcomeOf(err)).Inc()
		if ctx.Err() != nil {
			break
		}
		if err == nil || errors.Is(err, anvilglade.ErrHistoryGone) {
			if !reachable {
				p.log.WithField("What", task.what).Info("Store answers again.")
			}
			task.recordAnswer(role, time.Since(p.started))
			reachable, backoff = true, 0
			if err := agtask.Sleep(ctx, batchDelay); err != nil {
				return err
			}
			continue
		}
		if reachable {
			p.logFailedRead(err, task, time.Since(called))
		}
		task.recordRole(anvilglade.WatchNone)
		reachable, backoff = false, nextBackoff(backoff, role)
		if err := agtask.Sleep(ctx, backoff/2+rand.N(backoff/2)); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func (t *storeTask) recordAnswer(role anvilglade.StoreWatch, process time.Duration) {
	if t.health != nil {
		t.health.recordAnswer(role, process)
	}
}

func (t *storeTask) recordRole(role anvilglade.StoreWatch) {
	if t.health != nil {
		t.health.recordRole(role)
	}
}

// logFailedRead logs the first of several failed reads: how long it took, and for a watch
// the time since the last answer and the revision up to which it has received changes.
func (p *Process) logFailedRead(err error, task storeTask, took time.Duration) {
	line := p.log.WithError(err).WithField("What", task.what).WithField("Took", took.Round(time.Millisecond).String())
	if task.health != nil {
		line = line.WithField("SinceAnswer", task.health.age(time.Since(p.started)).Round(time.Millisecond).String()).
			WithField("Revision", task.health.revision.Load())
	}
	if errors.Is(err, anvilglade.ErrUnreadable) {
		line.Warn("Store's answer cannot be decoded; the last state stays in effect.")
		return
	}
	line.Warn("Store does not answer; the last state stays in effect.")
}

// nextBackoff returns the pause after another failed call of a balancer with a role;
// former is the pause before the call, 0 if it was the first.
func nextBackoff(former time.Duration, role anvilglade.StoreWatch) time.Duration {
	low, high := minBackoff, maxBackoff
	if role != anvilglade.WatchPrimary {
		low, high = minStandbyBackoff, maxStandbyBackoff
	}
	return min(max(2*former, low), high)
}

// awaitRole waits until this balancer has to watch the store and returns its role.
func (p *Process) awaitRole(ctx context.Context, task storeTask) (anvilglade.StoreWatch, error) {
	if task.health == nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.fleet.WatchRole(time.Now()), nil
	}
	if err := p.awaitPeers(ctx); err != nil {
		return anvilglade.WatchNone, err
	}
	for {
		p.mu.Lock()
		now := time.Now()
		role, size := p.fleet.WatchRole(now), p.fleet.Size(now)
		p.mu.Unlock()
		p.logRole(role, size)
		if role != anvilglade.WatchNone {
			return role, nil
		}
		task.recordRole(anvilglade.WatchNone)
		if err := agtask.Sleep(ctx, rolePoll); err != nil {
			return anvilglade.WatchNone, err
		}
	}
}

var roleNames = map[anvilglade.StoreWatch]string{
	anvilglade.WatchNone:    "None",
	anvilglade.WatchStandby: "Standby",
	anvilglade.WatchPrimary: "Primary",
}

// logRole logs a change of the role of this balancer.
func (p *Process) logRole(role anvilglade.StoreWatch, size agfleet.Size) {
	if former := p.loggedRole.Swap(uint32(role)); former != uint32(role) {
		p.sizeEntry(size).WithField("Before", roleNames[anvilglade.StoreWatch(former)]).WithField("Now", roleNames[role]).
			Info("Role in watching the store has changed.")
	}
}

// awaitPeers waits after the start of the process for peers that have a desired state,
// so that a restart in a running fleet needs no calls to the store. It returns as soon
// as a peer has sent a status without one, which means that the whole fleet starts.
func (p *Process) awaitPeers(ctx context.Context) error {
	for {
		p.mu.Lock()
		found, hasDesired := p.fleet.PeerState()
		p.mu.Unlock()
		age := time.Since(p.started)
		if age > stateGrace || !hasDesired && (found || age > peerGrace) {
			return nil
		}
		if err := agtask.Sleep(ctx, startPoll); err != nil {
			return err
		}
	}
}

// watch returns the role in which this balancer watches the store, WatchNone unless
// the store answers.
func (p *Process) watch() anvilglade.StoreWatch {
	return anvilglade.StoreWatch(min(p.desiredWatch.role.Load(), p.evacuationWatch.role.Load()))
}

// outcomeOf returns the outcome of a call to the store as a label of the counter
// of calls.
func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "Answered"
	case errors.Is(err, anvilglade.ErrHistoryGone):
		return "HistoryGone"
	case errors.Is(err, anvilglade.ErrUnreadable):
		return "Unreadable"
	case errors.Is(err, anvilglade.ErrOverloaded):
		return "Overloaded"
	case errors.Is(err, anvilglade.ErrRateLimited):
		return "RateLimited"
	case errors.Is(err, context.DeadlineExceeded):
		return "TimedOut"
	}
	return "Failed"
}
