// Package agadmit decides what a backend server can bear.
//
// A Host counts what is in progress at its backend server and limits it to the
// lowest of three numbers: the slots of the pool, an adaptive limit, and the
// ramp of a server that is cold. All three follow from what the host itself
// sees: requests in progress, how they end and how long they take. Reported
// health is not consulted, because it lags or misleads.
//
// The adaptive limit rises by one for each limit's worth of completions at
// normal latency and falls by a factor on failures, time-outs, shed answers and
// high latency. The ramp starts at the pool's InitialConcurrency and rises by
// one after CompletionsPerStep completions at steady latency. It rises with work
// done and not with time, because a server that gets little work stays cold. A
// jump in latency, a burst of failures or a refused connection restarts it.
//
// There is no queue: work that cannot start now is refused with a reason.
//
// # Usage
//
//	host, stop, err := agadmit.NewHost(agadmit.Options{Clock: anvilglade.SystemClock{}})
//	if err != nil {
//		return err
//	}
//	defer stop()
//	host.SetPool("alerts", pool)
//	refusal, done := host.StartRequest("alerts")
//	if refusal == anvilglade.RefusalNone {
//		done(send())
//	}
package agadmit

import (
	"math"
	"sync"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
)

// Limits of a pool that sets none.
const (
	DefaultSlots              anvilglade.Slots       = 4
	DefaultConnections        anvilglade.Connections = 2000
	DefaultInitialConcurrency anvilglade.Slots       = 1
	DefaultCompletionsPerStep                        = 10
)

// Options are the parts of a Host.
type Options struct {
	Host  anvilglade.HostID
	Clock anvilglade.Clock
	// Events gets ServerTurnedCold and ServerWarm; may be nil.
	Events anvilglade.Recorder
}

// Host admits work for one backend server. It is safe for concurrent use.
type Host struct {
	options Options

	mu      sync.Mutex
	service anvilglade.ServiceID
	pool    anvilglade.Pool
	closed  anvilglade.Refusal

	flows    anvilglade.Connections
	busy     busy
	requests map[*request]struct{}
	adaptive adaptive
	ramp     ramp
	latency  latency
	breaker  breaker
	counts   Counts
}

var _ anvilglade.Admitter = (*Host)(nil)

// Counts are the totals of a Host.
type Counts struct {
	FlowsOpened, RequestsStarted, TurnedCold uint64
	Refused                                  map[anvilglade.Refusal]uint64
}

// State is a copy of what a Host knows, for the admin listener.
type State struct {
	Service             anvilglade.ServiceID
	Flows               anvilglade.Connections
	Requests            int
	Limit               int
	AdaptiveLimit       float64
	RampLimit           int
	Cold                bool
	NormalLatencyMillis float64
	Utilisation         anvilglade.Utilisation
	Counts              Counts
}

// request is one request in progress.
type request struct {
	started time.Time
	// phase is the ramp phase in which the request started. Completions of an
	// earlier phase say nothing about the present one.
	phase uint64
	// probe is set for requests that an open circuit breaker let through.
	probe bool
}

// NewHost returns a host that refuses all work until SetPool is called. The
// returned function closes it for new work.
func NewHost(options Options) (*Host, func(), error) {
	h := &Host{options: options, requests: make(map[*request]struct{})}
	h.counts.Refused = make(map[anvilglade.Refusal]uint64)
	return h, func() { h.SetClosed(anvilglade.RefusalDraining) }, nil
}

// SetPool sets the service and its limits. Limits that are zero get defaults.
// Work in progress is not affected. A new service starts cold.
func (h *Host) SetPool(service anvilglade.ServiceID, pool anvilglade.Pool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	pool = withDefaults(pool)
	fresh := h.service != service
	h.service, h.pool = service, pool
	if fresh {
		h.breaker = breaker{}
		h.adaptive.restart(pool.Slots)
		h.latency = latency{}
		h.ramp.restart(pool.ColdStart.InitialConcurrency)
	}
	h.adaptive.clamp(pool.Slots)
}

func withDefaults(pool anvilglade.Pool) anvilglade.Pool {
	if pool.Slots <= 0 {
		pool.Slots = DefaultSlots
	}
	if pool.Connections <= 0 {
		pool.Connections = DefaultConnections
	}
	if pool.ColdStart.InitialConcurrency <= 0 {
		pool.ColdStart.InitialConcurrency = DefaultInitialConcurrency
	}
	if pool.ColdStart.CompletionsPerStep <= 0 {
		pool.ColdStart.CompletionsPerStep = DefaultCompletionsPerStep
	}
	return pool
}

// SetClosed refuses all new work with a reason, or opens the host again with
// RefusalNone. Flows and requests in progress go on. A server that was out of
// service for a while may have become cold, so its ramp restarts.
func (h *Host) SetClosed(reason anvilglade.Refusal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed != anvilglade.RefusalNone && reason == anvilglade.RefusalNone && h.service != "" {
		h.turnCold("out of service before")
	}
	h.closed = reason
}

// OpenFlow implements anvilglade.Admitter.
func (h *Host) OpenFlow(service anvilglade.ServiceID) (anvilglade.Refusal, func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if refusal := h.admits(service); refusal != anvilglade.RefusalNone {
		return h.refuse(refusal), nil
	}
	if h.flows >= h.pool.Connections {
		return h.refuse(anvilglade.RefusalConnections), nil
	}
	h.flows++
	h.counts.FlowsOpened++
	return anvilglade.RefusalNone, sync.OnceFunc(h.closeFlow)
}

