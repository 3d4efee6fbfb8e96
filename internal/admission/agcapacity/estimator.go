// Package agcapacity estimates at an agent how fast its host works and how long a
// new request has to wait there.
//
// An Estimator is a queueing model of one host. A backend server runs as many
// requests at once as it has slots; the next ones wait in the order of arrival; when
// its queue is full, it answers further ones at once with a response that they have
// not run. The agent reports the arrival, the answer and the end of each request, and
// the model follows which of them run. From this it derives
//
//   - the service time, which is the mean time for which a request occupies a slot,
//   - the queue limit, which is the number of outstanding requests at which the host
//     sheds further ones,
//   - the wait of a request that arrives next, and the rate of requests.
//
// Nothing that the host reports is used except the number of its slots. The service
// time is the mean over about two seconds, in which a single long request has a
// limited weight. It rises within a second when the host slows down, also if the host
// answers nothing, and falls over several seconds when the host recovers.
//
// The agent may see an order that differs from the host's: packets that arrive within
// a millisecond or two may be read in another order, answers may be missed, and
// callers leave without an answer. A request that is answered while it waits in the
// model is taken for shed only if it was answered at once. Otherwise it has taken the
// place of a request that arrived at nearly the same time, or the answer to the oldest
// running request was missed. The model is corrected accordingly, and a request whose
// start is not known gives no sample.
//
// An agent that has just started has no record of the requests that its host already
// has, so requests of the first half second give no sample. The service time is 0
// until there are enough samples.
//
// Memory is bounded by the largest number of outstanding requests. An Estimator takes
// the time as a parameter and is not safe for concurrent use.
//
// # Usage
//
//	estimator := agcapacity.NewEstimator(slots)
//	holder.Observer = estimator
//	estimator.SetSlots(heartbeat.Slots, now)
//	wait := estimator.Wait(holder.NewFlows(), now)
//	serviceTime := estimator.ServiceTime(now)
package agcapacity

import (
	"time"

	"github.com/anvilglade/anvilglade"
)

// Result is the outcome of a request, as far as its answer shows it.
type Result string

// Results of an answer.
const (
	// ResultServed is a request that the host has run.
	ResultServed Result = "Served"
	// ResultShed is a request that the host has refused because its queue was full.
	ResultShed Result = "Shed"
	// ResultUnknown is a request that the model does not have, or does not have any more,
	// or any request while the number of slots is unknown.
	ResultUnknown Result = "Unknown"
)

const (
	// settleTime is the time after the first request in which requests give no
	// sample, because the host may have others that the agent has not seen. It is
	// longer than a host needs to empty a full queue if it is five times slower than usual.
	settleTime = 500 * time.Millisecond
	// swapWindow is the difference in arrival up to which the host may have read two
	// requests in the other order.
	swapWindow = 2 * time.Millisecond
	// minShedTime and maxShedTime limit the time within which a host that sheds a
	// request has answered it: a fraction of a millisecond on the same VM, longer if
	// the VM's processor is busy.
	minShedTime = 2 * time.Millisecond
	maxShedTime = 20 * time.Millisecond
	// defaultTimeout is the time for which the caller of a request whose class has no
	// timeout is assumed to wait at most.
	defaultTimeout = 10 * time.Second
)

var (
	_ anvilglade.RequestObserver = (*Estimator)(nil)
	_ anvilglade.HostLoad        = (*Estimator)(nil)
)

// Estimator is the model of one host.
type Estimator struct {
	// OnResult, if set, is called with the class of each answered request and the
	// result of the answer. The class of an unknown request is the zero value.
	OnResult func(class anvilglade.RequestClass, result Result, now time.Time)
	slots    int
	requests requestQueue
	service  serviceTime
	limit    queueLimit
	rate     requestRate
	// settledAt is the time from which requests give samples, zero before the first
	// request.
	settledAt time.Time
}

// NewEstimator returns an Estimator of a host with a number of slots, 0 if it is not
// known yet.
func NewEstimator(slots anvilglade.Slots) *Estimator {
	return &Estimator{slots: int(slots), requests: newRequestQueue()}
}

// SetSlots sets the number of slots. While it is 0, no request starts in the model.
// The start of requests that have arrived before is not known.
func (e *Estimator) SetSlots(slots anvilglade.Slots, now time.Time) {
	if int(slots) == e.slots {
		return
	}
	e.slots = int(slots)
	for request := e.requests.first; request != nil; request = request.next {
		request.inexact = true
	}
	e.startWaiting(now)
}

// Slots returns the number of slots, 0 if it is not known yet.
func (e *Estimator) Slots() anvilglade.Slots {
	return anvilglade.Slots(e.slots)
}

// Reset discards all estimates and requests, because the host has restarted or ended.
// A host that has just started has no requests that the agent has not seen.
func (e *Estimator) Reset(now time.Time) {
	e.requests = newRequestQueue()
	e.service, e.limit, e.rate = serviceTime{}, queueLimit{}, requestRate{}
	e.settledAt = now
}

// Arrive implements anvilglade.RequestObserver.
func (e *Estimator) Arrive(flow anvilglade.Flow, class anvilglade.RequestClass, now time.Time) {
	if e.settledAt.IsZero() {
		e.settledAt = now.Add(settleTime)
	}
	e.rate.add(now)
	e.Abandon(flow, now)
	e.removeLost(now)
	request := e.requests.add(flow, class, now)
	request.inexact = now.Before(e.settledAt)
	e.startWaiting(now)
}

