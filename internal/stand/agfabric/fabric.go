// Package agfabric emulates the network between callers, balancers, agents and the
// object API, with fault injection.
//
// The fabric owns one UDP socket for each advertised address. It identifies the
// sender of a datagram by its source address, and forwards the datagram from the
// socket of the sender's advertised address to the receiver's real address. In
// this way processes communicate only through advertised addresses, and all
// datagrams pass through the fabric. Callers send to service addresses: the fabric forwards each
// datagram to one of the ready balancers, chosen uniformly by a seeded random
// source, and each caller has one source address at the balancers. TCP relays connect
// processes to the object API.
//
// Faults (loss, delay, reordering, duplication, partition) select links by the
// names or groups of both ends and by class, and can be changed at any time
// over the control port.
//
// # Usage
//
//	fabric, err := agfabric.NewFabric(config)
//	if err != nil {
//		return err
//	}
//	return fabric.Run(ctx, control)
package agfabric

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
)

const (
	datagramSize = 65536
	socketBuffer = 4 << 20
	// groupCallers and groupAPI are the names by which faults select the callers
	// and the object API.
	groupCallers = "callers"
	groupAPI     = "api"
	anyParty     = "*"
)

// Fabric is an emulated network.
type Fabric struct {
	config Config
	group  *agtask.Group
	faults *faultTable
	delays *schedule
	counts *counters
	// view is replaced as a whole when parties or services change.
	view           atomic.Pointer[view]
	mu             sync.Mutex
	callers        *callerNAT
	unknownSenders atomic.Uint64
	failures       atomic.Uint64
	relays         []*relay
}

// view is an immutable snapshot of the lookup tables for the datagram tasks.
type view struct {
	parties []*partyState
	// bySource maps the real address that a process sends from to its endpoint.
	bySource map[netip.AddrPort]*endpointState
	// byIngress maps the IP from which a balancer answers callers to the balancer.
	byIngress map[netip.Addr]*partyState
	services  map[uint16]*serviceState
}

type partyState struct {
	Party

	names map[string]bool
	ready atomic.Bool
}

type endpointState struct {
	Endpoint

	party  *partyState
	socket *net.UDPConn
}

type serviceState struct {
	Service

	socket *net.UDPConn
}

// NewFabric returns a fabric without open sockets.
func NewFabric(config Config) *Fabric {
	f := &Fabric{config: config, counts: newCounters()}
	f.faults = newFaultTable(rand.New(rand.NewPCG(config.Seed, 1)))
	f.delays = newSchedule()
	f.view.Store(&view{
		bySource:  map[netip.AddrPort]*endpointState{},
		byIngress: map[netip.Addr]*partyState{},
		services:  map[uint16]*serviceState{},
	})
	return f
}

// Run opens all sockets and forwards datagrams until ctx ends. It serves the
// control port over HTTP at the address control.
func (f *Fabric) Run(ctx context.Context, control netip.AddrPort) error {
	group, stop, err := agtask.NewGroup(ctx)
	if err != nil {
		return err
	}
	defer stop()
	f.group = group
	if f.callers, err = newCallerNAT(f.config.Callers, f.config.CallerPort); err != nil {
		return err
	}
	if err := group.Start("callers", f.returnToCallers); err != nil {
		return err
	}
	if err := group.Start("schedule", f.delays.run); err != nil {
		return err
	}
	if err := group.Start("health", f.checkHealth); err != nil {
		return err
	}
	if err := f.AddServices(f.config.Services); err != nil {
		return err
	}
	if err := f.AddParties(f.config.Parties); err != nil {
		return err
	}
	if err := group.Start("control", func(ctx context.Context) error { return f.serveControl(ctx, control) }); err != nil {
		return err
	}
	return group.Wait()
}

// AddParties adds parties and opens their sockets and relays. It returns an error
// if the name of a party is already in use.
func (f *Fabric) AddParties(parties []Party) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, party := range parties {
		if err := f.addParty(party); err != nil {
			return fmt.Errorf("add party %s: %w", party.Name, err)
		}
	}
	return nil
}

func (f *Fabric) addParty(party Party) error {
	old := f.view.Load()
	next := old.copy()
	for _, known := range old.parties {
		if known.Name == party.Name {
			return errors.New("the name is taken")
		}
	}
	state := &partyState{Party: party, names: map[string]bool{party.Name: true}}
	for _, group := range party.Groups {
		state.names[group] = true
	}
	next.parties = append(next.parties, state)
	if party.Ingress.IsValid() {
		next.byIngress[party.Ingress] = state
	}
	var opened []*endpointState
	for _, endpoint := range party.Endpoints {
		socket, err := listen(endpoint.Advertised)
		if err != nil {
			return err
		}
		item := &endpointState{Endpoint: endpoint, party: state, socket: socket}
		next.bySource[endpoint.Real] = item
		opened = append(opened, item)
	}
	f.view.Store(next)
	for _, item := range opened {
		if err := f.group.Start("endpoint/"+item.Advertised.String(), func(ctx context.Context) error {
			return f.forward(ctx, item)
		}); err != nil {
			return err
		}
	}
	if !party.Relay.IsValid() {
		return nil
	}
	return f.startRelay(state)
}

// AddServices opens the service addresses that callers send to. It returns an
// error if two services have the same port.
func (f *Fabric) AddServices(services []Service) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, service := range services {
		next := f.view.Load().copy()
		port := service.Address.Port()
		if _, taken := next.services[port]; taken {
			return fmt.Errorf("add service %s: port is taken by another service", service.Address)
		}
		socket, err := listen(service.Address)
		if err != nil {
			return err
		}
		item := &serviceState{Service: service, socket: socket}
		next.services[port] = item
		f.view.Store(next)
		random := rand.New(rand.NewPCG(f.config.Seed, uint64(port)))
		if err := f.group.Start("service/"+service.Address.String(), func(ctx context.Context) error {
			return f.distribute(ctx, item, random)
		}); err != nil {
			return err
		}
	}
	return nil
}

func (v *view) copy() *view {
	next := &view{
		parties:   append([]*partyState(nil), v.parties...),
		bySource:  make(map[netip.AddrPort]*endpointState, len(v.bySource)+1),
		byIngress: make(map[netip.Addr]*partyState, len(v.byIngress)+1),
		services:  make(map[uint16]*serviceState, len(v.services)+1),
	}
	for key, item := range v.bySource {
		next.bySource[key] = item
	}
	for key, item := range v.byIngress {
		next.byIngress[key] = item
	}
	for key, item := range v.services {
		next.services[key] = item
	}
	return next
}

func listen(address netip.AddrPort) (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	if err := errors.Join(socket.SetReadBuffer(socketBuffer), socket.SetWriteBuffer(socketBuffer)); err != nil {
		return nil, errors.Join(fmt.Errorf("set buffers of %s: %w", address, err), socket.Close())
	}
	return socket, nil
}
