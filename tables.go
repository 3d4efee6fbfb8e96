package anvilglade

import "net/netip"

// Protocol is the protocol that callers use on a service address.
type Protocol string

// Protocols of a route.
const (
	ProtocolUDP  Protocol = "UDP"
	ProtocolQUIC Protocol = "QUIC"
)

// Route assigns the traffic of one service address to a service.
type Route struct {
	Address  netip.AddrPort
	Protocol Protocol
	Service  ServiceID
}

// Pool defines the backend servers of a service and their limits.
type Pool struct {
	Service ServiceID
	// Hosts lists patterns of host names in the syntax of path.Match.
	Hosts       []string
	Slots       Slots
	Connections Connections
	// MaxAttempts is the maximum number of hosts to which one retryable request
	// (GET or HEAD) is sent.
	MaxAttempts int
	// DrainLimit is the longest time for which flows may stay on a stopping agent.
	DrainLimit Duration
	ColdStart  ColdStart
}

// ColdStart defines how the concurrency limit of a backend server rises after it
// has started or has become cold.
type ColdStart struct {
	// InitialConcurrency is the initial limit of concurrent requests.
	InitialConcurrency Slots
	// CompletionsPerStep is the number of requests that must complete at steady
	// latency before the limit rises by one.
	CompletionsPerStep int
}

// DataCentreState is the state of a data centre that operators have set.
type DataCentreState string

// States of a data centre. One that is Draining accepts no new flows; one that is
// Out receives no packets.
const (
	DataCentreIn       DataCentreState = "In"
	DataCentreDraining DataCentreState = "Draining"
	DataCentreOut      DataCentreState = "Out"
)

// DataCentre is a row of the table of data centres.
type DataCentre struct {
	Name   DataCentreID
	Region RegionID
	State  DataCentreState
}

// HostOverride is a setting that an operator has made for one host.
type HostOverride struct {
	Name     HostID
	Draining bool
}

// Tables is the whole configuration that operators edit. All tables are stored in
// one object, so that one revision covers them all.
type Tables struct {
	Routes      []Route
	Pools       []Pool
	DataCentres []DataCentre
	Hosts       []HostOverride
}

// Configuration is the tables with the revision under which the store accepted
// them. The zero Revision means that there is no configuration.
type Configuration struct {
	Revision Revision
	Tables   Tables
}
