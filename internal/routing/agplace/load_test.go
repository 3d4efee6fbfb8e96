package agplace_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/routing/agplace"
)

// load is a played load: callers that open a flow for each request, and try
// again at once when it is reset.
type load struct {
	balancers int
	hosts     int
	slots     int
	// liars is the number of hosts that reset each request at once.
	liars int
	// rate is the number of new requests a second.
	rate   float64
	work   time.Duration
	length time.Duration
	tries  int
	// statusInterval is the time between two statuses of a host.
	statusInterval time.Duration
}

const (
	// answerTime is the time from a placement until its balancer learns that
	// the host took the flow, requestTime until the request arrives.
	answerTime  = 3 * time.Millisecond
	requestTime = 7 * time.Millisecond
	// drainTime is the time for the last requests.
	drainTime = time.Second
	// outcomeWeight is the weight of one request in the share that fails.
	outcomeWeight = 0.1
	// failingNews is the share of failed requests that is told at once.
	failingNews = 0.25
)

// event is something that happens at a time of the played load.
type event struct {
	at time.Duration
	do func()
}

type schedule []event

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, j int) bool { return s[i].at < s[j].at }
func (s schedule) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)        { *s = append(*s, x.(event)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

type playedHost struct {
	flows, working int
	failing        float64
	told           bool
	// waiting are the callers in the queue.
	waiting []func()
}

type play struct {
	load
	random *rand.Rand
	now    time.Duration
	events schedule
	state  []playedHost
	// views are the options as each balancer knows them.
	views           [][]agplace.Option
	asked, answered int
}

// playLoad returns the share of callers that get an answer.
func playLoad(l load, seed uint64) float64 {
	p := &play{load: l, random: rand.New(rand.NewPCG(seed, seed)), state: make([]playedHost, l.hosts), views: make([][]agplace.Option, l.balancers)}
	for b := range p.views {
		p.views[b] = make([]agplace.Option, l.hosts)
		for h := range l.hosts {
			p.inform(b, h)
		}
	}
	for h := range l.hosts {
		p.after(time.Duration(p.random.Int64N(int64(l.statusInterval))), func() { p.repeatStatus(h) })
	}
	p.arrive()
	for len(p.events) > 0 && p.now < l.length+drainTime {
		next := heap.Pop(&p.events).(event)
		p.now = next.at
		next.do()
	}
	return float64(p.answered) / float64(p.asked)
}

func (p *play) after(d time.Duration, do func()) {
	heap.Push(&p.events, event{at: p.now + d, do: do})
}

func (p *play) status(h int) {
	for b := range p.views {
		p.inform(b, h)
		p.views[b][h].Failing = p.state[h].failing
	}
}

func (p *play) repeatStatus(h int) {
	p.status(h)
	p.after(p.statusInterval, func() { p.repeatStatus(h) })
}

// news tells at once that a host began to fail.
func (p *play) news(h int) {
	host := &p.state[h]
	if failing := host.failing >= failingNews; failing != host.told {
		host.told = failing
		p.after(answerTime, func() { p.status(h) })
	}
}

func (p *play) inform(b, h int) {
	seen := &p.views[b][h]
	seen.Agent, seen.Slots, seen.Local = anvilglade.IPv4{10, 0, 0, byte(h)}, anvilglade.Slots(p.slots), true
	seen.Flows, seen.Working = p.state[h].flows, p.state[h].working
}

func (p *play) arrive() {
	if p.now >= p.length {
		return
	}
	p.asked++
	p.try(p.tries)
	p.after(time.Duration(p.random.ExpFloat64()/p.rate*float64(time.Second)), p.arrive)
}

// try places the flow of a request by the knowledge of one balancer.
func (p *play) try(left int) {
	b := p.random.IntN(p.balancers)
	for h := range p.views[b] {
		p.views[b][h].Order = p.random.Uint64()
	}
	h := int(agplace.Rank(nil, p.views[b])[0][3])
	p.views[b][h].Flows++
	p.state[h].flows++
	p.after(answerTime, func() { p.inform(b, h) })
	p.after(requestTime, func() { p.request(h, left) })
}

func (p *play) request(h, left int) {
	host := &p.state[h]
	if h < p.liars {
		host.flows--
		host.failing += outcomeWeight * (1 - host.failing)
		p.news(h)
		if left > 1 {
			p.try(left - 1)
		}
		return
	}
	host.working++
	if host.working > p.slots {
		host.waiting = append(host.waiting, func() { p.serve(h) })
		return
	}
	p.serve(h)
}

func (p *play) serve(h int) {
	// A spread of half the mean, as of a lognormal distribution.
	const sigma = 0.47
	took := time.Duration(float64(p.work) * math.Exp(sigma*p.random.NormFloat64()-sigma*sigma/2))
	p.after(took, func() {
		host := &p.state[h]
		host.working--
		host.flows--
		host.failing -= outcomeWeight * host.failing
		p.news(h)
		p.answered++
		if len(host.waiting) > 0 {
			next := host.waiting[0]
			host.waiting = host.waiting[1:]
			next()
		}
	})
}

var _ = Describe("Placement under load", func() {
	// Guards against hosts that reset each request at once and draw new flows,
	// because they have no work in progress. Callers may try three times; what
	// is lost before the hosts are known to fail is a hundredth.
	It("keeps callers away from hosts that fail", func() {
		for seed := range uint64(3) {
			share := playLoad(load{
				balancers: 6, hosts: 24, slots: 2, liars: 3, rate: 1000, work: 25 * time.Millisecond,
				length: 6 * time.Second, tries: 3, statusInterval: 250 * time.Millisecond,
			}, seed)
			Expect(share).To(BeNumerically(">", 0.99))
		}
	})
})
