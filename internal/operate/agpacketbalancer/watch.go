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
	"github.com/anvilglade/anvilglade/internal/state/agwatch"
)

const (
	// rolePoll is the time between two checks whether this balancer has to watch.
	rolePoll = 200 * time.Millisecond
	// peerGrace is how long a balancer that has just started waits for the status of a
	// peer before it reads the store, stateGrace how long it waits for the state of a
	// peer that has one.
	peerGrace  = 100 * time.Millisecond
	stateGrace = 150 * time.Millisecond
	// startPoll is the time between two checks for peers during peerGrace.
	startPoll = 10 * time.Millisecond
)

// storeTask is a read of the store that is repeated.
type storeTask struct {
	what string
	// cycle schedules the calls.
	cycle *agwatch.Cycle
	// health describes the reads. Nil stands for a task that every balancer runs; its
	// role determines the backoff only.
	health *watchHealth
	// read performs a call.
	read func(context.Context, agwatch.Call) error
}

// watchStore repeats calls to the store until the context ends, while this balancer has to
// watch.
func (p *Process) watchStore(ctx context.Context, task storeTask) error {
	reachable := true
	for ctx.Err() == nil {
		role, err := p.awaitRole(ctx, task)
		if err != nil {
			return err
		}
		called := time.Now()
		err = task.read(ctx, task.cycle.Next())
		p.metrics.StoreCalls.WithLabelValues(task.what, outcomeOf(err)).Inc()
		if ctx.Err() != nil {
			break
		}
		pause := task.cycle.Record(err, role)
		if err == nil || errors.Is(err, anvilglade.ErrHistoryGone) {
			if !reachable {
				p.log.WithField("What", task.what).Info("Store answers again.")
			}
			reachable = true
			task.recordAnswer(role, time.Since(p.started))
		} else {
			if reachable {
				p.logFailedRead(err, task, time.Since(called))
			}
			reachable = false
			task.recordRole(anvilglade.WatchNone)
			pause = pause/2 + rand.N(pause/2)
		}
		if err := agtask.Sleep(ctx, pause); err != nil {
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
