package agemulator

// Kinds of troubles. Planned work has to keep every promise; the other kinds
// excuse the processes that they strike for a while.

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/stand/agapi"
)

// maxLoss is the part of the packets that routers lose at Share 1.
const maxLoss = 0.05

// storeDelay is the delay of each call to a slow store.
const storeDelay = 250 * time.Millisecond

// troubles names the kinds.
var troubles map[string]func(context.Context, *fleet, Trouble) error

func init() {
	troubles = map[string]func(context.Context, *fleet, Trouble) error{
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
	}
	for kind, fault := range connectionTroubles {
		troubles[kind] = func(ctx context.Context, f *fleet, t Trouble) error {
			f.excuseAgents(t)
			return f.proxy.strike(ctx, fault, t.Share, time.Duration(t.For))
		}
	}
}

// connectionTroubles names the kinds that break connections to the store.
var connectionTroubles = map[string]connectionFault{
	"StoreReset":  faultReset,
	"StoreSilent": faultSilent,
	"StoreOneWay": faultOneWay,
}

// troubleKinds returns the sorted kinds that break connections to the store, or
// all others.
func troubleKinds(connections bool) []string {
	kinds := make([]string, 0, len(troubles))
	for kind := range troubles {
		if _, is := connectionTroubles[kind]; is == connections {
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
	m.life.Lock()
	defer m.life.Unlock()
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

// killFor kills a process and starts it again after a time.
func (f *fleet) killFor(ctx context.Context, m *machine, t Trouble) error {
	m.life.Lock()
	defer m.life.Unlock()
	f.ledger.disturb(m.settings.IP, time.Now().Add(time.Duration(t.For)+time.Second))
	m.kill()
	// A run that ends cuts the wait short.
	_ = agtask.Sleep(ctx, time.Duration(t.For))
	f.ledger.disturb(m.settings.IP, time.Now())
	return f.launch(m)
}

func killAll(ctx context.Context, f *fleet, t Trouble) error {
	machines := append(append([]*machine(nil), f.balancers...), f.agents...)
	for _, m := range machines {
		m.life.Lock()
		defer m.life.Unlock()
		f.ledger.disturb(m.settings.IP, time.Now().Add(time.Duration(t.For)+time.Second))
		m.kill()
	}
	// A run that ends cuts the wait short.
	_ = agtask.Sleep(ctx, time.Duration(t.For))
	for _, m := range machines {
		f.ledger.disturb(m.settings.IP, time.Now())
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
	f.ledger.disturb(m.settings.IP, time.Now().Add(time.Duration(t.For)+time.Second))
	defer func() { f.ledger.disturb(m.settings.IP, time.Now()) }()
	return m.pause(ctx, time.Duration(t.For))
}

// restartHost lets a host crash and start again under the same name.
func restartHost(ctx context.Context, f *fleet, t Trouble) error {
	agent := f.agent(t)
	agent.life.Lock()
	defer agent.life.Unlock()
	host := agent.currentHost()
	host.crash()
	// A run that ends cuts the wait short.
	_ = agtask.Sleep(ctx, time.Duration(t.For))
	return host.start(ctx, true)
}

// replaceHost drains a host and puts a new one with a new agent in its place.
func replaceHost(ctx context.Context, f *fleet, t Trouble) error {
	agent := f.agent(t)
	agent.life.Lock()
	defer agent.life.Unlock()
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
	// The evacuation is also taken back when the run ends.
	_ = agtask.Sleep(ctx, time.Duration(t.For)+evacuateLimit)
	return f.setEvacuated(dataCentre, false)
}

// changeRoutes adds a route that carries no load.
func changeRoutes(_ context.Context, f *fleet, _ Trouble) error {
	return f.putDesired(func(state *anvilglade.DesiredState) {
		idle := state.Routes[0]
		idle.Name = fmt.Sprintf("idle-%d", len(state.Routes))
		idle.Address = serviceAddress(len(state.Routes) + 20)
		state.Routes = append(state.Routes[:len(state.Routes):len(state.Routes)], idle)
	})
}

func storeOutage(_ context.Context, f *fleet, t Trouble) error {
	return f.faultStore(t, agapi.Faults{Outage: true})
}

func storeSlow(_ context.Context, f *fleet, t Trouble) error {
	return f.faultStore(t, agapi.Faults{Delay: anvilglade.Duration(storeDelay), LostAnswers: t.Share})
}

// excuseAgents notes that an evacuation may take longer while the store cannot be
// read, and a while longer.
func (f *fleet) excuseAgents(t Trouble) {
	for _, agent := range f.agents {
		f.ledger.disturb(agent.settings.IP, time.Now().Add(time.Duration(t.For)))
	}
}

// faultStore puts faults of the store in force for a time.
func (f *fleet) faultStore(t Trouble, faults agapi.Faults) error {
	f.excuseAgents(t)
	return f.store.Play(agapi.Script{Seed: f.options.Seed, Steps: []agapi.Step{{Faults: faults}, {After: t.For}}})
}

func losePackets(ctx context.Context, f *fleet, t Trouble) error {
	f.router.setLoss(t.Share * maxLoss)
	// The loss also ends with the run.
	_ = agtask.Sleep(ctx, time.Duration(t.For))
	f.router.setLoss(0)
	return nil
}
