package agscenario

// Measures of reports, which must run at most once. The journals of the backend
// servers are the authoritative source.

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/anvilglade/anvilglade/internal/stand/agcaller"
)

// runs returns how often each report ran.
func (s *caseRun) runs() map[string]int {
	runs := map[string]int{}
	for _, journal := range s.finalJournals {
		for _, entry := range journal.Entries {
			if entry.Report != "" && entry.Ran {
				runs[entry.Report]++
			}
		}
	}
	return runs
}

func measureRanTwice(_ context.Context, s *caseRun, _ string) value {
	twice := 0
	runs := s.runs()
	for report, n := range runs {
		if n > 1 {
			twice++
			s.logf("report %s ran %d times", report, n)
		}
	}
	return count(twice, len(runs), "reports")
}

func measureSaidNotRunButRan(_ context.Context, s *caseRun, of string) value {
	runs, wrong, all := s.runs(), 0, 0
	for _, result := range s.resultsOf(of) {
		if result.Report == "" {
			continue
		}
		all++
		if result.Verdict == agcaller.NotRun && runs[result.Report] > 0 {
			wrong++
			s.logf("report %s ran although its verdict is NotRun: %s", result.Report, result.Detail)
		}
	}
	return count(wrong, all, "reports")
}

// measureSilentlyLost counts reports that were answered as done although they
// never ran.
func measureSilentlyLost(_ context.Context, s *caseRun, of string) value {
	runs, lost, all := s.runs(), 0, 0
	for _, result := range s.resultsOf(of) {
		if result.Report == "" {
			continue
		}
		all++
		if result.Verdict == agcaller.Answered && runs[result.Report] == 0 {
			lost++
		}
	}
	return count(lost, all, "reports")
}

func measureUnknown(_ context.Context, s *caseRun, of string) value {
	results := s.resultsOf(of)
	return count(withVerdict(results, agcaller.Unknown)+withVerdict(results, agcaller.Lost), len(results), "reports")
}

// agentAdmins returns the admin addresses of the agents of running hosts, separated
// by commas.
func (f *Fleet) agentAdmins() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var admins []string
	for _, name := range slices.Sorted(maps.Keys(f.hosts)) {
		if item := f.hosts[name]; !item.stopped {
			admins = append(admins, addrPort(f.plan.host(item.number), portAdmin).String())
		}
	}
	return strings.Join(admins, ",")
}

// measureUnknownNotListed counts reports with an unknown outcome whose ticket is
// not on the operator's list.
func measureUnknownNotListed(ctx context.Context, s *caseRun, of string) value {
	result, err := s.fleet.runOperator(ctx, "requests", "unknown", "--json", "--admin", s.fleet.agentAdmins())
	if err != nil || result.code != 0 {
		return missing("anvilglade requests unknown: exit code %d, %w: %s", result.code, err, result.errors)
	}
	reported, unlisted := 0, 0
	for _, one := range s.resultsOf(of) {
		if one.Verdict != agcaller.Unknown {
			continue
		}
		reported++
		if !bytes.Contains(result.output, []byte(one.Ticket)) {
			unlisted++
			s.logf("report %s has an unknown outcome and is not on the list: %s", one.Report, one.Detail)
		}
	}
	return count(unlisted, reported, "reports")
}
