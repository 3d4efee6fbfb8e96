package anvilglade

import (
	"context"
	"slices"
	"time"
)

// DesiredVersion orders the desired states that operators write. It never
// decreases.
type DesiredVersion uint64

// StoreRevision is the platform's counter of changes to the store. It never
// decreases within an era of the store.
type StoreRevision uint64

// StoreEra counts how often the store has been restored from an older copy. The copy
// lacks the last changes, and their revisions are given out again. It is 0 if the store
// does not state its era.
type StoreEra uint64

// StorePosition is a point in the history of the store. Positions of different eras are
// ordered by their eras alone.
type StorePosition struct {
	Era      StoreEra      `cbor:"1,keyasint,omitempty"`
	Revision StoreRevision `cbor:"2,keyasint,omitempty"`
}

// Before reports whether the store has reached p before other.
func (p StorePosition) Before(other StorePosition) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Revision < other.Revision
}

// DesiredState is the configuration of packet services that their operators
// request.
type DesiredState struct {
	Version  DesiredVersion
	Routes   []PacketRoute
	Services []PacketService
	// IdleTimeout is the time without packets after which the state of a flow
	// may be discarded.
	IdleTimeout time.Duration
}

// PacketRoute distributes the new flows of one service address over services.
type PacketRoute struct {
	Name     string
	Address  Endpoint
	Backends []WeightedService
	// Regions lists the regions whose hosts may serve the route. An empty list
	// allows all regions.
	Regions []RegionID
	// Class is the class of the requests on the route's flows.
	Class RequestClass
}

// WeightedService is a service and its share of the new flows of a route.
type WeightedService struct {
	Service ServiceID
	Weight  int
}

// PacketService holds the limits of one service.
type PacketService struct {
	Service ServiceID `cbor:"1,keyasint,omitempty"`
	// ColdRate is the number of new flows per second that a cold host accepts.
	ColdRate float64 `cbor:"2,keyasint,omitempty"`
}

// Evacuations are the data centres that must not receive new flows, as a process knows
// them.
type Evacuations struct {
	// Revision and Era are the position in the store up to which the decisions are
	// complete. Builds before eras compare the revision alone.
	Revision StoreRevision `cbor:"1,keyasint,omitempty"`
	// DataCentres lists the evacuated data centres.
	DataCentres []DataCentreID `cbor:"2,keyasint,omitempty"`
	Era         StoreEra       `cbor:"3,keyasint,omitempty"`
	// Decisions has the latest decision on each data centre that has been evacuated.
	// Builds before eras do not send it.
	Decisions []EvacuationDecision `cbor:"4,keyasint,omitempty"`
}

// EvacuationDecision is a decision of operators to evacuate a data centre or to take it
// back.
type EvacuationDecision struct {
	DataCentre DataCentreID `cbor:"1,keyasint,omitempty"`
	Evacuated  bool         `cbor:"2,keyasint,omitempty"`
	// Position is the last position of the store at which the decision is known to have
	// been in force. Of two decisions on a data centre, the one with the later position
	// replaces the other.
	Position StorePosition `cbor:"3,keyasint,omitempty"`
}

// EvacuationUpdate is the result of a read of the store.
type EvacuationUpdate struct {
	// Position is the position of the store up to which the update is complete.
	Position StorePosition
	// Listed is set if Decisions has all evacuated data centres. Otherwise it has those
	// whose decision has changed since the last read.
	Listed    bool
	Decisions []EvacuationDecision
}

// Has reports whether a data centre is evacuated.
func (e *Evacuations) Has(dataCentre DataCentreID) bool {
	return slices.Contains(e.DataCentres, dataCentre)
}

// Position returns the position in the store up to which the decisions are complete.
func (e *Evacuations) Position() StorePosition {
	return StorePosition{Era: e.Era, Revision: e.Revision}
}

// HostHeartbeat is the status that a backend server reports to its agent.
type HostHeartbeat struct {
	Host HostID
	// Born is the start time of the backend server. A restarted backend server
	// may keep its HostID; it then has a later start time.
	Born       time.Time
	Sequence   Sequence
	Service    ServiceID
	Address    Endpoint
	DataCentre DataCentreID
	Slots      Slots
	Draining   bool
	// ColdLeft is the remaining time in which the host is cold.
	ColdLeft time.Duration
}

