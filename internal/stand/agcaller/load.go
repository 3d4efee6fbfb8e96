package agcaller

// Streams of requests from a fixed set of callers. The load is open-loop: each
// request starts at its scheduled time, whether or not earlier ones have ended.

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
	// Sources holds the IP addresses of the callers, which have one connection
	// each.
	Sources []netip.Addr
	// Rate is the total number of requests per second of all callers.
	Rate float64
	// Count is the number of requests after which the stream ends; with 0 it
	// runs until Stop.
	Count int
	// MinSize and MaxSize bound the size of a response body in bytes; the
	// logarithm of the size is uniformly distributed.
	MinSize, MaxSize int
	Work             time.Duration
	Timeout          time.Duration
	// Reports selects job reports instead of GET requests; Tickets sends them
	// under tickets.
	Reports bool
	Tickets bool
	// CancelShare is the share of the requests that the caller cancels after a
	// quarter of Work.
	CancelShare float64
	// ReconnectShare is the share of the requests after which the caller
	// retires its connection and opens another for the next request.
	ReconnectShare float64
	// Uneven selects callers with weights from a Pareto distribution.
	Uneven bool
	// Sends is how often a caller sends a GET request that receives no answer;
	// at least 1.
	Sends int
	Seed  uint64
}

// maxOutstanding is the maximum number of requests of a stream that wait for an
// answer.
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

// NewLoad starts a stream of requests. The returned function stops it and closes
// its connections. It returns an error without a source or with a rate of 0 or
// less.
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

// paretoShape is the shape parameter of the caller weights. With it, the heaviest
// of a hundred callers causes roughly a tenth of the load.
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
		item := l.requestSpec(random, number)
		caller := l.pick(random)
		l.outstanding.Add(1)
		if err := l.group.Start("request", func(ctx context.Context) error {
			defer l.outstanding.Add(-1)
			result := l.run(ctx, l.callers[caller], item)
			result.Caller = caller
			l.addResult(result)
			if item.reconnect {
				l.callers[caller].retire()
			}
			return nil
		}); err != nil {
			l.outstanding.Add(-1)
			return
		}
	}
}

func (l *Load) requestSpec(random *rand.Rand, number int) *requestSpec {
	item := &requestSpec{
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

func (l *Load) run(ctx context.Context, caller *connection, item *requestSpec) Result {
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

func (l *Load) addResult(result Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, result)
}

// Wait waits until the stream has sent its last request and all requests have
// ended, or until ctx ends.
func (l *Load) Wait(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-l.done:
	}
	for l.outstanding.Load() > 0 && ctx.Err() == nil {
		time.Sleep(sendInterval)
	}
}

// Stop ends the stream and waits for the outstanding requests.
func (l *Load) Stop(ctx context.Context) {
	l.halt()
	l.Wait(ctx)
}

// Results returns the finished requests, and the number of requests that were
// skipped because maxOutstanding others were outstanding.
func (l *Load) Results() ([]Result, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Result(nil), l.results...), l.skipped.Load()
}

// Lost returns the number of connections that did not end gracefully.
func (l *Load) Lost() int {
	lost := 0
	for _, caller := range l.callers {
		caller.mu.Lock()
		lost += caller.lost
		caller.mu.Unlock()
	}
	return lost
}
