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

// Scenario is a deployment, its load and its troubles.
type Scenario struct {
	Name string
	// DataCentres is their number; Balancers and the hosts of a service are
	// per data centre.
	DataCentres int
	Balancers   int
	Services    []ServiceSpec
	// Hash is how routers choose a balancer: steady or mod.
	Hash     string
	Duration anvilglade.Duration
	Load     Load
	Troubles []Trouble
}

// ServiceSpec is a service and its hosts.
type ServiceSpec struct {
	Name  anvilglade.ServiceID
	Hosts int
	Slots int
	Queue int
	// Work is the mean time of a request.
	Work     anvilglade.Duration
	ColdRate float64
}

// Load is what callers bring, shared equally by the services.
type Load struct {
	// Callers is their number per data centre; each has one request at a time.
	Callers int
	// Pause is the mean time between an answer and the next request.
	Pause anvilglade.Duration
	// PerFlow is the number of requests on a flow before a new one is opened.
	PerFlow int
	// Unsafe is the share of requests that must not be repeated, 0 to 1.
	Unsafe float64
	// Target and Limit are the times after which an answer is late and after
	// which its caller gives up.
	Target anvilglade.Duration
	Limit  anvilglade.Duration
}

// Trouble is one disturbance.
type Trouble struct {
	At   anvilglade.Duration
	Kind string
	// For is how long it lasts, where it does.
	For anvilglade.Duration
	// Index chooses a balancer, host or data centre, modulo their number.
	Index int
	// Share is a part of the calls, 0 to 1.
	Share float64
}

// ReadScenario reads a scenario file and checks it.
func ReadScenario(path string) (Scenario, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the path is the caller's own argument
	if err != nil {
		return Scenario{}, fmt.Errorf("read scenario: %w", err)
	}
	return ParseScenario(data)
}

// ParseScenario decodes a scenario. The error lists every fault.
func ParseScenario(data []byte) (Scenario, error) {
	var fields map[string]any
	if err := yaml.Unmarshal(data, &fields); err != nil {
		return Scenario{}, fmt.Errorf("decode scenario: %w", err)
	}
	// By way of JSON the names of the fields need no tags.
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
	for i := range s.Troubles {
		_, known := troubles[s.Troubles[i].Kind]
		need(known, fmt.Sprintf("trouble %d has the unknown kind %q", i, s.Troubles[i].Kind))
	}
	return errors.Join(faults...)
}

// connectionShare is the part of the drawn troubles, added to the others, that
// breaks connections to the store.
const connectionShare = 0.25

// DrawTroubles returns troubles of all kinds at random times, several at once.
// Those that break connections come after the others, so that a seed draws the
// same others as before there were any.
func DrawTroubles(random *rand.Rand, duration time.Duration, count int) []Trouble {
	list := draw(random, duration, count, troubleKinds(false))
	return append(list, draw(random, duration, int(connectionShare*float64(count)), troubleKinds(true))...)
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
