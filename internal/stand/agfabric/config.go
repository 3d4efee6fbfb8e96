package agfabric

// The configuration of the fabric. It is read from a JSON file at the start; the
// control port accepts the same types at run time.

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"

	"github.com/anvilglade/anvilglade"
)

// Class is the traffic class of a datagram.
type Class string

// Classes of datagrams. Heartbeats, their acknowledgements and the traffic
// between peers are control; everything else is data.
const (
	ClassAny     Class = ""
	ClassControl Class = "control"
	ClassData    Class = "data"
)

// Endpoint is one UDP address of a party.
type Endpoint struct {
	Advertised netip.AddrPort
	Real       netip.AddrPort
	// Class is the class of all datagrams to this endpoint. With ClassAny the kind
	// byte of each datagram decides.
	Class Class
}

// Party is a process behind the fabric.
type Party struct {
	Name string
	// Groups are the sets that the party belongs to, such as its data centre.
	// Faults and counts select parties by them.
	Groups    []string
	Endpoints []Endpoint
	// Ingress is the IP on which a balancer binds its service ports; it is
	// not valid for other parties.
	Ingress netip.Addr
	// Ready is the URL of a balancer's readiness check.
	Ready string
	// Relay is the TCP address through which the party connects to the object API.
	Relay netip.AddrPort
}

// Service is a service address that callers send to.
type Service struct {
	Address netip.AddrPort
}

// Config is the configuration of the fabric.
type Config struct {
	Seed uint64
	// API is the TCP address of the object API.
	API      netip.AddrPort
	Parties  []Party
	Services []Service
	// Callers is the IP prefix from which the fabric assigns each caller the
	// address from which balancers receive its packets. CallerPort is the port of
	// all these addresses.
	Callers    netip.Prefix
	CallerPort uint16
}

// Fault affects the datagrams on the links that it selects. From and To select a
// link by the name or a group of its ends; "*" selects every party, "callers" the
// callers and "api" the object API. Both selects the opposite direction as well.
type Fault struct {
	Name  string
	From  string
	To    string
	Both  bool
	Class Class
	// Loss, Duplicate and Reorder are shares of the datagrams, 0 to 1.
	Loss      float64
	Duplicate float64
	Reorder   float64
	Delay     anvilglade.Duration
	// Jitter is the maximum random extra delay. If Reorder is above 0, only
	// reordered datagrams are delayed by it, each by the whole Jitter.
	Jitter anvilglade.Duration
	// Partition drops all datagrams and closes TCP connections to the object API.
	Partition bool
}

// ReadConfig reads a configuration from a JSON file.
func ReadConfig(path string) (Config, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the path is a setting
	if err != nil {
		return Config{}, fmt.Errorf("read fabric configuration: %w", err)
	}
	var config Config
	if err := json.Unmarshal(data, &config); err != nil {
		return Config{}, fmt.Errorf("parse fabric configuration %s: %w", path, err)
	}
	return config, nil
}
