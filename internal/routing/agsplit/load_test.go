package agsplit_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/routing/agsplit"
	"github.com/anvilglade/anvilglade/internal/stand/agschedule"
)

// The load of the test: a live stream on a route with the weights 90 and 10 to services
// of 35 and 9 hosts, of which half of the capacity is used.
const (
	balancers   = 15
	slots       = 2
	work        = 15 * time.Millisecond
	target      = 200 * time.Millisecond
	utilisation = 0.5
	// statusAge is the age of the statuses by which balancers decide.
	statusAge = 250 * time.Millisecond
	// peerInterval is the time between two statuses of a balancer to the others.
	peerInterval = 500 * time.Millisecond
	// sampleInterval is the time between two samples of the services' states.
	sampleInterval = 25 * time.Millisecond
	// requestTime is the time from a placement until the host has the request.
	requestTime = 3 * time.Millisecond
)

// The phases of a run by their ends.
const (
	calm = iota
	halfLost
	allLost
	returned
	phases
)

var (
	hostCounts = [2]int{35, 9}
	// runningHosts is the number of running hosts of the first service in each phase.
	runningHosts = [phases]int{35, 18, 0, 35}
	phaseEnds    = [phases]time.Duration{10 * time.Second, 20 * time.Second, 30 * time.Second, 50 * time.Second}
)

// service is a pool of slots with one FIFO queue.
type service struct {
	slots, working int
	queue          []func()
	// samples holds the reports up to statusAge, oldest first.
	samples []agsplit.Load
}

// score counts the requests of one phase.
type score struct {
	sent, inTime, ownSent, ownInTime int
}

type simulation struct {
	agschedule.Schedule
	random    *rand.Rand
	tries     int
	services  [2]*service
	splitters []*agsplit.Splitter
	route     *anvilglade.PacketRoute
	scores    [phases]score
	// directions counts the changes of direction of the first balancer's step, backAt is
	// the time at which the step was last lowered to 0.
	directions [phases]int
	rising     bool
	step       anvilglade.SplitStep
	backAt     time.Duration
	// second counts the flows of the calm phase that went to the second service, of the
	// first thousand flows.
	second, flows int
}

func (p *simulation) phase() int {
	for i, end := range phaseEnds {
		if p.Now() < end {
			return i
		}
	}
	return phases - 1
}

func (p *simulation) clock() time.Time {
	return time.Unix(1_000_000, 0).Add(p.Now())
}

// simulate runs the load with callers that send a request up to tries times if it is
// refused. Without shift the weights alone select the service.
func simulate(shift bool, tries int, seed uint64) *simulation {
	p := &simulation{tries: tries, random: rand.New(rand.NewPCG(seed, seed)), rising: true, route: &anvilglade.PacketRoute{
		Name: "live", Backends: []anvilglade.WeightedService{{Service: "main", Weight: 90}, {Service: "spare", Weight: 10}},
		Class: anvilglade.RequestClass{Target: target},
	}}
	for i, count := range hostCounts {
		p.services[i] = &service{slots: slots * count}
	}
	p.sample()
	for i := range balancers {
		p.splitters = append(p.splitters, agsplit.NewSplitter(p.clock()))
		p.After(time.Duration(p.random.Int64N(int64(peerInterval))), func() { p.sendSteps(i) })
	}
	for phase := halfLost; phase < phases; phase++ {
		p.After(phaseEnds[phase-1], func() { p.resize(slots * runningHosts[phase]) })
	}
	p.arrive(shift)
	p.Run(phaseEnds[returned] + time.Second)
	return p
}

// resize changes the slots of the first service. Requests in progress on lost slots
// complete; queued ones are lost with the last host.
func (p *simulation) resize(count int) {
	first := p.services[0]
	first.slots = count
	if count == 0 {
		first.queue = nil
	}
}

func (p *simulation) sample() {
	for _, service := range p.services {
		load := agsplit.Load{Usable: service.slots > 0, ServiceTime: work, Target: target}
		if load.Usable {
			load.Utilisation = min(1, float64(service.working)/float64(service.slots))
			load.Wait = time.Duration(len(service.queue)) * work / time.Duration(service.slots)
		}
		service.samples = append(service.samples, load)
		if len(service.samples) > int(statusAge/sampleInterval) {
			service.samples = service.samples[1:]
		}
	}
	p.After(sampleInterval, p.sample)
}

func (p *simulation) sendSteps(from int) {
	for to, splitter := range p.splitters {
		if to != from {
			splitter.Observe(anvilglade.IPv4{10, 0, 0, byte(from)}, true, p.splitters[from].Report(), p.clock())
		}
	}
	p.After(peerInterval, func() { p.sendSteps(from) })
}

func (p *simulation) arrive(shift bool) {
	if p.Now() >= phaseEnds[returned] {
		return
	}
	rate := utilisation * float64(slots*(hostCounts[0]+hostCounts[1])) / work.Seconds()
	r := &request{sim: p, shift: shift, sentAt: p.Now(), score: &p.scores[p.phase()]}
	r.score.sent++
	r.try(1)
	p.After(time.Duration(p.random.ExpFloat64()/rate*float64(time.Second)), func() { p.arrive(shift) })
}

type request struct {
	sim    *simulation
	shift  bool
	sentAt time.Duration
	score  *score
	// own is set for requests that the weights send to the second service at once.
	own bool
}