// AgentStatus is the status of an agent and its host that the agent sends to
// balancers.
type AgentStatus struct {
	Agent       IPv4         `cbor:"1,keyasint,omitempty"`
	Incarnation Incarnation  `cbor:"2,keyasint,omitempty"`
	Sequence    Sequence     `cbor:"3,keyasint,omitempty"`
	Service     ServiceID    `cbor:"4,keyasint,omitempty"`
	DataCentre  DataCentreID `cbor:"5,keyasint,omitempty"`
	// Host is empty in most statuses, as it changes with Born only. Number 6 was used
	// by earlier builds.
	Host HostID `cbor:"7,keyasint,omitempty"`
	// Born is the host's start time in milliseconds since the Unix epoch.
	Born int64 `cbor:"8,keyasint,omitempty"`
	// Ended is true once it is certain that the host no longer runs; the flows of
	// the host are then lost.
	Ended bool `cbor:"9,keyasint,omitempty"`
	// Accepts is true while the host accepts new flows.
	Accepts bool  `cbor:"10,keyasint,omitempty"`
	Cold    bool  `cbor:"11,keyasint,omitempty"`
	Slots   Slots `cbor:"12,keyasint,omitempty"`
	// Flows is the number of the host's open flows, ActiveRequests the number of
	// them with a request in progress or expected soon.
	Flows          int `cbor:"13,keyasint,omitempty"`
	ActiveRequests int `cbor:"14,keyasint,omitempty"`
	// Latency is the average time from a request to the first byte of its
	// response.
	Latency time.Duration `cbor:"15,keyasint,omitempty"`
	// Failing is the share of the most recent requests that failed at the host,
	// 0 to 1.
	Failing float32 `cbor:"17,keyasint,omitempty"`
	// Interval is the longest time until the next status; 0 stands for the
	// interval of a small fleet.
	Interval time.Duration `cbor:"18,keyasint,omitempty"`
	// Balancers lists the balancers that the agent has discovered.
	Balancers []IPv4       `cbor:"16,keyasint,omitempty"`
	Reply     ReplyRequest `cbor:"19,keyasint,omitempty"`
	// TakesClass is set if the agent decodes the class of forwarded packets. Agents of
	// earlier builds do not.
	TakesClass bool `cbor:"20,keyasint,omitempty"`
	// ServiceTime is the mean time for which a request occupies a slot of the host, as
	// its agent has measured it; 0 if unknown.
	ServiceTime time.Duration `cbor:"21,keyasint,omitempty"`
	// Wait is the time for which the next request is expected to wait for a slot.
	Wait time.Duration `cbor:"22,keyasint,omitempty"`
	// RequestRate is the number of requests per second on all flows of the host.
	RequestRate float32 `cbor:"23,keyasint,omitempty"`
	// TakesNumbers is set if the agent decodes queries with the numbers of flows. Agents of
	// earlier builds do not.
	TakesNumbers bool `cbor:"24,keyasint,omitempty"`
}

// ReplyRequest states when the receiver of an agent's status replies to it.
type ReplyRequest uint8

// Requests for a reply. Agents of builds before this field send ReplyPeriodic.
const (
	// ReplyPeriodic requests replies at regular intervals.
	ReplyPeriodic ReplyRequest = iota
	// ReplyOnChange requests a reply when its data has changed.
	ReplyOnChange
	// ReplyNow requests a reply to this status.
	ReplyNow
)

// BalancerStatus is the status that a balancer sends to other balancers and to
// agents.
type BalancerStatus struct {
	Balancer    IPv4         `cbor:"1,keyasint,omitempty"`
	Incarnation Incarnation  `cbor:"2,keyasint,omitempty"`
	Sequence    Sequence     `cbor:"3,keyasint,omitempty"`
	DataCentre  DataCentreID `cbor:"4,keyasint,omitempty"`
	Leaving     bool         `cbor:"5,keyasint,omitempty"`
	// Settled is true once the sender has discovered every agent that may be
	// running.
	Settled bool `cbor:"6,keyasint,omitempty"`
	// Desired is the version of the desired state in effect, 0 if there is none.
	Desired     DesiredVersion `cbor:"7,keyasint,omitempty"`
	Evacuations Evacuations    `cbor:"8,keyasint,omitempty"`
	// ColdRates holds the cold rates of the services whose agents receive this
	// status.
	ColdRates []PacketService `cbor:"9,keyasint,omitempty"`
	// Balancers and Agents list the processes that the sender has discovered.
	Balancers []IPv4 `cbor:"10,keyasint,omitempty"`
	Agents    []IPv4 `cbor:"11,keyasint,omitempty"`
	// Watch is the role in which the sender watches the store, WatchNone while the
	// store does not answer it.
	Watch StoreWatch `cbor:"12,keyasint,omitempty"`
	// Capacity is the relative capacity of the sender.
	Capacity Capacity `cbor:"13,keyasint,omitempty"`
	// Shifts lists the services of split routes from which the sender shifts new flows.
	// Statuses to agents leave it out.
	Shifts []RouteShift `cbor:"14,keyasint,omitempty"`
}

