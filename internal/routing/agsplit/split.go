// Package agsplit selects the service of a new flow on a route with several services.
//
// While every service of the route has capacity, the hash of the flow and the weights
// of the route select the service. A service without capacity keeps only a part of
// its share: a step of n shifts n/64 of its new flows to the other services, its
// receivers. A service has no capacity if it has no usable host, or if the mean wait
// of its hosts plus their service time is above the attempt budget of the route's
// class, which is a third of the latency target.
//
// A step is taken only if the receivers can serve the flows without harm to their own
// callers. Their limit is a quarter of the shortest latency target that they serve: their
// mean wait must be below half of what their service time leaves of it. The utilisation
// that is expected after the step must not exceed maxUtilisation. The reports of hosts show
// the effect of a step only some hundred milliseconds later, so the expectation is computed
// from the steps that were in force at all balancers when the reports were made. Balancers
// report their steps to each other in their statuses.
//
// Shifted flows are selected by bits of the flow's hash that do not depend on those
// used for the weights. Balancers with the same steps therefore select the same service
// for a flow, and the shifted flows are an even sample. A flow that is shifted at a step
// is also shifted at every higher step.
//
// A Splitter has no sockets, takes the time as a parameter and is not safe for
// concurrent use.
//
// # Usage
//
//	splitter := agsplit.NewSplitter(now)
//	if splitter.Due(route, now) {
//		splitter.Evaluate(route, loads, now) // loads in the order of route.Backends
//	}
//	choice := splitter.Select(route, flow)
//	for _, change := range splitter.TakeChanges() {
//		// log the change
//	}
package agsplit

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
)

const (
	// evaluateInterval is the minimum time between two evaluations of a route.
	evaluateInterval = 100 * time.Millisecond
	// adoptWindow is the time after the start in which the steps of other balancers are
	// taken over. They answer the first status of a balancer that has started at once.
	adoptWindow = 2 * time.Second
	// maxReportBytes is the maximum encoded size of the steps in a status, which has to
	// fit into one datagram with the lists of processes.
	maxReportBytes = 2500
	// peerTimeout is the time for which the report of another balancer counts.
	peerTimeout = 5 * time.Second
	// entryBytes is the encoded size of a step without the names.
	entryBytes = 10
)

// Load is the load of a service on the hosts that a route may use. The durations are
// means weighted by slots over the hosts that report a service time, and 0 if none does.
type Load struct {
	// Usable is set if the service has a host that takes new flows.
	Usable      bool
	Wait        time.Duration
	ServiceTime time.Duration
	// Utilisation is the share of the slots that are busy, 0 to 1.
	Utilisation float64
	// Target is the shortest latency target of the routes that have the service, 0 if
	// none states one.
	Target time.Duration
}

// completion returns the expected time from the arrival of a request to its response.
func (l *Load) completion() time.Duration {
	return l.Wait + l.ServiceTime
}

// backlog reports whether the mean wait is longer than a service time. Shorter waits also
// occur by chance while there is capacity.
func (l *Load) backlog() bool {
	return l.Wait > l.ServiceTime
}

// Change is a change of a step with the loads that caused it.
type Change struct {
	anvilglade.RouteShift
	Former anvilglade.SplitStep
	Cause  Cause
	// Own is the load of the service. Receiver is that of the receiver with the longest
	// time to a response, the zero value if there is none.
	Own      Load
	Receiver Load
}

// Splitter holds the steps of one balancer.
type Splitter struct {
	started time.Time
	splits  map[anvilglade.Endpoint]*split
	// reported holds the steps that other balancers have reported within adoptWindow,
	// by route. Routes may be unknown at that time.
	reported map[string][]anvilglade.RouteShift
	peers    map[anvilglade.IPv4]peer
	// sums has the sum of the steps that the peers report for a service of a route.
	sums    map[sumKey]int
	changes []Change
}

// peer is the latest report of another balancer.
type peer struct {
	shifts []anvilglade.RouteShift
	at     time.Time
}

// sumKey identifies a service of a route in the reports.
type sumKey struct {
	route   string
	service anvilglade.ServiceID
}

// NewSplitter returns a Splitter without steps. Now is the start of the balancer.
func NewSplitter(now time.Time) *Splitter {
	return &Splitter{
		started:  now,
		splits:   make(map[anvilglade.Endpoint]*split),
		reported: make(map[string][]anvilglade.RouteShift),
		peers:    make(map[anvilglade.IPv4]peer),
		sums:     make(map[sumKey]int),
	}
}

// Due reports whether a route is to be evaluated.
func (s *Splitter) Due(route *anvilglade.PacketRoute, now time.Time) bool {
	if len(route.Backends) < 2 {
		return false
	}
	split, ok := s.splits[route.Address]
	return !ok || now.Sub(split.evaluatedAt) >= evaluateInterval
}