// try sends the request on a new flow through a random balancer.
func (r *request) try(number int) {
	p := r.sim
	balancer := p.random.IntN(balancers)
	splitter := p.splitters[balancer]
	if r.shift && splitter.Due(p.route, p.clock()) {
		splitter.Evaluate(p.route, []agsplit.Load{p.services[0].samples[0], p.services[1].samples[0]}, p.clock())
		if changes := splitter.TakeChanges(); balancer == 0 {
			p.follow(changes)
		}
	}
	flow := anvilglade.Flow{Caller: anvilglade.Endpoint{IP: anvilglade.IPv4{10, 1, byte(p.random.IntN(64)), byte(p.random.IntN(256))}, Port: uint16(p.random.IntN(1 << 16))}}
	choice := splitter.Select(p.route, flow)
	index := 0
	if choice.Service == p.route.Backends[1].Service {
		index = 1
	}
	if number == 1 && choice.Weighted == p.route.Backends[1].Service {
		r.own = true
		r.score.ownSent++
	}
	if p.flows < 1000 && number == 1 {
		p.flows++
		p.second += index
	}
	p.After(requestTime, func() { r.run(p.services[index], number) })
}

func (r *request) retry(number int) {
	if number < r.sim.tries {
		r.sim.After(requestTime, func() { r.try(number + 1) })
	}
}

func (r *request) run(at *service, number int) {
	if at.slots == 0 {
		r.retry(number)
		return
	}
	if at.working >= at.slots {
		at.queue = append(at.queue, func() { r.serve(at) })
		return
	}
	r.serve(at)
}

func (r *request) serve(at *service) {
	// A lognormal distribution whose standard deviation is half the mean.
	const sigma = 0.47
	at.working++
	r.sim.After(time.Duration(float64(work)*math.Exp(sigma*r.sim.random.NormFloat64()-sigma*sigma/2)), func() {
		at.working--
		r.finish()
		for len(at.queue) > 0 && at.working < at.slots {
			next := at.queue[0]
			at.queue = at.queue[1:]
			next()
		}
	})
}

func (r *request) finish() {
	if r.sim.Now()-r.sentAt > target {
		return
	}
	r.score.inTime++
	if r.own {
		r.score.ownInTime++
	}
}

// follow records the steps of the first service.
func (p *simulation) follow(changes []agsplit.Change) {
	for _, change := range changes {
		if rising := change.Step > change.Former; rising != p.rising {
			p.rising = rising
			p.directions[p.phase()]++
		}
		p.step = change.Step
		if p.step == 0 {
			p.backAt = p.Now()
		}
	}
}

// capacity returns the number of requests that the hosts can serve in a phase, at most
// those that were sent.
func (p *simulation) capacity(phase int) float64 {
	start := time.Duration(0)
	if phase > 0 {
		start = phaseEnds[phase-1]
	}
	running := hostCounts[1] + runningHosts[phase]
	able := float64(running*slots) * float64(phaseEnds[phase]-start) / float64(work)
	return min(able, float64(p.scores[phase].sent))
}

func (s *score) own() float64 {
	return float64(s.ownInTime) / float64(s.ownSent)
}

// served returns the share of what the hosts can serve in a phase that was served in time.
func (p *simulation) served(phase int) float64 {
	return float64(p.scores[phase].inTime) / p.capacity(phase)
}

const (
	seeds = 3
	// minServed is the share of what the hosts of both services can serve.
	minServed = 0.95
)

// Guards against weights that do not hold in calm, capacity of the second service that
// is left idle while the first has too little, harm to the second service's own callers,
// and steps that oscillate or do not end when the capacity returns.
func TestSplitUnderLostCapacity(t *testing.T) {
	const harm, weightMargin, backWithin = 0.01, 20, 10 * time.Second
	for _, tries := range []int{3, 1} {
		for seed := range uint64(seeds) {
			with, without := simulate(true, tries, seed), simulate(false, tries, seed)
			if with.second < 100-weightMargin || with.second > 100+weightMargin {
				t.Errorf("seed %d: %d of 1000 flows went to the second service in calm, want 100±%d", seed, with.second, weightMargin)
			}
			t.Logf("tries %d seed %d: %d of 1000 flows went to the second service in calm, the first service was back after %s", tries, seed, with.second, with.backAt-phaseEnds[allLost])
			for phase := range phases {
				own, calmOwn := with.scores[phase].own(), with.scores[calm].own()
				t.Logf("tries %d seed %d phase %d: in time %.4f (weights only %.4f), own callers %.4f (%.4f), changes of direction %d",
					tries, seed, phase, with.served(phase), without.served(phase), own, without.scores[phase].own(), with.directions[phase])
				if share := with.served(phase); phase != allLost && share < minServed {
					t.Errorf("tries %d seed %d phase %d: %.4f was served in time, want %.2f", tries, seed, phase, share, minServed)
				}
				if own < calmOwn-harm {
					t.Errorf("tries %d seed %d phase %d: own callers were served in time by %.4f, in calm by %.4f", tries, seed, phase, own, calmOwn)
				}
			}
			if with.step != 0 || with.backAt > phaseEnds[allLost]+backWithin {
				t.Errorf("tries %d seed %d: step %d at the end, last above 0 at %s", tries, seed, with.step, with.backAt)
			}
			if with.directions[returned] > 1 {
				t.Errorf("tries %d seed %d: %d changes of direction after the capacity returned", tries, seed, with.directions[returned])
			}
		}
	}
}

// Guards against capacity of the second service that is left idle while the first has no
// host.
func TestSplitWithoutFirstService(t *testing.T) {
	for _, tries := range []int{3, 1} {
		for seed := range uint64(seeds) {
			if share := simulate(true, tries, seed).served(allLost); share < minServed {
				t.Errorf("tries %d seed %d: %.4f was served in time, want %.2f", tries, seed, share, minServed)
			}
		}
	}
}
