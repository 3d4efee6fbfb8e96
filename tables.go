package anvilglade

import "net/netip"

// Protocol is the protocol that callers speak on a service address.
type Protocol string

// Protocols of a route.
const (
	ProtocolUDP  Protocol = "UDP"
	ProtocolQUIC Protocol = "QUIC"
)

// Route says which traffic belongs to which service.
type Route struct {
	Address  netip.AddrPort
	Protocol Protocol
	Service  ServiceID
}

// Pool says which backend servers serve a service, and their limits.
type Pool struct {
	Service ServiceID
	// Hosts lists glob patterns of host names, as of path.Match.
	Hosts       []string
	Slots       Slots
	Connections Connections
	// MaxAttempts bounds the hosts tried for one repeatable request.
	MaxAttempts int
	// DrainLimit is how long flows may stay on a stopping agent.
	DrainLimit Duration
	ColdStart  ColdStart
}

// ColdStart sets the ramp of a backend server that has just started or has
// turned cold.
type ColdStart struct {
	// InitialConcurrency is the number of requests at once at the start.
	InitialConcurrency Slots
	// CompletionsPerStep is the number of requests that complete at steady
	// latency before the limit rises by one.
	CompletionsPerStep int
}

// DataCentreState is the operators' decision on a data centre.
type DataCentreState string

// States of a data centre. Draining takes no new flows; Out gets no packet.
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

// HostOverride is an operator's decision on one host.
type HostOverride struct {
	Name     HostID
	Draining bool
}

// Tables is the whole configuration that operators keep. All tables are in one
// object, so one revision covers them all.
type Tables struct {
	Routes      []Route
	Pools       []Pool
	DataCentres []DataCentre
	Hosts       []HostOverride
}

// Configuration is Tables with the revision under which the store accepted
// them. The zero Revision means that nothing is known.
type Configuration struct {
	Revision Revision
	Tables   Tables
}
