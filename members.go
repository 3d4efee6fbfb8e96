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
// field but State, which balancers may set to Suspect or Dead.
type HostRecord struct {
	Host         HostID
	Incarnation  Incarnation
	Sequence     Sequence
	State        HostState
	DataCentre   DataCentreID
	AgentAddress netip.AddrPort
	// ControlAddress takes request forwarding and tickets between agents.
	ControlAddress netip.AddrPort
	// AdminAddress serves /debug/vars, /events, /ready and /status.
	AdminAddress netip.AddrPort
	// JoinStamp is renewed when Service changes, so that the host joins its new
	// service as the youngest one.
	JoinStamp JoinStamp
	// AcceptsSince is the hybrid time since which the host has taken new flows of
	// Service without a break, and 0 while it takes none. The agent renews it when
	// its orders allow new work again and when it learns that it was suspected.
	AcceptsSince JoinStamp
	// Service is the service that the agent itself works for: that of the orders
	// it has in force. It lags behind the pools. A host is the arbiter of no other
	// service than this.
	Service ServiceID
	// Former are other services that still have flows at the host. Balancers keep
	// the host in the candidate lists of these services.
	Former []ServiceID
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
	// Revision is the configuration in force at this balancer.
	Revision Revision
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
	JoinStamp      JoinStamp
	// Accepts is false for hosts that take no new work.
	Accepts bool
	// Former is set for hosts that work for another service now and still have
	// flows of this one. They accept nothing and are no arbiters.
	Former bool
}

// HostOrders is what a balancer tells an agent in the acknowledgement of a
// heartbeat.
type HostOrders struct {
	Revision        Revision
	DataCentreState DataCentreState
	// Service is empty when no pool matches the host.
	Service  ServiceID
	Pool     Pool
	Draining bool
	// Members are the hosts of Service, the receiver included.
	Members   []ServiceMember
	Balancers []BalancerRecord
	Routes    []Route
	Keys      KeyBundle
	KeysAt    Version
}

// OrdersSource gives an agent its newest orders. It is safe for concurrent use.
type OrdersSource interface {
	// Orders returns the newest orders, or false before the first ones. The
	// value must not be changed.
	Orders() (*HostOrders, bool)
	// Subscribe returns a channel that gets a signal after the orders have
	// changed; signals that nobody waits for are merged. The returned
	// function ends the subscription.
	Subscribe() (<-chan struct{}, func())
}
