// Package agflow decides which host owns a flow, and relays the packets of the
// flows that its own host owns.
//
// Balancers keep no flow state. They send each packet along a candidate list, and
// each agent on the list looks up the flow in its own flow table. The owner
// accepts the packet; any other agent forwards it to the next candidate. The last
// candidate is the arbiter, the oldest host of the service. Only the arbiter
// decides on a flow without an owner. It records the decision before it sends the
// packet to the chosen host as a datagram of kind Place.
//
// Machine makes these decisions without sockets. It takes a parsed header, the
// payload and the time and returns actions. Relay and PacketConn deliver the
// packets: Relay through one connected UDP socket per plain UDP flow, PacketConn
// as the net.PacketConn that a QUIC transport reads from.
//
// # Usage
//
//	machine := agflow.NewMachine(agflow.Options{Self: address, Host: "dk1-h01", Admitter: admitter})
//	machine.SetAssignment(now, assignment, nil)
//	actions = machine.Handle(now, kind, &header, payload, actions[:0])
//	for i := range actions {
//		carryOut(&actions[i])
//	}
package agflow

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
)

// Ownership selects how an agent comes to own a flow.
type Ownership string

// Ownership modes. OwnershipBaseline skips lookup and arbitration, so the first
// agent that receives a packet owns its flow. It exists for measurements only.
const (
	OwnershipArbitrated Ownership = "arbitrated"
	OwnershipBaseline   Ownership = "baseline"
)

const (
	// MaxHops is the maximum number of agents that one packet passes. The longest
	// regular path is MaxCandidates and the arbiter, one redirect to an older
	// host, and a Place with its Refused for each host that is tried: 50 hops.
	MaxHops = 64
	// PlaceChoices is the number of highest ranked accepting candidates, in
	// addition to the arbiter, that a flow may be placed on. Balancers build
	// their candidate lists for this number.
	PlaceChoices = 3
	// PlacementLifetime is the time for which an arbiter keeps a placement after it
	// was made or confirmed. It exceeds the time for which a new host may be missing in the
	// candidate lists of a balancer.
	PlacementLifetime = 60 * time.Second
	// tombstoneLifetime is the time for which a host keeps the record of a placement that
	// it refused. It exceeds the lifetime of a datagram in flight (5 s) and is
	// below PlacementLifetime, so that the attempt numbers of a new placement
	// never match an earlier tombstone.
	tombstoneLifetime = 30 * time.Second
	// refusedRetryDelay is the time for which an arbiter drops the packets of a flow
	// that all hosts refused before it tries the hosts again.
	refusedRetryDelay = time.Second
	// DefaultIdleTimeout is the time without packets after which a plain UDP flow
	// ends.
	DefaultIdleTimeout = time.Hour
	// quicIdleTimeout is the time without packets after which the entry of a QUIC
	// flow ends. The entry is used only until the caller has received the
	// connection id that names the host.
	quicIdleTimeout = 60 * time.Second
	// quicHandshakeTime is the time for which the entry of a QUIC flow counts as a
	// connection. After the handshake the QUIC server counts the connection
	// itself.
	quicHandshakeTime = 2 * time.Second
	// balancerMaxAge is the time since a balancer last forwarded a packet of a
	// flow within which answers of the flow are sent through it.
	balancerMaxAge = 2 * time.Second
)

// Options are the settings and dependencies of a Machine, the decision logic of one
// agent.
type Options struct {
	// Self is the advertised agent address.
	Self        netip.AddrPort
	Host        anvilglade.HostID
	Incarnation anvilglade.Incarnation
	DataCentre  anvilglade.DataCentreID
	Ownership   Ownership
	// IdleTimeout is the time without packets after which a plain UDP flow ends;
	// DefaultIdleTimeout if zero.
	IdleTimeout time.Duration
	Admitter    anvilglade.Admitter
	// Stamp returns the stamp that the agent announces at present, by which hosts
	// are ranked by age. It is later than the stamp in the assignment if the agent
	// has just chosen a new one; this host decides on no flow until the assignment
	// contains the new stamp. If Stamp is nil, the stamp in the assignment counts.
	Stamp func() anvilglade.JoinStamp
	// Serves reports whether this host has a backend address for a service. Nil
	// means that it has one for every service.
	Serves func(anvilglade.ServiceNumber) bool
	// Direct reports whether the connection id in a QUIC packet names this
	// incarnation of this host and the given service. Nil rejects every packet.
	Direct func(service anvilglade.ServiceNumber, packet []byte) bool
	// Events records the events of flows; it may be nil.
	Events anvilglade.Recorder
	// Random breaks ties between equally loaded hosts.
	Random *rand.Rand
}

// ActionKind is the kind of an action that the caller of Handle carries out.
type ActionKind uint8

// Kinds of actions.
const (
	// ActionDeliver delivers the payload to the backend server.
	ActionDeliver ActionKind = iota + 1
	// ActionSend sends a datagram with Header and Payload.
	ActionSend
	// ActionDrop counts a dropped packet.
	ActionDrop
	// ActionEnd releases the resources of the flow, such as its socket.
	ActionEnd
)

// Action is one action to carry out. Payload is the payload passed to Handle.
type Action struct {
	Kind ActionKind
	// Flow is set for ActionEnd and for ActionDeliver of a flow in the table; it
	// is nil for a packet whose connection id names this host.
	Flow    *Flow
	To      netip.AddrPort
	Message agheader.Kind
	Header  agheader.Header
	Payload []byte
	Drop    anvilglade.Drop
}

