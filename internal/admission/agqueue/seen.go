package agqueue

// The highest priority of the requests that were seen recently.

import (
	"time"

	"github.com/anvilglade/anvilglade"
)

// seenTime is the time for which a priority counts after its last request.
const seenTime = 2 * time.Second

// priorities is the number of values of anvilglade.Priority.
const priorities = 256

// seenPriorities keeps the time of the last request of each priority.
type seenPriorities struct {
	last    [priorities]time.Time
	highest anvilglade.Priority
}

// add records a request and updates the highest priority.
func (s *seenPriorities) add(priority anvilglade.Priority, now time.Time) {
	s.last[priority] = now
	if priority <= s.highest {
		s.highest = priority
		return
	}
	for s.highest < priority && now.Sub(s.last[s.highest]) > seenTime {
		s.highest++
	}
}
