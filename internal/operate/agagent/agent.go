// Package agagent implements the agent process, which runs on the VM of a backend
// server.
//
// An agent sends heartbeats for its host, owns the flows and requests of the host,
// decides on new flows and relays traffic to the backend server over loopback. Its
// tasks are: the datagram task, which reads sealed datagrams from balancers and
// agents and applies the decisions of agflow; one reader for each plain UDP flow;
// the assignment task, which enforces the operators' decisions; the tick, which
// ends idle flows; the reporter of the membership; the QUIC servers; and the
// admin listener.
//
// New builds the process. Components of other packages (keys, reporter, QUIC
// server) are passed in Parts, so that tests can replace them.
//
// # Usage
//
//	agent, stop, err := agagent.New(ctx, settings, agagent.Parts{Keys: ring, NewReporter: newReporter})
//	if err != nil {
//		return err
//	}
//	defer stop()
//	return agent.Run(ctx, signals)
package agagent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/admission/agadmit"
	"github.com/anvilglade/anvilglade/internal/flow/agflow"
	"github.com/anvilglade/anvilglade/internal/membership/agmember"
	"github.com/anvilglade/anvilglade/internal/observe/agadmin"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
	"github.com/anvilglade/anvilglade/internal/observe/aglog"
	"github.com/anvilglade/anvilglade/internal/packet/agseal"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
)

// eventRingSize is the number of events that an agent stores, about 1 MB.
const eventRingSize = 4096

// Settings of an agent. An advertised address differs from the one that the agent
// listens on if a proxy is between the agent and its peers.
type Settings struct {
	Host             anvilglade.HostID
	DataCentre       anvilglade.DataCentreID
	AgentAddress     netip.AddrPort
	AdvertiseAgent   netip.AddrPort
	ControlAddress   netip.AddrPort
	AdvertiseControl netip.AddrPort
	AdminAddress     netip.AddrPort
	Backends         map[anvilglade.ServiceID]netip.AddrPort
	Balancers        []netip.AddrPort
	JoinSecrets      []anvilglade.Secret
	IdleTimeout      time.Duration
	Ownership        agflow.Ownership
	Admission        Admission
	// Linger is how long the agent keeps running after its host has left, to pass
	// on packets that still arrive; DefaultLinger if zero.
	Linger time.Duration
}

// Admission selects the admission policy.
type Admission string

// Admission policies. AdmissionBaseline exists for measurements only.
const (
	AdmissionAdaptive Admission = "adaptive"
	AdmissionBaseline Admission = "baseline"
)

// KeyRing is the part of agkeys.Ring that an agent uses.
type KeyRing interface {
	anvilglade.KeyRing
	// Adopt replaces the keys by those of an assignment if version is newer, and
	// reports whether it did.
	Adopt(bundle anvilglade.KeyBundle, version anvilglade.Version) bool
}

// Reporter is the part of agmember.Reporter that an agent uses.
type Reporter interface {
	anvilglade.AssignmentSource
	Run(ctx context.Context) error
	HandleAck(payload []byte) error
	SetState(state anvilglade.HostState)
	// Record returns the current record of the host.
	Record() anvilglade.HostRecord
}

// ServerOptions are the dependencies and settings of the QUIC server of a service.
type ServerOptions struct {
	Service  anvilglade.ServiceID
	Conn     net.PacketConn
	Backend  netip.AddrPort
	Admitter anvilglade.Admitter
	// Spill returns the host that should receive the next new request instead of
	// this one, see agflow.Machine.Spill.
	Spill       func() (anvilglade.ServiceMember, bool)
	Assignment  anvilglade.AssignmentSource
	Keys        KeyRing
	Record      anvilglade.HostRecord
	JoinSecrets []anvilglade.Secret
	Group       *agtask.Group
	Events      anvilglade.Recorder
	Admin       *agadmin.Server
}

// Server serves the QUIC callers of one service.
type Server interface {
	// Drain requests that callers send new requests to other hosts. Requests in
	// progress continue.
	Drain()
	// ConnectionKeys returns the number of open connections by the key of their
	// first connection ids.
	ConnectionKeys() map[anvilglade.KeyID]int
}

