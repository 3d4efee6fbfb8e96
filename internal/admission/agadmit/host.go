// Package agadmit limits the work of a backend server to what it can handle.
//
// A Host counts the requests in progress at its backend server and limits them to
// the lowest of three numbers: the slots of the pool, an adaptive limit, and the
// ramp of a cold server. The last two are derived from what the host observes
// itself: the requests in progress, their outcomes and their latency. Health that
// the server reports is not used, because it lags behind or is wrong.
//
// The adaptive limit rises by one after as many completions at normal latency as
// the limit allows in parallel. It is multiplied by a factor below one on
// failures, time-outs, shed requests and high latency. The ramp starts at the
// pool's InitialConcurrency and rises by one after CompletionsPerStep completions
// at steady latency. It depends on completed work and not on time, because a
// server that receives little work stays cold. A jump in latency, consecutive
// failures or a refused connection restarts the ramp.
//
// There is no queue: work that cannot start immediately is refused with a reason.
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

// Options are the settings and dependencies of a Host.
type Options struct {
	Host  anvilglade.HostID
	Clock anvilglade.Clock
	// Events receives ServerTurnedCold, ServerWarm and ServerFailing; may be nil.
	Events anvilglade.Recorder
}

// Host admits work for one backend server. It is safe for concurrent use.
type Host struct {
	options Options

	mu      sync.Mutex
	service anvilglade.ServiceID
	pool    anvilglade.Pool
	// closedReason is the reason for refusing all new work, RefusalNone if the
	// host is open.
	closedReason anvilglade.Refusal

	flows          anvilglade.Connections
	requestAverage requestAverage
	requests       map[*request]struct{}
	adaptive       adaptive
	ramp           ramp
	latency        latency
	breaker        breaker
	counts         Counts
}

var _ anvilglade.Admitter = (*Host)(nil)

// Counts are the totals of a Host.
type Counts struct {
	FlowsOpened, RequestsStarted, TurnedCold uint64
	Refused                                  map[anvilglade.Refusal]uint64
}

// State is a copy of the state of a Host, for the admin listener.
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
	// earlier phase do not count in the current one.
	phase uint64
	// probe is set if the circuit breaker was open when the request started.
	probe bool
}

// NewHost returns a host that refuses all work until SetPool is called. The
// returned function makes it refuse new work again. The error is always nil.
func NewHost(options Options) (*Host, func(), error) {
	h := &Host{options: options, requests: make(map[*request]struct{})}
	h.counts.Refused = make(map[anvilglade.Refusal]uint64)
	return h, func() { h.SetClosed(anvilglade.RefusalDraining) }, nil
}

