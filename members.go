package anvilglade

import "net/netip"

// HostState is a host's place in its life. The transitions are in
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

// HostRecord is what the fleet knows of one host. The host's agent sets every
// field but State and Claim, by which balancers claim that a host is Suspect or
// Dead, or refute such a claim.
type HostRecord struct {
	Host        HostID
	Incarnation Incarnation
	Sequence    Sequence
	// Claim counts the claims of balancers about this Sequence.
	Claim uint16
	// State is the state in effect, OwnState the one that the agent reported.
	State        HostState
	OwnState     HostState
	DataCentre   DataCentreID
	AgentAddress netip.AddrPort
	// ControlAddress takes request forwarding and tickets between agents.
	ControlAddress netip.AddrPort
	// AdminAddress serves /debug/vars, /events, /ready and /status.
	AdminAddress netip.AddrPort
	JoinStamp    JoinStamp
	// AcceptStamp is the hybrid-clock time at which the host last began to
	// take new work for its service: when it joined, returned from Dead, from
	// Draining or from a data centre that was Out, or changed its pool. Zero
	// stands for JoinStamp. Routing relies on it, because flows may have been
	// placed past a host that was not accepting.
	AcceptStamp JoinStamp
	// Services lists the service of which the host takes new flows and after
	// it those whose established flows it still holds, as the agent last
	// reported. Unused entries are empty; if all are, the pools alone decide.
	Services [MaxHostServices]ServiceID
}

// MaxHostServices bounds the services whose flows one host holds at a time.
const MaxHostServices = 4

// ArbiterStamp returns the stamp that orders hosts for the choice of the arbiter: the
// host with the lowest ArbiterStamp arbitrates. Balancers and agents must both use it.
func (r *HostRecord) ArbiterStamp() JoinStamp {
	return max(r.JoinStamp, r.AcceptStamp)
}

// BalancerRecord is what the fleet knows of one balancer.
type BalancerRecord struct {
	Balancer    BalancerID
	Incarnation Incarnation
	Sequence    Sequence
	// Living is false once the balancer has left or was found dead.
	Living     bool
	DataCentre DataCentreID
	// DatagramAddress takes forwarded datagrams and heartbeats.
	DatagramAddress netip.AddrPort
	// PeerAddress takes replication over QUIC.
	PeerAddress  netip.AddrPort
	AdminAddress netip.AddrPort
}

// Members is an immutable view of the hosts and balancers that are known.
type Members struct {
	// Hosts is sorted by HostID and holds hosts of every state.
	Hosts     []HostRecord
	Balancers []BalancerRecord
}

// ServiceMember is a host of a service as other agents of the service see it.
type ServiceMember struct {
	Host           HostID
	Incarnation    Incarnation
	State          HostState
	DataCentre     DataCentreID
	AgentAddress   netip.AddrPort
	ControlAddress netip.AddrPort
	// JoinStamp is the later of the host's JoinStamp and AcceptStamp.
	JoinStamp JoinStamp
	// Accepts is false for hosts that take no new work.
	Accepts bool
	// Former is set for hosts that work for another service now and still have
	// flows of this one. They accept nothing and are no arbiters.
	Former bool
}

// HostAssignment is what a balancer tells an agent in the acknowledgement of a
// heartbeat.
type HostAssignment struct {
	Revision        Revision
	DataCentreState DataCentreState
	// OutDataCentres are the data centres that are out of service.
	OutDataCentres []DataCentreID
	// Service is empty when no pool matches the host.
	Service  ServiceID
	Pool     Pool
	Draining bool
	// Members are the hosts of Service, the receiver included.
	Members []ServiceMember
	// Balancers starts with those that the agent sends heartbeats to.
	Balancers []BalancerRecord
	// HeartbeatInterval is the time between two heartbeats, each to the next
	// of the balancers in turn. It keeps control traffic within its budget.
	HeartbeatInterval Duration
	Routes            []Route
	Keys              KeyBundle
	KeysAt            Version
}

// AssignmentSource gives an agent its newest assignment. It is safe for concurrent use.
type AssignmentSource interface {
	// Assignment returns the newest assignment, or false before the first one. The
	// value must not be changed.
	Assignment() (*HostAssignment, bool)
	// Subscribe returns a channel that gets a signal after the assignment has
	// changed; signals that nobody waits for are merged. The returned
	// function ends the subscription.
	Subscribe() (<-chan struct{}, func())
}
