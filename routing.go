package anvilglade

import "net/netip"

// Candidate is a host that may already have a flow or could accept it.
type Candidate struct {
	Address netip.AddrPort
	// Accepts is false for hosts that accept no new flows: draining hosts, hosts
	// in draining data centres and suspected hosts.
	Accepts bool
}

// MaxCandidates is the maximum number of candidates in a datagram, not counting
// the arbiter.
const MaxCandidates = 40

// IngressPacket is a datagram that a caller sent to a service address.
type IngressPacket struct {
	Caller         netip.AddrPort
	ServiceAddress netip.AddrPort
	Payload        []byte
}

// Drop is the reason why a packet is dropped. Its string is the name of the
// counter of such packets.
type Drop string

// Reasons for dropping a packet. The empty reason means that the packet is not
// dropped.
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

// RouteDecision is the decision of a balancer where to send a packet.
type RouteDecision struct {
	Drop     Drop
	Service  ServiceNumber
	Protocol Protocol
	Flow     FlowKey
	// Direct is set when the packet itself identifies its host. Hosts then has
	// one entry, and the holder of the flow does not have to be determined.
	Direct bool
	// Hosts and Order are shared with the routing table and must not be modified.
	// Order contains indexes into Hosts in lookup order; its last entry is the
	// arbiter of the service.
	Hosts []Candidate
	Order []uint16
	// Revision is the revision of the configuration that was used.
	Revision Revision
}

// Router decides to which hosts a packet of a caller is sent. Implementations
// keep no state per flow.
type Router interface {
	// Route sets every field of the decision. It does not retain the packet.
	Route(packet *IngressPacket, decision *RouteDecision)
}
