package agpacketbalancer

// Tasks that update the desired state, the evacuations and the settings. Few balancers
// watch the store (agfleet.WatchRole); the others receive changes from their peers.

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/membership/agregistry"
	"github.com/anvilglade/anvilglade/internal/operate/agpackettask"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/state/agtransfer"
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
	// fetchInterval is the maximum time between two checks for a peer with a newer
	// desired state.
	fetchInterval = 200 * time.Millisecond
	// fetchTimeout is the timeout of a transfer of the desired state.
	fetchTimeout = 1500 * time.Millisecond
)

// sourceStore is the source of a desired state that was read from the store. That of
// any other is the address of a peer.
const sourceStore = "store"

// watchDesired watches the desired state in the store and applies its changes.
func (p *Process) watchDesired(ctx context.Context) error {
	var revision anvilglade.StoreRevision
	return p.watchStore(ctx, storeTask{what: "desired state", health: &p.desiredWatch, read: func(ctx context.Context) error {
		var state anvilglade.DesiredState
		var err error
		if revision == 0 {
			state, revision, err = p.parts.Feed.Desired(ctx)
		} else {
			var next anvilglade.StoreRevision
			if state, next, err = p.parts.Feed.NextDesired(ctx, revision, p.watchWait()); err == nil {
				revision = next
			}
		}
		if err != nil {
			if errors.Is(err, anvilglade.ErrHistoryGone) {
				revision = 0
			}
			return err
		}
		p.adopt(state, sourceStore)
		return nil
	}})
}

// watchEvacuations watches the evacuated data centres in the store and
// applies their changes.
func (p *Process) watchEvacuations(ctx context.Context) error {
	loaded := false
	return p.watchStore(ctx, storeTask{what: "evacuations", health: &p.evacuationWatch, read: func(ctx context.Context) error {
		p.mu.Lock()
		current := *p.fleet.Evacuations()
		p.mu.Unlock()
		var next anvilglade.Evacuations
		var err error
		if loaded {
			next, err = p.parts.Feed.NextEvacuations(ctx, current, p.watchWait())
		} else {
			next, err = p.parts.Feed.Evacuations(ctx)
		}
		loaded = err == nil
		if err != nil {
			return err
		}
		p.mu.Lock()
		adopted := p.fleet.AdoptEvacuations(next)
		p.mu.Unlock()
		if adopted && len(next.DataCentres) != len(current.DataCentres) {
			p.log.WithField("DataCentres", next.DataCentres).WithField("Revision", next.Revision).Info("Evacuations have changed.")
			p.broadcast()
		}
		return nil
	}})
}

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
	// health receives the role in which the last read was answered. Nil stands for a
	// task that every balancer runs; its role determines the backoff only.
	health *atomic.Uint32
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
		err = task.read(ctx)
		p.metrics.StoreCalls.WithLabelValues(task.what, outcomeOf(err)).Inc()
		if ctx.Err() != nil {
			break
		}
		if err == nil || errors.Is(err, anvilglade.ErrHistoryGone) {
			if !reachable {
				p.log.WithField("What", task.what).Info("Store answers again.")
			}
			task.setHealth(role)
			reachable, backoff = true, 0
			if err := agtask.Sleep(ctx, batchDelay); err != nil {
				return err
			}
			continue
		}
		if reachable {
			p.log.WithError(err).WithField("What", task.what).Warn("Store does not answer; the last state stays in effect.")
		}
		task.setHealth(anvilglade.WatchNone)
		reachable, backoff = false, nextBackoff(backoff, role)
		if err := agtask.Sleep(ctx, backoff/2+rand.N(backoff/2)); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func (t *storeTask) setHealth(role anvilglade.StoreWatch) {
	if t.health != nil {
		t.health.Store(uint32(role))
	}
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
		role := p.fleet.WatchRole(time.Now())
		p.mu.Unlock()
		p.logRole(role)
		if role != anvilglade.WatchNone {
			return role, nil
		}
		task.setHealth(anvilglade.WatchNone)
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
func (p *Process) logRole(role anvilglade.StoreWatch) {
	if former := p.loggedRole.Swap(uint32(role)); former != uint32(role) {
		p.log.WithField("Before", roleNames[anvilglade.StoreWatch(former)]).WithField("Now", roleNames[role]).
			Info("Role in watching the store has changed.")
	}
}

// awaitPeers waits after the start of the process until its peers have sent statuses,
// so that a restart in a running fleet needs no calls to the store.
func (p *Process) awaitPeers(ctx context.Context) error {
	for {
		p.mu.Lock()
		found, hasDesired := p.fleet.PeerState()
		p.mu.Unlock()
		age := time.Since(p.started)
		if age > stateGrace || age > peerGrace && !hasDesired || found && !hasDesired {
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
	return anvilglade.StoreWatch(min(p.desiredWatch.Load(), p.evacuationWatch.Load()))
}

// outcomeOf returns the outcome of a call to the store as a label of the counter
// of calls.
func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "Answered"
	case errors.Is(err, anvilglade.ErrHistoryGone):
		return "HistoryGone"
	case errors.Is(err, anvilglade.ErrOverloaded):
		return "Overloaded"
	case errors.Is(err, anvilglade.ErrRateLimited):
		return "RateLimited"
	case errors.Is(err, context.DeadlineExceeded):
		return "TimedOut"
	}
	return "Failed"
}

// adopt puts a desired state into effect if it is newer than the current one.
func (p *Process) adopt(state anvilglade.DesiredState, source string) {
	if state.Version == 0 {
		return
	}
	p.mu.Lock()
	adopted := p.fleet.AdoptDesired(state)
	if adopted {
		p.adopted = time.Now()
	}
	p.mu.Unlock()
	if adopted {
		p.log.WithField("Version", state.Version).WithField("Routes", len(state.Routes)).WithField("Source", source).Info("Desired state is in effect.")
	}
	// Peers that receive the state from another balancer do not announce it at once:
	// the watchers of the store have reached the other balancers too.
	if adopted && source == sourceStore {
		p.broadcast()
	}
}

// fetchFromPeers fetches the desired state from a balancer that has a newer one. A
// state that a peer has just announced is fetched from this data centre only, whose
// watchers of the store receive it at about the same time; at the next tick any peer
// is used. A balancer without a state uses any peer at once.
func (p *Process) fetchFromPeers(ctx context.Context) error {
	ticker := time.NewTicker(fetchInterval)
	defer ticker.Stop()
	for {
		announced := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.newerDesired:
			announced = true
		case <-ticker.C:
		}
		p.mu.Lock()
		peer, found := p.fleet.NewerPeer(time.Now())
		_, hasState := p.fleet.Desired()
		p.mu.Unlock()
		if !found || announced && hasState && !p.fleet.Local(peer.DataCentre) {
			continue
		}
		fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		state, err := agtransfer.Fetch(fetchCtx, p.http, p.endpointOf(peer.Balancer, p.settings.InnerPort))
		cancel()
		if err != nil {
			p.mu.Lock()
			p.fleet.RecordFetchFailure(time.Now())
			p.mu.Unlock()
			p.logFailure(err, "Peer with a newer desired state does not answer.")
			continue
		}
		p.adopt(state, peer.Balancer.String())
	}
}

