package agadmission_test

// A load test of the decision without a network: hosts with a first-in, first-out
// queue, balancers that choose candidates at random, and callers that retry twice at
// once. The policy of agopen for flows without a class is the baseline.

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/admission/agadmission"
	"github.com/anvilglade/anvilglade/internal/admission/agopen"
)

const (
	hostCount, slots, queueLength = 20, 2, 8
	coldHosts, coldRate, coldTime = 2, 20.0, 6 * time.Second
	slowHost, slowdown            = hostCount - 1, 5
	candidates, attempts          = 5, 3
	acceptCost, roundTrip         = 300 * time.Microsecond, 5 * time.Millisecond
	// Requests from warmTime to endTime are counted; before, the load is warmLoad.
	warmTime, endTime, warmLoad = 2 * time.Second, 20 * time.Second, 0.7
)

var (
	start   = time.Unix(1_000_000, 0)
	classes = []anvilglade.RequestClass{
		{Priority: 1, Target: 250 * time.Millisecond, Timeout: time.Second},
		{Priority: 2, Target: 250 * time.Millisecond, Timeout: 800 * time.Millisecond, Repeatable: true},
	}
	means = []time.Duration{17 * time.Millisecond, 13 * time.Millisecond}
)

// TestLoad guards against an overload in which the higher class is served late or not
// at all, the lower one starves, slots stay idle, or hosts shed what was admitted.
func TestLoad(t *testing.T) {
	type bounds struct{ load, higherShare, higherInTime, allInTime, lowerCompleted float64 }
	higherAtCapacity := 0.0
	for _, want := range []bounds{
		{load: 1, higherShare: 0.2, higherInTime: 0.98},
		{load: 1.5, higherShare: 0.2, higherInTime: 0.98, allInTime: 0.95, lowerCompleted: 0.2},
		{load: 2.5, higherShare: 0.2, allInTime: 0.95, lowerCompleted: 0.2},
		// The higher class alone exceeds the capacity; a tenth of the requests is lower.
		{load: 2.5, higherShare: 0.9, allInTime: 0.95, lowerCompleted: 0.2},
	} {
		baseline := simulate(want.load, want.higherShare, true)
		s := simulate(want.load, want.higherShare, false)
		t.Logf("load %.1f, higher class %.0f%%, without classes: %v", want.load, 100*want.higherShare, baseline)
		t.Logf("load %.1f, higher class %.0f%%, by classes:      %v", want.load, 100*want.higherShare, s)
		check := func(what string, got, want float64) {
			if got < want {
				t.Errorf("%s %.4f, want at least %.4f", what, got, want)
			}
		}
		check("higher class in time", s.share(0), max(want.higherInTime, baseline.share(0)))
		check("all in time, of the capacity", s.usedCapacity(), want.allInTime)
		check("lower class, of the completions", s.lowerCompleted(), want.lowerCompleted)
		// A refusal at the opening is immediate, so a caller is refused after a wait only
		// by a host that sheds.
		check("tenth of the attempts shed", float64(baseline.shed())/10, float64(s.shed()))
		switch want.load {
		case 1:
			higherAtCapacity = s.share(0)
		case 1.5:
			check("higher class in time, against its share at the capacity,", s.share(0), higherAtCapacity)
		}
	}
}

func simulate(load, higherShare float64, baseline bool) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(11, 12)), now: start, baseline: baseline, load: load, higherShare: higherShare}
	for i := range hostCount {
		s.hosts = append(s.hosts, newHost(s, i))
	}
	s.arrive()
	for len(s.pending) > 0 {
		next := s.pending[0]
		s.pending, s.now = s.pending[1:], next.at
		next.run()
	}
	return s
}

// arrive starts a request and schedules the next one.
func (s *simulation) arrive() {
	if s.now.Sub(start) >= endTime {
		return
	}
	class, load := 1, warmLoad
	if s.random.Float64() < s.higherShare {
		class = 0
	}
	if s.counted(s.now) {
		load = s.load
		s.outcomes[class].offered++
	}
	s.attempt(class, s.now, 1)
	mean := s.higherShare*means[0].Seconds() + (1-s.higherShare)*means[1].Seconds() + acceptCost.Seconds()
	rate := load * slots * (hostCount - 1 + 1.0/slowdown) / mean
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), s.arrive)
}

// attempt passes an opening packet along the candidates.
func (s *simulation) attempt(class int, since time.Time, number int) {
	retry := func() {
		if number < attempts {
			s.attempt(class, since, number+1)
		}
	}
	for i, index := range s.random.Perm(hostCount)[:candidates] {
		if s.hosts[index].admit(class, i < candidates-1) {
			s.hosts[index].open(class, since, retry)
			return
		}
	}
	retry()
}

// admit decides as an agent does.
func (h *host) admit(class int, hasNext bool) bool {
	h.gate.SetPolicy(false, coldRate, h.now)
	serviceTime, expected := h.estimator.ServiceTime(h.now), h.estimator.Outstanding()+h.expected
	if h.baseline || serviceTime == 0 {
		return (!hasNext || !h.gate.Busy(expected)) && h.gate.AdmitFlow(h.now) == agopen.RefusalNone
	}
	if h.gate.CheckFlow(h.now) != agopen.RefusalNone {
		return false
	}
	decision := h.controller.Decide(&agadmission.Opening{
		Class: classes[class], Wait: h.estimator.Wait(h.expected, h.now), ServiceTime: serviceTime,
		Expected: expected, QueueLimit: h.estimator.QueueLimit(), HasNext: hasNext,
	}, h.now)
	return decision.Result.Admits() && h.gate.AdmitFlow(h.now) == agopen.RefusalNone
}

// open accepts a flow, whose request arrives a round trip later.
func (h *host) open(class int, since time.Time, retry func()) {
	h.expected++
	h.enqueue(acceptCost, func() {
		h.after(roundTrip, func() {
			h.expected--
			h.request(class, since, retry)
		})
	})
}

func (h *host) request(class int, since time.Time, retry func()) {
	h.flows++
	flow := anvilglade.Flow{Caller: anvilglade.Endpoint{IP: anvilglade.IPv4{byte(h.flows >> 16)}, Port: uint16(h.flows)}}
	counted := &h.outcomes[class]
	if !h.counted(since) {
		counted = &outcome{}
	}
	h.estimator.Arrive(flow, classes[class], h.now)
	if h.requests >= slots+queueLength {
		counted.shed++
		h.estimator.Answer(flow, h.now)
		retry()
		return
	}
	h.requests++
	// Service times are log-normal (sigma 1).
	factor := math.Exp(h.random.NormFloat64() - 0.5)
	if h.index == slowHost {
		factor *= slowdown
	}
	h.enqueue(time.Duration(float64(means[class])*factor), func() {
		h.requests--
		h.estimator.Answer(flow, h.now)
		counted.completed++
		if h.now.Sub(since) <= classes[class].Target {
			counted.inTime++
		}
	})
}
