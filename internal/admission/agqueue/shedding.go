package agqueue

// The requests that were delivered although the host was full. The host sheds them
// within a millisecond, so they do not occupy a place. If they counted, a stream of
// requests of lower priorities would hide every free place from the queued request.

import (
	"time"

	"github.com/anvilglade/anvilglade"
)

const (
	// shedTime is the time after which a request that was delivered to a full host and
	// is not answered counts as having a place. The host's refusal takes a millisecond,
	// and an agent without CPU time reads it some milliseconds later.
	shedTime = 5 * time.Millisecond
	// raceTime is the round trip between agent and host on one VM: a request that was
	// delivered within it before an answer arrived at the host after the answer was sent.
	raceTime = 300 * time.Microsecond
	// maxShedding limits the requests that are tracked. Others count as having a place.
	maxShedding = 64
)

// sheddingRequests has the unanswered requests that were delivered to a full host.
type sheddingRequests struct {
	requests [maxShedding]sheddingRequest
	used     int
}

type sheddingRequest struct {
	flow anvilglade.Flow
	at   time.Time
}

func (s *sheddingRequests) add(flow anvilglade.Flow, now time.Time) {
	if s.used < maxShedding {
		s.requests[s.used] = sheddingRequest{flow: flow, at: now}
		s.used++
	}
}

// remove removes a request and reports whether it was tracked.
func (s *sheddingRequests) remove(flow anvilglade.Flow) bool {
	for i := range s.used {
		if s.requests[i].flow == flow {
			s.removeIndex(i)
			return true
		}
	}
	return false
}

func (s *sheddingRequests) removeIndex(index int) {
	s.used--
	s.requests[index] = s.requests[s.used]
}

// removeSince removes one request that was delivered after a point in time, if there is
// one.
func (s *sheddingRequests) removeSince(since time.Time) {
	for i := range s.used {
		if s.requests[i].at.After(since) {
			s.removeIndex(i)
			return
		}
	}
}

// count removes the requests that have not been shed in time and returns the number of
// the others.
func (s *sheddingRequests) count(now time.Time) int {
	for i := 0; i < s.used; {
		if now.Sub(s.requests[i].at) <= shedTime {
			i++
			continue
		}
		s.removeIndex(i)
	}
	return s.used
}

// Occupied returns the number of requests that have a place at the host, and the number
// of places, 0 if unknown.
func (q *Queue) Occupied(now time.Time) (occupied, limit int) {
	if q.load == nil {
		return 0, 0
	}
	return q.load.Outstanding() - q.shedding.count(now), q.load.QueueLimit()
}

// full reports whether the host would shed a request that is delivered now.
func (q *Queue) full(now time.Time) bool {
	occupied, limit := q.Occupied(now)
	return limit > 0 && occupied >= limit
}

// Arrive implements anvilglade.RequestObserver. The request is already included in
// HostLoad.Outstanding.
func (q *Queue) Arrive(flow anvilglade.Flow, _ anvilglade.RequestClass, now time.Time) {
	if occupied, limit := q.Occupied(now); limit > 0 && occupied > limit {
		q.shedding.add(flow, now)
	}
}

// Answer implements anvilglade.RequestObserver. A request that reached the host while the
// answer was on its way has taken the place that the answer frees. If the host sheds it
// after all, the next answer is its refusal, and the place is free then.
func (q *Queue) Answer(flow anvilglade.Flow, now time.Time) {
	if !q.shedding.remove(flow) {
		q.shedding.removeSince(now.Add(-raceTime))
	}
}

// Abandon implements anvilglade.RequestObserver.
func (q *Queue) Abandon(flow anvilglade.Flow, _ time.Time) {
	q.shedding.remove(flow)
}
