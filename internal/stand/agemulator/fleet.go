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
	// firstBase and lastBase bound the base ports that are tried.
	firstBase = 20000
	lastBase  = 32000
	region    = "local"
)

// machine is a process of the system with its settings.
type machine struct {
	name     string
	verb     string
	settings anvilglade.PlatformSettings
	// life is held while a trouble ends the process and starts it again.
	life    sync.Mutex
	mu      sync.Mutex
	process *agprocess.Process
	host    *Host
}

// currentHost returns the host beside an agent.
func (m *machine) currentHost() *Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.host
}

// fleet is the whole deployment of a run.
type fleet struct {
	options  Options
	scenario *Scenario
	group    *agtask.Group
	ledger   *Ledger
	router   *Router
	store    *agapi.Server
	proxy    *proxy
	client   *http.Client
	base     uint16
	random   *rand.Rand

	balancers []*machine
	agents    []*machine
	callers   []*Caller

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

// freeBase returns a base port whose ports nobody uses on the first balancer's
// address.
func freeBase(ctx context.Context, start int) (uint16, error) {
	var config net.ListenConfig
	for base := firstBase + start%(lastBase-firstBase); base < lastBase+portCount; base += portCount {
		listener, err := config.Listen(ctx, "tcp4", fmt.Sprintf("127.0.0.1:%d", base+portStore))
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			return 0, err
		}
		return uint16(base), nil
	}
	return 0, fmt.Errorf("no free ports from %d to %d", firstBase, lastBase)
}

func (f *fleet) settings(name string, ip anvilglade.IPv4, dataCentre int) anvilglade.PlatformSettings {
	at := func(port int) anvilglade.Endpoint { return anvilglade.Endpoint{IP: ip, Port: f.base + uint16(port)} }
	settings := anvilglade.PlatformSettings{
		Node: name, IP: ip, DataCentre: dataCentreName(dataCentre), Region: region,
		Regions:    make(map[anvilglade.DataCentreID]anvilglade.RegionID),
		PacketPort: at(portPacket).Port, InnerPort: at(portInner).Port,
		ReadyAddr: at(portReady).String(), ControlAddr: at(portControl).String(),
		StoreAddr:         fmt.Sprintf("127.0.0.1:%d", f.base+portProxy),
		HeartbeatInterval: heartbeatInterval, MaxFlowAge: maxFlowAge, StopTimeout: stopTimeout, ColdFactor: 1.5, ColdSlack: 5,
	}
	for i := range f.scenario.DataCentres {
		settings.Regions[dataCentreName(i)] = region
	}
	// The first balancer of two data centres are the seeds.
	for i := range min(2, f.scenario.DataCentres) {
		settings.Seeds = append(settings.Seeds, balancerIP(i, 0))
	}
	return settings
}

func balancerIP(dataCentre, index int) anvilglade.IPv4 {
	return anvilglade.IPv4{127, 10, byte(dataCentre + 1), byte(index + 1)}
}

// lay lays out the machines of the scenario.
func (f *fleet) lay() {
	for dataCentre := range f.scenario.DataCentres {
		for i := range f.scenario.Balancers {
			name := fmt.Sprintf("balancer-%d-%d", dataCentre+1, i+1)
			f.balancers = append(f.balancers, &machine{name: name, verb: "packet-balancer", settings: f.settings(name, balancerIP(dataCentre, i), dataCentre)})
		}
		number := 0
		for _, spec := range f.scenario.Services {
			for range spec.Hosts {
				number++
				f.layAgent(spec, dataCentre, number)
			}
		}
	}
}

func (f *fleet) layAgent(spec ServiceSpec, dataCentre, number int) {
	name := fmt.Sprintf("agent-%d-%d", dataCentre+1, number)
	settings := f.settings(name, anvilglade.IPv4{127, 20, byte(dataCentre + 1), byte(number)}, dataCentre)
	settings.Service = spec.Name
	settings.HostAddr = anvilglade.Endpoint{IP: settings.IP, Port: f.base + portHost}
	settings.OutboundAddr = anvilglade.Endpoint{IP: settings.IP, Port: f.base + portOutbound}
	agent := &machine{name: name, verb: "packet-agent", settings: settings}
	agent.host = f.newHost(agent, spec, "host-"+name)
	f.agents = append(f.agents, agent)
}

