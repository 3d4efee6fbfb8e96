package agadmission

// The attempt budget of a class and its part of the host's queue.

import "time"

const (
	// topDivisor divides the latency target of the highest priority into its budget: one
	// further attempt fits into the target.
	topDivisor = 2
	// lowerDivisor does the same for other priorities: two further attempts fit.
	lowerDivisor = 3
)

// limits are the conditions under which a flow is admitted.
type limits struct {
	// budget is the longest wait and service time together.
	budget time.Duration
	// queue is the number of outstanding requests below which the flow is admitted, 0 if
	// the host's queue limit is unknown.
	queue int
}

// allow reports whether the host's state is within the limits.
func (l limits) allow(opening *Opening) bool {
	return opening.Wait+opening.ServiceTime <= l.budget && (l.queue == 0 || opening.Expected < l.queue)
}

// withoutOne returns the limits that leave a place for one further request.
func (l limits) withoutOne(opening *Opening) limits {
	reduced := limits{budget: l.budget - opening.ServiceTime, queue: l.queue}
	if l.queue > 1 {
		reduced.queue--
	}
	return reduced
}

// half returns the limits with half of the budget.
func (l limits) half() limits {
	return limits{budget: l.budget / 2, queue: l.queue}
}

// limitsOf returns the limits of a flow of a class while top counts as the highest
// priority.
func limitsOf(opening *Opening, class, top *classState) limits {
	if !class.yieldsTo(top) {
		return limits{budget: opening.Class.Target / topDivisor, queue: queueOfTop(opening)}
	}
	ofTop := topLimits(opening, top)
	return limits{
		budget: min(opening.Class.Target/lowerDivisor, ofTop.budget*topDivisor/lowerDivisor),
		queue:  ofTop.queue - ofTop.queue/lowerDivisor,
	}
}

// queueOfTop returns the number of outstanding requests below which the highest priority
// is admitted: it may be queued at the agent until a full host has a place.
func queueOfTop(opening *Opening) int {
	if opening.QueueLimit == 0 {
		return 0
	}
	return opening.QueueLimit + opening.QueueRoom
}

// topLimits returns the limits of the highest priority at the host. It leaves out
// Opening.QueueRoom, because lower priorities are not queued at the agent.
func topLimits(opening *Opening, top *classState) limits {
	return limits{budget: top.target / topDivisor, queue: opening.QueueLimit}
}
