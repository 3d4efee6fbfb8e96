package agemulator

// Kinds of troubles. Planned maintenance has to keep all promises. Kinds that kill
// or pause processes or impair the store mark the affected processes as disturbed,
// for which three promises are not checked until recoveryTime has passed.

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/stand/agapi"
)

// maxLoss is the share of packets that routers drop if Share is 1.
const maxLoss = 0.05

// burstFactor is the factor by which the callers' pauses are shorter in a burst, times
// the Share of the trouble.
const burstFactor = 4.0

// storeDelay is the delay of each call while the store is slow.
const storeDelay = 250 * time.Millisecond

// troubleHandlers maps each kind of trouble to the function that performs it.
var troubleHandlers map[string]func(context.Context, *fleet, Trouble) error

func init() {
	troubleHandlers = map[string]func(context.Context, *fleet, Trouble) error{
		"StopBalancer":  stopBalancer,
		"KillBalancer":  killBalancer,
		"PauseBalancer": pauseBalancer,
		"StopAgent":     stopAgent,
		"KillAgent":     killAgent,
		"PauseAgent":    pauseAgent,
		"KillAll":       killAll,
		"RestartHost":   restartHost,
		"ReplaceHost":   replaceHost,
		"Evacuate":      evacuate,
		"ChangeRoutes":  changeRoutes,
		"StoreOutage":   storeOutage,
		"StoreSlow":     storeSlow,
		"LosePackets":   losePackets,
		"Burst":         burst,
		"ColdReturn":    coldReturn,
		"RestoreStore":  restoreStore,
		"DropWatches":   dropWatches,
	}
	for kind, fault := range connectionTroubles {
		troubleHandlers[kind] = func(ctx context.Context, f *fleet, t Trouble) error {
			f.markStoreDisturbed(time.Duration(t.For))
			return f.proxy.inject(ctx, fault, t.Share, time.Duration(t.For))
		}
	}
}

// connectionTroubles maps the kinds that break connections to the store to their
// faults.
var connectionTroubles = map[string]connectionFault{
	"StoreReset":  faultReset,
	"StoreSilent": faultSilent,
	"StoreOneWay": faultOneWay,
}

// drawGroup is a set of kinds that is drawn on its own, so that a new kind does not
// change which troubles of other groups a seed produces.
type drawGroup uint8

// Groups in the order in which they are drawn.
const (
	groupMain drawGroup = iota
	groupConnections
	groupDemand
	groupRestore
	groupWatches
)

// groupOf returns the group of a kind.
func groupOf(kind string) drawGroup {
	if _, is := connectionTroubles[kind]; is {
		return groupConnections
	}
	switch kind {
	case "Burst", "ColdReturn":
		return groupDemand
	case "RestoreStore":
		return groupRestore
	case "DropWatches":
		return groupWatches
	}
	return groupMain
}

// troubleKinds returns the kinds of a group in sorted order.
func troubleKinds(group drawGroup) []string {
	kinds := make([]string, 0, len(troubleHandlers))
	for kind := range troubleHandlers {
		if groupOf(kind) == group {
			kinds = append(kinds, kind)
		}
	}
	slices.Sort(kinds)
	return kinds
}

func (f *fleet) balancer(t Trouble) *machine {
	return f.balancers[t.Index%len(f.balancers)]
}

func (f *fleet) agent(t Trouble) *machine {
	return f.agents[t.Index%len(f.agents)]
}

func stopBalancer(_ context.Context, f *fleet, t Trouble) error {
	return f.restart(f.balancer(t))
}

func stopAgent(_ context.Context, f *fleet, t Trouble) error {
	return f.restart(f.agent(t))
}

func (f *fleet) restart(m *machine) error {
	m.lifecycleMu.Lock()
	defer m.lifecycleMu.Unlock()
	if err := m.stop(); err != nil {
		return err
	}
	return f.launch(m)
}

func killBalancer(ctx context.Context, f *fleet, t Trouble) error {
	return f.killFor(ctx, f.balancer(t), t)
}

func killAgent(ctx context.Context, f *fleet, t Trouble) error {
	return f.killFor(ctx, f.agent(t), t)
}

// killFor kills a process and starts it again after the duration of the trouble.
func (f *fleet) killFor(ctx context.Context, m *machine, t Trouble) error {
	m.lifecycleMu.Lock()
	defer m.lifecycleMu.Unlock()
	f.ledger.markDisturbed(m.settings.IP, time.Now().Add(time.Duration(t.For)+time.Second))
	m.kill()
	// A run that ends cuts the wait short.
	_ = agtask.Sleep(ctx, time.Duration(t.For))
	f.ledger.markDisturbed(m.settings.IP, time.Now())
	return f.launch(m)
}

func killAll(ctx context.Context, f *fleet, t Trouble) error {
	machines := append(append([]*machine(nil), f.balancers...), f.agents...)
	for _, m := range machines {
		m.lifecycleMu.Lock()
		defer m.lifecycleMu.Unlock()
		f.ledger.markDisturbed(m.settings.IP, time.Now().Add(time.Duration(t.For)+time.Second))
		m.kill()
	}
	// A run that ends cuts the wait short.
	_ = agtask.Sleep(ctx, time.Duration(t.For))
	for _, m := range machines {
		f.ledger.markDisturbed(m.settings.IP, time.Now())
		if err := f.launch(m); err != nil {
			return err
		}
	}
	return nil
}

func pauseBalancer(ctx context.Context, f *fleet, t Trouble) error {
	return f.pauseFor(ctx, f.balancer(t), t)
}

func pauseAgent(ctx context.Context, f *fleet, t Trouble) error {
	return f.pauseFor(ctx, f.agent(t), t)
}