func (h *Host) closeFlow() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.flows--
}

// StartRequest implements anvilglade.Admitter.
func (h *Host) StartRequest(service anvilglade.ServiceID) (anvilglade.Refusal, func(anvilglade.Outcome)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if refusal := h.admits(service); refusal != anvilglade.RefusalNone {
		return h.refuse(refusal), nil
	}
	now := h.options.Clock.Now()
	h.watchStalls(now)
	if refusal := h.full(now); refusal != anvilglade.RefusalNone {
		return h.refuse(refusal), nil
	}
	entry := &request{started: now, phase: h.ramp.phase, probe: h.breaker.start()}
	h.busy.advance(now, len(h.requests))
	h.requests[entry] = struct{}{}
	h.counts.RequestsStarted++
	var once sync.Once
	return anvilglade.RefusalNone, func(outcome anvilglade.Outcome) {
		once.Do(func() { h.finish(entry, outcome) })
	}
}

// full names the lowest limit that is reached.
func (h *Host) full(now time.Time) anvilglade.Refusal {
	inProgress := len(h.requests)
	switch {
	case !h.breaker.allows(now):
		return anvilglade.RefusalFailing
	case inProgress >= int(h.pool.Slots):
		return anvilglade.RefusalSlots
	case h.ramp.cold && inProgress >= h.ramp.limit:
		return anvilglade.RefusalCold
	case inProgress >= int(h.pool.ColdStart.InitialConcurrency) && h.held(now):
		return anvilglade.RefusalCold
	case inProgress >= h.adaptive.whole():
		return anvilglade.RefusalLimit
	}
	return anvilglade.RefusalNone
}

func (h *Host) admits(service anvilglade.ServiceID) anvilglade.Refusal {
	if h.closed != anvilglade.RefusalNone {
		return h.closed
	}
	if service != h.service || service == "" {
		return anvilglade.RefusalOut
	}
	return anvilglade.RefusalNone
}

func (h *Host) refuse(refusal anvilglade.Refusal) anvilglade.Refusal {
	h.counts.Refused[refusal]++
	return refusal
}

func (h *Host) finish(entry *request, outcome anvilglade.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	inProgress := len(h.requests)
	now := h.options.Clock.Now()
	h.busy.advance(now, inProgress)
	delete(h.requests, entry)
	h.judge(now, entry, outcome)
	reaction := reactions[outcome]
	if reaction == nil {
		reaction = (*Host).onFailed
	}
	reaction(h, now, entry, inProgress)
}

// judge gives the outcome to the circuit breaker.
func (h *Host) judge(now time.Time, entry *request, outcome anvilglade.Outcome) {
	switch outcome {
	case anvilglade.OutcomeShed, anvilglade.OutcomeCanceled:
		h.breaker.release(entry.probe)
	default:
		if h.breaker.observe(now, entry.probe, outcome) {
			h.record(agevent.ServerFailing, "")
		}
	}
}

// limit returns the number of requests that may be in progress now.
func (h *Host) limit() int {
	limit := min(int(h.pool.Slots), h.adaptive.whole())
	if h.ramp.cold {
		limit = min(limit, h.ramp.limit)
	}
	return limit
}

// Utilisation implements anvilglade.Admitter. Requests count by their average
// over the last seconds, as a host with 4 slots shows only multiples of 250 at
// one moment; a host that can start nothing now is full. A cold server's ramp
// and the adaptive limit count as its capacity, so that it looks full to the
// others while it can bear only little.
func (h *Host) Utilisation() anvilglade.Utilisation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.utilisation()
}

func (h *Host) utilisation() anvilglade.Utilisation {
	if h.closed != anvilglade.RefusalNone {
		return anvilglade.FullUtilisation
	}
	if len(h.requests) >= h.limit() || h.breaker.open {
		return anvilglade.FullUtilisation
	}
	h.busy.advance(h.options.Clock.Now(), len(h.requests))
	requests := part(h.busy.average, h.limit())
	flows := part(float64(h.flows), int(h.pool.Connections))
	return max(requests, flows)
}

func part(used float64, capacity int) anvilglade.Utilisation {
	full := float64(anvilglade.FullUtilisation)
	return anvilglade.Utilisation(math.Round(min(full, used*full/float64(max(1, capacity)))))
}

// State returns a copy of what the host knows.
func (h *Host) State() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := h.counts
	counts.Refused = make(map[anvilglade.Refusal]uint64, len(h.counts.Refused))
	for refusal, count := range h.counts.Refused {
		counts.Refused[refusal] = count
	}
	return State{
		Service: h.service, Flows: h.flows, Requests: len(h.requests), Limit: h.limit(),
		AdaptiveLimit: h.adaptive.limit, RampLimit: h.ramp.limit, Cold: h.ramp.cold,
		NormalLatencyMillis: h.latency.normal * 1000, Utilisation: h.utilisation(), Counts: counts,
	}
}

func (h *Host) record(kind anvilglade.EventType, detail string) {
	if h.options.Events != nil {
		h.options.Events.Record(anvilglade.Event{Type: kind, Host: h.options.Host, Service: h.service, Detail: detail})
	}
}
