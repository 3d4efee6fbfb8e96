package agadmission_test

// The events, hosts and figures of the load test.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/admission/agadmission"
	"github.com/anvilglade/anvilglade/internal/admission/agcapacity"
	"github.com/anvilglade/anvilglade/internal/admission/agopen"
)

// event is a step of the simulation at a time.
type event struct {
	at  time.Time
	run func()
}

// outcome counts the requests of one class; shed counts attempts.
type outcome struct{ offered, completed, inTime, shed int }

type simulation struct {
	random            *rand.Rand
	now               time.Time
	pending           []event
	hosts             []*host
	baseline          bool
	load, higherShare float64
	flows             uint32
	outcomes          [2]outcome
}

func (s *simulation) after(d time.Duration, run func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.pending, at, func(e event, at time.Time) int { return e.at.Compare(at) })
	s.pending = slices.Insert(s.pending, i, event{at: at, run: run})
}

func (s *simulation) counted(since time.Time) bool { return since.Sub(start) >= warmTime }

// share returns the share of the requests of a class that are served in time.
func (s *simulation) share(class int) float64 {
	return float64(s.outcomes[class].inTime) / float64(s.outcomes[class].offered)
}

// usedCapacity returns the share of the hosts' slot time that requests in time used.
// Cold hosts can use the part of theirs that their rate of flows allows.
func (s *simulation) usedCapacity() float64 {
	work, completed := 0.0, 0
	for i, mean := range means {
		work += float64(s.outcomes[i].inTime) * (mean + acceptCost).Seconds()
		completed += s.outcomes[i].inTime
	}
	slotTime := slots * (hostCount - 1 + 1.0/slowdown) * (endTime - warmTime).Seconds()
	unusable := coldHosts * (slots - coldRate*work/float64(completed)) * (coldTime - warmTime).Seconds()
	return work / (slotTime - unusable)
}

func (s *simulation) lowerCompleted() float64 {
	return float64(s.outcomes[1].completed) / float64(s.outcomes[0].completed+s.outcomes[1].completed)
}

func (s *simulation) shed() int { return s.outcomes[0].shed + s.outcomes[1].shed }

// String returns the figures of a run.
func (s *simulation) String() string {
	return fmt.Sprintf("in time %.4f (higher) %.4f (lower) %.4f (of the capacity); lower class %.4f of the completions; %d attempts shed",
		s.share(0), s.share(1), s.usedCapacity(), s.lowerCompleted(), s.shed())
}

// host runs jobs in the order of arrival.
type host struct {
	*simulation
	index      int
	gate       *agopen.Gate
	estimator  *agcapacity.Estimator
	controller *agadmission.Controller
	// queue holds flows to accept and requests to run: the functions that start them.
	queue []func()
	// running is the number of busy slots, requests that of requests that run or wait,
	// expected that of flows whose request has not arrived.
	running, requests, expected int
}

func newHost(s *simulation, index int) *host {
	h := &host{simulation: s, index: index, estimator: agcapacity.NewEstimator(slots), controller: agadmission.NewController()}
	h.gate = agopen.NewGate(agopen.Options{HeartbeatInterval: time.Hour})
	heartbeat := anvilglade.HostHeartbeat{Born: start, Sequence: 1, Slots: slots}
	if index < coldHosts {
		heartbeat.ColdLeft = coldTime
	}
	h.gate.Heartbeat(heartbeat, start)
	h.estimator.OnResult = func(class anvilglade.RequestClass, result agcapacity.Result, now time.Time) {
		if result == agcapacity.ResultServed {
			h.controller.Complete(class.Priority, now)
		}
	}
	return h
}

func (h *host) enqueue(takes time.Duration, done func()) {
	h.queue = append(h.queue, func() {
		h.after(takes, func() {
			h.running--
			done()
			h.startNext()
		})
	})
	h.startNext()
}

func (h *host) startNext() {
	for h.running < slots && len(h.queue) > 0 {
		start := h.queue[0]
		h.queue = h.queue[1:]
		h.running++
		start()
	}
}
