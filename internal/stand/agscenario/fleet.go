package agscenario

// A fleet: the processes of one case, connected through one fabric.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/stand/agbackend"
	"github.com/anvilglade/anvilglade/internal/stand/agfabric"
	"github.com/anvilglade/anvilglade/internal/stand/agprocess"
)

// FleetOptions holds the paths of the binaries and the seed of a fleet.
type FleetOptions struct {
	// Anvilglade and Agstand are the paths of the binaries.
	Anvilglade string
	Agstand    string
	Seed       uint64
	// Baseline starts balancers and agents in their baseline modes.
	Baseline bool
	// Dir is the folder for logs and files; the fleet does not remove any.
	Dir string
}

// Fleet manages the processes of one case. Its methods are not safe for
// concurrent use, except those that verbs call in the background.
type Fleet struct {
	options  FleetOptions
	settings settings
	plan     *plan
	group    *agtask.Group
	deployed []deploymentSpec
	services []*serviceState
	secret   string

	api    *agprocess.Process
	fabric *agprocess.Process

	mu           sync.Mutex
	balancers    map[string]*balancer
	hosts        map[string]*host
	nextBalancer int
	nextHost     int
	// endedJournals holds the journals of backend servers that were stopped.
	endedJournals []agbackend.Journal
}

type balancer struct {
	name    string
	number  int
	process *agprocess.Process
	// party is the balancer's entry in the configuration of the fabric.
	party agfabric.Party
}

type host struct {
	name       string
	number     int
	dataCentre string
	service    string
	joined     time.Time
	agent      *agprocess.Process
	backend    *agprocess.Process
	stopped    bool
}

// joinSecret is the same in every scenario, because the processes listen on
// loopback addresses only.
const joinSecret = "a1a2a3a4a5a6a7a8a9aaabacadaeafb0b1b2b3b4b5b6b7b8b9babbbcbdbebfc0"

// NewFleet reserves the addresses of a fleet. The returned function kills every
// process of the fleet and releases the addresses.
func NewFleet(ctx context.Context, options FleetOptions) (*Fleet, func(), error) {
	addresses, err := newPlan(ctx)
	if err != nil {
		return nil, nil, err
	}
	// The tasks that wait for processes must outlive ctx: after an interrupt
	// the processes are stopped first.
	group, stop, err := agtask.NewGroup(context.WithoutCancel(ctx))
	if err != nil {
		addresses.release()
		return nil, nil, err
	}
	f := &Fleet{
		options:   options,
		settings:  defaultSettings(),
		plan:      addresses,
		group:     group,
		secret:    joinSecret,
		balancers: map[string]*balancer{},
		hosts:     map[string]*host{},
	}
	return f, func() {
		f.killAll()
		stop()
		addresses.release()
	}, nil
}

// killAll kills every process. It runs after the result of the case was recorded.
func (f *Fleet) killAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := []*agprocess.Process{f.api, f.fabric}
	for _, item := range f.balancers {
		all = append(all, item.process)
	}
	for _, item := range f.hosts {
		all = append(all, item.agent, item.backend)
	}
	for _, item := range all {
		item.Kill()
	}
}

// deploy adds a deployment before the start.
func (f *Fleet) deploy(name string) error {
	spec, ok := deployments[name]
	if !ok {
		return fmt.Errorf("no deployment %q, expected one of %s", name, strings.Join(slices.Sorted(maps.Keys(deployments)), ", "))
	}
	f.deployed = append(f.deployed, spec)
	for _, service := range spec.services {
		f.services = append(f.services, &serviceState{spec: service, deployment: spec, number: len(f.services)})
	}
	return nil
}

// start starts the object API and the fabric, writes keys and tables, and then
// starts balancers and hosts and waits until all are ready.
func (f *Fleet) start(ctx context.Context, balancers int) error {
	if err := f.startInfrastructure(ctx); err != nil {
		return err
	}
	for _, service := range f.services {
		service.joined = service.spec.hosts
	}
	if err := f.initialise(ctx); err != nil {
		return err
	}
	var names []string
	for range balancers {
		name, err := f.startBalancer(ctx)
		if err != nil {
			return err
		}
		names = append(names, name)
	}
	for _, name := range names {
		if err := f.balancers[name].process.WaitReady(ctx, f.adminOfBalancer(name)+"/ready"); err != nil {
			return err
		}
	}
	var hosts []string
	for _, service := range f.services {
		for n := range service.spec.hosts {
			name, dataCentre := service.hostName(n)
			if err := f.startHost(ctx, name, dataCentre, service.spec.name); err != nil {
				return err
			}
			hosts = append(hosts, name)
		}
	}
	return f.waitHosts(ctx, hosts)
}

