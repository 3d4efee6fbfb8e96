package agcaller

// Streams of requests from a fixed set of callers. The load is open: requests
// start at their time whether or not earlier ones have ended.

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
)

// LoadOptions describe a stream of requests.
type LoadOptions struct {
	Name    string
	Service string
	Address netip.AddrPort
	// Sources are the IPs of the callers, one connection each.
	Sources []netip.Addr
	// Rate is the number of requests a second over all callers.
	Rate float64
	// Count ends the stream after this many requests; 0 means Stop ends it.
	Count int
	// MinSize and MaxSize bound the body of a response; sizes are uniform in
	// the logarithm.
	MinSize, MaxSize int
	Work             time.Duration
	Timeout          time.Duration
	// Reports sends job reports instead of GETs, with tickets if Tickets.
	Reports bool
	Tickets bool
	// CancelShare is the part of the requests that the caller cancels after a
	// quarter of the work.
	CancelShare float64
	// ReconnectShare is the part of the requests after which the caller closes
	// its connection and opens another for the next one.
	ReconnectShare float64
	// Uneven draws the callers with weights of a Pareto distribution.
	Uneven bool
	// Sends is how often a caller sends a GET that got no answer; at least 1.
	Sends int
	Seed  uint64
}

// maxOutstanding bounds the requests of a stream that wait for an answer.
const maxOutstanding = 8192

// Load is a running stream of requests.
type Load struct {
	options LoadOptions
	group   *agtask.Group
	stop    func()
	callers []*connection
	weights []float64
	done    chan struct{}
	halt    context.CancelFunc

	outstanding atomic.Int64
	skipped     atomic.Int64
	mu          sync.Mutex
	results     []Result
}

// NewLoad starts a stream. The returned function ends it and its connections.
func NewLoad(options LoadOptions) (*Load, func(), error) {
	if options.Rate <= 0 || len(options.Sources) == 0 {
		return nil, nil, fmt.Errorf("load %s needs a rate above 0 and a caller", options.Name)
	}
	group, stop, err := agtask.NewGroup(context.Background())
	if err != nil {
		return nil, nil, err
	}
	l := &Load{options: options, group: group, stop: stop, done: make(chan struct{})}
	for _, source := range options.Sources {
		l.callers = append(l.callers, newConnection(Target{Service: options.Service, Address: options.Address, Source: source}))
	}
	random := rand.New(rand.NewPCG(options.Seed, uint64(len(options.Name))))
	l.weights = weights(random, len(l.callers), options.Uneven)
	ctx, halt := context.WithCancel(group.Context())
	l.halt = halt
	if err := group.Start("load/"+options.Name, func(context.Context) error {
		defer close(l.done)
		l.produce(ctx, random)
		return nil
	}); err != nil {
		stop()
		return nil, nil, err
	}
	return l, l.close, nil
}

func (l *Load) close() {
	l.halt()
	l.stop()
	for _, caller := range l.callers {
		caller.close()
	}
}

// paretoShape gives the heaviest of a hundred callers roughly a tenth of the
// load.
const paretoShape = 1.3

func weights(random *rand.Rand, count int, uneven bool) []float64 {
	sums := make([]float64, count)
	sum := 0.0
	for i := range sums {
		weight := 1.0
		if uneven {
			weight = math.Pow(1-random.Float64(), -1/paretoShape)
		}
		sum += weight
		sums[i] = sum
	}
	return sums
}

func (l *Load) pick(random *rand.Rand) int {
	at := random.Float64() * l.weights[len(l.weights)-1]
	for i, sum := range l.weights {
		if at < sum {
			return i
		}
	}
	return len(l.callers) - 1
}

func (l *Load) produce(ctx context.Context, random *rand.Rand) {
	gap := time.Duration(float64(time.Second) / l.options.Rate)
	next := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for number := 0; l.options.Count == 0 || number < l.options.Count; number++ {
		timer.Reset(time.Until(next))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		next = next.Add(time.Duration(random.ExpFloat64() * float64(gap)))
		if l.outstanding.Load() >= maxOutstanding {
			l.skipped.Add(1)
			continue
		}
		item := l.order(random, number)
		caller := l.pick(random)
		l.outstanding.Add(1)
		if err := l.group.Start("request", func(ctx context.Context) error {
			defer l.outstanding.Add(-1)
			result := l.run(ctx, l.callers[caller], item)
			result.Caller = caller
			l.keep(result)
			if item.reconnect {
				l.callers[caller].leave()
			}
			return nil
		}); err != nil {
			l.outstanding.Add(-1)
			return
		}
	}
}

func (l *Load) order(random *rand.Rand, number int) *order {
	item := &order{
		seed:    fmt.Sprintf("%s-%d-%d", l.options.Name, l.options.Seed, number),
		work:    l.options.Work,
		timeout: l.options.Timeout,
		size:    l.options.MinSize,
	}
	if l.options.MaxSize > l.options.MinSize {
		low, high := math.Log1p(float64(l.options.MinSize)), math.Log1p(float64(l.options.MaxSize))
		item.size = int(math.Expm1(low + random.Float64()*(high-low)))
	}
	if l.options.CancelShare > 0 && random.Float64() < l.options.CancelShare {
		item.cancelAfter = max(l.options.Work/4, time.Millisecond)
	}
	item.reconnect = l.options.ReconnectShare > 0 && random.Float64() < l.options.ReconnectShare
	if l.options.Reports {
		item.report = item.seed + " brakes replaced, two hours of work"
	}
	return item
}

func (l *Load) run(ctx context.Context, caller *connection, item *order) Result {
	if l.options.Reports {
		return caller.report(ctx, item, l.options.Tickets)
	}
	first := time.Now()
	for sends := 1; ; sends++ {
		result := caller.send(ctx, item)
		result.Start, result.Sends = first, sends
		if result.Verdict != Lost || sends >= l.options.Sends || ctx.Err() != nil {
			return result
		}
	}
}

func (l *Load) keep(result Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, result)
}

// Wait waits until the stream has sent its requests and all have ended.
func (l *Load) Wait(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-l.done:
	}
	for l.outstanding.Load() > 0 && ctx.Err() == nil {
		time.Sleep(sendTick)
	}
}

// Stop sends no more requests and waits for those on their way.
func (l *Load) Stop(ctx context.Context) {
	l.halt()
	l.Wait(ctx)
}

// Results returns the finished requests, and how many did not start because too
// many were outstanding.
func (l *Load) Results() ([]Result, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Result(nil), l.results...), l.skipped.Load()
}

// Lost returns how many connections ended other than gracefully.
func (l *Load) Lost() int {
	lost := 0
	for _, caller := range l.callers {
		caller.mu.Lock()
		lost += caller.lost
		caller.mu.Unlock()
	}
	return lost
}