// Answer implements anvilglade.RequestObserver. The result is passed to OnResult.
func (e *Estimator) Answer(flow anvilglade.Flow, now time.Time) {
	request := e.requests.byFlow[flow]
	if request == nil {
		e.report(anvilglade.RequestClass{}, ResultUnknown, now)
		return
	}
	class, result := request.class, ResultServed
	switch {
	case e.slots == 0:
		result = ResultUnknown
	case request.running():
		e.serve(request, now)
	case e.isShed(request, now):
		result = ResultShed
		e.limit.shedAt(request.ahead)
		e.requests.excludeFromLater(request)
	default:
		e.correctOrder(request, now)
	}
	e.requests.remove(request)
	e.removeLost(now)
	e.startWaiting(now)
	e.report(class, result, now)
}

// Abandon implements anvilglade.RequestObserver. The host may still run the request,
// so the start of the next one is not known. A request that ran for longer than the
// mean raises it, because callers leave a slow host.
func (e *Estimator) Abandon(flow anvilglade.Flow, now time.Time) {
	request := e.requests.byFlow[flow]
	if request == nil {
		return
	}
	if request.running() {
		e.addLowerBound(request, now)
		e.requests.markNextInexact()
	}
	e.requests.remove(request)
	e.startWaiting(now)
}

// Outstanding implements anvilglade.HostLoad.
func (e *Estimator) Outstanding() int {
	return e.requests.len()
}

// QueueLimit implements anvilglade.HostLoad.
func (e *Estimator) QueueLimit() int {
	return e.limit.requests
}

// Wait returns the expected time from the arrival of a request to its start, if it
// arrives after the outstanding requests and extra others; 0 while the service time
// is unknown.
func (e *Estimator) Wait(extra int, now time.Time) time.Duration {
	if e.slots == 0 {
		return 0
	}
	endsNeeded := e.Outstanding() + extra - e.slots + 1
	if endsNeeded <= 0 {
		return 0
	}
	return e.ServiceTime(now) * time.Duration(endsNeeded) / time.Duration(e.slots)
}

// ServiceTime returns the mean time for which a request occupies a slot, 0 while it is
// unknown.
func (e *Estimator) ServiceTime(now time.Time) time.Duration {
	return e.service.estimate(e.requests.started, now)
}

// RequestRate returns the number of requests per second. The weight of a request falls to
// 1/e within ratePeriod.
func (e *Estimator) RequestRate(now time.Time) float64 {
	return e.rate.perSecond(now)
}

// serve updates the queue limit and the service time by the answer to a running request.
func (e *Estimator) serve(request *request, now time.Time) {
	e.limit.acceptedAt(request.ahead)
	if !request.inexact {
		e.service.add(now.Sub(request.startedAt), now)
	}
}

// isShed reports whether a request that waits in the model was answered so soon that
// the host cannot have run it.
func (e *Estimator) isShed(request *request, now time.Time) bool {
	age := now.Sub(request.arrivedAt)
	if age >= minShedTime && e.swapPartner(request) != nil {
		return false
	}
	return age < min(max(e.service.mean()/2, minShedTime), maxShedTime)
}

// correctOrder handles a request that was served although it waits in the model. If
// the host has read it before a request that runs in the model, that one starts now.
// Otherwise the answer to the oldest running request was missed.
func (e *Estimator) correctOrder(request *request, now time.Time) {
	if partner := e.swapPartner(request); partner != nil {
		partner.startedAt, partner.inexact = now, true
		return
	}
	if oldest := e.requests.oldestStarted(); oldest != nil {
		e.requests.markNextInexact()
		e.requests.remove(oldest)
	}
}

// swapPartner returns a running request that arrived at nearly the same time, nil if
// there is none.
func (e *Estimator) swapPartner(request *request) *request {
	for _, other := range e.requests.started {
		if request.arrivedAt.Sub(other.arrivedAt) <= swapWindow {
			return other
		}
	}
	return nil
}

// removeLost removes running requests whose callers no longer wait. Their answers were
// missed, or the data was no request.
func (e *Estimator) removeLost(now time.Time) {
	for i := len(e.requests.started) - 1; i >= 0; i-- {
		request := e.requests.started[i]
		if now.Sub(request.arrivedAt) > request.timeout() {
			e.addLowerBound(request, now)
			e.requests.markNextInexact()
			e.requests.remove(request)
		}
	}
}

// addLowerBound adds a sample for an unanswered request that has run for longer than the
// mean. Its service time is at least the time for which it has run.
func (e *Estimator) addLowerBound(request *request, now time.Time) {
	if ran := now.Sub(request.startedAt); !request.inexact && ran > e.service.mean() {
		e.service.add(ran, now)
	}
}

// startWaiting starts waiting requests while slots are free.
func (e *Estimator) startWaiting(now time.Time) {
	for len(e.requests.started) < e.slots && e.requests.first != nil {
		e.requests.start(now)
	}
}

func (e *Estimator) report(class anvilglade.RequestClass, result Result, now time.Time) {
	if e.OnResult != nil {
		e.OnResult(class, result, now)
	}
}
