package agfleet_test

import (
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/state/agfleet"
)

// Guards against a fleet in which no balancer detects a connection to the store
// that delivers nothing, and against one in which all balancers query the store
// every few seconds.
func TestFewBalancersLeadTheWatches(t *testing.T) {
	const balancers = 60
	now := time.Unix(1_000_000, 0)
	fleets := make([]*agfleet.Fleet, balancers)
	update := func(now time.Time, from, to int, leaving bool) {
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
	leading := func(now time.Time) (list []int) {
		for self, fleet := range fleets {
			if fleet.IsLeadWatcher(now) {
				list = append(list, self)
			}
		}
		return list
	}
	if list := leading(now); len(list) != balancers {
		t.Errorf("%d of %d balancers lead before their first statuses, want all", len(list), balancers)
	}
	update(now, 0, balancers, false)
	first := leading(now)
	if len(first) != 4 {
		t.Errorf("balancers %v lead, want 4 of them", first)
	}
	// A leaving balancer is replaced. It does not receive its own status and
	// still counts itself, so there are five.
	update(now.Add(time.Second), first[0], first[0]+1, true)
	if list := leading(now.Add(time.Second)); len(list) != 5 || list[0] > first[0] {
		t.Errorf("balancers %v lead after %d left", list, first[0])
	}
	// A balancer whose statuses are missing is replaced in the same way.
	later := now.Add(5 * time.Second)
	update(later, 0, first[1], false)
	update(later, first[1]+1, balancers, false)
	list := leading(later)
	if len(list) != 5 {
		t.Errorf("balancers %v lead while the statuses of %d are missing", list, first[1])
	}
}

// Guards against lists of addresses that grow for good because nothing runs there.
func TestListedBalancersWithoutAStatusAreForgotten(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	fleet := agfleet.NewFleet(agfleet.Options{Self: balancerIP(0)})
	for sequence := range 400 {
		var list []anvilglade.IPv4
		for i := range 50 {
			list = append(list, anvilglade.IPv4{10, 9, byte(sequence), byte(i)})
		}
		fleet.UpdateBalancer(anvilglade.BalancerStatus{Balancer: balancerIP(1), Incarnation: 1, Sequence: anvilglade.Sequence(sequence + 1), Balancers: list}, now)
	}
	if count := len(fleet.Balancers()); count > 2001 {
		t.Errorf("%d addresses are kept", count)
	}
	fleet.Forget(now.Add(agfleet.ForgetAfter + time.Second))
	fleet.AddBalancers([]anvilglade.IPv4{balancerIP(2)}, now)
	if count := len(fleet.Balancers()); count != 1 {
		t.Errorf("%d addresses are kept after %s, want the one that has just been listed", count, agfleet.ForgetAfter)
	}
}

// Guards against a peer that announces a version which it does not send, and hides the
// newer state of the others.
func TestNewerPeerSkipsPeersThatCannotBeFetched(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	fleet := agfleet.NewFleet(agfleet.Options{Self: balancerIP(0), DataCentre: "dk1"})
	fleet.AdoptDesired(anvilglade.DesiredState{Version: 3})
	sequence := anvilglade.Sequence(0)
	update := func() {
		sequence++
		fleet.UpdateBalancer(anvilglade.BalancerStatus{Balancer: balancerIP(1), Incarnation: 1, Sequence: sequence, Desired: 1 << 63, DataCentre: "dk1"}, now)
		fleet.UpdateBalancer(anvilglade.BalancerStatus{Balancer: balancerIP(2), Incarnation: 1, Sequence: sequence, Desired: 5, DataCentre: "dk2"}, now)
	}
	update()
	first, found := fleet.NewerPeer(now)
	if !found || first.Balancer != balancerIP(1) {
		t.Fatalf("first source is %v, want the newest", first)
	}
	fleet.RecordFetchFailure(first.Balancer, now)
	now = now.Add(200 * time.Millisecond)
	update()
	if second, found := fleet.NewerPeer(now); !found || second.Balancer != balancerIP(2) {
		t.Errorf("source after a failure is %v, want the other balancer", second)
	}
	fleet.AdoptDesired(anvilglade.DesiredState{Version: 5})
	if last, found := fleet.NewerPeer(now); !found || last.Balancer != balancerIP(1) {
		t.Errorf("source is %v, want the failed one, which is the only newer one", last)
	}
}
