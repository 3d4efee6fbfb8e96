package agtable

// Computation of the lists. For one bucket the hosts are visited in the order in
// which they joined, while the best scores of the blockers that are old enough are
// tracked, so that one pass decides for every host.
//
// The hosts of a list determine it: the Placements best blockers of any host are in
// the list themselves, because each blocker of a blocker also blocks the host. An
// incremental update therefore needs only the previous list, unless a listed host
// has left.

import (
	"cmp"
	"math"
	"slices"

	"github.com/anvilglade/anvilglade"
)

// noStamp is the blocksFrom of a host that blocks no other, and the arbiterStamp of a
// host that is arbiter only if there is no other.
const noStamp = anvilglade.JoinStamp(math.MaxUint64)

// member holds the properties of a host that determine the lists.
type member struct {
	host anvilglade.HostID
	hash uint64
	join anvilglade.JoinStamp
	// blocksFrom is the stamp from which the host blocks hosts that join later, or
	// noStamp.
	blocksFrom anvilglade.JoinStamp
	// arbiterStamp orders the hosts for the choice of the arbiter.
	arbiterStamp anvilglade.JoinStamp
	candidate    anvilglade.Candidate
	// suspect moves the host behind all others except the arbiter. If the host is
	// dead, it loses no packets of other hosts' flows; if it is running, it still
	// receives the packets of its own flows.
	suspect bool
}

// sameRank reports whether two states of a host result in the same lists.
func (m *member) sameRank(other *member) bool {
	return m.host == other.host && m.join == other.join && m.blocksFrom == other.blocksFrom && m.suspect == other.suspect
}

// score returns the rendezvous score of a host in a bucket: a 64-bit mix with the
// constants of SplitMix64.
func score(hash uint64, bucket int) uint64 {
	x := hash + uint64(bucket+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ranked is a listed host with its score.
type ranked struct {
	score uint64
	slot  uint16
}

// ranker computes the lists of one service.
type ranker struct {
	members      []member
	arbiter      int
	byJoin       []uint16
	byBlocksFrom []uint16 // blockers only
	scores       []uint64
	row          []ranked
	cut          int
}

func newRanker(members []member, arbiter int) *ranker {
	r := &ranker{members: members, arbiter: arbiter, scores: make([]uint64, len(members))}
	for i := range members {
		if members[i].host == "" {
			continue
		}
		r.byJoin = append(r.byJoin, uint16(i))
		if members[i].blocksFrom != noStamp {
			r.byBlocksFrom = append(r.byBlocksFrom, uint16(i))
		}
	}
	slices.SortFunc(r.byJoin, func(a, b uint16) int { return cmp.Compare(members[a].join, members[b].join) })
	slices.SortFunc(r.byBlocksFrom, func(a, b uint16) int { return cmp.Compare(members[a].blocksFrom, members[b].blocksFrom) })
	return r
}

// blockers holds the best scores of the blockers visited so far, in descending order.
// A missing score is 0, which excludes no host.
type blockers [Placements]uint64

func (b *blockers) add(score uint64) {
	for i := range b {
		if score > b[i] {
			score, b[i] = b[i], score
		}
	}
}

func (b *blockers) exclude(score uint64) bool {
	return score < b[Placements-1]
}

// blocks reports whether a host with the given blocksFrom is old enough to block a
// host that joined at join.
func blocks(blocksFrom, join anvilglade.JoinStamp) bool {
	return blocksFrom != noStamp && join >= stampWindow && blocksFrom <= join-stampWindow
}

// rank computes the list of a bucket without the arbiter, best host first. The result
// is valid until the next call.
func (r *ranker) rank(bucket int) []ranked {
	for _, slot := range r.byJoin {
		r.scores[slot] = score(r.members[slot].hash, bucket)
	}
	var best blockers
	next, listed := 0, 0
	r.row = r.row[:0]
	for _, slot := range r.byJoin {
		for next < len(r.byBlocksFrom) && blocks(r.members[r.byBlocksFrom[next]].blocksFrom, r.members[slot].join) {
			best.add(r.scores[r.byBlocksFrom[next]])
			next++
		}
		if int(slot) == r.arbiter || best.exclude(r.scores[slot]) {
			continue
		}
		listed++
		r.insert(ranked{score: r.scores[slot], slot: slot})
	}
	if listed > anvilglade.MaxCandidates {
		r.cut++
	}
	return r.row
}

// insert inserts a host into the row by its score. If the row has MaxCandidates
// hosts, the last one is dropped.
func (r *ranker) insert(host ranked) {
	if len(r.row) < anvilglade.MaxCandidates {
		r.row = append(r.row, host)
	} else if host.score <= r.row[len(r.row)-1].score {
		return
	}
	i := len(r.row) - 1
	for i > 0 && r.row[i-1].score < host.score {
		r.row[i] = r.row[i-1]
		i--
	}
	r.row[i] = host
}

// extend computes the list of a bucket from the previous list and the added hosts. It
// returns nil if all hosts must be ranked for the list.
func (r *ranker) extend(bucket int, before []uint16, added []uint16) []ranked {
	if len(before) > anvilglade.MaxCandidates {
		return nil // the previous list may be truncated and lack blockers
	}
	r.row = r.row[:0]
	for _, slot := range before[:len(before)-1] {
		if r.members[slot].suspect {
			return nil // the previous list is not in the order of the scores
		}
		r.row = append(r.row, ranked{score: score(r.members[slot].hash, bucket), slot: slot})
	}
	for _, slot := range added {
		if len(r.row) == anvilglade.MaxCandidates {
			return nil
		}
		r.insert(ranked{score: score(r.members[slot].hash, bucket), slot: slot})
	}
	return r.filter(bucket)
}

// filter removes the hosts that other hosts of the row and the arbiter exclude.
func (r *ranker) filter(bucket int) []ranked {
	arbiter := &r.members[r.arbiter]
	arbiterScore := score(arbiter.hash, bucket)
	kept := r.row[:0]
	for _, host := range r.row {
		join := r.members[host.slot].join
		count := 0
		if arbiterScore > host.score && blocks(arbiter.blocksFrom, join) {
			count++
		}
		for _, above := range kept {
			if blocks(r.members[above.slot].blocksFrom, join) {
				count++
			}
		}
		if count < Placements {
			kept = append(kept, host)
		}
	}
	return kept
}
