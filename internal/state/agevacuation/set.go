// Package agevacuation holds the decisions of operators on evacuated data centres.
//
// Decisions come from the platform's store and from other processes. Each has the
// position of the store at which it was in force, and of two decisions on a data centre
// the one with the later position counts. Updates may therefore arrive in any order.
//
// The store may be restored from an older copy, which begins a new era. The copy may lack
// an evacuation that the store has acknowledged, until operators write it again. Such
// an evacuation stays in effect: it ends when the new era has another decision on the data
// centre, or when the store still lacks it after restoreHold. An evacuation that the copy
// contains is in effect although operators had ended it, until they end it again. Both
// keep new flows away from hosts that operators may be about to take down.
//
// A Set takes the time as a parameter, has no sockets and is not safe for concurrent use.
//
// # Usage
//
//	set := agevacuation.NewSet()
//	set.Update(&update, now) // a read of the store
//	set.Merge(&status.Evacuations, now) // the decisions of another process
//	if set.Evacuations().Has(dataCentre) {
//		// no new flows
//	}
package agevacuation

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
)

const (
	// restoreHold is the minimum time for which an evacuation stays in effect that a
	// restored store lacks. Operators write again what the store has lost.
	restoreHold = 10 * time.Second
	// maxDecisions is the number of decisions above which those that have ended
	// evacuations are removed, the oldest ones first. Statuses carry all decisions.
	maxDecisions = 32
)

// decision is the latest decision on a data centre.
type decision struct {
	anvilglade.EvacuationDecision
	// missingSince is the time since which a later era of the store has no decision on
	// the data centre.
	missingSince time.Time
}

// Set holds the latest decision on each data centre.
type Set struct {
	decisions map[anvilglade.DataCentreID]*decision
	// current is the view of decisions that statuses carry. Its slices are replaced as a
	// whole, because statuses that are being sent refer to them.
	current anvilglade.Evacuations
}

// NewSet returns a Set without decisions.
func NewSet() *Set {
	return &Set{decisions: make(map[anvilglade.DataCentreID]*decision)}
}

// Evacuations returns the decisions in effect. The result must not be modified.
func (s *Set) Evacuations() *anvilglade.Evacuations {
	return &s.current
}

// Update adopts the result of a read of the store and reports whether the evacuated data
// centres have changed.
func (s *Set) Update(update *anvilglade.EvacuationUpdate, now time.Time) bool {
	s.endMissing(update.Position, update.Decisions, update.Listed, now)
	return s.adopt(update.Position, update.Decisions, now)
}

// Merge adopts the decisions of another process and reports whether the evacuated data
// centres have changed.
func (s *Set) Merge(evacuations *anvilglade.Evacuations, now time.Time) bool {
	position := evacuations.Position()
	if position.Era == 0 && len(evacuations.Decisions) == 0 {
		return s.mergeList(evacuations, now)
	}
	s.endMissing(position, evacuations.Decisions, true, now)
	return s.adopt(position, evacuations.Decisions, now)
}

// mergeList adopts the list of a process whose build does not know eras. It counts only
// while the era is unknown here too.
func (s *Set) mergeList(evacuations *anvilglade.Evacuations, now time.Time) bool {
	position := evacuations.Position()
	if !s.current.Position().Before(position) {
		return false
	}
	update := anvilglade.EvacuationUpdate{Position: position, Listed: true}
	for _, dataCentre := range evacuations.DataCentres {
		update.Decisions = append(update.Decisions, anvilglade.EvacuationDecision{DataCentre: dataCentre, Evacuated: true, Position: position})
	}
	return s.Update(&update, now)
}

// endMissing ends the evacuations on which the era of a position has no decision. Those of
// former eras end after restoreHold, the others only if decisions is complete.
func (s *Set) endMissing(position anvilglade.StorePosition, decisions []anvilglade.EvacuationDecision, complete bool, now time.Time) {
	for _, held := range s.decisions {
		if !held.Evacuated || !held.Position.Before(position) || decidesIn(position.Era, decisions, held.DataCentre) {
			continue
		}
		former := held.Position.Era < position.Era
		if former && held.missingSince.IsZero() {
			held.missingSince = now
		}
		if former && now.Sub(held.missingSince) >= restoreHold || !former && complete {
			held.Evacuated, held.Position = false, position
		}
	}
}

// decidesIn reports whether one of the decisions is of the given era and concerns a data
// centre.
func decidesIn(era anvilglade.StoreEra, decisions []anvilglade.EvacuationDecision, dataCentre anvilglade.DataCentreID) bool {
	return slices.ContainsFunc(decisions, func(d anvilglade.EvacuationDecision) bool { return d.DataCentre == dataCentre && d.Position.Era == era })
}

// adopt adopts decisions that are later than the present ones on the same data centres.
func (s *Set) adopt(position anvilglade.StorePosition, decisions []anvilglade.EvacuationDecision, now time.Time) bool {
	for _, next := range decisions {
		s.decide(next, now)
	}
	s.removeOldest()
	former := s.current
	if former.Position().Before(position) {
		s.current.Era, s.current.Revision = position.Era, position.Revision
	}
	s.current.DataCentres, s.current.Decisions = nil, nil
	for _, held := range s.decisions {
		if held.Position.Era == s.current.Era {
			held.Position = s.current.Position()
		}
		s.current.Decisions = append(s.current.Decisions, held.EvacuationDecision)
		if held.Evacuated {
			s.current.DataCentres = append(s.current.DataCentres, held.DataCentre)
		}
	}
	slices.Sort(s.current.DataCentres)
	slices.SortFunc(s.current.Decisions, func(a, b anvilglade.EvacuationDecision) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return !slices.Equal(former.DataCentres, s.current.DataCentres)
}

// decide adopts a decision. What is known of the present era is complete up to the current
// position, at which all known decisions of that era are in force. An earlier decision of
// that era is therefore outdated, but it shows that the era has decided on the data centre:
// an evacuation of a former era has ended.
func (s *Set) decide(next anvilglade.EvacuationDecision, now time.Time) {
	current := s.current.Position()
	held, known := s.decisions[next.DataCentre]
	switch {
	case next.Position.Era == current.Era && !current.Before(next.Position):
		if known && held.Position.Era < current.Era {
			held.Evacuated, held.Position = false, current
		}
	case !known || held.Position.Before(next.Position):
		adopted := &decision{EvacuationDecision: next}
		if next.Position.Era < current.Era {
			adopted.missingSince = now
		}
		s.decisions[next.DataCentre] = adopted
	}
}

// removeOldest removes decisions that have ended evacuations while there are more than
// maxDecisions.
func (s *Set) removeOldest() {
	for len(s.decisions) > maxDecisions {
		var oldest *decision
		for _, held := range s.decisions {
			if !held.Evacuated && (oldest == nil || held.Position.Before(oldest.Position)) {
				oldest = held
			}
		}
		if oldest == nil {
			return
		}
		delete(s.decisions, oldest.DataCentre)
	}
}

// Missing returns the evacuated data centres on which the present era of the store has no
// decision.
func (s *Set) Missing() []anvilglade.DataCentreID {
	var list []anvilglade.DataCentreID
	for _, dataCentre := range s.current.DataCentres {
		if s.decisions[dataCentre].Position.Era < s.current.Era {
			list = append(list, dataCentre)
		}
	}
	return list
}
