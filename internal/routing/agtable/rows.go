package agtable

// Computes the lists. For one bucket the hosts are visited in the order in
// which they joined while the best scores of the blockers that are old enough
// are kept, so one pass decides for every host. A list needs no host outside
// it: the Placements best blockers of any host are in the list themselves,
// because whatever blocks a blocker blocks the host as well. An incremental
// update therefore works on the list alone unless a listed host goes.

import (
	"cmp"
	"math"
	"slices"

	"github.com/anvilglade/anvilglade"
)

// never is the stamp of a host that blocks no other and is arbiter only if
// there is none else.
const never = anvilglade.JoinStamp(math.MaxUint64)

// member is what the lists need to know of a host.
type member struct {
	host anvilglade.HostID
	hash uint64
	join anvilglade.JoinStamp
	// since is the stamp from which the host blocks younger ones, or never.
	since anvilglade.JoinStamp
	// age orders the hosts for the choice of the arbiter.
	age       anvilglade.JoinStamp
	candidate anvilglade.Candidate
	// suspect puts the host behind all others but the arbiter. If it is dead,
	// packets of flows of other hosts do not end at it; if it lives, it still
	// gets its own.
	suspect bool
}

// sameRank reports whether two states of a host lead to the same lists.
func (m *member) sameRank(other *member) bool {
	return m.host == other.host && m.join == other.join && m.since == other.since && m.suspect == other.suspect
}

// score is the rendezvous score of a host in a bucket: a mix of 64 bits with
// the constants of SplitMix64.
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
	members []member
	arbiter int
	byJoin  []uint16
	bySince []uint16 // blockers only
	scores  []uint64
	row     []ranked
	cut     int
}

func newRanker(members []member, arbiter int) *ranker {
	r := &ranker{members: members, arbiter: arbiter, scores: make([]uint64, len(members))}
	for i := range members {
		if members[i].host == "" {
			continue
		}
		r.byJoin = append(r.byJoin, uint16(i))
		if members[i].since != never {
			r.bySince = append(r.bySince, uint16(i))
		}
	}
	slices.SortFunc(r.byJoin, func(a, b uint16) int { return cmp.Compare(members[a].join, members[b].join) })
	slices.SortFunc(r.bySince, func(a, b uint16) int { return cmp.Compare(members[a].since, members[b].since) })
	return r
}

// blockers keeps the best scores of the blockers seen so far in descending
// order. A missing one is 0, which blocks nothing.
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

// blocks reports whether a host that blocks from since on is old enough to
// block one that joined at join.
func blocks(since, join anvilglade.JoinStamp) bool {
	return since != never && join >= stampWindow && since <= join-stampWindow
}

// rank computes the list of a bucket without the arbiter, best first. The
// result is valid until the next call.
func (r *ranker) rank(bucket int) []ranked {
	for _, slot := range r.byJoin {
		r.scores[slot] = score(r.members[slot].hash, bucket)
	}
	var best blockers
	next, listed := 0, 0
	r.row = r.row[:0]
	for _, slot := range r.byJoin {
		for next < len(r.bySince) && blocks(r.members[r.bySince[next]].since, r.members[slot].join) {
			best.add(r.scores[r.bySince[next]])
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

// insert puts a host in its place in the row and drops the last one beyond
// MaxCandidates.
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

// extend computes the list of a bucket from the list before hosts were added.
// It returns nil if the list must be ranked anew.
func (r *ranker) extend(bucket int, before []uint16, added []uint16) []ranked {
	if len(before) > anvilglade.MaxCandidates {
		return nil // the list may have been cut, so it does not hold all blockers
	}
	r.row = r.row[:0]
	for _, slot := range before[:len(before)-1] {
		if r.members[slot].suspect {
			return nil // the list before is not in the order of the scores
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

// filter drops the hosts of the row that others in it and the arbiter exclude.
func (r *ranker) filter(bucket int) []ranked {
	arbiter := &r.members[r.arbiter]
	arbiterScore := score(arbiter.hash, bucket)
	kept := r.row[:0]
	for _, host := range r.row {
		join := r.members[host.slot].join
		count := 0
		if arbiterScore > host.score && blocks(arbiter.since, join) {
			count++
		}
		for _, above := range kept {
			if blocks(r.members[above.slot].since, join) {
				count++
			}
		}
		if count < Placements {
			kept = append(kept, host)
		}
	}
	return kept
}
