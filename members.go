package anvilglade

import "net/netip"

// HostState is the lifecycle state of a host. The transitions are defined in
// internal/membership/agmember/host.yaml.
type HostState string

// States of a host.
const (
	HostJoining  HostState = "Joining"
	HostActive   HostState = "Active"
	HostDraining HostState = "Draining"
	HostSuspect  HostState = "Suspect"
	HostDead     HostState = "Dead"
	HostLeft     HostState = "Left"
)

// HostRecord is the replicated record of one host. The host's agent sets every
// field except State and Claim. Balancers set these two to claim that the host is
// Suspect or Dead, or to refute such a claim.
type HostRecord struct {
	Host        HostID
	Incarnation Incarnation
	Sequence    Sequence
	// Claim is the number of claims that balancers have made for this Sequence.
	Claim uint16
	// State is the state in effect, OwnState the state that the agent reported.
	State        HostState
	OwnState     HostState
	DataCentre   DataCentreID
	AgentAddress netip.AddrPort
	// ControlAddress receives forwarded requests and tickets of other agents.
	ControlAddress netip.AddrPort
	// AdminAddress serves /debug/vars, /events, /ready and /status.
	AdminAddress netip.AddrPort
	JoinStamp    JoinStamp
	// AcceptStamp is the hybrid-clock time at which the host last began to accept
	// new work for its service: when it joined, returned from Dead, from Draining
	// or from a data centre that was Out, or moved to another pool. Zero stands
	// for JoinStamp. Routing depends on it, because flows may have been placed on
	// other hosts while this host did not accept them.
	AcceptStamp JoinStamp
	// Services lists the services that the agent last reported: first the service
	// whose new flows the host accepts, then the services of which it still has
	// established flows. Unused entries are empty. If all entries are empty, the
	// service of the host is determined by the pools alone.
	Services [MaxHostServices]ServiceID
}

// MaxHostServices is the maximum number of services of which one host has flows
// at a time.
const MaxHostServices = 4

// ArbiterStamp returns the later of JoinStamp and AcceptStamp. The host of a
// service with the lowest ArbiterStamp is its arbiter. Balancers and agents must
// both use this order, so that they choose the same arbiter.
func (r *HostRecord) ArbiterStamp() JoinStamp {
	return max(r.JoinStamp, r.AcceptStamp)
}

// BalancerRecord is the replicated record of one balancer.
type BalancerRecord struct {
	Balancer    BalancerID
	Incarnation Incarnation
	Sequence    Sequence
	// Living is false once the balancer has left, or another balancer has lost
	// the connection to it.
	Living     bool
	DataCentre DataCentreID
	// DatagramAddress receives forwarded datagrams and heartbeats.
	DatagramAddress netip.AddrPort
	// PeerAddress receives replication messages over QUIC.
	PeerAddress  netip.AddrPort
	AdminAddress netip.AddrPort
}

// Members is an immutable view of the hosts and balancers for which the process
// has a record.
type Members struct {
	// Hosts is sorted by HostID and includes hosts in every state.
	Hosts     []HostRecord
	Balancers []BalancerRecord
}

// ServiceMember describes a host of a service to the other agents of the service.
type ServiceMember struct {
	Host           HostID
	Incarnation    Incarnation
	State          HostState
	DataCentre     DataCentreID
	AgentAddress   netip.AddrPort
	ControlAddress netip.AddrPort
	// JoinStamp is the ArbiterStamp of the host's record, the later of its
	// JoinStamp and AcceptStamp.
	JoinStamp JoinStamp
	// Accepts is false for hosts that accept no new work.
	Accepts bool
	// Former is true for hosts that have moved to another service and still have
	// flows of this one. They accept no new flows and are never the arbiter.
	Former bool
}

// HostAssignment is the configuration of one host. A balancer sends it to the
// agent in the acknowledgement of a heartbeat.
type HostAssignment struct {
	Revision        Revision
	DataCentreState DataCentreState
	// OutDataCentres lists the data centres that are out of service.
	OutDataCentres []DataCentreID
	// Service is empty when no pool matches the host.
	Service  ServiceID
	Pool     Pool
	Draining bool
	// Members lists the hosts of Service, including the receiver.
	Members []ServiceMember
	// Balancers lists the balancers; those to which the agent sends heartbeats
	// come first.
	Balancers []BalancerRecord
	// HeartbeatInterval is the time between two heartbeats. Each heartbeat is sent
	// to the next of the balancers in turn, which keeps control traffic within
	// its budget.
	HeartbeatInterval Duration
	Routes            []Route
	Keys              KeyBundle
	KeysAt            Version
}

// AssignmentSource provides the newest assignment of an agent. It is safe for
// concurrent use.
type AssignmentSource interface {
	// Assignment returns the newest assignment, or false if none was received
	// yet. The value must not be modified.
	Assignment() (*HostAssignment, bool)
	// Subscribe returns a channel that receives a signal after each change of the
	// assignment. Signals that have not been received yet are merged into one.
	// The returned function ends the subscription.
	Subscribe() (<-chan struct{}, func())
}
