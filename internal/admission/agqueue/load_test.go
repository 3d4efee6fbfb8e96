package agqueue_test

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/admission/agqueue"
	"github.com/anvilglade/anvilglade/internal/stand/agschedule"
)

// The load test runs callers, agents and hosts in virtual time. Hosts have hostSlots
// slots and a queue of hostQueue requests in the order of arrival.
const (
	hosts        = 4
	hostSlots    = 2
	hostQueue    = 8
	loadTime     = 30 * time.Second
	linkDelay    = 100 * time.Microsecond // between agent and host, one way
	networkDelay = time.Millisecond       // between caller and agent, one way
	refusalTime  = time.Millisecond
	attempts     = 3
	minService   = 200 * time.Microsecond
	maxService   = 60 * time.Millisecond
)

var (
	high = anvilglade.RequestClass{Priority: 1, Timeout: time.Second, Target: 200 * time.Millisecond}
	low  = anvilglade.RequestClass{Priority: 2, Timeout: time.Second, Target: 200 * time.Millisecond, Repeatable: true}
)

// classResult counts the requests of a class.
type classResult struct{ sent, inTime, refusals int }

// start is the time at which the virtual time starts.
var start = time.Unix(1_000_000, 0)

type simulation struct {
	agschedule.Schedule
	random  *rand.Rand
	servers []*server
	flows   uint32
	results map[anvilglade.Priority]*classResult
	maxWait time.Duration
}

func (s *simulation) now() time.Time {
	return start.Add(s.Now())
}

// service draws a service time from a log-normal distribution, limited to the range from
// minService to maxService.
func service(random *rand.Rand) time.Duration {
	drawn := time.Duration(math.Exp(random.NormFloat64()) * float64(10*time.Millisecond))
	return min(max(drawn, minService), maxService)
}

// request is one request of a caller with the number of its attempts.
type request struct {
	class   anvilglade.RequestClass
	started time.Time
	attempt int
	server  int
}

// server is a host with its agent.
type server struct {
	simulation *simulation
	// work is the source of the service times of this host. The n-th request that it
	// runs takes the same time in all variants.
	work        *rand.Rand
	queue       *agqueue.Queue
	armed       time.Time
	outstanding int
	running     int
	waiting     []func()
	queued      map[anvilglade.Flow]*request
}

func (h *server) Outstanding() int { return h.outstanding }
func (h *server) QueueLimit() int  { return hostSlots + hostQueue }

// arrive handles a request at the agent.
func (h *server) arrive(r *request) {
	s := h.simulation
	s.flows++
	flow := anvilglade.Flow{Caller: anvilglade.Endpoint{IP: anvilglade.IPv4(binary.BigEndian.AppendUint32(nil, s.flows)), Port: 1}}
	h.release()
	arrival := agqueue.Arrival{Flow: flow, Class: r.class, Packet: &anvilglade.Packet{DataLength: 100}, Datagram: make([]byte, 132), StartsRequest: true}
	decision := h.queue.Offer(&arrival, s.now())
	h.release()
	if decision.Delivers() {
		h.deliver(flow, r)
		return
	}
	h.queued[flow] = r
	h.arm()
}

// arm schedules a release at the deadline of the queue, as the timer of the agent does.
func (h *server) arm() {
	if deadline, ok := h.queue.Deadline(); ok && deadline != h.armed {
		h.armed = deadline
		h.simulation.After(deadline.Sub(h.simulation.now()), h.release)
	}
}

func (h *server) release() {
	s := h.simulation
	for {
		release, ok := h.queue.Next(s.now())
		if !ok {
			h.arm()
			return
		}
		s.maxWait = max(s.maxWait, release.Waited)
		h.deliver(release.Flow, h.queued[release.Flow])
	}
}

func (h *server) deliver(flow anvilglade.Flow, r *request) {
	h.outstanding++
	h.queue.Arrive(flow, r.class, h.simulation.now())
	h.simulation.After(linkDelay, func() { h.accept(flow, r) })
}

// accept handles a request at the host.
func (h *server) accept(flow anvilglade.Flow, r *request) {
	s := h.simulation
	run := func() {
		s.After(service(h.work), func() { h.complete(flow, r) })
	}
	switch {
	case h.running < hostSlots:
		h.running++
		run()
	case len(h.waiting) < hostQueue:
		h.waiting = append(h.waiting, run)
	default:
		s.After(refusalTime, func() { h.answer(flow, r, false) })
	}
}

func (h *server) complete(flow anvilglade.Flow, r *request) {
	h.simulation.After(linkDelay, func() { h.answer(flow, r, true) })
	if len(h.waiting) == 0 {
		h.running--
		return
	}
	next := h.waiting[0]
	h.waiting = h.waiting[1:]
	next()
}

