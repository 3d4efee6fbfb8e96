package anvilglade

import (
	"context"
	"time"
)

// DesiredVersion orders the desired states that operators write. It only
// grows.
type DesiredVersion uint64

// StoreRevision is the platform's counter of changes. It only grows.
type StoreRevision uint64

// DesiredState is what the operators of packet services want in effect.
type DesiredState struct {
	Version  DesiredVersion
	Routes   []PacketRoute
	Services []PacketService
	// IdleTimeout is the time without packets after which a flow may be
	// forgotten.
	IdleTimeout time.Duration
}

// PacketRoute sends the new flows of one service address to services.
type PacketRoute struct {
	Name     string
	Address  Endpoint
	Backends []WeightedService
	// Regions are the only regions whose hosts may serve the route; empty
	// stands for all.
	Regions []RegionID
}

// WeightedService is a service and its share of the new flows of a route.
type WeightedService struct {
	Service ServiceID
	Weight  int
}

// PacketService holds the limits of one service.
type PacketService struct {
	Service ServiceID `cbor:"1,keyasint,omitempty"`
	// ColdRate is the number of new flows a second that a cold host bears.
	ColdRate float64 `cbor:"2,keyasint,omitempty"`
}

// Evacuations are the data centres that must get no new flows. The revision
// orders them; a higher one replaces a lower one as a whole.
type Evacuations struct {
	Revision    StoreRevision  `cbor:"1,keyasint,omitempty"`
	DataCentres []DataCentreID `cbor:"2,keyasint,omitempty"`
}

// Has reports whether a data centre is evacuated.
func (e *Evacuations) Has(dataCentre DataCentreID) bool {
	for _, name := range e.DataCentres {
		if name == dataCentre {
			return true
		}
	}
	return false
}

// HostHeartbeat is what a backend server says of itself.
type HostHeartbeat struct {
	Host HostID
	// Born is the start of the backend server. A restarted one keeps its
	// HostID at times and then has a later Born.
	Born       time.Time
	Sequence   Sequence
	Service    ServiceID
	Address    Endpoint
	DataCentre DataCentreID
	Slots      Slots
	Draining   bool
	// ColdLeft is how much longer the host stays cold.
	ColdLeft time.Duration
}

// AgentStatus is what an agent tells balancers of itself and its host.
type AgentStatus struct {
	Agent       IPv4         `cbor:"1,keyasint,omitempty"`
	Incarnation Incarnation  `cbor:"2,keyasint,omitempty"`
	Sequence    Sequence     `cbor:"3,keyasint,omitempty"`
	Service     ServiceID    `cbor:"4,keyasint,omitempty"`
	DataCentre  DataCentreID `cbor:"5,keyasint,omitempty"`
	Region      RegionID     `cbor:"6,keyasint,omitempty"`
	Host        HostID       `cbor:"7,keyasint,omitempty"`
	// Born is the host's start in milliseconds since the Unix epoch.
	Born int64 `cbor:"8,keyasint,omitempty"`
	// Ended is true once it is known that the host does not run any more. Its
	// flows are lost then.
	Ended bool `cbor:"9,keyasint,omitempty"`
	// Accepts is true while the host takes new flows.
	Accepts bool  `cbor:"10,keyasint,omitempty"`
	Cold    bool  `cbor:"11,keyasint,omitempty"`
	Slots   Slots `cbor:"12,keyasint,omitempty"`
	// Flows and Working count the host's open flows and those with a request
	// in progress or about to arrive.
	Flows   int `cbor:"13,keyasint,omitempty"`
	Working int `cbor:"14,keyasint,omitempty"`
	// Latency is the average time from a request to the first byte of its
	// answer.
	Latency time.Duration `cbor:"15,keyasint,omitempty"`
	// Failing is the share of the newest requests that the host has failed, 0
	// to 1.
	Failing float32 `cbor:"17,keyasint,omitempty"`
	// Interval is the time until the next status at the latest; 0 stands for
	// that of a small fleet.
	Interval time.Duration `cbor:"18,keyasint,omitempty"`
	// Balancers are the balancers that the agent knows.
	Balancers []IPv4 `cbor:"16,keyasint,omitempty"`
}

