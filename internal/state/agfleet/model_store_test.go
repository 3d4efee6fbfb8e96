package agfleet_test

import (
	"time"

	"pgregory.net/rapid"

	"github.com/anvilglade/anvilglade"
)

// maxRewriteDelay is the maximum time after a restoration of the store until operators have
// written again what it lacks. It is below the time for which evacuations stay in effect
// that the store lacks.
const maxRewriteDelay = 4 * time.Second

// maxHold is the time after which no evacuation stays in effect that the store lacks.
const maxHold = 12 * time.Second

// modelStore is the part of the store with the evacuation of dk2. It may be restored from
// an older copy.
type modelStore struct {
	era anvilglade.StoreEra
	// writes has the decision of each write since the first one. Their number is the
	// revision.
	writes []bool
	// wanted is the last decision of the operators, writtenAt its position. restoredAt is
	// zero unless the store lacks it.
	wanted     bool
	writtenAt  anvilglade.StorePosition
	restoredAt time.Time
}

func newModelStore() *modelStore {
	return &modelStore{era: 1, writes: []bool{false}, writtenAt: anvilglade.StorePosition{Era: 1, Revision: 1}}
}

func (s *modelStore) position() anvilglade.StorePosition {
	return anvilglade.StorePosition{Era: s.era, Revision: anvilglade.StoreRevision(len(s.writes))}
}

// decide writes a decision of the operators.
func (s *modelStore) decide(evacuated bool) {
	s.writes = append(s.writes, evacuated)
	s.wanted, s.writtenAt, s.restoredAt = evacuated, s.position(), time.Time{}
}

// restore restores a copy that lacks the last writes.
func (s *modelStore) restore(lost int, now time.Time) {
	s.era++
	s.writes = s.writes[:max(1, len(s.writes)-lost)]
	if s.restoredAt.IsZero() {
		s.restoredAt = now
	}
}

// rewrite writes the last decision again if the store lacks it.
func (s *modelStore) rewrite() {
	if !s.restoredAt.IsZero() {
		s.decide(s.wanted)
	}
}

// list returns the result of a read.
func (s *modelStore) list() *anvilglade.EvacuationUpdate {
	update := &anvilglade.EvacuationUpdate{Position: s.position(), Listed: true}
	if s.writes[len(s.writes)-1] {
		update.Decisions = []anvilglade.EvacuationDecision{{DataCentre: "dk2", Evacuated: true, Position: update.Position}}
	}
	return update
}

func (m *model) evacuate(t *rapid.T) {
	for range 1 + pick(t, 3, "writes") {
		m.store.decide(rapid.Bool().Draw(t, "evacuated"))
	}
}

func (m *model) restore(t *rapid.T) {
	m.store.restore(pick(t, 4, "lost"), m.now)
}

func (m *model) rewrite(*rapid.T) {
	m.store.rewrite()
}

// hasDecision reports whether a balancer has received the operators' last decision, if that
// is an evacuation.
func (m *model) hasDecision(evacuations *anvilglade.Evacuations) bool {
	for _, decision := range evacuations.Decisions {
		if decision.DataCentre == "dk2" && decision.Evacuated && !decision.Position.Before(m.store.writtenAt) {
			return m.store.wanted
		}
	}
	return false
}
