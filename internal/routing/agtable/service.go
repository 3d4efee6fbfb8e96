package agtable

// Building of the lists of one service, from its members or as an update of the
// previous lists. An update ranks all hosts only for the buckets that list a host
// which left or changed its rank, and checks each added host against the lists of
// the other buckets.

import (
	"slices"

	"github.com/anvilglade/anvilglade"
)

// extendShare is the inverse of the share of hosts up to which an update is cheaper
// than building all lists: one in extendShare hosts may change.
const extendShare = 8

// build returns the service for its members, which are sorted by host name.
func (b *Builder) build(id anvilglade.ServiceID, group []member, stats *Stats) *Service {
	last := b.table.services[id]
	if last != nil && slices.Equal(b.lastMembers[id], group) {
		return last
	}
	b.lastMembers[id] = group
	if b.options.Baseline {
		stats.Ranked++
		return newBaselineService(id, group)
	}
	if last != nil && len(group) > SmallService && len(last.hosts) == len(last.members) {
		if service := last.extend(group); service != nil {
			stats.Extended++
			return service
		}
	}
	stats.Ranked++
	if len(group) <= SmallService {
		return newSmallService(id, group)
	}
	return newLargeService(id, group)
}

func newService(id anvilglade.ServiceID, members []member) *Service {
	return &Service{
		number:  id.Number(),
		members: members,
		hosts:   candidatesOf(members),
		offsets: make([]uint32, 1, Buckets+1),
	}
}

func candidatesOf(members []member) []anvilglade.Candidate {
	hosts := make([]anvilglade.Candidate, len(members), 2*len(members))
	for i := range members {
		hosts[i] = members[i].candidate
	}
	return hosts
}

// selectArbiter returns the slot of the arbiter.
func selectArbiter(members []member) int {
	best := -1
	for i := range members {
		if members[i].host == "" {
			continue
		}
		if best < 0 || isOlder(&members[i], &members[best]) {
			best = i
		}
	}
	return best
}

func isOlder(a, b *member) bool {
	if a.arbiterStamp != b.arbiterStamp {
		return a.arbiterStamp < b.arbiterStamp
	}
	if a.join != b.join {
		return a.join < b.join
	}
	return a.host < b.host
}

// endRow ends the list of a bucket.
func (s *Service) endRow() {
	s.offsets = append(s.offsets, uint32(len(s.orders)))
}

// appendRanked appends a list: the hosts by score, then the suspected ones by score,
// then the arbiter.
func (s *Service) appendRanked(row []ranked, arbiter int) {
	for _, suspect := range []bool{false, true} {
		for _, host := range row {
			if s.members[int(host.slot)%len(s.members)].suspect == suspect {
				s.orders = append(s.orders, host.slot)
			}
		}
	}
	s.orders = append(s.orders, uint16(arbiter))
	s.endRow()
}

// newLargeService ranks all buckets.
func newLargeService(id anvilglade.ServiceID, members []member) *Service {
	s := newService(id, members)
	arbiter := selectArbiter(members)
	s.arbiter = members[arbiter].host
	r := newRanker(members, arbiter)
	for bucket := range Buckets {
		s.appendRanked(r.rank(bucket), arbiter)
	}
	s.cut = r.cut
	s.orders = slices.Clip(s.orders)
	return s
}

// newSmallService lists all hosts in each bucket. Hosts that would be excluded in a
// large service are listed as not accepting, by a second candidate with the same
// address. Otherwise flows could be placed on hosts that the lists exclude once the
// service has more than SmallService hosts. If no accepting host is left in a bucket,
// all its hosts are listed with their own state.
func newSmallService(id anvilglade.ServiceID, members []member) *Service {
	s := newService(id, members)
	n := len(members)
	for i := range members {
		s.hosts = append(s.hosts, anvilglade.Candidate{Address: members[i].candidate.Address})
	}
	arbiter := selectArbiter(members)
	s.arbiter = members[arbiter].host
	holders, all := newRanker(members, arbiter), newRanker(members, arbiter)
	all.byBlocksFrom = nil
	s.orders = make([]uint16, 0, Buckets*n)
	for bucket := range Buckets {
		var listed [SmallService]bool
		accepting := members[arbiter].candidate.Accepts
		for _, host := range holders.rank(bucket) {
			listed[host.slot] = true
			accepting = accepting || members[host.slot].candidate.Accepts
		}
		row := all.rank(bucket)
		for i := range row {
			if accepting && !listed[row[i].slot] {
				row[i].slot += uint16(n)
			}
		}
		s.appendRanked(row, arbiter)
	}
	return s
}

