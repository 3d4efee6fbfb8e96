package agscenario

// Measures of the results of edits of the configuration.

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/anvilglade/anvilglade/internal/config/agconfig"
	"github.com/anvilglade/anvilglade/internal/stand/agcaller"
)

// lags returns, for each accepted edit since the mark, the time from the start of
// the command until every running balancer had its revision, and the number of
// edits whose revision some balancer never had.
func (s *caseRun) lags() (lags []time.Duration, never int) {
	s.fleet.mu.Lock()
	balancers := s.fleet.runningBalancers()
	s.fleet.mu.Unlock()
	s.config.mu.Lock()
	defer s.config.mu.Unlock()
	for _, one := range s.config.edits {
		if one.code != exitAccepted || one.revision == 0 || one.start.Before(s.markTime) {
			continue
		}
		latest, complete := one.start, true
		for _, name := range balancers {
			at, ok := firstAtLeast(s.config.observations[name], one.revision)
			complete = complete && ok
			if at.After(latest) {
				latest = at
			}
		}
		if !complete {
			never++
			continue
		}
		lags = append(lags, latest.Sub(one.start))
	}
	return lags, never
}

func firstAtLeast(list []observation, revision uint64) (time.Time, bool) {
	for _, item := range list {
		if item.revision >= revision {
			return item.at, true
		}
	}
	return time.Time{}, false
}

func (s *caseRun) inForce(percent int) value {
	lags, never := s.lags()
	if len(lags) == 0 {
		return missing("no accepted edit came into force; %d never did", never)
	}
	if never > 0 {
		return missing("%d of %d accepted edits never came into force on every balancer", never, never+len(lags))
	}
	return value{value: agcaller.Percentile(lags, percent).Seconds(), of: float64(len(lags)), unit: "s"}
}

func measureInForceP99(_ context.Context, s *caseRun, _ string) value { return s.inForce(99) }

func measureInForceMax(_ context.Context, s *caseRun, _ string) value { return s.inForce(100) }

func measureReverted(_ context.Context, s *caseRun, _ string) value {
	if !s.config.watching {
		return missing("the case does not watch revisions")
	}
	s.config.mu.Lock()
	defer s.config.mu.Unlock()
	observations := 0
	for _, list := range s.config.observations {
		observations += len(list)
	}
	if observations == 0 {
		return missing("no balancer reported a revision")
	}
	return count(s.config.reverted, observations, "revisions")
}

// newestEdits returns, for each row, the accepted edit with the highest revision,
// and whether an edit of the row ended with an unknown outcome.
func (s *caseRun) newestEdits() (newest map[string]edit, unknown map[string]bool) {
	newest, unknown = map[string]edit{}, map[string]bool{}
	s.config.mu.Lock()
	defer s.config.mu.Unlock()
	for _, one := range s.config.edits {
		if one.code == exitUnknown {
			unknown[one.row] = true
		}
		if one.code == exitAccepted && one.revision >= newest[one.row].revision {
			newest[one.row] = one
		}
	}
	return newest, unknown
}

// measureEditsLost counts rows whose newest accepted edit is not in the table.
func measureEditsLost(ctx context.Context, s *caseRun, _ string) value {
	rows, err := s.finalRows(ctx)
	if err != nil {
		return missing("%w", err)
	}
	newest, unknown := s.newestEdits()
	lost := 0
	for _, row := range slices.Sorted(maps.Keys(newest)) {
		if one := newest[row]; rows[row] != one.drain && !unknown[row] {
			lost++
			s.logf("edit of %s (revision %d, draining %t) is not in the table", row, one.revision, one.drain)
		}
	}
	if len(newest) == 0 {
		return missing("no edit was accepted")
	}
	return count(lost, len(newest), "rows")
}

// measureEditsWrongVerdict counts edits whose exit code is wrong: edits of unshared
// rows that were accepted and are not in the table, or were rejected or failed and
// are in it, and commands that ended with a usage error or an undefined exit code.
func measureEditsWrongVerdict(ctx context.Context, s *caseRun, _ string) value {
	rows, err := s.finalRows(ctx)
	if err != nil {
		return missing("%w", err)
	}
	s.config.mu.Lock()
	defer s.config.mu.Unlock()
	touched := map[string]int{}
	for _, one := range s.config.edits {
		touched[one.row]++
	}
	wrong := 0
	codes := map[int]int{}
	for _, one := range s.config.edits {
		codes[one.code]++
		own := touched[one.row] == 1
		switch {
		case one.code == exitAccepted && own && rows[one.row] != one.drain,
			(one.code == exitRejected || one.code == exitFailed) && own && rows[one.row] == one.drain,
			one.code > exitUnknown || one.code == exitUsage:
			wrong++
			s.logf("edit of %s ended with exit code %d: %s", one.row, one.code, one.output)
		}
	}
	s.logf("edits by exit code: %v", codes)
	return count(wrong, len(s.config.edits), "edits")
}

// measureEditsTwice counts edits that occur more than once in the history of the
// configuration object, by their ID or by a row that was edited only once.
func measureEditsTwice(ctx context.Context, s *caseRun, _ string) value {
	object, err := readObject(ctx, s.fleet.plan.api(), agconfig.ObjectKind, agconfig.ObjectName)
	if err != nil {
		return missing("read the configuration: %w", err)
	}
	document, err := agconfig.Decode(object.Data)
	if err != nil {
		return missing("%w", err)
	}
	ids, rows := map[string]int{}, map[string]int{}
	for _, one := range document.History {
		ids[string(one.ID)]++
		for _, change := range one.Changes {
			if strings.HasPrefix(change.Row, "edit-") {
				rows[change.Row]++
			}
		}
	}
	twice := 0
	for _, times := range []map[string]int{ids, rows} {
		for name, n := range times {
			if n > 1 {
				twice++
				s.logf("edit %s occurs %d times in the history", name, n)
			}
		}
	}
	return count(twice, len(document.History), "edits")
}

// measureEditsOverwritten counts accepted edits that a paused operator overwrote
// without having read them.
func measureEditsOverwritten(_ context.Context, s *caseRun, _ string) value {
	if s.config.paused == 0 {
		return missing("no operator was paused")
	}
	return count(s.violationCount("EditsOverwritten"), s.config.paused, "edits")
}
