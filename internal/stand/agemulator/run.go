package agemulator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/stand/agapi"
)

const (
	// startLimit is the maximum time until all balancers are in rotation.
	startLimit = 20 * time.Second
	startPoll  = 50 * time.Millisecond
)

// Options are the parameters of Run.
type Options struct {
	// Anvilglade is the path of the anvilglade binary.
	Anvilglade string
	Scenario   Scenario
	Seed       uint64
	// Dir is the directory for the settings and logs of the processes.
	Dir string
}

// Run plays a scenario and returns its report, which lists broken promises. The
// error means that the run itself failed.
func Run(ctx context.Context, options Options) (*Report, error) {
	group, stop, err := agtask.NewGroup(ctx)
	if err != nil {
		return nil, err
	}
	basePort, err := freeBasePort(ctx, int(options.Seed)*portCount*7)
	if err != nil {
		return nil, err
	}
	f := &fleet{
		options: options, scenario: &options.Scenario, group: group, basePort: basePort,
		ledger: newLedger(), demands: options.Scenario.demands(), store: agapi.NewServer(agapi.Options{}),
		client:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second},
		random:    rand.New(rand.NewPCG(options.Seed, 1)),
		evacuated: make(map[anvilglade.DataCentreID]time.Time),
	}
	f.pauseDivisor.Store(1)
	closeSockets, err := f.start(ctx)
	if err != nil {
		f.stopAll()
		stop()
		return nil, err
	}
	err = f.play(ctx)
	report := newReport(&options, f.ledger)
	f.stopAll()
	closeSockets()
	stop()
	return report, err
}

// start starts the store, all processes and all hosts, and waits until all
// balancers are in rotation. The returned function closes the sockets.
func (f *fleet) start(ctx context.Context) (func(), error) {
	socket, closeRouter, err := agsocket.Listen(ctx, anvilglade.Endpoint{IP: anvilglade.IPv4{127, 0, 0, 1}}.AddrPort())
	if err != nil {
		return nil, err
	}
	f.router = &Router{hash: f.scenario.Hash, socket: socket, client: f.client}
	f.addMachines()
	if err := f.putDesired(f.initialState); err != nil {
		closeRouter()
		return nil, err
	}
	closeCallers, err := f.addCallers(ctx)
	if err != nil {
		closeRouter()
		return nil, err
	}
	closeAll := func() { closeCallers(); closeRouter() }
	if err := f.startMachines(ctx); err != nil {
		closeAll()
		return nil, err
	}
	return closeAll, nil
}

// startStore starts the store and the proxy through which processes connect to it.
func (f *fleet) startStore() error {
	storeAddress := fmt.Sprintf("127.0.0.1:%d", f.basePort+portStore)
	if err := f.group.Start("store", func(ctx context.Context) error { return agtask.ServeHTTP(ctx, storeAddress, f.store) }); err != nil {
		return err
	}
	proxy, err := newProxy(f.group, fmt.Sprintf("127.0.0.1:%d", f.basePort+portProxy), storeAddress, rand.New(rand.NewPCG(f.options.Seed, 3)))
	f.proxy = proxy
	return err
}

func (f *fleet) startMachines(ctx context.Context) error {
	if err := f.startStore(); err != nil {
		return err
	}
	for _, m := range append(append([]*machine(nil), f.balancers...), f.agents...) {
		if err := f.launch(m); err != nil {
			return err
		}
	}
	for _, agent := range f.agents {
		if err := agent.currentHost().start(ctx, false); err != nil {
			return err
		}
	}
	for _, balancer := range f.balancers {
		f.router.add(int(balancer.settings.IP[2])-1, anvilglade.Endpoint{IP: balancer.settings.IP, Port: balancer.settings.PacketPort}, balancer.settings.ReadyAddr)
	}
	for _, entry := range f.router.balancers {
		if err := f.group.Start("router", func(ctx context.Context) error { return f.router.check(ctx, entry) }); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startLimit)
	for f.router.readyCount() < len(f.balancers) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d balancers are ready after %s; logs in %s", f.router.readyCount(), len(f.balancers), startLimit, f.options.Dir)
		}
		if err := agtask.Sleep(ctx, startPoll); err != nil {
			return err
		}
	}
	return nil
}

// play generates the load and the troubles for the duration of the scenario.
func (f *fleet) play(ctx context.Context) error {
	f.ledger.start = time.Now()
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var callers, work sync.WaitGroup
	for _, caller := range f.callers {
		if err := f.group.Start("receive", caller.receive); err != nil {
			return err
		}
		callers.Add(1)
		if err := f.group.Start("caller", func(context.Context) error { defer callers.Done(); return caller.run(loadCtx) }); err != nil {
			return err
		}
	}
	var mu sync.Mutex
	var failures []error
	for _, trouble := range f.scenario.Troubles {
		work.Add(1)
		if err := f.group.Start(trouble.Kind, func(context.Context) error {
			defer work.Done()
			if err := agtask.Sleep(loadCtx, time.Duration(trouble.At)); err != nil {
				return nil
			}
			if err := troubleHandlers[trouble.Kind](loadCtx, f, trouble); err != nil {
				mu.Lock()
				failures = append(failures, fmt.Errorf("%s at %s: %w", trouble.Kind, time.Duration(trouble.At), err))
				mu.Unlock()
			}
			return nil
		}); err != nil {
			return err
		}
	}
	// A cancelled context ends the run early.
	_ = agtask.Sleep(ctx, time.Duration(f.scenario.Duration))
	stopLoad()
	callers.Wait()
	work.Wait()
	return errors.Join(failures...)
}

// stopAll kills all processes and hosts.
func (f *fleet) stopAll() {
	for _, m := range append(append([]*machine(nil), f.balancers...), f.agents...) {
		m.kill()
		if host := m.currentHost(); host != nil {
			host.crash()
		}
	}
}