// wakeNotify triggers a status to the agents that have been listed and have not sent a
// status yet.
func (p *Process) wakeNotify() {
	select {
	case p.pendingAgents <- struct{}{}:
	default:
	}
}

// wakeFetch triggers a check for a peer with a newer desired state.
func (p *Process) wakeFetch() {
	select {
	case p.newerDesired <- struct{}{}:
	default:
	}
}

// serveTransfer serves the desired state to other balancers over HTTP.
func (p *Process) serveTransfer(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(agtransfer.Path, agtransfer.NewHandler(func() (anvilglade.DesiredState, bool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		state, ok := p.fleet.Desired()
		return *state, ok
	}))
	return agtask.ServeHTTP(ctx, p.endpointOf(p.settings.IP, p.settings.InnerPort).String(), mux)
}

// discover registers this balancer in the store and reads the lists of balancers
// and agents from it, because seeds may be stale or down.
func (p *Process) discover(ctx context.Context) error {
	balancers := agregistry.NewRegistry(p.parts.Store, agregistry.KindBalancer)
	agents := agregistry.NewRegistry(p.parts.Store, agregistry.KindAgent)
	return p.watchStore(ctx, storeTask{what: "lists of processes", read: func(ctx context.Context) error {
		if err := balancers.Join(ctx, p.settings.IP, p.settings.Node); err != nil {
			return err
		}
		peers, faults, err := balancers.Members(ctx)
		if err != nil {
			return err
		}
		p.logFaults(faults)
		agentAddresses, faults, err := agents.Members(ctx)
		if err != nil {
			return err
		}
		p.logFaults(faults)
		p.mu.Lock()
		p.fleet.AddBalancers(peers)
		p.fleet.AdoptAgentList(agentAddresses, time.Now())
		p.mu.Unlock()
		p.broadcast()
		p.wakeNotify()
		<-ctx.Done()
		return ctx.Err()
	}})
}

func (p *Process) logFaults(faults []error) {
	for _, fault := range faults {
		p.logFailure(fault, "List entry cannot be read and is ignored.")
	}
}

// reload adds seeds that have been added to the settings file.
func (p *Process) reload(ctx context.Context) error {
	return agpackettask.Reload(ctx, p.log, p.parts.Reload, func(settings anvilglade.PlatformSettings) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.fleet.AddBalancers(settings.Seeds)
	})
}
