package agadmit_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
)

const simulationTick = time.Millisecond

// policy is the admission policy under test in the simulation.
type policy interface {
	StartRequest(anvilglade.ServiceID) (anvilglade.Refusal, func(anvilglade.Outcome))
	RefusedConnection()
}

// timeRamp is a policy that raises the limit by one each interval, independently of
// the results. It restarts when a connection is refused.
type timeRamp struct {
	clock    *fakeClock
	started  time.Time
	interval time.Duration
	slots    int
	requests int
}

func (r *timeRamp) StartRequest(anvilglade.ServiceID) (anvilglade.Refusal, func(anvilglade.Outcome)) {
	limit := 1 + int(r.clock.now.Sub(r.started)/r.interval)
	if r.requests >= min(limit, r.slots) {
		return anvilglade.RefusalCold, nil
	}
	r.requests++
	return anvilglade.RefusalNone, func(anvilglade.Outcome) { r.requests-- }
}

func (r *timeRamp) RefusedConnection() { r.started = r.clock.now }

// server is a simulated backend server. It warms up by the work that it does: its
// capacity rises by one request after each perStep completions, and its answers are
// slow until it is warm. A request above its capacity makes it fall over: all
// requests fail, and it accepts requests again after a while, cold.
type server struct {
	clock          *fakeClock
	random         *rand.Rand
	slots, perStep int
	latency        time.Duration
	// large is the share of requests that take ten times as long.
	large            float64
	completed        int
	requests         []call
	downUntil        time.Time
	fellOver, served int
	// The number of requests above the capacity after the server has turned cold:
	// excessBeforeSign before the first answer that took more than 2.5 times as
	// long as the slowest warm one, excessAfterSign after it. Before that answer
	// the change cannot be observed. The slowest warm answer is the reference
	// because with seed 6 an answer at 2.55 times the mean was only 2.48 times the
	// latency that the host had measured.
	excessBeforeSign, excessAfterSign int
	signSeen                          bool
	turnsColdAt                       time.Time
	turnedCold                        bool
}

type call struct {
	start, end time.Time
	done       func(anvilglade.Outcome)
}

func (s *server) capacity() int { return min(s.slots, 1+s.completed/s.perStep) }

// slowness is 5 for a cold server and 1 for a warm one.
func (s *server) slowness() float64 {
	return 1 + 4*float64(s.slots-s.capacity())/float64(s.slots-1)
}

// accept handles a new request and reports whether the connection was accepted.
func (s *server) accept(done func(anvilglade.Outcome)) bool {
	if s.clock.now.Before(s.downUntil) {
		done(anvilglade.OutcomeFailed)
		return false
	}
	if len(s.requests) >= s.capacity() {
		switch {
		case s.turnedCold && s.signSeen:
			s.excessAfterSign++
		case s.turnedCold:
			s.excessBeforeSign++
		default:
			s.fallOver(done)
			return true
		}
	}
	spread := 0.8 + 0.4*s.random.Float64()
	if s.random.Float64() < s.large {
		spread *= 10
	}
	s.requests = append(s.requests, call{start: s.clock.now, end: s.clock.now.Add(time.Duration(float64(s.latency) * s.slowness() * spread)), done: done})
	return true
}

func (s *server) fallOver(done func(anvilglade.Outcome)) {
	s.fellOver++
	s.completed = 0
	s.downUntil = s.clock.now.Add(2 * time.Second)
	requests := s.requests
	s.requests = nil
	for _, request := range requests {
		request.done(anvilglade.OutcomeFailed)
	}
	done(anvilglade.OutcomeFailed)
}

func (s *server) tick() {
	if !s.turnsColdAt.IsZero() && !s.turnedCold && !s.clock.now.Before(s.turnsColdAt) {
		s.turnedCold = true
		s.completed = 0
		// Requests in progress also slow down.
		for i := range s.requests {
			s.requests[i].end = s.clock.now.Add(5 * s.requests[i].end.Sub(s.clock.now))
		}
	}
	rest := s.requests[:0]
	for _, request := range s.requests {
		if s.clock.now.Before(request.end) {
			rest = append(rest, request)
			continue
		}
		s.completed++
		s.served++
		s.signSeen = s.signSeen || s.turnedCold && s.clock.now.Sub(request.start) > s.latency*12/10*5/2
		request.done(anvilglade.OutcomeAnswered)
	}
	s.requests = rest
}

// result is the result of a run of the simulation.
type result struct {
	fellOver, served, excessBeforeSign, excessAfterSign int
	full                                                time.Duration
}

// simulate runs a server at full load: a request is always available when the policy
// admits one. During the time idle at the start, one request arrives per second.
func simulate(s *server, p policy, run, idle time.Duration) result {
	start := s.clock.now
	var full time.Duration
	for s.clock.now.Sub(start) < run {
		s.clock.now = s.clock.now.Add(simulationTick)
		s.tick()
		elapsed := s.clock.now.Sub(start)
		// While idle, one request arrives per second.
		if elapsed < idle && elapsed%time.Second != 0 {
			continue
		}
		for {
			refusal, done := p.StartRequest(service)
			if refusal != anvilglade.RefusalNone {
				break
			}
			if !s.accept(done) {
				p.RefusedConnection()
				break
			}
			if elapsed < idle {
				break
			}
		}
		if full == 0 && len(s.requests) == s.slots {
			full = elapsed
		}
	}
	return result{fellOver: s.fellOver, served: s.served, excessBeforeSign: s.excessBeforeSign, excessAfterSign: s.excessAfterSign, full: full}
}

