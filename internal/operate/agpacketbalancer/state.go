package agpacketbalancer

// Tasks that update the desired state, the evacuations and the settings.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/membership/agregistry"
	"github.com/anvilglade/anvilglade/internal/operate/agpackettask"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/state/agtransfer"
	"github.com/anvilglade/anvilglade/internal/state/agwatch"
)

const (
	// fetchInterval is the maximum time between two checks for a peer with a newer
	// desired state.
	fetchInterval = 200 * time.Millisecond
	// fetchTimeout is the timeout of a transfer of the desired state.
	fetchTimeout = 1500 * time.Millisecond
	// rejoinDelay is the maximum time after which a balancer joins the list of balancers
	// again in a new era of the store. Not all of them should do so at the same moment.
	rejoinDelay = 2 * time.Second
)

// sourceStore is the source of a desired state that was read from the store. That of
// any other is the address of a peer.
const sourceStore = "store"

// errOlderState means that a peer has sent an older desired state than it announces.
var errOlderState = errors.New("desired state is older than announced")

// Names of the two watches of the store in logs and metrics.
const (
	whatDesired     = "desired state"
	whatEvacuations = "evacuations"
)

// watchDesired watches the desired state in the store and applies its changes.
func (p *Process) watchDesired(ctx context.Context) error {
	var position anvilglade.StorePosition
	task := storeTask{what: whatDesired, cycle: agwatch.NewCycle(p.settings.ApplyWithin), health: &p.desiredWatch}
	task.read = func(ctx context.Context, call agwatch.Call) error {
		callCtx, cancel := context.WithTimeout(ctx, call.Timeout)
		defer cancel()
		var state anvilglade.DesiredState
		var next anvilglade.StorePosition
		var err error
		if call.Whole {
			state, next, err = p.parts.Feed.Desired(callCtx)
		} else {
			state, next, err = p.parts.Feed.NextDesired(callCtx, position, call.Wait)
		}
		if err != nil {
			return err
		}
		position = next
		p.desiredWatch.revision.Store(uint64(position.Revision))
		p.adopt(state, sourceStore)
		return nil
	}
	return p.watchStore(ctx, task)
}

// watchEvacuations watches the evacuated data centres in the store and
// applies their changes.
func (p *Process) watchEvacuations(ctx context.Context) error {
	var position anvilglade.StorePosition
	task := storeTask{what: whatEvacuations, cycle: agwatch.NewCycle(p.settings.EvacuateWithin), health: &p.evacuationWatch}
	task.read = func(ctx context.Context, call agwatch.Call) error {
		callCtx, cancel := context.WithTimeout(ctx, call.Timeout)
		defer cancel()
		var update anvilglade.EvacuationUpdate
		var err error
		if call.Whole {
			update, err = p.parts.Feed.Evacuations(callCtx)
		} else {
			update, err = p.parts.Feed.NextEvacuations(callCtx, position, call.Wait)
		}
		if err != nil {
			return err
		}
		position = update.Position
		p.evacuationWatch.revision.Store(uint64(position.Revision))
		p.adoptEvacuations(&update)
		return nil
	}
	return p.watchStore(ctx, task)
}

// adoptEvacuations puts evacuations that were read from the store into effect.
func (p *Process) adoptEvacuations(update *anvilglade.EvacuationUpdate) {
	p.mu.Lock()
	changed := p.fleet.AdoptEvacuations(update, time.Now())
	p.logEvacuations(sourceStore)
	p.mu.Unlock()
	if changed {
		p.broadcast()
	}
}

// logEvacuations logs a change of the evacuations in effect, or of those that the restored
// store lacks. The caller holds the mutex.
func (p *Process) logEvacuations(source string) {
	current, missing := p.fleet.Evacuations(), p.fleet.MissingEvacuations()
	if slices.Equal(current.DataCentres, p.logged.evacuated) && slices.Equal(missing, p.logged.missing) {
		return
	}
	p.logged.evacuated, p.logged.missing = current.DataCentres, missing
	p.log.WithField("DataCentres", current.DataCentres).WithField("Missing", missing).WithField("Revision", current.Revision).
		WithField("Era", current.Era).WithField("Source", source).Info("Evacuations have changed.")
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
		p.log.WithField("Version", state.Version).WithField("Routes", len(state.Routes)).WithField("Source", source).
			WithField("Revision", p.desiredWatch.revision.Load()).Info("Desired state is in effect.")
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
		if err == nil && state.Version < peer.Desired {
			err = fmt.Errorf("balancer %s announces version %d and sends version %d: %w", peer.Balancer, peer.Desired, state.Version, errOlderState)
		}
		if err != nil {
			p.mu.Lock()
			p.fleet.RecordFetchFailure(peer.Balancer, time.Now())
			p.mu.Unlock()
			p.logFailure(err, "Newer desired state of a peer cannot be fetched.")
		}
		if state.Version == 0 {
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

// discover registers this balancer in the store, again after the store has been restored,
// and reads the lists of balancers and agents from it once, because seeds may be stale or
// down.
func (p *Process) discover(ctx context.Context) error {
	entry := agregistry.NewEntry(agregistry.NewRegistry(p.parts.Store, agregistry.KindBalancer), p.settings.IP, p.settings.Node)
	listed := false
	cycle := agwatch.NewCycle(p.settings.ApplyWithin)
	return p.watchStore(ctx, storeTask{what: "lists of processes", cycle: cycle, read: func(ctx context.Context, _ agwatch.Call) error {
		if err := entry.Join(ctx, p.storeEra()); err != nil {
			return err
		}
		if !listed {
			if err := p.readLists(ctx); err != nil {
				return err
			}
			listed = true
		}
		for !entry.Lacking(p.storeEra()) {
			if err := agtask.Sleep(ctx, rejoinDelay/2+rand.N(rejoinDelay/2)); err != nil {
				return err
			}
		}
		return nil
	}})
}

// storeEra returns the era of the store according to its answers and to other balancers,
// 0 if unknown.
func (p *Process) storeEra() anvilglade.StoreEra {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.parts.Feed.Era(), p.fleet.Evacuations().Era)
}

// readLists reads the lists of balancers and agents from the store.
func (p *Process) readLists(ctx context.Context) error {
	peers, faults, err := agregistry.NewRegistry(p.parts.Store, agregistry.KindBalancer).Members(ctx)
	if err != nil {
		return err
	}
	p.logFaults(faults)
	agents, faults, err := agregistry.NewRegistry(p.parts.Store, agregistry.KindAgent).Members(ctx)
	if err != nil {
		return err
	}
	p.logFaults(faults)
	p.mu.Lock()
	p.fleet.AddBalancers(peers, time.Now())
	p.fleet.AdoptAgentList(agents, time.Now())
	p.mu.Unlock()
	p.broadcast()
	p.wakeNotify()
	return nil
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
		p.fleet.AddBalancers(settings.Seeds, time.Now())
	})
}
