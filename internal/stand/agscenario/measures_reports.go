package agscenario

// Measures of reports that must run at most once. The truth is the journals of
// the backend servers.

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/anvilglade/anvilglade/internal/stand/agcaller"
)

// runs counts how often each report ran.
func (s *scene) runs() map[string]int {
	runs := map[string]int{}
	for _, journal := range s.final {
		for _, entry := range journal.Entries {
			if entry.Report != "" && entry.Ran {
				runs[entry.Report]++
			}
		}
	}
	return runs
}

func measureRanTwice(_ context.Context, s *scene, _ string) value {
	twice := 0
	runs := s.runs()
	for report, n := range runs {
		if n > 1 {
			twice++
			s.note("report %s ran %d times", report, n)
		}
	}
	return count(twice, len(runs), "reports")
}

func measureSaidNotRunButRan(_ context.Context, s *scene, of string) value {
	runs, wrong, all := s.runs(), 0, 0
	for _, result := range s.resultsOf(of) {
		if result.Report == "" {
			continue
		}
		all++
		if result.Verdict == agcaller.NotRun && runs[result.Report] > 0 {
			wrong++
			s.note("report %s was said not to have run and ran: %s", result.Report, result.Detail)
		}
	}
	return count(wrong, all, "reports")
}

// measureSilentlyLost counts reports that the caller takes for done although
// they never ran.
func measureSilentlyLost(_ context.Context, s *scene, of string) value {
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

func measureUnknown(_ context.Context, s *scene, of string) value {
	results := s.resultsOf(of)
	return count(withVerdict(results, agcaller.Unknown)+withVerdict(results, agcaller.Lost), len(results), "reports")
}

// agentAdmins lists the admin addresses of the living agents.
func (f *Fleet) agentAdmins() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var admins []string
	for _, name := range slices.Sorted(maps.Keys(f.hosts)) {
		if item := f.hosts[name]; !item.ended {
			admins = append(admins, at(f.plan.host(item.number), portAdmin).String())
		}
	}
	return strings.Join(admins, ",")
}

// measureUnknownNotListed counts reports that callers were told to be unknown
// and whose ticket is not on the operator's list.
func measureUnknownNotListed(ctx context.Context, s *scene, of string) value {
	result, err := s.fleet.operate(ctx, "requests", "unknown", "--json", "--admin", s.fleet.agentAdmins())
	if err != nil || result.code != 0 {
		return missing("anvilglade requests unknown: exit code %d, %w: %s", result.code, err, result.errors)
	}
	told, unlisted := 0, 0
	for _, one := range s.resultsOf(of) {
		if one.Verdict != agcaller.Unknown {
			continue
		}
		told++
		if !bytes.Contains(result.output, []byte(one.Ticket)) {
			unlisted++
			s.note("report %s is unknown to its caller and not on the list: %s", one.Report, one.Detail)
		}
	}
	return count(unlisted, told, "reports")
}
