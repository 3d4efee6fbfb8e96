package agcapacity

// The outstanding requests of a host: those that run in the model, and a list of
// those that wait in the order of arrival. Records are reused, so that a request
// allocates nothing once the number of outstanding requests has been reached before.

import (
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
)

// request is one outstanding request.
type request struct {
	flow      anvilglade.Flow
	class     anvilglade.RequestClass
	arrivedAt time.Time
	// startedAt is zero while the request waits.
	startedAt time.Time
	// ahead is the number of requests that were outstanding at the arrival, without
	// those that the host has shed.
	ahead int
	// inexact is set if the host may have started the request at another time.
	inexact bool
	// previous and next are the neighbours in the list of waiting requests. A record that
	// is not in use has the next such record in next.
	previous, next *request
}

func (r *request) running() bool {
	return !r.startedAt.IsZero()
}

// timeout returns the time from the arrival after which the caller no longer waits for the
// answer.
func (r *request) timeout() time.Duration {
	if r.class.Timeout > 0 {
		return r.class.Timeout
	}
	return defaultTimeout
}

// requestQueue holds the outstanding requests.
type requestQueue struct {
	byFlow  map[anvilglade.Flow]*request
	started []*request
	// first and last are the ends of the list of waiting requests.
	first, last *request
	// unused is the list of records for reuse.
	unused *request
}

func newRequestQueue() requestQueue {
	return requestQueue{byFlow: make(map[anvilglade.Flow]*request)}
}

func (q *requestQueue) len() int {
	return len(q.byFlow)
}

// add appends a request to the waiting ones.
func (q *requestQueue) add(flow anvilglade.Flow, class anvilglade.RequestClass, now time.Time) *request {
	added := q.unused
	if added == nil {
		added = &request{}
	} else {
		q.unused = added.next
	}
	*added = request{flow: flow, class: class, arrivedAt: now, ahead: q.len(), previous: q.last}
	if q.last == nil {
		q.first = added
	} else {
		q.last.next = added
	}
	q.last = added
	q.byFlow[flow] = added
	return added
}

// start moves the first waiting request to the running ones.
func (q *requestQueue) start(now time.Time) {
	started := q.first
	q.unlink(started)
	started.startedAt = now
	q.started = append(q.started, started)
}

func (q *requestQueue) remove(removed *request) {
	if q.byFlow[removed.flow] != removed {
		return
	}
	delete(q.byFlow, removed.flow)
	if i := slices.Index(q.started, removed); i >= 0 {
		q.started = slices.Delete(q.started, i, i+1)
	} else {
		q.unlink(removed)
	}
	removed.next, q.unused = q.unused, removed
}

// unlink removes a request from the list of waiting ones.
func (q *requestQueue) unlink(waiting *request) {
	if waiting.previous == nil {
		q.first = waiting.next
	} else {
		waiting.previous.next = waiting.next
	}
	if waiting.next == nil {
		q.last = waiting.previous
	} else {
		waiting.next.previous = waiting.previous
	}
	waiting.previous, waiting.next = nil, nil
}

// excludeFromLater corrects the number of requests ahead of those that arrived after a
// request that was shed.
func (q *requestQueue) excludeFromLater(shed *request) {
	for later := shed.next; later != nil; later = later.next {
		later.ahead--
	}
}

// markNextInexact marks the request that takes the next free slot.
func (q *requestQueue) markNextInexact() {
	if q.first != nil {
		q.first.inexact = true
	}
}

// oldestStarted returns the request that has run for the longest time, nil if none
// runs.
func (q *requestQueue) oldestStarted() *request {
	if len(q.started) == 0 {
		return nil
	}
	oldest := q.started[0]
	for _, started := range q.started[1:] {
		if started.startedAt.Before(oldest.startedAt) {
			oldest = started
		}
	}
	return oldest
}
