package agemulator

// The deployment: addresses, processes and the desired state.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/stand/agapi"
	"github.com/anvilglade/anvilglade/internal/stand/agprocess"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

// Ports of a process, relative to the base port of the run.
const (
	portPacket = iota
	portInner
	portReady
	portControl
	portOutbound
	portHost
	portStore
	portProxy
	portCount
)

const (
	heartbeatInterval = 400 * time.Millisecond
	stopTimeout       = 6 * time.Second
	maxFlowAge        = time.Minute
	idleTimeout       = 15 * time.Second
	servicePort       = 443
	// firstBasePort and lastBasePort are the limits of the range of base ports to try.
	firstBasePort = 20000
	lastBasePort  = 32000
	region        = "local"
)

// machine is a balancer or agent process with its settings.
type machine struct {
	name       string
	subcommand string
	settings   anvilglade.PlatformSettings
	// lifecycleMu is locked while a trouble stops and restarts the process or its host.
	lifecycleMu sync.Mutex
	mu          sync.Mutex
	process     *agprocess.Process
	host        *Host
}

// currentHost returns the host of an agent, nil for a balancer.
func (m *machine) currentHost() *Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.host
}

// fleet is the deployment of a run.
type fleet struct {
	options  Options
	scenario *Scenario
	group    *agtask.Group
	ledger   *Ledger
	router   *Router
	store    *agapi.Server
	proxy    *proxy
	client   *http.Client
	basePort uint16
	random   *rand.Rand

	balancers []*machine
	agents    []*machine
	callers   []*Caller
	demands   []*demand
	// probers is the number of callers that have probed added routes.
	probers atomic.Int64
	// pauseDivisor divides the pauses of the callers; above 1 in a burst.
	pauseDivisor atomic.Int64

	mu        sync.Mutex
	desired   anvilglade.DesiredState
	evacuated map[anvilglade.DataCentreID]time.Time
}

func dataCentreName(index int) anvilglade.DataCentreID {
	return anvilglade.DataCentreID(fmt.Sprintf("dc%d", index+1))
}

func serviceAddress(index int) anvilglade.Endpoint {
	return anvilglade.Endpoint{IP: anvilglade.IPv4{198, 18, 0, byte(index + 1)}, Port: servicePort}
}

// freeBasePort returns the first base port, at or after an offset from firstBasePort,
// whose store port is free on 127.0.0.1.
func freeBasePort(ctx context.Context, start int) (uint16, error) {
	var config net.ListenConfig
	for base := firstBasePort + start%(lastBasePort-firstBasePort); base < lastBasePort+portCount; base += portCount {
		listener, err := config.Listen(ctx, "tcp4", fmt.Sprintf("127.0.0.1:%d", base+portStore))
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			return 0, err
		}
		return uint16(base), nil
	}
	return 0, fmt.Errorf("no free ports from %d to %d", firstBasePort, lastBasePort)
}

func (f *fleet) settings(name string, ip anvilglade.IPv4, dataCentre int) anvilglade.PlatformSettings {
	endpoint := func(port int) anvilglade.Endpoint {
		return anvilglade.Endpoint{IP: ip, Port: f.basePort + uint16(port)}
	}
	settings := anvilglade.PlatformSettings{
		Node: name, IP: ip, DataCentre: dataCentreName(dataCentre), Region: region,
		Regions:    make(map[anvilglade.DataCentreID]anvilglade.RegionID),
		PacketPort: endpoint(portPacket).Port, InnerPort: endpoint(portInner).Port,
		ReadyAddr: endpoint(portReady).String(), ControlAddr: endpoint(portControl).String(),
		StoreAddr:         fmt.Sprintf("127.0.0.1:%d", f.basePort+portProxy),
		HeartbeatInterval: heartbeatInterval, MaxFlowAge: maxFlowAge, StopTimeout: stopTimeout, ColdFactor: 1.5, ColdSlack: 5,
	}
	for i := range f.scenario.DataCentres {
		settings.Regions[dataCentreName(i)] = region
	}
	// The seeds are the first balancers of the first two data centres.
	for i := range min(2, f.scenario.DataCentres) {
		settings.Seeds = append(settings.Seeds, balancerIP(i, 0))
	}
	return settings
}