func (f *fleet) newHost(agent *machine, spec ServiceSpec, id string) *Host {
	return &Host{
		id: anvilglade.HostID(id), spec: spec, settings: agent.settings, ledger: f.ledger, group: f.group, client: f.client, evacuated: f.evacuatedAt,
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
		Dir: f.options.Dir, Name: m.name, Program: f.options.Anvilglade, Args: []string{m.verb, "--settings", path},
	})
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.process = process
	m.mu.Unlock()
	return nil
}

// stop ends the process of a machine in the usual way.
func (m *machine) stop() error {
	m.mu.Lock()
	process := m.process
	m.mu.Unlock()
	// A process that gets the signal before it handles it ends with an error.
	if err := process.Stop(stopTimeout); errors.Is(err, agprocess.ErrStopTimeout) {
		return err
	}
	return nil
}

// kill ends the process of a machine at once.
func (m *machine) kill() {
	m.mu.Lock()
	process := m.process
	m.mu.Unlock()
	process.Kill()
}

// pause stops the process of a machine and lets it go on after a time.
func (m *machine) pause(ctx context.Context, length time.Duration) error {
	m.mu.Lock()
	process := m.process
	m.mu.Unlock()
	if err := process.Signal(syscall.SIGSTOP); err != nil && !process.Ended() {
		return err
	}
	// The process goes on also when the run ends.
	_ = agtask.Sleep(ctx, length)
	if err := process.Signal(syscall.SIGCONT); err != nil && !process.Ended() {
		return err
	}
	return nil
}

// putDesired writes the desired state after a change.
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

// putObject writes an object as operators do, past the faults of the store.
func (f *fleet) putObject(object anvilglade.Object) error {
	stored, exists := f.store.Objects().Get(object.Kind, object.Name, 0)
	if !exists {
		stored.Version = 0
		if object.Data == nil {
			// An overlapping trouble has deleted it.
			return nil
		}
	}
	if _, ok := f.store.Objects().Put(object, stored.Version); !ok {
		return fmt.Errorf("object %s/%s has changed meanwhile", object.Kind, object.Name)
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

// initialState is the desired state at the start.
func (f *fleet) initialState(state *anvilglade.DesiredState) {
	state.IdleTimeout = idleTimeout
	for i, spec := range f.scenario.Services {
		state.Routes = append(state.Routes, anvilglade.PacketRoute{
			Name: string(spec.Name), Address: serviceAddress(i), Backends: []anvilglade.WeightedService{{Service: spec.Name, Weight: 1}},
		})
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
			socket, closeSocket, err := agsocket.Listen(ctx, anvilglade.Endpoint{IP: ip, Port: f.base + portPacket}.AddrPort())
			if err != nil {
				closeAll()
				return nil, err
			}
			closers = append(closers, closeSocket)
			service := i % len(f.scenario.Services)
			f.callers = append(f.callers, &Caller{
				fleet: f, dataCentre: dataCentre, ip: ip, socket: socket, service: f.scenario.Services[service], address: serviceAddress(service),
				random: rand.New(rand.NewPCG(f.options.Seed, uint64(len(f.callers)))), inboxes: make(map[uint16]chan arrival),
			})
		}
	}
	return closeAll, nil
}

// checkReset checks a reset that a caller got: it breaks a promise if a host
// that runs undisturbed holds the flow, unless its sender was disturbed.
func (f *fleet) checkReset(flow anvilglade.Flow, from anvilglade.IPv4) {
	for _, agent := range f.agents {
		host := agent.currentHost()
		if host.holds(flow) && f.ledger.calm(agent.settings.IP) && f.ledger.calm(from) {
			f.ledger.breaks(PromiseFlowKept, "flow %s of host %s was reset by %s", flow, host.id, from)
		}
	}
}
