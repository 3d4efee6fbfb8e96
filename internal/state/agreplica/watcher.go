package agreplica

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
	"github.com/anvilglade/anvilglade/internal/observe/aglog"
)

const (
	minBackoff = 200 * time.Millisecond
	// maxBackoff is short enough for a balancer to detect the end of an outage
	// within the 3 s for which its state may be out of date afterwards.
	maxBackoff = 1500 * time.Millisecond
	// renewRate is the number of watches that the whole fleet may renew per
	// second after a change: a quarter of the two thousand reads per second that
	// the platform allows.
	renewRate = 500
	// repeatPause is the minimum time between two watches of an object that does
	// not exist or was returned in an outdated version. The platform answers such
	// a watch immediately.
	repeatPause = 500 * time.Millisecond
	// watchTimeout covers the longest wait of the platform and the transfer of
	// its answer.
	watchTimeout = 45 * time.Second
)

// WatchedObject identifies an object of the platform that is copied into the
// replica under the same kind and name.
type WatchedObject struct {
	Kind anvilglade.RecordKind
	Name string
}

// WatcherOptions are the settings of a Watcher.
type WatcherOptions struct {
	Objects []WatchedObject
	// Balancers returns the number of living balancers, on which the delay of
	// renewed watches depends.
	Balancers func() int
	Events    anvilglade.Recorder
}

// Watcher copies objects of the platform into the replica by long-poll watches.
type Watcher struct {
	replica     *Replica
	store       anvilglade.Store
	options     WatcherOptions
	log         *aglog.Logger
	reachable   atomic.Bool
	hasAnswered atomic.Bool
}

// NewWatcher returns a watcher. The objects are watched by the functions that
// Task returns.
func NewWatcher(replica *Replica, store anvilglade.Store, options WatcherOptions) *Watcher {
	w := &Watcher{replica: replica, store: store, options: options, log: aglog.New("watch")}
	w.reachable.Store(true)
	return w
}

// HasAnswered reports whether the platform has answered since the start.
func (w *Watcher) HasAnswered() bool {
	return w.hasAnswered.Load()
}

// Task returns the task that watches one of the objects until its context ends.
func (w *Watcher) Task(object WatchedObject) func(context.Context) error {
	return func(ctx context.Context) error {
		backoff := minBackoff
		for ctx.Err() == nil {
			result, err := w.poll(ctx, object)
			if err != nil {
				w.setReachable(false, err)
				if err := sleep(ctx, jitter(backoff)); err != nil {
					return err
				}
				backoff = min(2*backoff, maxBackoff)
				continue
			}
			w.setReachable(true, nil)
			backoff = minBackoff
			if err := sleep(ctx, w.pause(result)); err != nil {
				return err
			}
		}
		return ctx.Err()
	}
}

// pollResult is the result of one watch.
type pollResult int

const (
	pollNoChange pollResult = iota
	pollChanged
	pollMissing
	// pollStale is an answer whose version is not above the stored one: the
	// store has answered with an outdated object, or a peer has sent a newer one
	// meanwhile.
	pollStale
)

// poll waits for one change of the object and adopts it. It returns an error if
// the platform cannot be reached.
func (w *Watcher) poll(ctx context.Context, object WatchedObject) (pollResult, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	stored, _ := w.replica.Get(object.Kind, object.Name)
	found, err := w.store.Watch(ctx, string(object.Kind), object.Name, stored.Version)
	if err != nil && !errors.Is(err, anvilglade.ErrNoChange) && !errors.Is(err, anvilglade.ErrNotFound) {
		return pollNoChange, err
	}
	w.hasAnswered.Store(true)
	switch {
	case errors.Is(err, anvilglade.ErrNotFound):
		return pollMissing, nil
	case err != nil:
		return pollNoChange, nil
	}
	if !w.replica.Put(anvilglade.Record{
		Kind: object.Kind, Name: object.Name, Version: found.Version, Payload: found.Data,
	}) {
		return pollStale, nil
	}
	return pollChanged, nil
}

// pause returns the time until the next watch.
func (w *Watcher) pause(result pollResult) time.Duration {
	switch result {
	case pollChanged:
		return jitter(w.renewDelay())
	case pollMissing, pollStale:
		return jitter(max(repeatPause, w.renewDelay()))
	default:
		return 0
	}
}

// renewDelay returns the time over which the fleet spreads its next watches
// after a change has ended all of them at the same moment.
func (w *Watcher) renewDelay() time.Duration {
	return max(50*time.Millisecond, time.Duration(w.options.Balancers())*time.Second/renewRate)
}

func (w *Watcher) setReachable(reachable bool, err error) {
	if w.reachable.Swap(reachable) == reachable {
		return
	}
	if reachable {
		w.log.Info("Platform answers again.")
		w.options.Events.Record(anvilglade.Event{Type: agevent.PlatformReachable})
		return
	}
	w.log.WithError(err).Warn("Platform does not answer; the last revision stays in force.")
	w.options.Events.Record(anvilglade.Event{Type: agevent.PlatformUnreachable, Detail: err.Error()})
}

// jitter returns a random duration between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