func (f *fleet) pauseFor(ctx context.Context, m *machine, t Trouble) error {
	f.ledger.markDisturbed(m.settings.IP, time.Now().Add(time.Duration(t.For)+time.Second))
	defer func() { f.ledger.markDisturbed(m.settings.IP, time.Now()) }()
	return m.pause(ctx, time.Duration(t.For))
}

// restartHost crashes a host and starts it again under the same name.
func restartHost(ctx context.Context, f *fleet, t Trouble) error {
	agent := f.agent(t)
	agent.lifecycleMu.Lock()
	defer agent.lifecycleMu.Unlock()
	host := agent.currentHost()
	host.crash()
	// A run that ends cuts the wait short.
	_ = agtask.Sleep(ctx, time.Duration(t.For))
	return host.start(ctx, true)
}

// coldReturn crashes all hosts of a data centre and starts them again together. They
// are cold then.
func coldReturn(ctx context.Context, f *fleet, t Trouble) error {
	dataCentre := dataCentreName(t.Index % f.scenario.DataCentres)
	var agents []*machine
	for _, agent := range f.agents {
		if agent.settings.DataCentre == dataCentre {
			agents = append(agents, agent)
		}
	}
	for _, agent := range agents {
		agent.lifecycleMu.Lock()
		defer agent.lifecycleMu.Unlock()
		agent.currentHost().crash()
	}
	// A run that ends cuts the wait short.
	_ = agtask.Sleep(ctx, time.Duration(t.For))
	for _, agent := range agents {
		if err := agent.currentHost().start(ctx, true); err != nil {
			return err
		}
	}
	return nil
}

// burst shortens the pauses of all callers.
func burst(ctx context.Context, f *fleet, t Trouble) error {
	f.pauseDivisor.Store(int64(max(1, burstFactor*t.Share)))
	// The burst also ends if the run ends during the wait.
	_ = agtask.Sleep(ctx, time.Duration(t.For))
	f.pauseDivisor.Store(1)
	return nil
}

// replaceHost drains a host and replaces it and its agent by new ones.
func replaceHost(ctx context.Context, f *fleet, t Trouble) error {
	agent := f.agent(t)
	agent.lifecycleMu.Lock()
	defer agent.lifecycleMu.Unlock()
	former := agent.currentHost()
	former.drain(ctx)
	if err := agent.stop(); err != nil || ctx.Err() != nil {
		return err
	}
	host := f.newHost(agent, former.spec, fmt.Sprintf("%s-%d", former.id, time.Now().UnixMilli()))
	agent.mu.Lock()
	agent.host = host
	agent.mu.Unlock()
	if err := host.start(ctx, true); err != nil {
		return err
	}
	return f.launch(agent)
}

func evacuate(ctx context.Context, f *fleet, t Trouble) error {
	if f.scenario.DataCentres < 2 {
		return nil
	}
	dataCentre := dataCentreName(t.Index % f.scenario.DataCentres)
	if err := f.setEvacuated(dataCentre, true); err != nil {
		return err
	}
	// The evacuation is also revoked if the run ends during the wait.
	_ = agtask.Sleep(ctx, time.Duration(t.For)+evacuateLimit)
	return f.setEvacuated(dataCentre, false)
}

// changeRoutes adds a route that carries no load and checks that it is served.
func changeRoutes(ctx context.Context, f *fleet, t Trouble) error {
	var added, control anvilglade.Endpoint
	if err := f.putDesired(func(state *anvilglade.DesiredState) {
		idle := state.Routes[0]
		idle.Name = fmt.Sprintf("idle-%d", len(state.Routes))
		idle.Address = serviceAddress(len(state.Routes) + 20)
		added, control = idle.Address, state.Routes[0].Address
		state.Routes = append(state.Routes[:len(state.Routes):len(state.Routes)], idle)
	}); err != nil {
		return err
	}
	return f.checkApplied(ctx, t.Index%f.scenario.DataCentres, added, control)
}

// dropWatches leaves the watches of the store that wait without an answer. Operators add a
// route right after it, which must be served as if nothing had happened.
func dropWatches(ctx context.Context, f *fleet, t Trouble) error {
	f.store.DropWatches()
	return changeRoutes(ctx, f, t)
}

func storeOutage(_ context.Context, f *fleet, t Trouble) error {
	return f.injectStoreFaults(t, agapi.Faults{Outage: true})
}

func storeSlow(_ context.Context, f *fleet, t Trouble) error {
	return f.injectStoreFaults(t, agapi.Faults{Delay: anvilglade.Duration(storeDelay), LostAnswers: t.Share})
}

// markStoreDisturbed marks the store as disturbed for the duration of a fault, and with it
// all agents, because an evacuation may take effect later if the store cannot be read.
func (f *fleet) markStoreDisturbed(length time.Duration) {
	until := time.Now().Add(length)
	f.ledger.markStoreDisturbed(until)
	for _, agent := range f.agents {
		f.ledger.markDisturbed(agent.settings.IP, until)
	}
}

// injectStoreFaults makes faults of the store active for the duration of the trouble.
func (f *fleet) injectStoreFaults(t Trouble, faults agapi.Faults) error {
	f.markStoreDisturbed(time.Duration(t.For))
	return f.store.Play(agapi.Script{Seed: f.options.Seed, Steps: []agapi.Step{{Faults: faults}, {After: t.For}}})
}

func losePackets(ctx context.Context, f *fleet, t Trouble) error {
	f.router.setLoss(t.Share * maxLoss)
	// The loss also ends if the run ends during the wait.
	_ = agtask.Sleep(ctx, time.Duration(t.For))
	f.router.setLoss(0)
	return nil
}