// Parts are the components of an agent that other packages implement.
type Parts struct {
	Keys        KeyRing
	NewReporter func(agmember.ReporterOptions) Reporter
	// Direct reports whether the connection id of a packet contains this
	// incarnation and the service. If Direct is nil, no packet is accepted by its
	// connection id.
	Direct func(record *anvilglade.HostRecord, service anvilglade.ServiceNumber, packet []byte) bool
	// NewServer returns the QUIC server of a service. If it is nil, the agent does
	// not serve QUIC.
	NewServer func(ServerOptions) (Server, func(), error)
	// Clock is the system clock if nil.
	Clock anvilglade.Clock
}

// Agent is the agent process.
type Agent struct {
	settings Settings
	parts    Parts
	log      *aglog.Logger
	clock    anvilglade.Clock
	events   *agevent.Ring
	record   anvilglade.HostRecord

	group    *agtask.Group
	socket   *net.UDPConn
	sealer   *agseal.Sealer
	opener   *agseal.Opener
	buffers  sync.Pool
	reporter Reporter
	admitter anvilglade.Admitter
	// limits is nil under AdmissionBaseline.
	limits  *agadmit.Host
	machine *agflow.Machine
	relay   *agflow.Relay
	conns   map[anvilglade.ServiceNumber]*agflow.PacketConn
	servers []Server
	admin   *agadmin.Server

	stopping atomic.Bool
	counters counters
	cleanup  []func()
}

// New returns an agent with open sockets, or the error of the first component that
// cannot be created. The returned function stops all tasks and closes all sockets.
func New(ctx context.Context, settings Settings, parts Parts) (*Agent, func(), error) {
	a := &Agent{settings: settings, parts: parts, clock: parts.Clock, log: aglog.New("agent")}
	if a.clock == nil {
		a.clock = anvilglade.SystemClock{}
	}
	if err := a.build(ctx); err != nil {
		a.close()
		return nil, nil, err
	}
	return a, a.close, nil
}

// build creates the components in the order of their dependencies.
func (a *Agent) build(ctx context.Context) error {
	a.events = agevent.NewRing(anvilglade.ProcessID("agent/"+a.settings.Host), eventRingSize, a.clock)
	a.record = anvilglade.HostRecord{
		Host: a.settings.Host, Incarnation: anvilglade.Incarnation(a.clock.Now().UnixNano()), Sequence: 1,
		State: anvilglade.HostJoining, DataCentre: a.settings.DataCentre, AgentAddress: a.settings.AdvertiseAgent,
		ControlAddress: a.settings.AdvertiseControl, AdminAddress: a.settings.AdminAddress,
	}
	steps := []func(context.Context) error{
		a.buildGroup, a.buildSockets, a.buildAdmission, a.buildFlows, a.buildReporter, a.buildAdmin, a.buildServers,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (a *Agent) buildGroup(ctx context.Context) error {
	group, stop, err := agtask.NewGroup(ctx)
	if err != nil {
		return err
	}
	a.group = group
	a.cleanup = append(a.cleanup, stop)
	return nil
}

func (a *Agent) buildSockets(context.Context) error {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a.settings.AgentAddress))
	if err != nil {
		return fmt.Errorf("listen on agent address %s: %w", a.settings.AgentAddress, err)
	}
	a.socket = socket
	a.cleanup = append(a.cleanup, func() { _ = socket.Close() })
	// Bursts of several balancers may arrive at once. The kernel may grant smaller
	// buffers, which is not an error.
	_ = socket.SetReadBuffer(socketBuffer)
	_ = socket.SetWriteBuffer(socketBuffer)
	if a.sealer, err = agseal.NewSealer(a.parts.Keys); err != nil {
		return err
	}
	a.opener = agseal.NewOpener(a.parts.Keys)
	a.buffers.New = func() any { return &sendBuffer{} }
	return nil
}

func (a *Agent) buildAdmission(context.Context) error {
	if a.settings.Admission == AdmissionBaseline {
		a.admitter = agadmit.NewBaseline()
		return nil
	}
	limits, stop, err := agadmit.NewHost(agadmit.Options{Host: a.settings.Host, Clock: a.clock, Events: a.events})
	if err != nil {
		return err
	}
	a.limits, a.admitter = limits, limits
	a.cleanup = append(a.cleanup, stop)
	return nil
}

