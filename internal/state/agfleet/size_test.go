package agfleet_test

import (
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/state/agfleet"
)

const (
	smallCapacity anvilglade.Capacity = 100
	largeCapacity anvilglade.Capacity = 800
)

// sizedBalancers is the number of balancers in a fleet of unequal size; firstLarge is the
// first of the large ones, of which each data centre has three.
const (
	sizedBalancers = 60
	firstLarge     = sizedBalancers - 3*centres
)

func unevenCapacity(balancer int) anvilglade.Capacity {
	if balancer >= firstLarge {
		return largeCapacity
	}
	return smallCapacity
}

// primaries returns the balancers that watch the store as primaries.
func (w *watchFleet) primaries() map[int]bool {
	list := make(map[int]bool)
	for i, member := range w.fleets {
		if member.WatchRole(w.now) == anvilglade.WatchPrimary {
			list[i] = true
		}
	}
	return list
}

// Guards against small balancers that watch the store beside larger ones, against more
// calls to the store, and against balancers of equal size that choose other watchers than
// those of earlier builds.
func TestLargeBalancersWatchTheStore(t *testing.T) {
	earlier, equal, uneven := newWatchFleet(sizedBalancers), newWatchFleet(sizedBalancers), newWatchFleet(sizedBalancers)
	equal.capacity = func(int) anvilglade.Capacity { return smallCapacity }
	uneven.capacity = unevenCapacity
	for _, fleet := range []*watchFleet{earlier, equal, uneven} {
		fleet.settle(everyone)
	}
	for i := range sizedBalancers {
		if before, now := earlier.fleets[i].WatchRole(earlier.now), equal.fleets[i].WatchRole(equal.now); before != now {
			t.Errorf("balancer %d of equal size has role %d, want %d", i, now, before)
		}
	}
	watchers := uneven.primaries()
	if len(watchers) > 2*centres+4 || len(watchers) < 2*centres {
		t.Errorf("%d balancers of unequal size watch the store, want %d to %d", len(watchers), 2*centres, 2*centres+4)
	}
	for i := range watchers {
		if uneven.capacity(i) != largeCapacity {
			t.Errorf("small balancer %d watches the store", i)
		}
	}
	for i, member := range uneven.fleets {
		if relieved := member.Relieved(uneven.now); relieved != (uneven.capacity(i) == smallCapacity) {
			t.Errorf("balancer %d of capacity %d: relieved is %t", i, uneven.capacity(i), relieved)
		}
	}
}

// Guards against a store that nobody watches, or that is watched by a small balancer too
// long, when large balancers are lost, become overloaded or return. A takeover must not
// take longer than among balancers of equal size.
func TestNextLargestTakesOver(t *testing.T) {
	takeover := func(capacity func(int) anvilglade.Capacity) (rounds int, former, watchers map[int]bool) {
		fleet := newWatchFleet(sizedBalancers)
		fleet.capacity = capacity
		fleet.settle(everyone)
		former = fleet.primaries()
		for rounds = 1; rounds < 40; rounds++ {
			fleet.exchange(func(from, to int) bool { return !former[from] && !former[to] })
			watchers = fleet.primaries()
			for i := range former {
				delete(watchers, i)
			}
			if len(watchers) >= 2*centres {
				break
			}
		}
		return rounds, former, watchers
	}
	equalRounds, _, _ := takeover(func(int) anvilglade.Capacity { return 0 })
	rounds, former, watchers := takeover(unevenCapacity)
	if rounds > equalRounds {
		t.Errorf("takeover after %d exchanges of statuses, %d among balancers of equal size", rounds, equalRounds)
	}
	for i := firstLarge; i < sizedBalancers; i++ {
		if !former[i] && !watchers[i] {
			t.Errorf("large balancer %d has not taken over", i)
		}
	}
}

// Guards against duties that stay at an overloaded balancer, and against duties that do
// not return to it.
func TestOverloadedBalancerPassesItsDutiesOn(t *testing.T) {
	fleet := newWatchFleet(sizedBalancers)
	fleet.capacity = unevenCapacity
	fleet.settle(everyone)
	before := fleet.primaries()
	for overloaded := range before {
		fleet.capacity = func(balancer int) anvilglade.Capacity {
			if balancer == overloaded {
				return smallCapacity / 2
			}
			return unevenCapacity(balancer)
		}
		fleet.settle(everyone)
		if fleet.primaries()[overloaded] {
			t.Errorf("overloaded balancer %d still watches the store", overloaded)
		}
	}
	fleet.capacity = unevenCapacity
	fleet.settle(everyone)
	for i := range before {
		if !fleet.primaries()[i] {
			t.Errorf("balancer %d does not watch the store after it has recovered", i)
		}
	}
}