func balancerIP(dataCentre, index int) anvilglade.IPv4 {
	return anvilglade.IPv4{127, 10, byte(dataCentre + 1), byte(index + 1)}
}

// addMachines adds the balancers and agents of the scenario.
func (f *fleet) addMachines() {
	for dataCentre := range f.scenario.DataCentres {
		for i := range f.scenario.Balancers {
			name := fmt.Sprintf("balancer-%d-%d", dataCentre+1, i+1)
			settings := f.settings(name, balancerIP(dataCentre, i), dataCentre)
			settings.Limits = f.scenario.limits(i)
			f.balancers = append(f.balancers, &machine{name: name, subcommand: "packet-balancer", settings: settings})
		}
		number := 0
		for _, spec := range f.scenario.Services {
			for range spec.Hosts {
				number++
				f.addAgent(spec, dataCentre, number)
			}
		}
	}
}

func (f *fleet) addAgent(spec ServiceSpec, dataCentre, number int) {
	name := fmt.Sprintf("agent-%d-%d", dataCentre+1, number)
	settings := f.settings(name, anvilglade.IPv4{127, 20, byte(dataCentre + 1), byte(number)}, dataCentre)
	settings.Service = spec.Name
	settings.HostAddr = anvilglade.Endpoint{IP: settings.IP, Port: f.basePort + portHost}
	settings.OutboundAddr = anvilglade.Endpoint{IP: settings.IP, Port: f.basePort + portOutbound}
	agent := &machine{name: name, subcommand: "packet-agent", settings: settings}
	agent.host = f.newHost(agent, spec, "host-"+name)
	f.agents = append(f.agents, agent)
}

func (f *fleet) newHost(agent *machine, spec ServiceSpec, id string) *Host {
	return &Host{
		id: anvilglade.HostID(id), spec: spec, settings: agent.settings, ledger: f.ledger, group: f.group, client: f.client, evacuated: f.evacuatedAt, allowed: f.allowed,
	}
}

// launch starts the process of a machine.
func (f *fleet) launch(m *machine) error {
	data, err := agplatform.EncodeSettings(&m.settings)
	if err != nil {
		return err
	}
	path := filepath.Join(f.options.Dir, m.name+".toml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("write settings of %s: %w", m.name, err)
	}
	process, err := agprocess.Start(f.group, agprocess.Options{
		Dir: f.options.Dir, Name: m.name, Program: f.options.Anvilglade, Args: []string{m.subcommand, "--settings", path},
	})
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.process = process
	m.mu.Unlock()
	return nil
}

// stop ends the process of a machine gracefully.
func (m *machine) stop() error {
	m.mu.Lock()
	process := m.process
	m.mu.Unlock()
	// The process may have exited with an error if the signal arrived before its
	// handler was installed. Only a timeout is a failure.
	if err := process.Stop(stopTimeout); errors.Is(err, agprocess.ErrStopTimeout) {
		return err
	}
	return nil
}

// kill kills the process of a machine.
func (m *machine) kill() {
	m.mu.Lock()
	process := m.process
	m.mu.Unlock()
	process.Kill()
}

// pause suspends the process of a machine for the given time.
func (m *machine) pause(ctx context.Context, length time.Duration) error {
	m.mu.Lock()
	process := m.process
	m.mu.Unlock()
	if err := process.Signal(syscall.SIGSTOP); err != nil && !process.Ended() {
		return err
	}
	// The process is resumed even if the run ends during the pause.
	_ = agtask.Sleep(ctx, length)
	if err := process.Signal(syscall.SIGCONT); err != nil && !process.Ended() {
		return err
	}
	return nil
}

