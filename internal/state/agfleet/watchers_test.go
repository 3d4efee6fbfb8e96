package agfleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/state/agfleet"
)

// centres is the number of data centres.
const centres = 5

// watchFleet is a deployment whose balancers exchange statuses without delay.
type watchFleet struct {
	now      time.Time
	sequence anvilglade.Sequence
	fleets   []*agfleet.Fleet
	// answers reports whether the store answers a balancer.
	answers func(balancer int) bool
	// capacity returns the announced capacity of a balancer, 0 by default.
	capacity func(balancer int) anvilglade.Capacity
}

func newWatchFleet(balancers int) *watchFleet {
	w := &watchFleet{now: time.Unix(1_000_000, 0), answers: func(int) bool { return true }, capacity: func(int) anvilglade.Capacity { return 0 }}
	for i := range balancers {
		w.fleets = append(w.fleets, agfleet.NewFleet(agfleet.Options{Self: balancerIP(i), DataCentre: centreOf(i)}))
	}
	return w
}

func centreOf(balancer int) anvilglade.DataCentreID {
	return anvilglade.DataCentreID(fmt.Sprintf("dk%d", balancer%centres))
}

// exchange lets each balancer send a status to those that it reaches.
func (w *watchFleet) exchange(reaches func(from, to int) bool) {
	w.now = w.now.Add(250 * time.Millisecond)
	w.sequence++
	statuses := make([]anvilglade.BalancerStatus, len(w.fleets))
	for i, fleet := range w.fleets {
		fleet.SetCapacity(w.capacity(i))
		watch := fleet.WatchRole(w.now)
		if !w.answers(i) {
			watch = anvilglade.WatchNone
		}
		statuses[i] = anvilglade.BalancerStatus{Balancer: balancerIP(i), Incarnation: 1, Sequence: w.sequence, DataCentre: centreOf(i), Watch: watch, Capacity: w.capacity(i)}
	}
	for from := range w.fleets {
		for to, fleet := range w.fleets {
			if reaches(from, to) {
				fleet.UpdateBalancer(statuses[from], w.now)
			}
		}
	}
}

func (w *watchFleet) settle(reaches func(from, to int) bool) {
	for range 12 {
		w.exchange(reaches)
	}
}

// roles returns the number of balancers with each role.
func (w *watchFleet) roles() map[anvilglade.StoreWatch]int {
	counts := make(map[anvilglade.StoreWatch]int)
	for _, fleet := range w.fleets {
		counts[fleet.WatchRole(w.now)]++
	}
	return counts
}

func everyone(int, int) bool { return true }

// Guards against calls to the store that grow with the number of balancers, and
// against a data centre without a watcher of its own.
func TestWatchersDoNotGrowWithTheFleet(t *testing.T) {
	for _, balancers := range []int{15, 60, 250} {
		fleet := newWatchFleet(balancers)
		fleet.settle(everyone)
		if counts := fleet.roles(); counts[anvilglade.WatchPrimary] > 2*centres+4 || counts[anvilglade.WatchStandby] != 0 {
			t.Errorf("%d balancers have the roles %v, want at most %d primaries and no standby", balancers, counts, 2*centres+4)
		}
		for centre := range centres {
			watchers := 0
			for i := centre; i < balancers; i += centres {
				if fleet.fleets[i].WatchRole(fleet.now) == anvilglade.WatchPrimary {
					watchers++
				}
			}
			if watchers < 2 {
				t.Errorf("data centre %d of %d balancers has %d watchers, want at least 2", centre, balancers, watchers)
			}
		}
	}
}

// Guards against a fleet in which nobody reads a new desired state: the watchers are
// lost, or the store refuses them while it answers others, or a balancer is cut off
// from them.
func TestWatchersAreReplaced(t *testing.T) {
	fleet := newWatchFleet(60)
	fleet.settle(everyone)
	former := make(map[int]bool)
	for i, member := range fleet.fleets {
		former[i] = member.WatchRole(fleet.now) == anvilglade.WatchPrimary
	}
	fleet.answers = func(balancer int) bool { return !former[balancer] }
	fleet.settle(everyone)
	working := 0
	for i, member := range fleet.fleets {
		if !former[i] && member.WatchRole(fleet.now) != anvilglade.WatchNone {
			working++
		}
	}
	if working < 2 || working > 4 {
		t.Errorf("%d balancers watch the store while it refuses all former watchers, want 2 to 4", working)
	}
	fleet.answers = func(int) bool { return true }
	fleet.settle(func(from, _ int) bool { return !former[from] })
	primaries := 0
	for i, member := range fleet.fleets {
		if !former[i] && member.WatchRole(fleet.now) == anvilglade.WatchPrimary {
			primaries++
		}
	}
	if primaries < 10 || primaries > 14 {
		t.Errorf("%d primaries after the loss of the former watchers, want 10 to 14", primaries)
	}
	cut := 59
	fleet.settle(func(from, to int) bool { return from != cut && to != cut })
	if role := fleet.fleets[cut].WatchRole(fleet.now); role != anvilglade.WatchPrimary {
		t.Errorf("a balancer that is cut off from all others has role %d, want %d", role, anvilglade.WatchPrimary)
	}
}

// Guards against a fleet whose balancers all retry at the interval of a primary while
// the store is unavailable.
func TestOnlyPrimariesRetryOftenInAnOutage(t *testing.T) {
	fleet := newWatchFleet(60)
	fleet.answers = func(int) bool { return false }
	fleet.settle(everyone)
	if counts := fleet.roles(); counts[anvilglade.WatchPrimary] > 14 || counts[anvilglade.WatchStandby] < 40 {
		t.Errorf("roles during an outage of the store are %v, want at most 14 primaries", counts)
	}
}

// Guards against a balancer that receives the statuses of its peers, cannot fetch the
// newer desired state that they announce, and does not read the store either.
func TestFailedFetchLeadsToTheStore(t *testing.T) {
	fleet := newWatchFleet(60)
	fleet.settle(everyone)
	for i, member := range fleet.fleets {
		if member.WatchRole(fleet.now) != anvilglade.WatchNone {
			continue
		}
		member.RecordFetchFailure(balancerIP(0), fleet.now)
		if role := member.WatchRole(fleet.now); role != anvilglade.WatchPrimary {
			t.Errorf("balancer %d has role %d after a failed fetch, want %d", i, role, anvilglade.WatchPrimary)
		}
		if role := member.WatchRole(fleet.now.Add(time.Minute)); role == anvilglade.WatchNone {
			t.Errorf("balancer %d without recent statuses does not watch the store", i)
		}
		return
	}
	t.Fatal("every balancer watches the store")
}
