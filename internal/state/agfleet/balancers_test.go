package agfleet_test

import (
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/state/agfleet"
)

// Guards against a fleet in which nobody notices a silent connection to the
// store, and against one in which all balancers ask the store every few seconds.
func TestFewWatchClosely(t *testing.T) {
	const balancers = 60
	now := time.Unix(1_000_000, 0)
	fleets := make([]*agfleet.Fleet, balancers)
	hear := func(now time.Time, from, to int, leaving bool) {
		for self := range fleets {
			for other := from; other < to; other++ {
				fleets[self].UpdateBalancer(anvilglade.BalancerStatus{
					Balancer: balancerIP(other), Incarnation: 1, Sequence: anvilglade.Sequence(now.Unix()), Leaving: leaving,
				}, now)
			}
		}
	}
	for self := range fleets {
		fleets[self] = agfleet.NewFleet(agfleet.Options{Self: balancerIP(self)})
	}
	watching := func(now time.Time) (list []int) {
		for self, fleet := range fleets {
			if fleet.UsesShortWait(now) {
				list = append(list, self)
			}
		}
		return list
	}
	if list := watching(now); len(list) != balancers {
		t.Errorf("%d of %d watch closely before they hear each other", len(list), balancers)
	}
	hear(now, 0, balancers, false)
	first := watching(now)
	if len(first) != 4 {
		t.Errorf("balancers %v watch closely", first)
	}
	// Those that leave are replaced.
	hear(now.Add(time.Second), first[0], first[0]+1, true)
	if list := watching(now.Add(time.Second)); len(list) != 5 || list[0] > first[0] {
		t.Errorf("balancers %v watch closely when %d leaves", list, first[0])
	}
	// Those that are silent are, too.
	later := now.Add(5 * time.Second)
	hear(later, 0, first[1], false)
	hear(later, first[1]+1, balancers, false)
	list := watching(later)
	if len(list) != 5 {
		t.Errorf("balancers %v watch closely while %d is silent", list, first[1])
	}
}
