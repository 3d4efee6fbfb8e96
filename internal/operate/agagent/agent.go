// Package agagent is the agent process beside a backend server.
//
// An agent announces its host, owns the flows and requests of the host, decides
// on new flows and relays traffic to the backend server over loopback. Its
// tasks are: the datagram task, which reads sealed datagrams from balancers and
// agents and carries out the decisions of agflow; one reader for each plain UDP
// flow; the assignment task, which enforces what operators decided; the tick, which
// ends idle flows; the reporter of the membership; the QUIC servers; and the
// admin listener.
//
// New builds all parts in one place. Parts that other packages bring (keys,
// reporter, QUIC server) come in through Parts, so that tests can replace them.
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

// eventRing is the number of events that an agent keeps, about 1 MB.
const eventRing = 4096

// Settings of an agent. Addresses that are advertised differ from those that
// are listened on when a proxy stands in front.
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
	// Linger is how long the agent stays after it has left, to hand over packets
	// on their way; DefaultLinger if zero.
	Linger time.Duration
}

// Admission selects the policy of admission.
type Admission string

// Policies of admission. Baseline exists for measurements only.
const (
	AdmissionAdaptive Admission = "adaptive"
	AdmissionBaseline Admission = "baseline"
)

// KeyRing is the part of agkeys.Ring that an agent uses.
type KeyRing interface {
	anvilglade.KeyRing
	// Adopt takes the keys of a newer assignment.
	Adopt(bundle anvilglade.KeyBundle, version anvilglade.Version) bool
}

// Reporter is the part of agmember.Reporter that an agent uses.
type Reporter interface {
	anvilglade.AssignmentSource
	Run(ctx context.Context) error
	HandleAck(payload []byte) error
	SetState(state anvilglade.HostState)
	// Record returns the host as it is announced now.
	Record() anvilglade.HostRecord
}

// ServerOptions are what the QUIC server of a service is built from.
type ServerOptions struct {
	Service  anvilglade.ServiceID
	Conn     net.PacketConn
	Backend  netip.AddrPort
	Admitter anvilglade.Admitter
	// Spill names the host that should get the next new request instead of this
	// one, see agflow.Machine.Spill.
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
	// Drain tells the callers to go elsewhere with new requests. Requests in
	// progress go on.
	Drain()
	// ConnectionKeys returns the number of open connections by the key of their
	// first connection ids.
	ConnectionKeys() map[anvilglade.KeyID]int
}

// Parts are the parts that other packages bring.
type Parts struct {
	Keys        KeyRing
	NewReporter func(agmember.ReporterOptions) Reporter
	// Direct reports whether a connection id names this incarnation and the
	// service; nil accepts none.
	Direct func(record *anvilglade.HostRecord, service anvilglade.ServiceNumber, packet []byte) bool
	// NewServer builds the QUIC server of a service; nil serves no QUIC.
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

// New builds an agent. The returned function stops all tasks and closes all
// sockets.
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

// build makes the parts in the order in which they need each other.
func (a *Agent) build(ctx context.Context) error {
	a.events = agevent.NewRing(anvilglade.ProcessID("agent/"+a.settings.Host), eventRing, a.clock)
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
	// The kernel may grant less; bursts of several balancers arrive at once.
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
		Machine: a.machine, Backends: backends, Send: a.send, Clock: a.clock, Group: a.group, Refused: a.backendRefused,
	})
	if err != nil {
		return err
	}
	a.relay = relay
	// The clean-up runs backwards, so the flow sockets close before the group
	// waits for their readers.
	a.cleanup = append(a.cleanup, stop)
	return nil
}

func (a *Agent) buildReporter(context.Context) error {
	a.reporter = a.parts.NewReporter(agmember.ReporterOptions{
		Record: a.record, Seeds: a.settings.Balancers, Holding: a.holding, Send: a.sendPlain, Clock: a.clock, Events: a.events,
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

// ready says why the agent takes no new work.
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
