// Package agadmission decides at an agent, by the class of a new flow and by the
// expected wait at the host, whether the flow is admitted, forwarded to the next
// candidate or refused.
//
// A flow is admitted if its first request is expected to be answered within the
// attempt budget: the part of the latency target that one attempt may use, so that a
// caller that is refused has time for another attempt. The budget of the highest
// priority is half of its target. The budget of a lower priority is a third of its
// target, and at most two thirds of the budget of the highest one, so that lower
// priorities are refused first whatever their targets. A lower priority may also use only
// two thirds of the host's queue. Package agpriority determines which priority counts as
// the highest. If a higher one has been seen since the last Reset, the present highest
// borrows the capacity that the other leaves idle.
//
// Lower priorities that are refused earn credits from the completions of the host, so
// that all of them together get a fifth of the completions. With a credit, a lower priority
// is admitted up to the limits of the highest one, which leaves one place for it.
//
// With further candidates a flow is forwarded as soon as it would wait for longer than
// one service time; the highest priority beside lower ones is admitted within half of
// its budget. The last candidate admits a flow whenever a slot is free and the
// service time is within the target, because a refusal would leave the slot idle. An
// idle host that is too slow for the budget admits a flow from time to time, because
// it would give no samples otherwise and count as slow for ever.
//
// The package has no input or output, and a decision allocates nothing. A Controller
// takes the time as a parameter and is not safe for concurrent use.
//
// # Usage
//
//	controller := agadmission.NewController()
//	controller.Arrive(class, now)            // for each request on an open flow
//	controller.Complete(class.Priority, now) // for each request that has run
//	decision := controller.Decide(&opening, now)
//	if !decision.Result.Admits() {
//		// pass the packet on
//	}
package agadmission

import (
	"time"

	"github.com/anvilglade/anvilglade"
)

// Result is the decision on one new flow.
type Result string

// Results of a decision.
const (
	// ResultAdmitted is a flow that is within the limits of its class, or that the last
	// candidate admits to a free slot.
	ResultAdmitted Result = "Admitted"
	// ResultBorrowed is an admitted flow that exceeds the limits that it would have beside
	// a higher priority.
	ResultBorrowed Result = "Borrowed"
	// ResultGuaranteed is a flow that is admitted by a credit.
	ResultGuaranteed Result = "Guaranteed"
	// ResultTrial is a flow that is admitted to measure a host that counts as too slow.
	ResultTrial Result = "Trial"
	// ResultForwarded is a flow for the next candidate.
	ResultForwarded Result = "Forwarded"
	// ResultRefused is a flow that the last candidate does not admit.
	ResultRefused Result = "Refused"
)

// Cause is the reason by which logs and explanations name a flow that was forwarded or
// refused.
const Cause = "ExpectedWait"

// Admits reports whether the host takes the flow.
func (r Result) Admits() bool {
	return r != ResultForwarded && r != ResultRefused
}

// trialInterval is the minimum time between two trials of a host that counts as too
// slow. The estimate has to follow a recovery within 10 s.
const trialInterval = 500 * time.Millisecond

// Opening is a new flow and the state of the host.
type Opening struct {
	// Class is the class of the flow. It has a target.
	Class anvilglade.RequestClass
	// Wait is the expected time from the arrival of the flow's first request to its
	// start.
	Wait time.Duration
	// ServiceTime is the mean service time of the host. It is not 0.
	ServiceTime time.Duration
	// Expected is the number of requests that the host has or is expected to receive.
	Expected int
	// QueueLimit is the number of outstanding requests at which the host sheds, 0 if
	// unknown.
	QueueLimit int
	// QueueRoom is the number of requests of the class that the agent can queue in front
	// of a full host. It applies to the highest priority only.
	QueueRoom int
	// HasNext is set if there are further candidates.
	HasNext bool
}

// Decision is the decision on a new flow.
type Decision struct {
	Result Result
	// Budget is the time that the wait and the service time of an attempt of the class
	// may take.
	Budget time.Duration
}

// Controller decides on the new flows of one host.
type Controller struct {
	classes classList
	// trialAt is the time of the latest trial.
	trialAt time.Time
}

// NewController returns a Controller that has seen no class.
func NewController() *Controller {
	return &Controller{}
}

// Reset discards the classes that were seen and their credits. It is called when the host
// has restarted or ended.
func (c *Controller) Reset() {
	*c = Controller{}
}

// Arrive records a request on an open flow whose class has a target.
func (c *Controller) Arrive(class anvilglade.RequestClass, now time.Time) {
	c.classes.see(class, now)
}

// Complete records a request that has run and whose class has a target.
func (c *Controller) Complete(priority anvilglade.Priority, now time.Time) {
	c.classes.complete(priority, now)
}

// Decide decides on one new flow.
func (c *Controller) Decide(opening *Opening, now time.Time) Decision {
	class := c.classes.see(opening.Class, now)
	top := c.classes.top()
	own := limitsOf(opening, class, top)
	result := c.admit(opening, class, top, own)
	if result == ResultRefused {
		result = c.reject(opening, class, now)
	}
	return Decision{Result: result, Budget: own.budget}
}

// admit returns how a flow is admitted, or ResultRefused if it is not. While a lower
// priority has a credit, a flow of the highest one leaves a place for it.
func (c *Controller) admit(opening *Opening, class, top *classState, own limits) Result {
	yields := !class.yieldsTo(top) && c.classes.owesPlace(top) && !own.withoutOne(opening).allow(opening)
	switch {
	case opening.HasNext && c.prefersNext(opening, class, top, own):
		return ResultRefused
	case own.allow(opening) && !yields:
		return c.admittedAs(opening, class, top)
	case opening.HasNext:
		return ResultRefused
	case opening.Wait == 0 && opening.ServiceTime <= opening.Class.Target:
		return ResultAdmitted
	case class.yieldsTo(top) && class.credit >= 1 && topLimits(opening, top).allow(opening):
		class.prepay()
		return ResultGuaranteed
	}
	return ResultRefused
}

// prefersNext reports whether the next candidate is likely to serve a flow earlier. In
// overload lower priorities keep the queues of all hosts at their limits; the highest
// priority would then be forwarded by every host, and only the last one would use the
// places that are left to it. So it is admitted within half of its budget.
func (c *Controller) prefersNext(opening *Opening, class, top *classState, own limits) bool {
	if opening.Wait <= opening.ServiceTime {
		return false
	}
	return class.yieldsTo(top) || !c.classes.hasLower(top) || !own.half().allow(opening)
}

// admittedAs returns ResultBorrowed for an admitted flow that borrows from a higher
// priority, and ResultAdmitted for others.
func (c *Controller) admittedAs(opening *Opening, class, top *classState) Result {
	higher := c.classes.highest()
	if class.yieldsTo(top) || !class.yieldsTo(higher) {
		return ResultAdmitted
	}
	if limitsOf(opening, class, higher).allow(opening) {
		return ResultAdmitted
	}
	return ResultBorrowed
}

// reject returns the result for a flow that is not admitted. An idle host takes it as a
// trial from time to time, as it would give no samples otherwise.
func (c *Controller) reject(opening *Opening, class *classState, now time.Time) Result {
	switch {
	case opening.Expected == 0 && now.Sub(c.trialAt) >= trialInterval:
		c.trialAt = now
		return ResultTrial
	case opening.HasNext:
		return ResultForwarded
	}
	class.refusedAt = now
	return ResultRefused
}