func (f *Fleet) waitHosts(ctx context.Context, names []string) error {
	for _, name := range names {
		f.mu.Lock()
		item := f.hosts[name]
		f.mu.Unlock()
		if err := item.agent.WaitReady(ctx, f.adminOfHost(item)+"/ready"); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startInfrastructure(ctx context.Context) error {
	var err error
	f.api, err = f.startProgram("api", f.options.Agstand, "api", "--address", f.plan.api().String())
	if err != nil {
		return err
	}
	config := agfabric.Config{
		Seed:       f.options.Seed,
		API:        f.plan.api(),
		Callers:    f.plan.fabricCallers(),
		CallerPort: uint16(portFabricOut + f.plan.octet),
		Parties:    []agfabric.Party{{Name: "operator", Groups: []string{"operators"}, Relay: f.plan.relay(0)}},
	}
	for _, service := range f.services {
		config.Services = append(config.Services,
			agfabric.Service{Address: f.plan.service(2 * service.number)},
			agfabric.Service{Address: f.plan.service(2*service.number + 1)})
	}
	data, err := json.Marshal(config)
	if err != nil {
		return fmt.Errorf("encode fabric configuration: %w", err)
	}
	path := filepath.Join(f.options.Dir, "fabric.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("write fabric configuration: %w", err)
	}
	f.fabric, err = f.startProgram("fabric", f.options.Agstand, "fabric", "--config", path, "--control", f.plan.fabric().String())
	if err != nil {
		return err
	}
	return errors.Join(
		f.fabric.WaitReady(ctx, f.fabricURL("/ready")),
		f.api.WaitReady(ctx, "http://"+f.plan.api().String()+"/control"))
}

func (f *Fleet) fabricURL(path string) string {
	return "http://" + f.plan.fabric().String() + path
}

// startBalancer starts another balancer and returns its name. Balancers are
// assigned to the deployments and their data centres in turn.
func (f *Fleet) startBalancer(ctx context.Context) (string, error) {
	f.mu.Lock()
	f.nextBalancer++
	number := f.nextBalancer
	var seeds []string
	for _, name := range slices.Sorted(maps.Keys(f.balancers)) {
		if item := f.balancers[name]; !item.process.Ended() {
			seeds = append(seeds, addrPort(f.plan.advertisedBalancer(item.number), portPeer).String())
		}
	}
	f.mu.Unlock()
	deployment := f.deployed[number%len(f.deployed)]
	dataCentre := fmt.Sprintf("%s%d", deployment.prefix, number%deployment.dataCentres+1)
	name := fmt.Sprintf("b%d", number)
	inner, front := f.plan.balancer(number), f.plan.advertisedBalancer(number)
	party := agfabric.Party{
		Name:   name,
		Groups: []string{"balancers", dataCentre},
		Endpoints: []agfabric.Endpoint{
			{Advertised: addrPort(front, portDatagram), Real: addrPort(inner, portDatagram)},
			{Advertised: addrPort(front, portPeer), Real: addrPort(inner, portPeer), Class: agfabric.ClassControl},
		},
		Ingress: inner,
		Ready:   "http://" + addrPort(inner, portAdmin).String() + "/ready",
		Relay:   f.plan.relay(number),
	}
	if err := post(ctx, f.fabricURL("/parties"), []agfabric.Party{party}); err != nil {
		return "", err
	}
	args := []string{
		"balancer", "--id", name, "--data-centre", dataCentre,
		"--ingress-host", inner.String(),
		"--datagram-address", addrPort(inner, portDatagram).String(),
		"--advertise-datagram", addrPort(front, portDatagram).String(),
		"--peer-address", addrPort(inner, portPeer).String(),
		"--advertise-peer", addrPort(front, portPeer).String(),
		"--admin-address", addrPort(inner, portAdmin).String(),
		"--platform", "http://" + f.plan.relay(number).String(),
		"--join-secret", f.secret,
	}
	if len(seeds) > 0 {
		args = append(args, "--seeds", strings.Join(seeds, ","))
	}
	if f.options.Baseline {
		args = append(args, "--routing", "baseline")
	}
	process, err := f.startProgram(name, f.options.Anvilglade, args...)
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers[name] = &balancer{name: name, number: number, process: process, party: party}
	return name, nil
}

func (f *Fleet) adminOfBalancer(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return "http://" + addrPort(f.plan.balancer(f.balancers[name].number), portAdmin).String()
}

func (f *Fleet) adminOfHost(item *host) string {
	return "http://" + addrPort(f.plan.host(item.number), portAdmin).String()
}

func (f *Fleet) backendURL(item *host, path string) string {
	return "http://" + addrPort(f.plan.host(item.number), portBackend).String() + path
}

// startHost starts a backend server and its agent. It does not wait until the
// agent is ready.
func (f *Fleet) startHost(ctx context.Context, name, dataCentre, service string) error {
	f.mu.Lock()
	f.nextHost++
	item := &host{name: name, number: f.nextHost, dataCentre: dataCentre, service: service, joined: time.Now()}
	f.hosts[name] = item
	f.mu.Unlock()
	inner, front := f.plan.host(item.number), f.plan.advertisedHost(item.number)
	party := agfabric.Party{
		Name:   name,
		Groups: []string{"hosts", dataCentre, service},
		Endpoints: []agfabric.Endpoint{
			{Advertised: addrPort(front, portAgent), Real: addrPort(inner, portAgent)},
			{Advertised: addrPort(front, portControl), Real: addrPort(inner, portControl), Class: agfabric.ClassData},
		},
	}
	if err := post(ctx, f.fabricURL("/parties"), []agfabric.Party{party}); err != nil {
		return err
	}
	if err := f.startBackend(item); err != nil {
		return err
	}
	return f.startAgent(item)
}

// backendsOf returns the services of a host and their addresses in the format of
// the command line. It lists all services of the host's deployment, so that the
// host can move between their pools.
func (f *Fleet) backendsOf(item *host) string {
	var parts []string
	var prefix string
	for _, service := range f.services {
		if service.spec.name == item.service {
			prefix = service.deployment.prefix
		}
	}
	for _, service := range f.services {
		if service.deployment.prefix == prefix {
			address := addrPort(f.plan.host(item.number), portBackend+len(parts))
			parts = append(parts, service.spec.name+"="+address.String())
		}
	}
	return strings.Join(parts, ",")
}

func (f *Fleet) service(name string) (*serviceState, error) {
	for _, service := range f.services {
		if service.spec.name == name {
			return service, nil
		}
	}
	return nil, fmt.Errorf("no service %q in this fleet", name)
}

func (f *Fleet) startBackend(item *host) error {
	service, err := f.service(item.service)
	if err != nil {
		return err
	}
	item.backend, err = f.startProgram(item.name+"-backend", f.options.Agstand,
		"backend", "--host", item.name, "--services", f.backendsOf(item),
		"--slots", fmt.Sprint(service.spec.slots),
		"--connections", fmt.Sprint(connectionsPerHost),
		"--service-time", f.settings.serviceTime.String(),
		"--cold-initial", fmt.Sprint(f.settings.coldInitial),
		"--cold-step", fmt.Sprint(f.settings.coldStep),
		"--cold-slowdown", fmt.Sprint(f.settings.coldSlowdown),
		"--fell-over-for", f.settings.fellOverFor.String(),
		"--seed", fmt.Sprint(f.options.Seed+uint64(item.number)))
	return err
}

func (f *Fleet) startAgent(item *host) error {
	inner, front := f.plan.host(item.number), f.plan.advertisedHost(item.number)
	f.mu.Lock()
	var balancers []string
	for _, name := range slices.Sorted(maps.Keys(f.balancers)) {
		if other := f.balancers[name]; !other.process.Ended() {
			balancers = append(balancers, addrPort(f.plan.advertisedBalancer(other.number), portDatagram).String())
		}
	}
	f.mu.Unlock()
	args := []string{
		"agent", "--host", item.name, "--data-centre", item.dataCentre,
		"--agent-address", addrPort(inner, portAgent).String(),
		"--advertise-agent", addrPort(front, portAgent).String(),
		"--control-address", addrPort(inner, portControl).String(),
		"--advertise-control", addrPort(front, portControl).String(),
		"--admin-address", addrPort(inner, portAdmin).String(),
		"--backends", f.backendsOf(item),
		"--balancers", strings.Join(balancers, ","),
		"--join-secret", f.secret,
	}
	if f.options.Baseline {
		args = append(args, "--ownership", "baseline", "--admission", "baseline")
	}
	var err error
	item.agent, err = f.startProgram(item.name+"-agent", f.options.Anvilglade, args...)
	return err
}

// serviceAddress returns the address that callers of a service send to.
func (f *Fleet) serviceAddress(name string, quic bool) (netip.AddrPort, error) {
	service, err := f.service(name)
	if err != nil {
		return netip.AddrPort{}, err
	}
	if quic {
		return f.plan.service(2 * service.number), nil
	}
	return f.plan.service(2*service.number + 1), nil
}

func (f *Fleet) startProgram(name, program string, args ...string) (*agprocess.Process, error) {
	return agprocess.Start(f.group, agprocess.Options{Dir: f.options.Dir, Name: name, Program: program, Args: args})
}
