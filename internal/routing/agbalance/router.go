// Package agbalance makes the routing decision of a balancer.
//
// The router reads an immutable table through an atomic pointer and keeps no
// state of flows. QUIC packets with a connection id of ours go to the agent
// that the id names; all others get the candidate list of their flow. A
// decision allocates nothing, except for an agent that is not in the table yet.
//
// # Usage
//
//	router := agbalance.NewRouter(agconnid.NewCodec(ring))
//	router.Adopt(table)
//	var decision anvilglade.RouteDecision
//	router.Route(&packet, &decision)
package agbalance

import (
	"fmt"
	"net/netip"
	"sync/atomic"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agconnid"
	"github.com/anvilglade/anvilglade/internal/routing/agtable"
)

// Mode selects an implementation of Router.
type Mode string

// Modes of routing. Baseline is plain rendezvous hashing without a lookup; it
// exists for measurements.
const (
	ModeLookup   Mode = "lookup"
	ModeBaseline Mode = "baseline"
)

// ParseMode returns the mode of a setting.
func ParseMode(text string) (Mode, error) {
	switch mode := Mode(text); mode {
	case ModeLookup, ModeBaseline:
		return mode, nil
	default:
		return "", fmt.Errorf("routing mode %q is unknown", text)
	}
}

// Adopter is a Router whose table can be replaced.
type Adopter interface {
	anvilglade.Router
	// Adopt puts a table in force.
	Adopt(table *agtable.Table)
	// Table returns the table in force, or nil.
	Table() *agtable.Table
}

// New returns the router of a mode. The tables of ModeBaseline must come from a
// Builder with the option Baseline.
func New(mode Mode, codec *agconnid.Codec) Adopter {
	if mode == ModeBaseline {
		return NewBaseline()
	}
	return NewRouter(codec)
}

// current holds the table in force.
type current struct {
	table atomic.Pointer[agtable.Table]
}

// Adopt puts a table in force.
func (c *current) Adopt(table *agtable.Table) {
	c.table.Store(table)
}

// Table returns the table in force, or nil.
func (c *current) Table() *agtable.Table {
	return c.table.Load()
}

// find starts a decision. It returns nil if the packet is dropped.
func (c *current) find(packet *anvilglade.IngressPacket, decision *anvilglade.RouteDecision) (*agtable.Table, *agtable.Route) {
	*decision = anvilglade.RouteDecision{}
	table := c.table.Load()
	if table == nil || table.Revision == 0 {
		decision.Drop = anvilglade.DropNoConfiguration
		return nil, nil
	}
	decision.Revision = table.Revision
	route := table.Route(packet.ServiceAddress)
	if route == nil {
		decision.Drop = anvilglade.DropNoRoute
		return nil, nil
	}
	decision.Service, decision.Protocol = route.Number, route.Protocol
	return table, route
}

// list fills the decision with the list of its flow.
func list(service *agtable.Service, decision *anvilglade.RouteDecision) {
	if service == nil {
		decision.Drop = anvilglade.DropNoHost
		return
	}
	decision.Hosts = service.Hosts()
	decision.Order = service.Order(service.Bucket(decision.Flow))
	if len(decision.Order) == 0 {
		decision.Drop = anvilglade.DropNoHost
	}
}

// Router is the implementation for ModeLookup.
type Router struct {
	current
	codec *agconnid.Codec
}

var _ Adopter = (*Router)(nil)

// NewRouter returns a router without a table.
func NewRouter(codec *agconnid.Codec) *Router {
	return &Router{codec: codec}
}

// Route fills the decision.
func (r *Router) Route(packet *anvilglade.IngressPacket, decision *anvilglade.RouteDecision) {
	table, route := r.find(packet, decision)
	if route == nil {
		return
	}
	if route.Protocol != anvilglade.ProtocolQUIC {
		decision.Flow = anvilglade.NewFlowKey(route.Number, packet.Caller)
		list(route.Service, decision)
		return
	}
	id, _, ok := agconnid.ParseDestination(packet.Payload)
	if !ok {
		decision.Drop = anvilglade.DropMalformed
		return
	}
	target, known := r.codec.Decode(id)
	if known && target.Service == route.Number.Tag() {
		decision.Flow = anvilglade.NewFlowKey(route.Number, packet.Caller)
		direct(table, target.Agent, decision)
		return
	}
	// An id that the caller chose may by chance begin with the id of a key.
	// It then decodes to a random target and is routed by the list.
	if agconnid.ChosenByCaller(packet.Payload) {
		decision.Flow = anvilglade.NewFlowKeyQUIC(route.Number, id)
		list(route.Service, decision)
		return
	}
	decision.Drop = anvilglade.DropUnknownKey
	if known {
		decision.Drop = anvilglade.DropWrongService
	}
}

// only is the order of a list with one entry.
var only = []uint16{0}

// direct sends the packet to the agent that its connection id names, also if
// the host is considered dead: that claim may be false, and then the host
// still has its flows. The flow key of such a decision is that of the caller's
// address, since the id changes within a connection.
func direct(table *agtable.Table, agent netip.AddrPort, decision *anvilglade.RouteDecision) {
	hosts, out := table.Agent(agent)
	if out {
		decision.Drop = anvilglade.DropDataCentreOut
		return
	}
	if hosts == nil {
		// The host joined after this table was built. The id can only come
		// from a process that has the keys.
		hosts = []anvilglade.Candidate{{Address: agent, Accepts: true}}
	}
	decision.Direct, decision.Hosts, decision.Order = true, hosts, only
}
