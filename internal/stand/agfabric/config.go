package agfabric

// The configuration of the fabric: a JSON file at the start, and the same types
// over the control port later.

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"

	"github.com/anvilglade/anvilglade"
)

// Class says what a datagram is for.
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
	// Class is the class of every datagram to this endpoint; ClassAny lets
	// the kind byte of the datagram decide.
	Class Class
}

// Party is a process behind the fabric.
type Party struct {
	Name string
	// Groups are names for sets of parties, such as the data centre, that
	// faults and counts select by.
	Groups    []string
	Endpoints []Endpoint
	// Ingress is the IP on which a balancer binds its service ports; it is
	// not valid for other parties.
	Ingress netip.Addr
	// Ready is the URL that the fabric asks whether a balancer takes packets.
	Ready string
	// Relay is the TCP address at which the party reaches the object API.
	Relay netip.AddrPort
}

// Service is one address that callers send to.
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
	// Callers is the IP prefix that the fabric takes addresses for callers
	// from, as seen by the balancers, and CallerPort their port.
	Callers    netip.Prefix
	CallerPort uint16
}

// Fault changes the datagrams of the links that it selects. A link is selected
// by the name or a group of both ends; "*" is every party and "callers" and
// "api" stand for those.
type Fault struct {
	Name  string
	From  string
	To    string
	Both  bool
	Class Class
	// Loss, Duplicate and Reorder are shares of the datagrams.
	Loss      float64
	Duplicate float64
	Reorder   float64
	Delay     anvilglade.Duration
	// Jitter is the largest extra delay; reordered datagrams get all of it.
	Jitter anvilglade.Duration
	// Partition drops everything, and cuts TCP connections to the object API.
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
