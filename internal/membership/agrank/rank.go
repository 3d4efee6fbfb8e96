// Package agrank decides which balancers do the control work of a data centre whose
// balancers differ in size.
//
// A balancer derives its capacity from the limits of its VM (CapacityOf), lowers it
// while it is short of processor time or link rate (Monitor), and announces it in its
// status. Every process that receives the statuses computes the same order, so nothing
// has to be agreed: Order sorts balancers by their capacity relative to the largest one
// of their data centre, and balancers of equal size by a hash of their address. Large
// selects those that have at least half of the capacity of the largest one, for work
// that is spread over many balancers.
//
// Balancers of earlier builds announce no capacity and order all balancers by the hash.
// In the order they keep the place that they compute for themselves, and the remaining
// places go to the others by size. So each place has one balancer in a fleet of mixed
// builds, too. Large treats them as large.
//
// The package does no I/O and reads no clock. A Monitor is not safe for concurrent use.
//
// # Usage
//
//	monitor := agrank.NewMonitor(settings.Limits)
//	monitor.Observe(agrank.Reading{Processor: used, Sent: sent, Received: received}, now)
//	status.Capacity = monitor.Capacity()
//
//	if agrank.Position(members, self) < watchersPerCentre {
//		// do the work
//	}
//	large := agrank.Large(members)
package agrank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilglade/anvilglade"
)

const (
	// largeDivisor divides the largest capacity of a data centre; a balancer with at
	// least the result is large.
	largeDivisor = 2
	// majorityDivisor divides the sum of the capacities of a data centre. If its large
	// balancers have less than the result, all of its balancers count as large:
	// otherwise few large ones would get the work of many small ones.
	majorityDivisor = 2
)

// Member is a balancer that takes part in a selection.
type Member struct {
	Address    anvilglade.IPv4
	DataCentre anvilglade.DataCentreID
	Capacity   anvilglade.Capacity
}

// Rank returns a hash of an address, which spreads the selected balancers over the data
// centres: addresses within one data centre are similar.
func Rank(address anvilglade.IPv4) uint64 {
	return xxhash.Sum64(address[:])
}

// Order returns the members in the order in which they take over a duty. A member
// without a capacity keeps the place that its rank alone gives it.
func Order(members []Member) []Member {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, compareRanks)
	known := slices.DeleteFunc(slices.Clone(ordered), func(m Member) bool { return m.Capacity == 0 })
	largest := largestOf(members)
	// The sort is stable, so members of equal size stay in the order of their ranks.
	slices.SortStableFunc(known, func(a, b Member) int { return compareSizes(&a, &b, largest) })
	for i := range ordered {
		if ordered[i].Capacity != 0 {
			ordered[i], known = known[0], known[1:]
		}
	}
	return ordered
}

// Position returns the index in Order of the member with an address. There has to be one.
func Position(members []Member, address anvilglade.IPv4) int {
	index := slices.IndexFunc(members, func(m Member) bool { return m.Address == address })
	self := members[index]
	if slices.ContainsFunc(members, func(m Member) bool { return (m.Capacity == 0) != (self.Capacity == 0) }) {
		return slices.IndexFunc(Order(members), func(m Member) bool { return m.Address == address })
	}
	// Without members that keep their place no sort is needed.
	largest, position := largestOf(members), 0
	for i := range members {
		if cmp.Or(compareSizes(&members[i], &self, largest), compareRanks(members[i], self)) < 0 {
			position++
		}
	}
	return position
}

// Large returns the members that have at least half the capacity of the largest one of
// their data centre, and those without a capacity, in the order of members. It returns
// all members of a data centre whose large ones have less than half of its capacity.
func Large(members []Member) []anvilglade.IPv4 {
	largest := largestOf(members)
	isLarge := func(member *Member) bool {
		return member.Capacity == 0 || largeDivisor*uint32(member.Capacity) >= uint32(largest[member.DataCentre])
	}
	// Members without a capacity are left out of both sums.
	all, ofLarge := make(map[anvilglade.DataCentreID]uint64), make(map[anvilglade.DataCentreID]uint64)
	for i := range members {
		capacity := uint64(members[i].Capacity)
		all[members[i].DataCentre] += capacity
		if isLarge(&members[i]) {
			ofLarge[members[i].DataCentre] += capacity
		}
	}
	var large []anvilglade.IPv4
	for i := range members {
		dataCentre := members[i].DataCentre
		if isLarge(&members[i]) || majorityDivisor*ofLarge[dataCentre] < all[dataCentre] {
			large = append(large, members[i].Address)
		}
	}
	return large
}

// compareSizes compares the capacities of two members relative to the largest ones of
// their data centres; the larger member is first.
func compareSizes(a, b *Member, largest map[anvilglade.DataCentreID]anvilglade.Capacity) int {
	if a.DataCentre == b.DataCentre {
		return cmp.Compare(b.Capacity, a.Capacity)
	}
	// The products compare the quotients without rounding.
	return cmp.Compare(uint32(b.Capacity)*uint32(largest[a.DataCentre]), uint32(a.Capacity)*uint32(largest[b.DataCentre]))
}

// compareRanks compares the hashes of two addresses; the lower one is first.
func compareRanks(a, b Member) int {
	return cmp.Compare(Rank(a.Address), Rank(b.Address))
}

// largestOf returns the largest capacity of each data centre.
func largestOf(members []Member) map[anvilglade.DataCentreID]anvilglade.Capacity {
	largest := make(map[anvilglade.DataCentreID]anvilglade.Capacity)
	for _, member := range members {
		largest[member.DataCentre] = max(largest[member.DataCentre], member.Capacity)
	}
	return largest
}