// putDesired applies a change to the desired state and writes it to the store
// under a higher version.
func (f *fleet) putDesired(change func(*anvilglade.DesiredState)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.desired.Version += 1 + anvilglade.DesiredVersion(f.random.IntN(5))
	change(&f.desired)
	object, err := agplatform.DesiredObject(&f.desired)
	if err != nil {
		return err
	}
	return f.putObject(object)
}

// putObject writes an object on behalf of operators. It bypasses the store's faults.
func (f *fleet) putObject(object anvilglade.Object) error {
	stored, exists := f.store.Objects().Get(object.Kind, object.Name, 0)
	if !exists {
		stored.Version = 0
		if object.Data == nil {
			// An overlapping trouble has already deleted the object.
			return nil
		}
	}
	if _, ok := f.store.Objects().Put(object, stored.Version); !ok {
		return fmt.Errorf("object %s/%s was modified concurrently", object.Kind, object.Name)
	}
	return nil
}

func (f *fleet) evacuatedAt(dataCentre anvilglade.DataCentreID) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuated[dataCentre]
}

func (f *fleet) setEvacuated(dataCentre anvilglade.DataCentreID, evacuated bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	object := agplatform.EvacuationObject(dataCentre)
	if !evacuated {
		object.Data = nil
		delete(f.evacuated, dataCentre)
		return f.putObject(object)
	}
	f.evacuated[dataCentre] = time.Now()
	return f.putObject(object)
}

// initialState sets the routes and services that the run starts with.
func (f *fleet) initialState(state *anvilglade.DesiredState) {
	state.IdleTimeout = idleTimeout
	for _, demand := range f.demands {
		state.Routes = append(state.Routes, anvilglade.PacketRoute{
			Name: demand.name, Address: demand.address, Backends: demand.backends, Class: demand.class,
		})
	}
	for _, spec := range f.scenario.Services {
		state.Services = append(state.Services, anvilglade.PacketService{Service: spec.Name, ColdRate: spec.ColdRate})
	}
}

// addCallers opens the sockets of all callers. The returned function closes
// them.
func (f *fleet) addCallers(ctx context.Context) (func(), error) {
	var closers []func()
	closeAll := func() {
		for _, closeSocket := range closers {
			closeSocket()
		}
	}
	for dataCentre := range f.scenario.DataCentres {
		for i := range f.scenario.Load.Callers {
			ip := anvilglade.IPv4{127, 30, byte(dataCentre + 1), byte(i + 1)}
			socket, closeSocket, err := agsocket.Listen(ctx, anvilglade.Endpoint{IP: ip, Port: f.basePort + portPacket}.AddrPort())
			if err != nil {
				closeAll()
				return nil, err
			}
			closers = append(closers, closeSocket)
			f.callers = append(f.callers, &Caller{
				fleet: f, dataCentre: dataCentre, ip: ip, socket: socket, demand: demandOf(f.demands, i, f.scenario.Load.Callers),
				random: rand.New(rand.NewPCG(f.options.Seed, uint64(len(f.callers)))), inboxes: make(map[uint16]chan arrival),
			})
		}
	}
	return closeAll, nil
}

// checkReset checks a reset that a caller received from the process at an address.
// The reset violates PromiseFlowKept if a running host has the flow open and neither
// that host's agent nor the sender was disturbed.
func (f *fleet) checkReset(flow *callerFlow, from anvilglade.IPv4) {
	for _, agent := range f.agents {
		host := agent.currentHost()
		if host.hasOpenFlow(flow.id, flow.host) && f.ledger.undisturbed(agent.settings.IP) && f.ledger.undisturbed(from) {
			f.ledger.recordViolation(PromiseFlowKept, "flow %s of host %s was reset by %s", flow.id, host.id, from)
		}
	}
}