// Flow is a flow that this host owns.
type Flow struct {
	Key            anvilglade.FlowKey
	Service        anvilglade.ServiceNumber
	Protocol       anvilglade.Protocol
	Caller         netip.AddrPort
	ServiceAddress netip.AddrPort

	balancer netip.AddrPort
	// lastFromCaller and lastUsed are the times of the last packet from the caller
	// and of the last packet in either direction, in nanoseconds since the Unix
	// epoch.
	lastFromCaller, lastUsed int64
	createdAt                int64
	release                  func()
}

// Machine contains the flow table of one agent and decides on the owners of flows. It
// is safe for concurrent use. In this package, times of type int64 are in nanoseconds
// since the Unix epoch.
type Machine struct {
	options Options

	mu         sync.Mutex
	flows      map[anvilglade.FlowKey]*Flow
	placements map[anvilglade.FlowKey]*placement
	tombstones map[anvilglade.FlowKey]tombstone
	loads      map[netip.AddrPort]*load
	views      map[anvilglade.ServiceNumber]*view
	balancers  map[netip.AddrPort]anvilglade.DataCentreID

	service        anvilglade.ServiceNumber
	serviceID      anvilglade.ServiceID
	hasAssignment  bool
	dataCentreOut  bool
	draining       bool
	stopping       bool
	hasLeft        bool
	flowCost       float64
	recentBalancer netip.AddrPort
	lastTick       int64
	statistics     Statistics
}

// Statistics contains the table sizes and decision counters of a Machine.
type Statistics struct {
	Flows, Placements, Tombstones               int
	Created, Ended, Redirected, PassedOn        uint64
	Decided, Refused, RefusedHere, RefusedByAll uint64
	// Cut counts candidate lists that had no room for all missing hosts or for the
	// arbiter.
	Cut uint64
}

type handler func(m *Machine, now int64, header *agheader.Header, payload []byte, actions []Action) []Action

var handlers = map[agheader.Kind]handler{
	agheader.KindLookup:      (*Machine).handleLookup,
	agheader.KindPlace:       (*Machine).handlePlace,
	agheader.KindPlaced:      (*Machine).handlePlaced,
	agheader.KindRefused:     (*Machine).handleRefused,
	agheader.KindUtilisation: (*Machine).handleUtilisation,
}

// NewMachine returns a Machine without an assignment. Until SetAssignment is
// called, it forwards packets along the candidate list and accepts no flow.
func NewMachine(options Options) *Machine {
	if options.IdleTimeout == 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	if options.Ownership == "" {
		options.Ownership = OwnershipArbitrated
	}
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(uint64(options.Incarnation), uint64(options.Self.Port())))
	}
	return &Machine{
		options:    options,
		flows:      make(map[anvilglade.FlowKey]*Flow),
		placements: make(map[anvilglade.FlowKey]*placement),
		tombstones: make(map[anvilglade.FlowKey]tombstone),
		loads:      make(map[netip.AddrPort]*load),
		views:      make(map[anvilglade.ServiceNumber]*view),
		balancers:  make(map[netip.AddrPort]anvilglade.DataCentreID),
	}
}

// Handle decides on one datagram and appends the resulting actions to actions. It
// modifies the header and does not retain header, candidates or payload after the
// actions have been carried out.
func (m *Machine) Handle(now time.Time, kind agheader.Kind, header *agheader.Header, payload []byte, actions []Action) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dataCentreOut {
		return drop(actions, anvilglade.DropDataCentreOut)
	}
	header.Hops++
	if header.Hops > MaxHops {
		return drop(actions, anvilglade.DropHops)
	}
	handle := handlers[kind]
	if handle == nil {
		return drop(actions, anvilglade.DropMalformed)
	}
	return handle(m, now.UnixNano(), header, payload, actions)
}

// Statistics returns the counters and table sizes.
func (m *Machine) Statistics() Statistics {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.statistics
	s.Flows, s.Placements, s.Tombstones = len(m.flows), len(m.placements), len(m.tombstones)
	return s
}

// Flow returns the flow with the given key if this host owns it.
func (m *Machine) Flow(key anvilglade.FlowKey) (*Flow, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	flow, ok := m.flows[key]
	return flow, ok
}

// Services returns the services of the flows that this host owns, in no
// particular order.
func (m *Machine) Services() []anvilglade.ServiceNumber {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := make(map[anvilglade.ServiceNumber]struct{})
	for _, flow := range m.flows {
		counts[flow.Service] = struct{}{}
	}
	services := make([]anvilglade.ServiceNumber, 0, len(counts))
	for service := range counts {
		services = append(services, service)
	}
	return services
}

func (m *Machine) record(event anvilglade.Event) {
	if m.options.Events != nil {
		m.options.Events.Record(event)
	}
}

func (m *Machine) recordFlow(kind anvilglade.EventType, key anvilglade.FlowKey, host anvilglade.HostID, detail string) {
	m.record(anvilglade.Event{Type: kind, Flow: key, Host: host, Service: m.serviceID, Detail: detail})
}

func drop(actions []Action, reason anvilglade.Drop) []Action {
	return append(actions, Action{Kind: ActionDrop, Drop: reason})
}

func send(actions []Action, to netip.AddrPort, message agheader.Kind, header *agheader.Header, payload []byte) []Action {
	return append(actions, Action{Kind: ActionSend, To: to, Message: message, Header: *header, Payload: payload})
}