// BalancerStatus is what a balancer tells other balancers and agents.
type BalancerStatus struct {
	Balancer    IPv4         `cbor:"1,keyasint,omitempty"`
	Incarnation Incarnation  `cbor:"2,keyasint,omitempty"`
	Sequence    Sequence     `cbor:"3,keyasint,omitempty"`
	DataCentre  DataCentreID `cbor:"4,keyasint,omitempty"`
	Leaving     bool         `cbor:"5,keyasint,omitempty"`
	// Settled is set once the sender knows every agent that may run.
	Settled bool `cbor:"6,keyasint,omitempty"`
	// Desired is the version of the desired state in effect; 0 means none.
	Desired     DesiredVersion `cbor:"7,keyasint,omitempty"`
	Evacuations Evacuations    `cbor:"8,keyasint,omitempty"`
	// ColdRates is set for the services of the agents that the status is for.
	ColdRates []PacketService `cbor:"9,keyasint,omitempty"`
	// Balancers and Agents are the ones that the sender knows.
	Balancers []IPv4 `cbor:"10,keyasint,omitempty"`
	Agents    []IPv4 `cbor:"11,keyasint,omitempty"`
}

// PlatformSettings is what a process on the users' platform is told at its
// start.
type PlatformSettings struct {
	Node       string
	IP         IPv4
	DataCentre DataCentreID
	Region     RegionID
	// Regions holds the region of each data centre.
	Regions map[DataCentreID]RegionID
	// PacketPort takes packets of callers at a balancer and forwarded ones at
	// an agent, InnerPort the messages between processes. Both are the same
	// on every VM.
	PacketPort uint16
	InnerPort  uint16
	ReadyAddr  string
	// ControlAddr takes the heartbeats of the host at an agent.
	ControlAddr string
	// OutboundAddr takes the packets of the host, HostAddr is where it takes
	// packets; both only at an agent.
	OutboundAddr Endpoint
	HostAddr     Endpoint
	Service      ServiceID
	Seeds        []IPv4
	StoreAddr    string
	// HeartbeatInterval is the time between two heartbeats of a host.
	HeartbeatInterval time.Duration
	// MaxFlowAge is the age after which a flow may be forgotten.
	MaxFlowAge time.Duration
	// StopTimeout is the time from SIGTERM to SIGKILL.
	StopTimeout time.Duration
	// ColdFactor and ColdSlack bound the new flows of a cold host in one
	// second: its rate times the factor plus the slack.
	ColdFactor float64
	ColdSlack  float64
}

// HeartbeatListener takes what a backend server says of itself.
type HeartbeatListener interface {
	// Heartbeat reports whether the heartbeat is acknowledged.
	Heartbeat(HostHeartbeat) bool
	// Leave takes the message that a host ends.
	Leave(HostID)
	// BadHeartbeat takes the fault of a heartbeat that cannot be read.
	BadHeartbeat(error)
}

// PlatformFeed reads what operators write for packet services. ErrHistoryGone
// from a Next call means that changes may have been missed and the state has to
// be read again.
type PlatformFeed interface {
	// Desired returns the desired state and the revision to wait from. A state
	// that cannot be read has Version 0.
	Desired(ctx context.Context) (DesiredState, StoreRevision, error)
	// NextDesired waits for changes after a revision and returns the newest
	// state, Version 0 if there is none, and the revision to wait from. It
	// returns after the wait at the latest.
	NextDesired(ctx context.Context, after StoreRevision, wait time.Duration) (DesiredState, StoreRevision, error)
	Evacuations(ctx context.Context) (Evacuations, error)
	// NextEvacuations waits for changes, for the wait at most, and returns the
	// evacuations then.
	NextEvacuations(ctx context.Context, present Evacuations, wait time.Duration) (Evacuations, error)
}