// newBaselineService lists the best accepting host of each bucket.
func newBaselineService(id anvilglade.ServiceID, members []member) *Service {
	s := newService(id, members)
	for bucket := range Buckets {
		best, bestScore := -1, uint64(0)
		for i := range members {
			if value := score(members[i].hash, bucket); members[i].candidate.Accepts && (best < 0 || value > bestScore) {
				best, bestScore = i, value
			}
		}
		if best >= 0 {
			s.orders = append(s.orders, uint16(best))
		}
		s.endRow()
	}
	return s
}

// memberDiff is the difference between the members of a service and its new members.
type memberDiff struct {
	members []member
	// touched marks slots whose host left or is ranked differently.
	touched []bool
	// added lists the slots of hosts that joined or are ranked differently,
	// removed is the number of hosts that left.
	added   []uint16
	removed int
}

// diff assigns the new members to slots. Hosts that remain keep their slot.
func (s *Service) diff(group []member) *memberDiff {
	slots := make(map[anvilglade.HostID]int, len(s.members))
	for i := range s.members {
		if s.members[i].host != "" {
			slots[s.members[i].host] = i
		}
	}
	c := &memberDiff{members: make([]member, len(s.members)), touched: make([]bool, len(s.members))}
	var joined []member
	for i := range group {
		slot, ok := slots[group[i].host]
		if !ok {
			joined = append(joined, group[i])
			continue
		}
		c.members[slot] = group[i]
		if !s.members[slot].sameRank(&group[i]) {
			c.touched[slot] = true
			c.added = append(c.added, uint16(slot))
		}
	}
	for i := range c.members {
		if c.members[i].host != "" {
			continue
		}
		if s.members[i].host != "" {
			c.touched[i] = true
			c.removed++
		}
		if len(joined) > 0 {
			c.members[i], joined = joined[0], joined[1:]
			c.added = append(c.added, uint16(i))
		}
	}
	for _, host := range joined {
		c.added = append(c.added, uint16(len(c.members)))
		c.members = append(c.members, host)
	}
	return c
}

// extend returns the service updated to new members. It returns nil if building all
// lists is cheaper or the arbiter changes.
func (s *Service) extend(group []member) *Service {
	c := s.diff(group)
	arbiter := selectArbiter(c.members)
	if (len(c.added)+c.removed)*extendShare > len(group) || len(c.members) > 2*len(group) ||
		arbiter >= len(s.members) || c.touched[arbiter] || c.members[arbiter].host != s.arbiter {
		return nil
	}
	next := &Service{number: s.number, members: c.members, hosts: candidatesOf(c.members), arbiter: s.arbiter, cut: s.cut}
	if len(c.added)+c.removed == 0 {
		next.offsets, next.orders = s.offsets, s.orders
		return next
	}
	next.offsets = make([]uint32, 1, Buckets+1)
	next.orders = make([]uint16, 0, len(s.orders)+len(s.orders)/extendShare)
	r := newRanker(c.members, arbiter)
	next.cut = 0
	for bucket := range Buckets {
		var row []ranked
		if before := s.Order(bucket); !c.touches(before) {
			row = r.extend(bucket, before, c.added)
		}
		if row == nil {
			row = r.rank(bucket)
		}
		next.appendRanked(row, arbiter)
	}
	next.cut = r.cut
	return next
}

// touches reports whether a list contains a touched slot.
func (c *memberDiff) touches(order []uint16) bool {
	for _, slot := range order {
		if c.touched[slot] {
			return true
		}
	}
	return false
}