// RouteShift is the share of a service's new flows on a split route that goes to the
// other services of the route.
type RouteShift struct {
	// Route is the name of the split route.
	Route string `cbor:"1,keyasint,omitempty"`
	// Service is the service from which flows are shifted.
	Service ServiceID `cbor:"2,keyasint,omitempty"`
	// Step is the share that is shifted.
	Step SplitStep `cbor:"3,keyasint,omitempty"`
}

// SplitStep is a share of flows in units of 1/MaxSplitStep.
type SplitStep uint8

// MaxSplitStep is the step at which all flows are shifted.
const MaxSplitStep SplitStep = 64

// StoreWatch is the role of a balancer in watching the platform's store.
type StoreWatch uint8

// Roles of a balancer. A standby watches because it receives statuses of too few
// balancers with a working watch. While the store is unavailable every balancer is a
// standby, so it retries at longer intervals than a primary.
const (
	WatchNone StoreWatch = iota
	WatchStandby
	WatchPrimary
)

// PlatformSettings holds the settings that the users' platform passes to a
// process when it starts.
type PlatformSettings struct {
	Node       string
	IP         IPv4
	DataCentre DataCentreID
	Region     RegionID
	// Regions holds the region of each data centre.
	Regions map[DataCentreID]RegionID
	// PacketPort receives packets of callers at a balancer and forwarded packets
	// at an agent. InnerPort receives messages of other processes. Both are the
	// same on every VM.
	PacketPort uint16
	InnerPort  uint16
	ReadyAddr  string
	// ControlAddr is the address on which an agent receives the heartbeats of
	// its host.
	ControlAddr string
	// OutboundAddr is the address on which the agent receives packets of the
	// host, HostAddr the address on which the host receives packets. Both are
	// set at an agent only.
	OutboundAddr Endpoint
	HostAddr     Endpoint
	Service      ServiceID
	Seeds        []IPv4
	StoreAddr    string
	// HeartbeatInterval is the time between two heartbeats of a host.
	HeartbeatInterval time.Duration
	// MaxFlowAge is the age after which the state of a flow may be discarded.
	MaxFlowAge time.Duration
	// StopTimeout is the time from SIGTERM to SIGKILL.
	StopTimeout time.Duration
	// ApplyWithin and EvacuateWithin are the times within which a desired state and an
	// evacuation have to be in effect everywhere after operators have written them.
	ApplyWithin    time.Duration
	EvacuateWithin time.Duration
	// ColdFactor and ColdSlack limit the new flows of a cold host in one second
	// to the cold rate of its service times ColdFactor, plus ColdSlack.
	ColdFactor float64
	ColdSlack  float64
	// Limits holds the resources of the VM.
	Limits Limits
}

// HeartbeatListener receives the status messages of a backend server.
type HeartbeatListener interface {
	// Heartbeat handles a heartbeat and reports whether to acknowledge it.
	Heartbeat(HostHeartbeat) bool
	// Leave handles the message by which a host announces that it terminates.
	Leave(HostID)
	// BadHeartbeat handles the error of a heartbeat that could not be decoded.
	BadHeartbeat(error)
}

// PlatformFeed reads the configuration that operators write for packet services.
// If a method returns ErrHistoryGone, changes may have been missed, or the store has been
// restored from an older copy, and the state must be read again as a whole.
type PlatformFeed interface {
	// Desired returns the desired state and the position to pass to NextDesired.
	// The Version is 0 if the stored state cannot be decoded.
	Desired(ctx context.Context) (DesiredState, StorePosition, error)
	// NextDesired waits up to the given time for changes after a position. It
	// returns the newest state, with Version 0 if there is none, and the position
	// for the next call.
	NextDesired(ctx context.Context, after StorePosition, wait time.Duration) (DesiredState, StorePosition, error)
	// Evacuations returns all evacuated data centres.
	Evacuations(ctx context.Context) (EvacuationUpdate, error)
	// NextEvacuations waits up to the given time for decisions after a position.
	NextEvacuations(ctx context.Context, after StorePosition, wait time.Duration) (EvacuationUpdate, error)
	// Era returns the highest era in which the store has answered, 0 if unknown.
	Era() StoreEra
}