// answer handles a response at the agent.
func (h *server) answer(flow anvilglade.Flow, r *request, ran bool) {
	s := h.simulation
	h.outstanding--
	h.queue.Answer(flow, s.now())
	h.release()
	result := s.results[r.class.Priority]
	if ran {
		if s.now().Add(networkDelay).Sub(r.started) <= r.class.Target {
			result.inTime++
		}
		return
	}
	result.refusals++
	if r.attempt++; r.attempt < attempts {
		// The caller opens a flow to another host before it sends the request.
		r.server = (r.server + 1 + s.random.IntN(hosts-1)) % hosts
		s.After(4*networkDelay, func() { s.servers[r.server].arrive(r) })
	}
}

// simulate runs a load that is a multiple of the capacity of the hosts, with or without
// queues at the agents.
func simulate(seed uint64, load float64, queues bool) *simulation {
	s := newSimulation(seed, queues)
	s.addRequests(seed, load)
	s.Run(math.MaxInt64)
	return s
}

func newSimulation(seed uint64, queues bool) *simulation {
	s := &simulation{
		random:  rand.New(rand.NewPCG(seed, 1)),
		results: map[anvilglade.Priority]*classResult{1: {}, 2: {}},
	}
	for i := range uint64(hosts) {
		h := &server{simulation: s, work: rand.New(rand.NewPCG(seed, 3+i)), queued: make(map[anvilglade.Flow]*request)}
		h.queue = agqueue.NewQueue(nil)
		if queues {
			h.queue = agqueue.NewQueue(h)
		}
		s.servers = append(s.servers, h)
	}
	return s
}

// addRequests schedules the requests of a load. Their random source is separate, so that
// both variants get the same requests.
func (s *simulation) addRequests(seed uint64, load float64) {
	workload := rand.New(rand.NewPCG(seed, 2))
	var mean time.Duration
	for range 10_000 {
		mean += service(workload) / 10_000
	}
	interval := float64(mean) / (load * hosts * hostSlots)
	for at := 0.0; at < float64(loadTime); at += workload.ExpFloat64() * interval {
		class := low
		if workload.Float64() < 0.2 {
			class = high
		}
		r := &request{class: class, started: s.now().Add(time.Duration(at)), server: workload.IntN(hosts)}
		s.results[class.Priority].sent++
		s.After(time.Duration(at)+networkDelay, func() { s.servers[r.server].arrive(r) })
	}
}

// share returns the share of the requests that were served in time, of one class or, for
// priority 0, of all.
func (s *simulation) share(priority anvilglade.Priority) float64 {
	if priority != 0 {
		return float64(s.results[priority].inTime) / float64(s.results[priority].sent)
	}
	return float64(s.results[1].inTime+s.results[2].inTime) / float64(s.results[1].sent+s.results[2].sent)
}

// TestOverload compares the queue with direct delivery, the policy without it.
func TestOverload(t *testing.T) {
	for _, load := range []float64{1.5, 2.5} {
		for seed := range uint64(3) {
			direct, queued := simulate(seed, load, false), simulate(seed, load, true)
			name := fmt.Sprintf("load=%.1f,seed=%d", load, seed)
			t.Logf("%s: high %.4f (direct %.4f), low %.4f (direct %.4f), all %.4f (direct %.4f), refusals of high %d (direct %d), longest wait %s",
				name, queued.share(1), direct.share(1), queued.share(2), direct.share(2), queued.share(0), direct.share(0), queued.results[1].refusals, direct.results[1].refusals, queued.maxWait)
			// Guards against requests of the highest priority that are shed like the
			// others.
			t.Run("HighInTime/"+name, func(t *testing.T) {
				if load == 1.5 && queued.share(1) < 0.98 {
					t.Errorf("%.4f of the requests of the highest priority were in time, want 0.98", queued.share(1))
				}
				if queued.share(1) < direct.share(1) {
					t.Errorf("%.4f of the requests of the highest priority were in time, direct delivery has %.4f", queued.share(1), direct.share(1))
				}
			})
			// Guards against a queue that uses up the target of what it delays. The required
			// limit is a quarter of the target; the queue uses less of it.
			t.Run("Wait/"+name, func(t *testing.T) {
				if queued.maxWait > min(high.Target/4, 100*time.Millisecond) {
					t.Errorf("a request waited %s in the queue", queued.maxWait)
				}
			})
			// Guards against a queue that costs throughput.
			t.Run("AllInTime/"+name, func(t *testing.T) {
				if queued.share(0) < direct.share(0) {
					t.Errorf("%.5f of all requests were in time, direct delivery has %.5f", queued.share(0), direct.share(0))
				}
			})
		}
	}
}