func (a *Agent) buildFlows(context.Context) error {
	backends := make(map[anvilglade.ServiceNumber]netip.AddrPort, len(a.settings.Backends))
	for service, address := range a.settings.Backends {
		backends[service.Number()] = address
	}
	options := agflow.Options{
		Self: a.record.AgentAddress, Host: a.record.Host, Incarnation: a.record.Incarnation, DataCentre: a.record.DataCentre,
		Ownership: a.settings.Ownership, IdleTimeout: a.settings.IdleTimeout, Admitter: a.admitter, Events: a.events,
		Stamp: func() anvilglade.JoinStamp {
			record := a.reporter.Record()
			return max(record.JoinStamp, record.AcceptStamp)
		},
		Serves: func(service anvilglade.ServiceNumber) bool {
			_, ok := backends[service]
			return ok
		},
	}
	if a.parts.Direct != nil {
		options.Direct = func(service anvilglade.ServiceNumber, packet []byte) bool {
			return a.parts.Direct(&a.record, service, packet)
		}
	}
	a.machine = agflow.NewMachine(options)
	relay, stop, err := agflow.NewRelay(agflow.RelayOptions{
		Machine: a.machine, Backends: backends, Send: a.send, Clock: a.clock, Group: a.group, OnBackendRefused: a.backendRefused,
	})
	if err != nil {
		return err
	}
	a.relay = relay
	// The clean-up runs in reverse order, so the sockets of the flows are closed
	// before the group waits for their readers.
	a.cleanup = append(a.cleanup, stop)
	return nil
}

func (a *Agent) buildReporter(context.Context) error {
	a.reporter = a.parts.NewReporter(agmember.ReporterOptions{
		Record: a.record, Seeds: a.settings.Balancers, ServicesWithFlows: a.servicesWithFlows, Send: a.sendPlain, Clock: a.clock, Events: a.events,
	})
	return nil
}

func (a *Agent) buildAdmin(context.Context) error {
	a.admin = agadmin.NewServer(agadmin.Options{
		Address: a.settings.AdminAddress, Events: a.events, Ready: a.ready, Status: func() any { return a.status() },
	})
	a.publish()
	return nil
}

func (a *Agent) buildServers(context.Context) error {
	a.conns = make(map[anvilglade.ServiceNumber]*agflow.PacketConn)
	if a.parts.NewServer == nil {
		return nil
	}
	for service, backend := range a.settings.Backends {
		conn, closeConn, err := agflow.NewPacketConn(a.machine, service.Number(), a.send, a.clock)
		if err != nil {
			return err
		}
		a.cleanup = append(a.cleanup, closeConn)
		a.conns[service.Number()] = conn
		server, stop, err := a.parts.NewServer(ServerOptions{
			Service: service, Conn: conn, Backend: backend, Admitter: a.admitter, Spill: a.machine.Spill, Assignment: a.reporter, Keys: a.parts.Keys,
			Record: a.record, JoinSecrets: a.settings.JoinSecrets, Group: a.group, Events: a.events, Admin: a.admin,
		})
		if err != nil {
			return fmt.Errorf("create QUIC server of service %s: %w", service, err)
		}
		a.servers = append(a.servers, server)
		a.cleanup = append(a.cleanup, stop)
	}
	return nil
}

func (a *Agent) close() {
	for i := len(a.cleanup) - 1; i >= 0; i-- {
		a.cleanup[i]()
	}
	a.cleanup = nil
}

// ready returns nil if the agent accepts new work, otherwise an error with the
// reason.
func (a *Agent) ready() error {
	if a.stopping.Load() {
		return errors.New("the agent is stopping")
	}
	assignment, ok := a.reporter.Assignment()
	switch {
	case !ok:
		return errors.New("no assignment yet: no balancer has answered a heartbeat")
	case assignment.Service == "":
		return fmt.Errorf("no pool matches host %s", a.settings.Host)
	case assignment.Draining:
		return errors.New("the host is draining")
	case assignment.DataCentreState != anvilglade.DataCentreIn:
		return fmt.Errorf("data centre %s is %s", a.settings.DataCentre, assignment.DataCentreState)
	}
	return nil
}
