package anvilglade

import "time"

// RequestObserver receives the arrival and the end of each request of a host. It is
// called while packets are handled, so it must return quickly.
type RequestObserver interface {
	// Arrive is called when the first data of a request is delivered to the host.
	Arrive(flow Flow, class RequestClass, now time.Time)
	// Answer is called for the first data that the host sends on the flow since Arrive.
	Answer(flow Flow, now time.Time)
	// Abandon is called if the flow ends or its record is removed before an answer.
	Abandon(flow Flow, now time.Time)
}

// Priority orders classes of requests; 0 is the highest.
type Priority uint8

// RequestClass describes the requests on the flows of a route, as configured there. The
// zero value is the class of a route without one; its flows are admitted and scheduled
// without regard to a latency target.
type RequestClass struct {
	// Priority is the precedence of the requests when capacity is short.
	Priority Priority
	// Repeatable is set if a caller may send a request again that may have run.
	Repeatable bool
	// Timeout is the time after which the caller gives up, 0 if the route has none.
	Timeout time.Duration
	// Target is the latency target, counted from the caller's first attempt; 0 if there
	// is none.
	Target time.Duration
}

// HasTarget reports whether the class has a latency target. Admission by expected wait
// applies to such classes only.
func (c RequestClass) HasTarget() bool {
	return c.Target > 0
}

// HostLoad is the state of a host's request queue, as its agent knows it.
type HostLoad interface {
	// Outstanding returns the number of requests that the host has not answered.
	Outstanding() int
	// QueueLimit returns the number of outstanding requests at which the host sheds
	// further ones, 0 if unknown.
	QueueLimit() int
}
