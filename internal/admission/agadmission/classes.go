package agadmission

// The classes that a host has seen, by priority, and the credits of those that were
// refused.

import (
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/admission/agpriority"
)

const (
	// seenPeriod is the time for which a priority counts as present after its latest
	// request. A caller that was refused has made its other attempts by then.
	seenPeriod = 2 * time.Second
	// creditShare is the part of a credit that each completion earns for all lower
	// priorities together. It is above the guaranteed fifth, because credits above
	// maxCredit are lost.
	creditShare = 0.22
	// maxCredit limits the credits of a priority, which it uses at once when it asks
	// again. They must not fill the places of the highest priority.
	maxCredit = 4.0
)

// classState is the state of one priority.
type classState struct {
	priority anvilglade.Priority
	// target is the latency target of its latest request.
	target time.Duration
	// seenAt is the time of the latest request, refusedAt that of the latest refusal by
	// the last candidate.
	seenAt, refusedAt time.Time
	// credit is the number of requests that the priority may place in excess of its own
	// budget.
	credit float64
	// prepaid is the number of admitted requests whose credit was taken at the
	// admission.
	prepaid int
}

// yieldsTo reports whether a priority is below another one.
func (s *classState) yieldsTo(other *classState) bool {
	return s.priority > other.priority
}

// prepay takes the credit of a request that has not run yet.
func (s *classState) prepay() {
	s.credit--
	s.prepaid++
}

// pay takes the credit of a request that has run.
func (s *classState) pay() {
	if s.prepaid > 0 {
		s.prepaid--
		return
	}
	s.credit = max(s.credit-1, 0)
}

// classList is the list of all priorities that were seen, the highest first.
type classList struct {
	states []*classState
	recent agpriority.Recent
	// asking are the lower priorities that were refused within seenPeriod, as of the
	// latest completion.
	asking []*classState
}

// see records a request of a class and returns the state of its priority.
func (l *classList) see(class anvilglade.RequestClass, now time.Time) *classState {
	i, found := l.find(class.Priority)
	if !found {
		l.states = slices.Insert(l.states, i, &classState{priority: class.Priority})
	}
	state := l.states[i]
	state.target, state.seenAt = class.Target, now
	l.recent.Add(class.Priority, now)
	return state
}

func (l *classList) find(priority anvilglade.Priority) (int, bool) {
	return slices.BinarySearchFunc(l.states, priority, func(state *classState, priority anvilglade.Priority) int {
		return int(state.priority) - int(priority)
	})
}

// highest returns the highest priority that has been seen since the last Reset. It is
// called after see.
func (l *classList) highest() *classState {
	return l.states[0]
}

// top returns the priority that counts as the highest, nil if none has been seen.
func (l *classList) top() *classState {
	if i, found := l.find(l.recent.Top()); found {
		return l.states[i]
	}
	return nil
}

// complete records that a request has run. The lower priorities that were refused
// share the credit for it, and the request's own priority pays for it.
func (l *classList) complete(priority anvilglade.Priority, now time.Time) {
	top := l.top()
	l.asking = l.asking[:0]
	for _, state := range l.states {
		if state.yieldsTo(top) && now.Sub(state.refusedAt) <= seenPeriod {
			l.asking = append(l.asking, state)
		}
	}
	for _, state := range l.asking {
		state.credit = min(state.credit+creditShare/float64(len(l.asking)), maxCredit)
	}
	if i, found := l.find(priority); found && l.states[i].yieldsTo(top) {
		l.states[i].pay()
	}
}

// owesPlace reports whether a lower priority that was refused has a credit.
func (l *classList) owesPlace(top *classState) bool {
	for _, state := range l.asking {
		if state.yieldsTo(top) && state.credit >= 1 {
			return true
		}
	}
	return false
}

// hasLower reports whether a lower priority was seen at most seenPeriod before the latest
// request of top.
func (l *classList) hasLower(top *classState) bool {
	for _, state := range l.states {
		if state.yieldsTo(top) && top.seenAt.Sub(state.seenAt) <= seenPeriod {
			return true
		}
	}
	return false
}
