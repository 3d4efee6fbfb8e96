package agemulator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/anvilglade/anvilglade"
)

// Scenario describes a deployment, its load and the troubles of a run. The names
// of its fields are the keys of scenario files.
type Scenario struct {
	Name string
	// DataCentres is the number of data centres. Balancers and the hosts of a
	// service are counted per data centre.
	DataCentres int
	Balancers   int
	// Limits lists the limits of the first balancers of each data centre; the others
	// have those of the last entry. Without entries the limits are unknown. They are
	// settings only: the emulator does not enforce them.
	Limits   []anvilglade.Limits
	Services []ServiceSpec
	// Classes are the classes of the requests. Without them the callers are distributed
	// evenly over the services, and routes state no class.
	Classes []ClassSpec
	// Hash is the method by which routers choose a balancer: "steady" for
	// rendezvous hashing, "mod" for the hash modulo the number of balancers.
	Hash     string
	Duration anvilglade.Duration
	Load     Load
	Ports    PortUse
	Troubles []Trouble
}

// ServiceSpec describes a service and its hosts.
type ServiceSpec struct {
	Name  anvilglade.ServiceID
	Hosts int
	Slots int
	Queue int
	// Work is the mean execution time of a request.
	Work     anvilglade.Duration
	ColdRate float64
}

// Load describes the callers and their requests.
type Load struct {
	// Callers is the number of callers per data centre. Each sends one request at
	// a time.
	Callers int
	// Pause is the mean time between the end of a request and the next request.
	Pause anvilglade.Duration
	// PerFlow is the number of requests on a flow before a new one is opened.
	PerFlow int
	// Unsafe is the share of requests that must not run twice, 0 to 1.
	Unsafe float64
	// Target is the time after which an answer counts as late. Limit is the time
	// after which the caller gives up.
	Target anvilglade.Duration
	Limit  anvilglade.Duration
}

// PortUse describes callers that use ports again and pause on open flows. The zero value
// stands for a new port for each flow. Shares are 0 to 1.
type PortUse struct {
	// Again is the share of flows that are opened from a port of an earlier flow.
	Again float64
	// Reset is the share of flows that their callers end by a reset, Left that of those that
	// they leave without a packet. They end the others by a FIN.
	Reset float64
	Left  float64
	// Late is the share of opened flows after which the caller sends late packets: a copy of
	// the opening packet, and the last packet of the former flow from the port.
	Late float64
	// Idle is the share of flows on which the caller pauses for IdleFor before the first
	// request.
	Idle    float64
	IdleFor anvilglade.Duration
}

// Trouble is one planned or unplanned disturbance of a run.
type Trouble struct {
	At   anvilglade.Duration
	Kind string
	// For is the duration, for kinds that have one.
	For anvilglade.Duration
	// Index chooses a balancer, host or data centre, modulo their number.
	Index int
	// Share is the affected share of calls or connections, 0 to 1. For LosePackets
	// it is the share of maxLoss, for Burst that of burstFactor, for RestoreStore that of
	// maxCopyAge.
	Share float64
}

// ReadScenario reads and validates a scenario file.
func ReadScenario(path string) (Scenario, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the path is the caller's own argument
	if err != nil {
		return Scenario{}, fmt.Errorf("read scenario: %w", err)
	}
	return ParseScenario(data)
}

// ParseScenario decodes and validates a scenario in YAML. The error lists all
// invalid values.
func ParseScenario(data []byte) (Scenario, error) {
	var fields map[string]any
	if err := yaml.Unmarshal(data, &fields); err != nil {
		return Scenario{}, fmt.Errorf("decode scenario: %w", err)
	}
	// Converting to JSON first makes the field names the keys, without tags.
	text, err := json.Marshal(fields)
	if err != nil {
		return Scenario{}, fmt.Errorf("decode scenario: %w", err)
	}
	var scenario Scenario
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&scenario); err != nil {
		return Scenario{}, fmt.Errorf("decode scenario: %w", err)
	}
	return scenario, scenario.check()
}

// limits returns the limits of a balancer, given its index in its data centre.
func (s *Scenario) limits(balancer int) anvilglade.Limits {
	if len(s.Limits) == 0 {
		return anvilglade.Limits{}
	}
	return s.Limits[min(balancer, len(s.Limits)-1)]
}

func (s *Scenario) check() error {
	var faults []error
	need := func(ok bool, text string) {
		if !ok {
			faults = append(faults, errors.New(text))
		}
	}
	need(s.DataCentres >= 1 && s.DataCentres <= 9, "DataCentres is not 1 to 9")
	need(s.Balancers >= 1 && s.Balancers <= 20, "Balancers is not 1 to 20")
	need(len(s.Services) >= 1, "Services is empty")
	need(s.Hash == hashSteady || s.Hash == hashMod, "Hash is not steady or mod")
	need(s.Duration > 0, "Duration is not positive")
	need(s.Load.Callers >= 1 && s.Load.PerFlow >= 1, "Load needs Callers and PerFlow")
	need(s.Load.Target > 0 && s.Load.Limit >= s.Load.Target, "Load needs a Target and a Limit that is not below it")
	for i := range s.Services {
		need(s.Services[i].Hosts >= 1 && s.Services[i].Slots >= 1, fmt.Sprintf("service %s needs Hosts and Slots", s.Services[i].Name))
	}
	s.checkClasses(need)
	for name, share := range map[string]float64{"Again": s.Ports.Again, "Reset": s.Ports.Reset, "Left": s.Ports.Left, "Late": s.Ports.Late, "Idle": s.Ports.Idle} {
		need(share >= 0 && share <= 1, fmt.Sprintf("Ports.%s is not 0 to 1", name))
	}
	for i := range s.Troubles {
		_, known := troubleHandlers[s.Troubles[i].Kind]
		need(known, fmt.Sprintf("trouble %d has the unknown kind %q", i, s.Troubles[i].Kind))
	}
	return errors.Join(faults...)
}

// Numbers of troubles that break connections to the store, of those that change what
// callers demand of the hosts, of restorations of the store and of dropped watches, as shares
// of the number of other troubles.
const (
	connectionShare = 0.25
	demandShare     = 0.25
	restoreShare    = 0.25
	watchesShare    = 0.25
)

// DrawTroubles returns count random troubles, and connectionShare, demandShare, restoreShare
// and watchesShare times as many of the four other groups. Their times are random and may overlap. Each
// group is drawn after the former ones, so that it does not change which of their
// troubles a seed produces.
func DrawTroubles(random *rand.Rand, duration time.Duration, count int) []Trouble {
	list := draw(random, duration, count, troubleKinds(groupMain))
	list = append(list, draw(random, duration, int(connectionShare*float64(count)), troubleKinds(groupConnections))...)
	list = append(list, draw(random, duration, int(demandShare*float64(count)), troubleKinds(groupDemand))...)
	list = append(list, draw(random, duration, int(restoreShare*float64(count)), troubleKinds(groupRestore))...)
	return append(list, draw(random, duration, int(watchesShare*float64(count)), troubleKinds(groupWatches))...)
}

func draw(random *rand.Rand, duration time.Duration, count int, kinds []string) []Trouble {
	list := make([]Trouble, count)
	for i := range list {
		list[i] = Trouble{
			At:    anvilglade.Duration(time.Duration(random.Int64N(int64(duration * 3 / 4)))),
			Kind:  kinds[random.IntN(len(kinds))],
			For:   anvilglade.Duration(time.Duration(300+random.IntN(2500)) * time.Millisecond),
			Index: random.IntN(1000),
			Share: 0.2 + 0.6*random.Float64(),
		}
	}
	return list
}
