// Package agflow decides which host owns a flow, and relays the packets of the
// flows that its own host owns.
//
// Balancers keep no state of flows. They send each packet along a candidate
// list, and every agent on the way looks into its own flow table: the owner
// takes the packet, any other agent passes it on. The last candidate, the
// arbiter, is the oldest host of the service and alone decides on a flow that
// nobody owned: it records the decision first and then sends the packet with
// Kind Place to the host it chose.
//
// Machine holds these decisions without sockets. It takes a parsed header, the
// payload and the time and returns actions. Relay and PacketConn carry out the
// deliveries: Relay with one connected UDP socket for each plain UDP flow,
// PacketConn as the net.PacketConn that a QUIC transport reads from.
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

// Ways to own a flow. Baseline skips lookup and arbitration, so the first agent
// that gets a packet takes its flow. It exists for measurements only.
const (
	OwnershipArbitrated Ownership = "arbitrated"
	OwnershipBaseline   Ownership = "baseline"
)

const (
	// MaxHops bounds the agents that one packet passes. The longest regular way
	// is MaxCandidates and the arbiter, one redirect to an older host, and a
	// Place with its Refused for each of the hosts that are tried: 50 hops.
	MaxHops = 64
	// PlaceChoices is the number of best accepting candidates, beside the
	// arbiter, that a flow may be placed on. The candidate lists of balancers
	// are built for this number.
	PlaceChoices = 3
	// EntryLife is how long an arbiter remembers a placement after it was made or
	// confirmed. It exceeds the time for which a balancer may lack a new host in its
	// candidate lists.
	EntryLife = 60 * time.Second
	// tombstoneLife is how long a host remembers that it refused a placement.
	// It exceeds the life of a datagram in flight (5 s) and is below EntryLife,
	// so that the attempt numbers of a new entry meet no old tombstone.
	tombstoneLife = 30 * time.Second
	// refusedPause is how long an arbiter drops the packets of a flow that all
	// hosts refused before it asks them again.
	refusedPause = time.Second
	// DefaultIdleTimeout ends a plain UDP flow without packets.
	DefaultIdleTimeout = time.Hour
	// quicIdleTimeout ends the entry of a QUIC flow. It is used only until the
	// caller has learned the connection id that names the host.
	quicIdleTimeout = 60 * time.Second
	// quicHold is how long the entry of a QUIC flow counts as a connection.
	// After the handshake the QUIC server counts the connection itself.
	quicHold = 2 * time.Second
	// balancerFresh is how recently a balancer must have forwarded a packet of
	// the flow to get its answers.
	balancerFresh = 2 * time.Second
)

// Options are the parts of a Machine.
type Options struct {
	// Self is the advertised agent address.
	Self        netip.AddrPort
	Host        anvilglade.HostID
	Incarnation anvilglade.Incarnation
	DataCentre  anvilglade.DataCentreID
	Ownership   Ownership
	// IdleTimeout ends a plain UDP flow; DefaultIdleTimeout if zero.
	IdleTimeout time.Duration
	Admitter    anvilglade.Admitter
	// Stamp returns the stamp by which this host is ranked by age, as the agent
	// itself announces it. It is ahead of the assignment when the agent has just drawn
	// a later one; until they have it this host decides on no flow. Nil takes the
	// one in the assignment.
	Stamp func() anvilglade.JoinStamp
	// Serves reports whether this host has a backend address for a service.
	// Nil means every service.
	Serves func(anvilglade.ServiceNumber) bool
	// Direct reports whether the connection id in a QUIC packet names this
	// incarnation of this host and the given service. Nil accepts none.
	Direct func(service anvilglade.ServiceNumber, packet []byte) bool
	// Events gets the events of flows; may be nil.
	Events anvilglade.Recorder
	// Random breaks ties between equally loaded hosts.
	Random *rand.Rand
}

// ActionKind says what the caller of Handle has to do.
type ActionKind uint8

// Kinds of actions.
const (
	// ActionDeliver hands the payload to the backend server.
	ActionDeliver ActionKind = iota + 1
	// ActionSend sends a datagram with Header and Payload.
	ActionSend
	// ActionDrop counts a dropped packet.
	ActionDrop
	// ActionEnd closes what belongs to the flow.
	ActionEnd
)

// Action is one thing to do. Payload is the payload given to Handle.
type Action struct {
	Kind ActionKind
	// Flow is set for ActionEnd and for ActionDeliver of flows in the table; it
	// is nil for packets whose connection id names this host.
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
	// heard and used are nanoseconds since the Unix epoch: of the last packet
	// from the caller, and of the last packet in either direction.
	heard, used int64
	created     int64
	release     func()
}

// Machine decides on the packets that reach an agent. It is safe for concurrent
// use.
type Machine struct {
	options Options

	mu         sync.Mutex
	flows      map[anvilglade.FlowKey]*Flow
	placements map[anvilglade.FlowKey]*placement
	tombstones map[anvilglade.FlowKey]tombstone
	loads      map[netip.AddrPort]*load
	views      map[anvilglade.ServiceNumber]*view
	balancers  map[netip.AddrPort]anvilglade.DataCentreID

	service    anvilglade.ServiceNumber
	serviceID  anvilglade.ServiceID
	ordered    bool
	out        bool
	draining   bool
	stopping   bool
	left       bool
	flowCost   float64
	recent     netip.AddrPort
	utilAt     int64
	statistics Statistics
}

// Statistics counts the decisions of a Machine.
type Statistics struct {
	Flows, Placements, Tombstones               int
	Created, Ended, Redirected, PassedOn        uint64
	Decided, Refused, RefusedHere, RefusedByAll uint64
	// Cut counts lists that were too long to take all hosts that were missing.
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

// NewMachine returns a machine that has no assignment yet. Until then it passes
// packets on and takes no flow.
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

// Handle decides on one datagram and appends the actions. It changes the header
// and does not keep header, candidates or payload after the actions have been
// carried out.
func (m *Machine) Handle(now time.Time, kind agheader.Kind, header *agheader.Header, payload []byte, actions []Action) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.out {
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

// Flow returns a flow that this host owns.
func (m *Machine) Flow(key anvilglade.FlowKey) (*Flow, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	flow, ok := m.flows[key]
	return flow, ok
}

// Services returns the services that have flows here, in no order.
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
