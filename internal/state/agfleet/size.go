package agfleet

// The size of this balancer among the others, by which control work is distributed.

import (
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/membership/agpace"
	"github.com/anvilglade/anvilglade/internal/membership/agrank"
)

// smallInterval is the interval of regular statuses of a balancer that is not large, as a
// multiple of that of a large one. With 2, the others count the balancer as unresponsive
// when two statuses in succession are lost, or one is lost and the next one is late.
const smallInterval = 2

// SetCapacity sets the capacity that this balancer announces.
func (f *Fleet) SetCapacity(capacity anvilglade.Capacity) {
	f.capacity = capacity
}

// members returns this balancer and the responsive ones that are not leaving.
func (f *Fleet) members(now time.Time) []agrank.Member {
	list := []agrank.Member{{Address: f.options.Self, DataCentre: f.options.DataCentre, Capacity: f.capacity}}
	for address, balancer := range f.balancers {
		if f.responsive(balancer, now) && !balancer.Leaving {
			list = append(list, agrank.Member{Address: address, DataCentre: balancer.DataCentre, Capacity: balancer.Capacity})
		}
	}
	return list
}

// localMembers returns the members of this data centre.
func (f *Fleet) localMembers(now time.Time) []agrank.Member {
	return slices.DeleteFunc(f.members(now), func(member agrank.Member) bool { return !f.Local(member.DataCentre) })
}

// localPosition returns the number of balancers of this data centre before this one in
// the order of agrank.
func (f *Fleet) localPosition(now time.Time) int {
	return agrank.Position(f.localMembers(now), f.options.Self)
}

// Size describes this balancer among the balancers of its data centre.
type Size struct {
	Capacity anvilglade.Capacity
	// Position is the number of balancers before this one in the order of agrank.
	Position int
	// Members is the number of responsive balancers, with this one.
	Members int
	// Large is set if this balancer has at least half of the capacity of the largest one,
	// see agrank.Large.
	Large bool
}

// Size returns the size of this balancer.
func (f *Fleet) Size(now time.Time) Size {
	members := f.localMembers(now)
	return Size{
		Capacity: f.capacity,
		Position: agrank.Position(members, f.options.Self),
		Members:  len(members),
		Large:    slices.Contains(agrank.Large(members), f.options.Self),
	}
}

// Relieved reports whether larger balancers of this data centre do the control work: this
// balancer is not large, and it does not watch the store.
func (f *Fleet) Relieved(now time.Time) bool {
	return !f.Size(now).Large && f.WatchRole(now) == anvilglade.WatchNone
}

// StatusReceivers returns the balancers that receive a regular status of this balancer,
// given the number of the status. A balancer that is not large leaves out every second
// one. If it watches the store, the balancers of its data centre, whose roles depend on
// it, receive all of them.
func (f *Fleet) StatusReceivers(number uint64, now time.Time) []*Balancer {
	peers := f.Balancers()
	if number%smallInterval == 1 || f.Size(now).Large {
		return peers
	}
	if f.WatchRole(now) == anvilglade.WatchNone {
		return nil
	}
	return slices.DeleteFunc(peers, func(peer *Balancer) bool { return !f.Local(peer.DataCentre) })
}

// StatusesPerList returns the number of regular statuses of this balancer of which the
// first has lists. Base is the number for a large balancer in a small fleet. For a small
// balancer it is a multiple of smallInterval, so that the statuses with lists are among
// those that all balancers receive.
func (f *Fleet) StatusesPerList(base uint64, now time.Time) uint64 {
	if f.Size(now).Large {
		return agpace.MessagesPerList(base, len(f.balancers))
	}
	return smallInterval * agpace.MessagesPerList(base, len(f.balancers))
}
