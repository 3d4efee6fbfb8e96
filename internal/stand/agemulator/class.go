package agemulator

// Classes of requests. Each has a route of its own to its service, because a route has
// one class.

import (
	"fmt"
	"time"

	"github.com/anvilglade/anvilglade"
)

// ClassSpec describes the requests of a share of the callers.
type ClassSpec struct {
	Name    string
	Service anvilglade.ServiceID
	// Spare is a second service of the route, which receives SpareWeight of 100 new flows.
	Spare       anvilglade.ServiceID
	SpareWeight int
	// Share is the share of the callers, relative to those of the other classes.
	Share float64
	// Priority is that of the route; 0 is the highest.
	Priority   anvilglade.Priority
	Repeatable bool
	// Target and Timeout replace those of the load.
	Target  anvilglade.Duration
	Timeout anvilglade.Duration
	// PerFlow replaces that of the load if it is not 0.
	PerFlow int
}

// demand is what a caller requests: a class, or a service of a scenario without classes.
type demand struct {
	name    string
	service ServiceSpec
	address anvilglade.Endpoint
	target  time.Duration
	timeout time.Duration
	perFlow int
	// unsafe is the share of the requests that must not run twice, 0 to 1.
	unsafe float64
	share  float64
	// backends are the services of the route.
	backends []anvilglade.WeightedService
	// class is the class of the route, the zero value in a scenario without classes.
	class anvilglade.RequestClass
}

// demands returns the demands of a scenario, in the order of their routes.
func (s *Scenario) demands() []*demand {
	var list []*demand
	if len(s.Classes) == 0 {
		for i, spec := range s.Services {
			list = append(list, &demand{
				name: string(spec.Name), service: spec, address: serviceAddress(i), target: time.Duration(s.Load.Target),
				timeout: time.Duration(s.Load.Limit), perFlow: s.Load.PerFlow, unsafe: s.Load.Unsafe,
				backends: []anvilglade.WeightedService{{Service: spec.Name, Weight: 1}},
			})
		}
		return list
	}
	for i := range s.Classes {
		spec, _ := s.service(s.Classes[i].Service)
		list = append(list, s.Classes[i].demand(spec, i, &s.Load))
	}
	return list
}

func (c *ClassSpec) demand(service ServiceSpec, index int, load *Load) *demand {
	d := &demand{
		name: c.Name, service: service, address: serviceAddress(index), target: time.Duration(c.Target),
		timeout: time.Duration(c.Timeout), perFlow: load.PerFlow, share: c.Share,
	}
	d.backends = []anvilglade.WeightedService{{Service: c.Service, Weight: 100 - c.SpareWeight}}
	if c.SpareWeight > 0 {
		d.backends = append(d.backends, anvilglade.WeightedService{Service: c.Spare, Weight: c.SpareWeight})
	}
	if c.PerFlow > 0 {
		d.perFlow = c.PerFlow
	}
	if !c.Repeatable {
		d.unsafe = 1
	}
	d.class = anvilglade.RequestClass{Priority: c.Priority, Repeatable: c.Repeatable, Target: d.target, Timeout: d.timeout}
	return d
}

// allows reports whether the route has a service.
func (d *demand) allows(service anvilglade.ServiceNumber) bool {
	for _, backend := range d.backends {
		if backend.Service.Number() == service {
			return true
		}
	}
	return false
}

// allowed reports whether a request for a service may reach the hosts of another one: a
// route of the first has both.
func (f *fleet) allowed(requested, serving anvilglade.ServiceNumber) bool {
	for _, demand := range f.demands {
		if demand.service.Name.Number() == requested && demand.allows(serving) {
			return true
		}
	}
	return false
}

// service returns the service with a name.
func (s *Scenario) service(name anvilglade.ServiceID) (ServiceSpec, bool) {
	for _, spec := range s.Services {
		if spec.Name == name {
			return spec, true
		}
	}
	return ServiceSpec{}, false
}

// checkClasses reports invalid classes to need.
func (s *Scenario) checkClasses(need func(bool, string)) {
	for i := range s.Classes {
		class := &s.Classes[i]
		_, known := s.service(class.Service)
		need(known, fmt.Sprintf("class %s has the unknown service %q", class.Name, class.Service))
		_, known = s.service(class.Spare)
		need(class.SpareWeight == 0 || known && class.SpareWeight > 0 && class.SpareWeight < 100, fmt.Sprintf("class %s needs a known Spare and a SpareWeight of 1 to 99", class.Name))
		need(class.Name != "" && class.Share > 0, fmt.Sprintf("class %d needs a Name and a Share", i))
		need(class.Target > 0 && class.Timeout >= class.Target, fmt.Sprintf("class %s needs a Target and a Timeout that is not below it", class.Name))
	}
}

// demandOf returns the demand of one of a data centre's callers: services in turn, or
// classes by their shares.
func demandOf(demands []*demand, caller, callers int) *demand {
	total := 0.0
	for _, d := range demands {
		total += d.share
	}
	if total == 0 {
		return demands[caller%len(demands)]
	}
	point := total * (float64(caller) + 0.5) / float64(callers)
	for _, d := range demands {
		if point < d.share {
			return d
		}
		point -= d.share
	}
	return demands[len(demands)-1]
}
