// Package agbalance makes the routing decision of a balancer.
//
// The router reads an immutable table through an atomic pointer and has no state of
// flows. A QUIC packet whose connection id was issued by this fleet is routed to the
// agent that the id names; all other packets are routed by the candidate list of
// their flow. A decision does not allocate memory, except for an agent that is not
// in the table yet.
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

// Modes of routing. ModeLookup sends a packet to the first host of the candidate list
// of its flow; the agents on the list look up the flow. ModeBaseline is plain
// rendezvous hashing to one host, for comparative measurements.
const (
	ModeLookup   Mode = "lookup"
	ModeBaseline Mode = "baseline"
)

// ParseMode returns the mode that a setting names, or an error if there is none.
func ParseMode(text string) (Mode, error) {
	switch mode := Mode(text); mode {
	case ModeLookup, ModeBaseline:
		return mode, nil
	default:
		return "", fmt.Errorf("routing mode %q is unknown", text)
	}
}

// TableRouter is a Router that routes by a table, which can be replaced.
type TableRouter interface {
	anvilglade.Router
	// Adopt makes a table the current one.
	Adopt(table *agtable.Table)
	// Table returns the current table, or nil before the first one.
	Table() *agtable.Table
}

// New returns the router of a mode. The tables of ModeBaseline must come from a
// Builder with the option Baseline.
func New(mode Mode, codec *agconnid.Codec) TableRouter {
	if mode == ModeBaseline {
		return NewBaseline()
	}
	return NewRouter(codec)
}

// tableHolder is the replaceable table that Router and Baseline embed.
type tableHolder struct {
	table atomic.Pointer[agtable.Table]
}

// Adopt makes a table the current one.
func (h *tableHolder) Adopt(table *agtable.Table) {
	h.table.Store(table)
}

// Table returns the current table, or nil before the first one.
func (h *tableHolder) Table() *agtable.Table {
	return h.table.Load()
}

// findRoute resets the decision and returns the current table and the route of the
// packet. It returns nil for both if the packet is to be dropped.
func (h *tableHolder) findRoute(packet *anvilglade.IngressPacket, decision *anvilglade.RouteDecision) (*agtable.Table, *agtable.Route) {
	*decision = anvilglade.RouteDecision{}
	table := h.table.Load()
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

// routeByList sets Hosts and Order of the decision to the candidate list of
// decision.Flow. The packet is dropped if there is no candidate.
func routeByList(service *agtable.Service, decision *anvilglade.RouteDecision) {
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

// Router is the router for ModeLookup.
type Router struct {
	tableHolder
	codec *agconnid.Codec
}

var _ TableRouter = (*Router)(nil)

// NewRouter returns a router without a table.
func NewRouter(codec *agconnid.Codec) *Router {
	return &Router{codec: codec}
}

// Route fills in the decision for a packet.
func (r *Router) Route(packet *anvilglade.IngressPacket, decision *anvilglade.RouteDecision) {
	table, route := r.findRoute(packet, decision)
	if route == nil {
		return
	}
	if route.Protocol != anvilglade.ProtocolQUIC {
		decision.Flow = anvilglade.NewFlowKey(route.Number, packet.Caller)
		routeByList(route.Service, decision)
		return
	}
	id, _, ok := agconnid.ParseDestination(packet.Payload)
	if !ok {
		decision.Drop = anvilglade.DropMalformed
		return
	}
	target, decoded := r.codec.Decode(id)
	if decoded && target.Service == route.Number.Tag() {
		decision.Flow = anvilglade.NewFlowKey(route.Number, packet.Caller)
		routeDirect(table, target.Agent, decision)
		return
	}
	// An id chosen by the caller is routed by the list, even if it happens to begin
	// with the id of a key and decodes to a random target.
	if agconnid.ChosenByCaller(packet.Payload) {
		decision.Flow = anvilglade.NewFlowKeyQUIC(route.Number, id)
		routeByList(route.Service, decision)
		return
	}
	decision.Drop = anvilglade.DropUnknownKey
	if decoded {
		decision.Drop = anvilglade.DropWrongService
	}
}

// singleOrder is the Order for a Hosts slice with one entry: index 0.
var singleOrder = []uint16{0}

// routeDirect routes the packet to the agent that its connection id names, also if
// the host is in the state HostDead: it may still be running and hold its flows. The
// flow key of such a decision is derived from the caller's address, because the id
// changes within a connection.
func routeDirect(table *agtable.Table, agent netip.AddrPort, decision *anvilglade.RouteDecision) {
	hosts, dataCentreOut := table.Agent(agent)
	if dataCentreOut {
		decision.Drop = anvilglade.DropDataCentreOut
		return
	}
	if hosts == nil {
		// The host joined after this table was built. The id can be trusted, because
		// only a process that has the keys can issue it.
		hosts = []anvilglade.Candidate{{Address: agent, Accepts: true}}
	}
	decision.Direct, decision.Hosts, decision.Order = true, hosts, singleOrder
}