func newServer(seed uint64, clock *fakeClock, slots int, latency time.Duration) *server {
	return &server{clock: clock, random: rand.New(rand.NewPCG(1, seed)), slots: slots, perStep: 10, latency: latency}
}

func newClock() *fakeClock { return &fakeClock{now: time.Unix(1_800_000_000, 0)} }

var _ = Describe("Cold start at full load", func() {
	pool := func(slots int) anvilglade.Pool {
		return anvilglade.Pool{Service: service, Slots: anvilglade.Slots(slots), Connections: 2000, ColdStart: anvilglade.ColdStart{InitialConcurrency: 1, CompletionsPerStep: 10}}
	}
	// The interval of the time ramp has a margin of two at a latency of 20 ms, and is
	// the same for slower servers.
	timeStep := 2 * 10 * 20 * 5 * time.Millisecond

	// Guards against a server that falls over because it receives more requests
	// than its capacity while it is cold, and against a ramp that never ends.
	for _, slots := range []int{4, 7} {
		for _, latency := range []time.Duration{5 * time.Millisecond, 20 * time.Millisecond, 60 * time.Millisecond, 200 * time.Millisecond} {
			for _, idle := range []time.Duration{0, 20 * time.Second} {
				It(fmt.Sprintf("slots %d, latency %s, idle %s", slots, latency, idle), func() {
					var byWork, byTime result
					for seed := range uint64(5) {
						clock := newClock()
						byWork.add(simulate(newServer(seed, clock, slots, latency), newHost(clock, pool(slots)), 90*time.Second, idle))
						clock = newClock()
						ramp := &timeRamp{clock: clock, started: clock.now, interval: timeStep, slots: slots}
						byTime.add(simulate(newServer(seed, clock, slots, latency), ramp, 90*time.Second, idle))
					}
					AddReportEntry("cold start", fmt.Sprintf("by work %s; by time %s", byWork, byTime), ReportEntryVisibilityAlways)
					Expect(byWork.fellOver).To(BeZero())
					Expect(byWork.full).NotTo(BeZero())
				})
			}
		}
	}

	// Guards against limiting a healthy server because some of its answers take ten
	// times as long as others.
	It("does not limit a server with requests of uneven size", func() {
		for _, large := range []float64{0, 0.02, 0.1, 0.3} {
			var limited, unlimited result
			turned := uint64(0)
			for seed := range uint64(5) {
				clock := newClock()
				s := newServer(seed, clock, 4, 20*time.Millisecond)
				s.large, s.completed = large, 1000
				host := newHost(clock, pool(4))
				// The first run covers the ramp at the start, which does not count.
				limited.served -= simulate(s, host, 10*time.Second, 0).served
				limited.add(simulate(s, host, 60*time.Second, 0))
				turned += host.State().Counts.TurnedCold
				clock = newClock()
				s = newServer(seed, clock, 4, 20*time.Millisecond)
				s.large, s.completed = large, 1000
				unlimited.add(simulate(s, &timeRamp{clock: clock, started: clock.now.Add(-time.Hour), interval: time.Second, slots: 4}, 60*time.Second, 0))
			}
			part := float64(limited.served) / float64(unlimited.served)
			AddReportEntry("uneven", fmt.Sprintf("%.0f%% large: served %.3f of an unlimited server, restarts %d in 300 s", 100*large, part, turned), ReportEntryVisibilityAlways)
			// The design's target for goodput under load is 95% of the capacity.
			Expect(part).To(BeNumerically(">=", 0.95))
		}
	})

	// Guards against a server that turns cold without reporting it and keeps
	// receiving load above its capacity.
	It("detects a server that turns cold again", func() {
		for _, slots := range []int{4, 7} {
			var total result
			for seed := range uint64(50) {
				clock := newClock()
				s := newServer(seed, clock, slots, 20*time.Millisecond)
				s.turnsColdAt = clock.now.Add(30 * time.Second)
				total.add(simulate(s, newHost(clock, pool(slots)), 60*time.Second, 0))
			}
			AddReportEntry("turns cold", fmt.Sprintf("slots %d, 50 runs: %s, above its capacity: %d before a slow answer, %d after one", slots, total, total.excessBeforeSign, total.excessAfterSign), ReportEntryVisibilityAlways)
			Expect(total.excessAfterSign).To(BeZero())
		}
	})
})

// add adds the result of another run; full is the maximum of the two.
func (r *result) add(other result) {
	r.fellOver += other.fellOver
	r.served += other.served
	r.excessBeforeSign += other.excessBeforeSign
	r.excessAfterSign += other.excessAfterSign
	r.full = max(r.full, other.full)
}

func (r result) String() string {
	return fmt.Sprintf("FellOver %d, full after %s, served %d", r.fellOver, r.full, r.served)
}