// Evaluate updates the steps of a route with several services. Loads has the loads of
// its services in the order of route.Backends.
func (s *Splitter) Evaluate(route *anvilglade.PacketRoute, loads []Load, now time.Time) {
	current := s.prepare(route, now)
	s.setPeerSteps(current)
	s.changes = current.evaluate(loads, route.Class.Target, now, s.changes)
}

// Prepare adopts the steps that other balancers have reported for a route with several
// services. It is called instead of Evaluate while the loads are incomplete.
func (s *Splitter) Prepare(route *anvilglade.PacketRoute, now time.Time) {
	s.prepare(route, now)
}

// Reported reports whether other balancers have reported steps of a route.
func (s *Splitter) Reported(route *anvilglade.PacketRoute) bool {
	return len(s.reported[route.Name]) > 0
}

// prepare returns the state of a route. It creates the state, with the steps that other
// balancers have reported, if there is none or if the services of the route have changed.
func (s *Splitter) prepare(route *anvilglade.PacketRoute, now time.Time) *split {
	current, ok := s.splits[route.Address]
	if !ok || !current.matches(route) {
		current = newSplit(route, current)
		for _, shift := range s.reported[route.Name] {
			current.adopt(shift)
		}
		s.splits[route.Address] = current
	}
	current.evaluatedAt = now
	return current
}

// TakeChanges returns the changes of steps since the last call. The slice is valid
// until the next call of Evaluate.
func (s *Splitter) TakeChanges() []Change {
	taken := s.changes
	s.changes = s.changes[:0]
	return taken
}

// Observe records the steps that another balancer reports. If this balancer has just
// started, it takes over those of balancers of its data centre (local); of several
// reports the highest step is used.
func (s *Splitter) Observe(balancer anvilglade.IPv4, local bool, shifts []anvilglade.RouteShift, now time.Time) {
	s.addToSums(s.peers[balancer].shifts, -1)
	s.addToSums(shifts, 1)
	s.peers[balancer] = peer{shifts: shifts, at: now}
	if now.Sub(s.started) > adoptWindow {
		s.reported = nil
		return
	}
	if !local {
		return
	}
	for _, shift := range shifts {
		s.reported[shift.Route] = append(s.reported[shift.Route], shift)
		for _, split := range s.splits {
			if split.name == shift.Route {
				split.adopt(shift)
			}
		}
	}
}

// addToSums adds the steps of a report to the sums, or removes them if sign is -1.
func (s *Splitter) addToSums(shifts []anvilglade.RouteShift, sign int) {
	for _, shift := range shifts {
		key := sumKey{route: shift.Route, service: shift.Service}
		s.sums[key] += sign * int(min(shift.Step, anvilglade.MaxSplitStep))
		if s.sums[key] == 0 {
			delete(s.sums, key)
		}
	}
}

// setPeerSteps sets the sums of the peers' steps for a route.
func (s *Splitter) setPeerSteps(split *split) {
	split.peers = len(s.peers)
	for i := range split.shares {
		share := &split.shares[i]
		share.peerSteps = s.sums[sumKey{route: split.name, service: share.service}]
	}
}

// Active returns the addresses of the routes with a step above 0.
func (s *Splitter) Active() []anvilglade.Endpoint {
	var list []anvilglade.Endpoint
	for address, split := range s.splits {
		if split.active() {
			list = append(list, address)
		}
	}
	return list
}

// Retain removes the steps of all routes whose addresses are not in use, and the reports
// of balancers that send none any more.
func (s *Splitter) Retain(inUse func(anvilglade.Endpoint) bool, now time.Time) {
	for address := range s.splits {
		if !inUse(address) {
			delete(s.splits, address)
		}
	}
	for address, peer := range s.peers {
		if now.Sub(peer.at) > peerTimeout {
			s.addToSums(peer.shifts, -1)
			delete(s.peers, address)
		}
	}
}

// Shifts returns the steps above 0, sorted by route and service. Of routes with the same
// name it returns the highest step of each service.
func (s *Splitter) Shifts() []anvilglade.RouteShift {
	var list []anvilglade.RouteShift
	for _, split := range s.splits {
		list = split.appendShifts(list)
	}
	slices.SortFunc(list, func(a, b anvilglade.RouteShift) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Service, b.Service), cmp.Compare(b.Step, a.Step))
	})
	return slices.CompactFunc(list, func(a, b anvilglade.RouteShift) bool {
		return a.Route == b.Route && a.Service == b.Service
	})
}

// Report returns the steps for the balancer's status: the highest of Shifts, as many as
// fit into maxReportBytes.
func (s *Splitter) Report() []anvilglade.RouteShift {
	list := s.Shifts()
	slices.SortStableFunc(list, func(a, b anvilglade.RouteShift) int { return cmp.Compare(b.Step, a.Step) })
	size := 0
	for i := range list {
		size += entryBytes + len(list[i].Route) + len(list[i].Service)
		if size > maxReportBytes {
			return list[:i]
		}
	}
	return list
}