// SetPool sets the service and its limits. Limits that are zero take their default
// values. Work in progress is not affected. A new service starts cold.
func (h *Host) SetPool(service anvilglade.ServiceID, pool anvilglade.Pool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	pool = withDefaults(pool)
	newService := h.service != service
	h.service, h.pool = service, pool
	if newService {
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

// SetClosed makes the host refuse all new work with the given reason, or accept work
// again if the reason is RefusalNone. Flows and requests in progress continue. When
// the host accepts work again, the ramp restarts, because the server may have become
// cold while it was out of service.
func (h *Host) SetClosed(reason anvilglade.Refusal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closedReason != anvilglade.RefusalNone && reason == anvilglade.RefusalNone && h.service != "" {
		h.turnCold("out of service before")
	}
	h.closedReason = reason
}

// OpenFlow implements anvilglade.Admitter.
func (h *Host) OpenFlow(service anvilglade.ServiceID) (anvilglade.Refusal, func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if refusal := h.serviceRefusal(service); refusal != anvilglade.RefusalNone {
		return h.countRefusal(refusal), nil
	}
	if h.flows >= h.pool.Connections {
		return h.countRefusal(anvilglade.RefusalConnections), nil
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
	if refusal := h.serviceRefusal(service); refusal != anvilglade.RefusalNone {
		return h.countRefusal(refusal), nil
	}
	now := h.options.Clock.Now()
	h.checkStalls(now)
	if refusal := h.limitReached(now); refusal != anvilglade.RefusalNone {
		return h.countRefusal(refusal), nil
	}
	entry := &request{started: now, phase: h.ramp.phase, probe: h.breaker.start()}
	h.requestAverage.update(now, len(h.requests))
	h.requests[entry] = struct{}{}
	h.counts.RequestsStarted++
	var once sync.Once
	return anvilglade.RefusalNone, func(outcome anvilglade.Outcome) {
		once.Do(func() { h.finish(entry, outcome) })
	}
}

// limitReached returns the limit for which no request may start now, or RefusalNone.
func (h *Host) limitReached(now time.Time) anvilglade.Refusal {
	inProgress := len(h.requests)
	switch {
	case !h.breaker.allows(now):
		return anvilglade.RefusalFailing
	case inProgress >= int(h.pool.Slots):
		return anvilglade.RefusalSlots
	case h.ramp.cold && inProgress >= h.ramp.limit:
		return anvilglade.RefusalCold
	case inProgress >= int(h.pool.ColdStart.InitialConcurrency) && h.likelyCold(now):
		return anvilglade.RefusalCold
	case inProgress >= h.adaptive.floor():
		return anvilglade.RefusalLimit
	}
	return anvilglade.RefusalNone
}

func (h *Host) serviceRefusal(service anvilglade.ServiceID) anvilglade.Refusal {
	if h.closedReason != anvilglade.RefusalNone {
		return h.closedReason
	}
	if service != h.service || service == "" {
		return anvilglade.RefusalOut
	}
	return anvilglade.RefusalNone
}

func (h *Host) countRefusal(refusal anvilglade.Refusal) anvilglade.Refusal {
	h.counts.Refused[refusal]++
	return refusal
}

func (h *Host) finish(entry *request, outcome anvilglade.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	inProgress := len(h.requests)
	now := h.options.Clock.Now()
	h.requestAverage.update(now, inProgress)
	delete(h.requests, entry)
	h.reportToBreaker(now, entry, outcome)
	reaction := outcomeHandlers[outcome]
	if reaction == nil {
		reaction = (*Host).onFailed
	}
	reaction(h, now, entry, inProgress)
}

// reportToBreaker reports the outcome of a request to the circuit breaker.
func (h *Host) reportToBreaker(now time.Time, entry *request, outcome anvilglade.Outcome) {
	switch outcome {
	case anvilglade.OutcomeShed, anvilglade.OutcomeCanceled:
		h.breaker.cancelProbe(entry.probe)
	default:
		if h.breaker.observe(now, entry.probe, outcome) {
			h.record(agevent.ServerFailing, "")
		}
	}
}

// limit returns the number of requests that may be in progress now.
func (h *Host) limit() int {
	limit := min(int(h.pool.Slots), h.adaptive.floor())
	if h.ramp.cold {
		limit = min(limit, h.ramp.limit)
	}
	return limit
}

// Utilisation implements anvilglade.Admitter. Requests in progress are averaged over
// the last seconds, because the momentary value of a host with 4 slots is always a
// multiple of 250. A host that can start no request now reports full utilisation.
// The capacity is the limit after the ramp and the adaptive limit, so that a server
// which can handle little work reports a high utilisation.
func (h *Host) Utilisation() anvilglade.Utilisation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.utilisation()
}

func (h *Host) utilisation() anvilglade.Utilisation {
	if h.closedReason != anvilglade.RefusalNone {
		return anvilglade.FullUtilisation
	}
	if len(h.requests) >= h.limit() || h.breaker.open {
		return anvilglade.FullUtilisation
	}
	h.requestAverage.update(h.options.Clock.Now(), len(h.requests))
	requests := share(h.requestAverage.average, h.limit())
	flows := share(float64(h.flows), int(h.pool.Connections))
	return max(requests, flows)
}

func share(used float64, capacity int) anvilglade.Utilisation {
	full := float64(anvilglade.FullUtilisation)
	return anvilglade.Utilisation(math.Round(min(full, used*full/float64(max(1, capacity)))))
}

// State returns a copy of the host's state.
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