// Guards against a data centre without two watchers, and against more watchers, while
// balancers of earlier builds, which go by rank alone, run beside new ones.
func TestMixedBuildsAgree(t *testing.T) {
	for divisor := 2; divisor < 6; divisor++ {
		fleet := newWatchFleet(sizedBalancers)
		fleet.capacity = func(balancer int) anvilglade.Capacity {
			if balancer/centres%divisor == 0 {
				return 0
			}
			return unevenCapacity(balancer)
		}
		fleet.settle(everyone)
		watchers := fleet.primaries()
		if len(watchers) > 2*centres+4 {
			t.Errorf("one balancer of %d is of an earlier build: %d watchers, want at most %d", divisor, len(watchers), 2*centres+4)
		}
		counts := make(map[anvilglade.DataCentreID]int)
		for i := range watchers {
			counts[centreOf(i)]++
		}
		for centre := range centres {
			if count := counts[centreOf(centre)]; count < 2 {
				t.Errorf("one balancer of %d is of an earlier build: %d watchers in %s, want at least 2", divisor, count, centreOf(centre))
			}
		}
	}
}

// Guards against small balancers that send as many statuses as large ones, and against
// balancers of a data centre that count a small watcher as lost because it sends few.
func TestSmallBalancersSendFewerStatuses(t *testing.T) {
	fleet := newWatchFleet(sizedBalancers)
	// One large balancer in each data centre, so that small ones watch, too.
	fleet.capacity = func(balancer int) anvilglade.Capacity {
		if balancer >= sizedBalancers-centres {
			return largeCapacity
		}
		return smallCapacity / 20
	}
	fleet.settle(everyone)
	const rounds = 100
	for i, member := range fleet.fleets {
		local, remote := 0, 0
		for number := range uint64(rounds) {
			for _, peer := range member.StatusReceivers(number, fleet.now) {
				if peer.DataCentre == centreOf(i) {
					local++
				} else {
					remote++
				}
			}
		}
		wantLocal, wantRemote := rounds*(sizedBalancers/centres-1), rounds*(sizedBalancers-sizedBalancers/centres)
		if fleet.capacity(i) != largeCapacity {
			wantRemote /= 2
		}
		if member.Relieved(fleet.now) {
			wantLocal /= 2
		}
		if local != wantLocal || remote != wantRemote {
			t.Errorf("balancer %d sends %d statuses within its data centre and %d to others, want %d and %d", i, local, remote, wantLocal, wantRemote)
		}
	}
}

// Guards against transfers of the desired state from small balancers or from another
// data centre while a large balancer of this one has it.
func TestDesiredStateComesFromALargeBalancer(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	fleet := agfleet.NewFleet(agfleet.Options{Self: balancerIP(0), DataCentre: "dk0"})
	fleet.SetCapacity(smallCapacity)
	update := func(number int, dataCentre anvilglade.DataCentreID, capacity anvilglade.Capacity, version anvilglade.DesiredVersion) {
		fleet.UpdateBalancer(anvilglade.BalancerStatus{
			Balancer: balancerIP(number), Incarnation: 1, Sequence: 1, DataCentre: dataCentre, Capacity: capacity, Desired: version,
		}, now)
	}
	for number := 1; number < 6; number++ {
		update(number, "dk0", smallCapacity, 7)
		update(10+number, "dk1", largeCapacity, 7)
	}
	if peer, _ := fleet.NewerPeer(now); peer.DataCentre != "dk0" {
		t.Errorf("the state is fetched from %s, want a balancer of dk0", peer.Balancer)
	}
	update(6, "dk0", largeCapacity, 7)
	for range 20 {
		if peer, _ := fleet.NewerPeer(now); peer.Balancer != balancerIP(6) {
			t.Fatalf("the state is fetched from %s, want %s", peer.Balancer, balancerIP(6))
		}
	}
	update(20, "dk1", smallCapacity, 8)
	if peer, _ := fleet.NewerPeer(now); peer.Desired != 8 {
		t.Errorf("version %d is fetched, want the newest", peer.Desired)
	}
}
