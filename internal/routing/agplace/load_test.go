package agplace_test

import (
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/routing/agplace"
	"github.com/anvilglade/anvilglade/internal/stand/agschedule"
)

// load describes a simulated load of callers that open a flow for each request and
// retry immediately when the flow is reset.
type load struct {
	balancers int
	hosts     int
	slots     int
	// failingHosts is the number of hosts that reset each request immediately.
	failingHosts int
	// rate is the number of new requests per second.
	rate   float64
	work   time.Duration
	length time.Duration
	tries  int
	// statusInterval is the time between two statuses of a host.
	statusInterval time.Duration
}

const (
	// answerTime is the time from a placement until the balancer receives that the
	// host has taken the flow, requestTime that until the request arrives.
	answerTime  = 3 * time.Millisecond
	requestTime = 7 * time.Millisecond
	// drainTime is the time in which the last requests complete.
	drainTime = time.Second
	// outcomeWeight is the weight of one request in the average share of failures.
	outcomeWeight = 0.1
	// failingThreshold is the share of failed requests at which a host sends a
	// status without waiting for the interval.
	failingThreshold = 0.25
)

type simulatedHost struct {
	flows, working  int
	failing         float64
	reportedFailing bool
	// queue holds the requests that wait for a slot.
	queue []func()
}

type simulation struct {
	agschedule.Schedule
	load
	random *rand.Rand
	state  []simulatedHost
	// views holds the options as each balancer has last received them.
	views          [][]agplace.Option
	sent, answered int
}

// simulate runs a load and returns the share of callers that receive an answer.
func simulate(l load, seed uint64) float64 {
	p := &simulation{load: l, random: rand.New(rand.NewPCG(seed, seed)), state: make([]simulatedHost, l.hosts), views: make([][]agplace.Option, l.balancers)}
	for b := range p.views {
		p.views[b] = make([]agplace.Option, l.hosts)
		for h := range l.hosts {
			p.updateView(b, h)
		}
	}
	for h := range l.hosts {
		p.After(time.Duration(p.random.Int64N(int64(l.statusInterval))), func() { p.sendStatuses(h) })
	}
	p.sendRequests()
	p.Run(l.length + drainTime)
	return float64(p.answered) / float64(p.sent)
}

func (p *simulation) sendStatus(h int) {
	for b := range p.views {
		p.updateView(b, h)
		p.views[b][h].Failing = p.state[h].failing
	}
}

func (p *simulation) sendStatuses(h int) {
	p.sendStatus(h)
	p.After(p.statusInterval, func() { p.sendStatuses(h) })
}

// reportChange sends a status when a host starts or stops failing.
func (p *simulation) reportChange(h int) {
	host := &p.state[h]
	if failing := host.failing >= failingThreshold; failing != host.reportedFailing {
		host.reportedFailing = failing
		p.After(answerTime, func() { p.sendStatus(h) })
	}
}

func (p *simulation) updateView(b, h int) {
	option := &p.views[b][h]
	option.Agent, option.Slots, option.Local = anvilglade.IPv4{10, 0, 0, byte(h)}, anvilglade.Slots(p.slots), true
	option.Flows, option.ActiveRequests = p.state[h].flows, p.state[h].working
}

func (p *simulation) sendRequests() {
	if p.Now() >= p.length {
		return
	}
	p.sent++
	p.try(p.tries)
	p.After(time.Duration(p.random.ExpFloat64()/p.rate*float64(time.Second)), p.sendRequests)
}

// try places the flow of a request by the view of one random balancer.
func (p *simulation) try(left int) {
	b := p.random.IntN(p.balancers)
	for h := range p.views[b] {
		p.views[b][h].Order = p.random.Uint64()
	}
	h := int(agplace.Rank(nil, p.views[b])[0][3])
	p.views[b][h].Flows++
	p.state[h].flows++
	p.After(answerTime, func() { p.updateView(b, h) })
	p.After(requestTime, func() { p.request(h, left) })
}

func (p *simulation) request(h, left int) {
	host := &p.state[h]
	if h < p.failingHosts {
		host.flows--
		host.failing += outcomeWeight * (1 - host.failing)
		p.reportChange(h)
		if left > 1 {
			p.try(left - 1)
		}
		return
	}
	host.working++
	if host.working > p.slots {
		host.queue = append(host.queue, func() { p.serve(h) })
		return
	}
	p.serve(h)
}

func (p *simulation) serve(h int) {
	// A lognormal distribution whose standard deviation is half the mean.
	const sigma = 0.47
	serviceTime := time.Duration(float64(p.work) * math.Exp(sigma*p.random.NormFloat64()-sigma*sigma/2))
	p.After(serviceTime, func() {
		host := &p.state[h]
		host.working--
		host.flows--
		host.failing -= outcomeWeight * host.failing
		p.reportChange(h)
		p.answered++
		if len(host.queue) > 0 {
			next := host.queue[0]
			host.queue = host.queue[1:]
			next()
		}
	})
}

var _ = Describe("Placement under load", func() {
	// Guards against hosts that reset each request immediately and attract new flows
	// because they have no requests in progress. Callers try up to three times;
	// at most one request in a hundred may be lost before balancers receive that
	// the hosts fail.
	It("places few flows on hosts that fail", func() {
		for seed := range uint64(3) {
			share := simulate(load{
				balancers: 6, hosts: 24, slots: 2, failingHosts: 3, rate: 1000, work: 25 * time.Millisecond,
				length: 6 * time.Second, tries: 3, statusInterval: 250 * time.Millisecond,
			}, seed)
			Expect(share).To(BeNumerically(">", 0.99))
		}
	})
})
