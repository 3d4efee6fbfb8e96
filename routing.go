package anvilglade

import "net/netip"

// Candidate is a host that may hold or take a flow.
type Candidate struct {
	Address netip.AddrPort
	// Accepts is false for hosts that take no new flows (draining hosts and
	// data centres, suspected hosts).
	Accepts bool
}

// MaxCandidates bounds the candidate list of a datagram without the arbiter.
const MaxCandidates = 40

// IngressPacket is a datagram that a caller sent to a service address.
type IngressPacket struct {
	Caller         netip.AddrPort
	ServiceAddress netip.AddrPort
	Payload        []byte
}

// Drop is the reason for which a packet is dropped. Its string is the name of
// the counter.
type Drop string

// Reasons for dropping a packet. The empty reason means that it is kept.
const (
	DropNone            Drop = ""
	DropNoRoute         Drop = "NoRoute"
	DropNoHost          Drop = "NoHost"
	DropWrongService    Drop = "WrongService"
	DropDataCentreOut   Drop = "DataCentreOut"
	DropMalformed       Drop = "Malformed"
	DropNoConfiguration Drop = "NoConfiguration"
	DropUnknownKey      Drop = "UnknownKey"
	DropReplay          Drop = "Replay"
	DropOversized       Drop = "Oversized"
	DropHops            Drop = "Hops"
	DropRefused         Drop = "Refused"
	DropRingFull        Drop = "RingFull"
)

// RouteDecision is where a balancer sends a packet.
type RouteDecision struct {
	Drop     Drop
	Service  ServiceNumber
	Protocol Protocol
	Flow     FlowKey
	// Direct is set when the packet itself names the host; the list then has
	// one entry and the host takes no decision on ownership.
	Direct bool
	// Hosts and Order are shared with the routing table and read-only. Order
	// holds indexes into Hosts in the order of the lookup; the last entry is
	// the arbiter of the service.
	Hosts []Candidate
	Order []uint16
	// Revision is the configuration that the decision rests on.
	Revision Revision
}

// Router decides where a packet of a caller goes. Implementations keep no
// state of flows.
type Router interface {
	// Route fills the decision. It does not keep the packet.
	Route(packet *IngressPacket, decision *RouteDecision)
}
