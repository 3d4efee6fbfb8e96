package agscenario

// The deployments of design section 1.3, and the settings that a case can change.

import (
	"fmt"
	"time"

	"github.com/anvilglade/anvilglade"
)

type serviceSpec struct {
	name  string
	hosts int
	slots int
}

type deploymentSpec struct {
	name        string
	prefix      string
	dataCentres int
	services    []serviceSpec
}

const connectionsPerHost = 2000

var deployments = map[string]deploymentSpec{
	"denmark":  {name: "denmark", prefix: "dk", dataCentres: 3, services: []serviceSpec{{"alerts", 7, 4}, {"archive", 3, 4}}},
	"scotland": {name: "scotland", prefix: "sc", dataCentres: 3, services: []serviceSpec{{"jobs", 7, 7}, {"drawings", 3, 7}}},
}

// settings holds the values that a case can set before the start.
type settings struct {
	serviceTime  time.Duration
	coldInitial  int
	coldStep     int
	coldSlowdown float64
	fellOverFor  time.Duration
	poolColdStep int
	drainLimit   time.Duration
	maxAttempts  int
}

func defaultSettings() settings {
	return settings{
		serviceTime:  20 * time.Millisecond,
		coldStep:     6,
		coldSlowdown: 1,
		fellOverFor:  3 * time.Second,
		poolColdStep: 8,
		drainLimit:   12 * time.Hour,
		maxAttempts:  2,
	}
}

// serviceState is a service of the fleet. It has two routes, one for QUIC and one
// for UDP.
type serviceState struct {
	spec       serviceSpec
	deployment deploymentSpec
	number     int
	joined     int
}

// hostName returns the name and the data centre of the n-th host of a service. The
// hosts are spread over the data centres of the deployment.
func (s *serviceState) hostName(n int) (name, dataCentre string) {
	dataCentre = fmt.Sprintf("%s%d", s.deployment.prefix, n%s.deployment.dataCentres+1)
	return fmt.Sprintf("%s-%s-%02d", dataCentre, s.spec.name, n+1), dataCentre
}

// tables returns the configuration tables at the start of a case.
func (f *Fleet) tables() anvilglade.Tables {
	var tables anvilglade.Tables
	for _, service := range f.services {
		quic, udp := f.plan.service(2*service.number), f.plan.service(2*service.number+1)
		id := anvilglade.ServiceID(service.spec.name)
		tables.Routes = append(tables.Routes,
			anvilglade.Route{Address: quic, Protocol: anvilglade.ProtocolQUIC, Service: id},
			anvilglade.Route{Address: udp, Protocol: anvilglade.ProtocolUDP, Service: id})
		tables.Pools = append(tables.Pools, anvilglade.Pool{
			Service:     id,
			Hosts:       []string{service.deployment.prefix + "?-" + service.spec.name + "-*"},
			Slots:       anvilglade.Slots(service.spec.slots),
			Connections: connectionsPerHost,
			MaxAttempts: f.settings.maxAttempts,
			DrainLimit:  anvilglade.Duration(f.settings.drainLimit),
			ColdStart:   anvilglade.ColdStart{InitialConcurrency: 1, CompletionsPerStep: f.settings.poolColdStep},
		})
	}
	for _, deployment := range f.deployed {
		for n := range deployment.dataCentres {
			tables.DataCentres = append(tables.DataCentres, anvilglade.DataCentre{
				Name:   anvilglade.DataCentreID(fmt.Sprintf("%s%d", deployment.prefix, n+1)),
				Region: anvilglade.RegionID(deployment.name),
				State:  anvilglade.DataCentreIn,
			})
		}
	}
	return tables
}
