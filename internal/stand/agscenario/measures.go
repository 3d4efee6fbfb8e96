package agscenario

// The measures that a case can expect. Each returns a value and, where the value
// is a share of a total, the total.

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/stand/agbackend"
	"github.com/anvilglade/anvilglade/internal/stand/agcaller"
	"github.com/anvilglade/anvilglade/internal/stand/agfabric"
)

// MeasureLine is one line of the output of the subcommand measure.
type MeasureLine struct {
	Case     string
	Measure  string
	Value    float64
	Of       float64
	Op       string
	Target   float64
	Unit     string
	Baseline *float64
	Seed     uint64
}

// value is a measured value; missing is the reason if there is none.
type value struct {
	value, of float64
	unit      string
	missing   error
}

type measure func(ctx context.Context, s *caseRun, of string) value

func count(n, of int, unit string) value {
	return value{value: float64(n), of: float64(of), unit: unit}
}

func missing(format string, args ...any) value {
	return value{value: math.NaN(), missing: fmt.Errorf(format, args...)}
}

// measures maps the names in case files to measures. The argument of a measure is
// the option "of" of expect: a load or a service.
var measures = map[string]measure{
	"AcceptedUnderRetired": measureAcceptedUnderRetired,
	"BrokenFlows":          measureBrokenFlows,
	"WrongService":         measureWrongService,
	"PacketsAfterOut":      measurePacketsAfterOut,
	"EffectTime":           measureEffectTime,
	"FellOver":             measureFellOver,
	"Answered":             measureAnswered,
	"OverLimit":            measureOverLimit,
	"Imbalance":            measureImbalance,
	"ImbalanceToRandom":    measureImbalanceToRandom,
	"Goodput":              measureGoodput,
	"GoodputOfSurviving":   measureGoodputOfSurviving,
	"RefusalP99":           measureRefusalP99,
	"Attempts":             measureAttempts,
	"RanTwice":             measureRanTwice,
	"SaidNotRunButRan":     measureSaidNotRunButRan,
	"SilentlyLost":         measureSilentlyLost,
	"Unknown":              measureUnknown,
	"UnknownNotListed":     measureUnknownNotListed,
	"PassedAsComplete":     measurePassedAsComplete,
	"CutOff":               measureCutOff,
	"StartedAfterDeadline": measureStartedAfterDeadline,
	"RunningAfterCancel":   measureRunningAfterCancel,
	"NewHostsWithoutWork":  measureNewHostsWithoutWork,
	"GracefulStopFailures": func(_ context.Context, s *caseRun, _ string) value {
		return count(s.violationCount("GracefulStop"), 0, "stops")
	},
	"InForceP99":        measureInForceP99,
	"InForceMax":        measureInForceMax,
	"Reverted":          measureReverted,
	"EditsLost":         measureEditsLost,
	"EditsAppliedTwice": measureEditsTwice,
	"EditsWrongVerdict": measureEditsWrongVerdict,
	"EditsOverwritten":  measureEditsOverwritten,
}

func measureBrokenFlows(_ context.Context, s *caseRun, _ string) value {
	broken, all := 0, 0
	for _, report := range s.reports() {
		broken += report.Broken
		all += report.Flows
	}
	return count(broken, all, "flows")
}

func measureWrongService(_ context.Context, s *caseRun, _ string) value {
	wrong, all := 0, 0
	for _, report := range s.reports() {
		wrong += report.WrongService
		all += report.Received
	}
	for _, load := range s.loads {
		results, _ := load.Results()
		all += len(results)
	}
	for _, journal := range s.finalJournals {
		for _, entry := range journal.Entries {
			if service, ok := s.serviceOfEntry(entry); ok && service != entry.Service {
				wrong++
			}
		}
	}
	return count(wrong, all, "answers")
}

func (s *caseRun) reports() []agcaller.FlowReport {
	var reports []agcaller.FlowReport
	if s.flows != nil {
		reports = append(reports, s.flows.Report())
	}
	for _, lines := range s.lines {
		reports = append(reports, lines.Report())
	}
	return reports
}

// loadOfEntry returns the load of a journal entry, whose name and seed are the
// prefix of the entry's seed or report.
func (s *caseRun) loadOfEntry(entry agbackend.Entry) (string, bool) {
	text := entry.Seed
	if entry.Report != "" {
		text = entry.Report
	}
	for name := range s.loads {
		prefix := fmt.Sprintf("%s-%d-", name, s.fleet.options.Seed)
		if len(text) > len(prefix) && text[:len(prefix)] == prefix {
			return name, true
		}
	}
	return "", false
}

func (s *caseRun) serviceOfEntry(entry agbackend.Entry) (string, bool) {
	name, ok := s.loadOfEntry(entry)
	return s.loadService[name], ok
}

// outGrace is the time after the start of the command within which a data centre
// that is taken out of service may still receive packets.
const outGrace = 5 * time.Second

func measurePacketsAfterOut(ctx context.Context, s *caseRun, _ string) value {
	counts, err := s.fleet.counts(ctx, s.started)
	if err != nil {
		return missing("counts of the fabric: %w", err)
	}
	packets, all := 0, 0
	for i, change := range s.dcChanges {
		if change.state != anvilglade.DataCentreOut {
			continue
		}
		late, sum := s.countPacketsTo(change, s.returnTime(i), counts)
		packets += late
		all += sum
	}
	if all == 0 {
		return missing("no data centre was taken out, or no packet was ever sent to it")
	}
	return count(packets, all, "packets")
}

// returnTime returns the time at which the data centre of the i-th change was put
// back into service, or the current time if it was not.
func (s *caseRun) returnTime(i int) time.Time {
	for _, later := range s.dcChanges[i+1:] {
		if later.name == s.dcChanges[i].name && later.state != anvilglade.DataCentreOut {
			return later.start
		}
	}
	return time.Now()
}

// countPacketsTo counts the data packets to a data centre that was taken out of
// service: those after outGrace, and all packets of the case. The interval in
// which the data centre was put back is left out of the late ones.
func (s *caseRun) countPacketsTo(change dcChange, until time.Time, counts []agfabric.Count) (late, all int) {
	from := change.start.Add(outGrace)
	kinds, senders := map[int]int{}, map[string]int{}
	for _, item := range counts {
		if !slices.Contains(item.Groups, "hosts") || !slices.Contains(item.Groups, change.name) {
			continue
		}
		all += item.Packets
		at := time.UnixMilli(item.UnixMillis)
		if at.Before(from) || at.Add(agfabric.CountInterval).After(until) {
			continue
		}
		late += item.Packets
		for kind, n := range item.Kinds {
			kinds[kind] += n
		}
		for sender, n := range item.Senders {
			senders[sender+" to "+item.Party] += n
		}
	}
	if late > 0 {
		s.logf("packets to %s after %s by kind byte: %v, by sender: %v", change.name, outGrace, kinds, senders)
	}
	return late, all
}

func measureEffectTime(_ context.Context, s *caseRun, _ string) value {
	longest := time.Duration(0)
	for _, change := range s.dcChanges {
		longest = max(longest, change.accepted.Sub(change.start))
	}
	return value{value: longest.Seconds(), unit: "s"}
}

func measureFellOver(_ context.Context, s *caseRun, _ string) value {
	fell := 0
	for _, journal := range s.finalJournals {
		fell += len(journal.FellOver)
	}
	return count(fell, len(s.finalJournals), "hosts")
}

// resultsOf returns the results of one load, or of all loads if of is empty, since
// the mark.
func (s *caseRun) resultsOf(of string) []agcaller.Result {
	var found []agcaller.Result
	for name, load := range s.loads {
		if of != "" && of != name {
			continue
		}
		results, _ := load.Results()
		for _, result := range results {
			if !result.Start.Before(s.markTime) {
				found = append(found, result)
			}
		}
	}
	return found
}

func withVerdict(results []agcaller.Result, verdict agcaller.Verdict) int {
	found := 0
	for _, result := range results {
		if result.Verdict == verdict {
			found++
		}
	}
	return found
}

func measureAnswered(_ context.Context, s *caseRun, of string) value {
	results := s.resultsOf(of)
	if len(results) == 0 {
		return missing("no request ended")
	}
	answered := withVerdict(results, agcaller.Answered)
	return value{value: 100 * float64(answered) / float64(len(results)), of: float64(len(results)), unit: "%"}
}

// maxLoggedRequests is the maximum number of requests that a measure logs.
const maxLoggedRequests = 5

const logTimeFormat = "15:04:05.000"

func times(list []time.Time) []string {
	var texts []string
	for _, one := range list {
		texts = append(texts, one.Format(logTimeFormat))
	}
	return texts
}

// measureOverLimit counts requests that began above the limit of the backend
// server, except those sent before an answer could show that it had turned cold.
func measureOverLimit(_ context.Context, s *caseRun, _ string) value {
	over, all := 0, 0
	for _, journal := range s.finalJournals {
		for _, entry := range journal.Entries {
			all++
			if !entry.Over || !entry.Noticed || entry.Outcome == agbackend.OutcomeShed {
				continue
			}
			over++
			if over <= maxLoggedRequests {
				s.logf("over: %s at %s, load %d of %d, %s, turned cold %v", journal.Host,
					entry.Start.Format(logTimeFormat), entry.Load, entry.Limit, entry.Outcome, times(journal.TurnedCold))
			}
		}
	}
	return count(over, all, "requests")
}

func measurePassedAsComplete(_ context.Context, s *caseRun, of string) value {
	results := s.resultsOf(of)
	return count(withVerdict(results, agcaller.Foreign), len(results), "responses")
}

// measureCutOff counts requests that ended without an answer, failed or have an
// unknown outcome.
func measureCutOff(_ context.Context, s *caseRun, of string) value {
	results := s.resultsOf(of)
	return count(withVerdict(results, agcaller.Lost)+withVerdict(results, agcaller.Unknown)+withVerdict(results, agcaller.Failed), len(results), "requests")
}

// clockTolerance covers the time between the check of a deadline and the write
// of the journal entry. All processes use the clock of one machine.
const clockTolerance = 5 * time.Millisecond

func measureStartedAfterDeadline(_ context.Context, s *caseRun, _ string) value {
	late, all := 0, 0
	for _, journal := range s.finalJournals {
		for _, entry := range journal.Entries {
			if entry.DeadlineMillis == 0 || !entry.Ran {
				continue
			}
			all++
			if entry.Start.After(time.UnixMilli(entry.DeadlineMillis).Add(clockTolerance)) {
				late++
			}
		}
	}
	return count(late, all, "requests")
}

// cancelGrace is how long work may continue after its request was cancelled.
const cancelGrace = time.Second

func measureRunningAfterCancel(_ context.Context, s *caseRun, of string) value {
	canceled := map[string]time.Time{}
	for _, result := range s.resultsOf(of) {
		if result.Verdict == agcaller.Canceled {
			canceled[result.Seed] = result.End
		}
	}
	running, all := 0, 0
	for _, journal := range s.finalJournals {
		for _, entry := range journal.Entries {
			at, ok := canceled[entry.Seed]
			if !ok {
				continue
			}
			all++
			if entry.End.IsZero() || entry.End.After(at.Add(cancelGrace)) {
				running++
			}
		}
	}
	if all == 0 {
		return missing("no cancelled request reached a backend server")
	}
	return count(running, all, "requests")
}

// newHostLimit is the time within which a host that joined must begin a request.
const newHostLimit = 5 * time.Second

// measureNewHostsWithoutWork counts joined hosts that began no request within
// newHostLimit after they were started.
func measureNewHostsWithoutWork(_ context.Context, s *caseRun, _ string) value {
	without := 0
	for _, name := range s.joined {
		item, err := s.fleet.host(name)
		if err != nil {
			return missing("%w", err)
		}
		worked := false
		for _, journal := range s.finalJournals {
			for _, entry := range journal.Entries {
				worked = worked || journal.Host == name && entry.Start.Before(item.joined.Add(newHostLimit))
			}
		}
		if !worked {
			s.logf("host %s began no work within %s", name, newHostLimit)
			without++
		}
	}
	return count(without, len(s.joined), "hosts")
}

// compare reports whether a value meets a target.
func compare(got float64, op string, target float64) bool {
	switch op {
	case "=":
		return got == target
	case "<=":
		return got <= target
	case ">=":
		return got >= target
	case "<":
		return got < target
	default:
		return got > target
	}
}

// runExpect settles the case and records one line of output.
func runExpect(ctx context.Context, s *caseRun, step *step) error {
	name := step.value("measure")
	measureFunc, ok := measures[name]
	if !ok {
		return fmt.Errorf("no measure %q", name)
	}
	s.settle(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	got := measureFunc(ctx, s, step.value("of"))
	target, err := strconv.ParseFloat(step.value("target"), 64)
	if err != nil {
		return err
	}
	if got.missing != nil {
		s.logf("%s has no value: %v", name, got.missing)
	}
	s.output = append(s.output, outcome{
		line: MeasureLine{
			Case: s.name, Measure: name, Value: got.value, Of: got.of, Op: step.value("op"),
			Target: target, Unit: got.unit, Seed: s.fleet.options.Seed,
		},
		missing: got.missing != nil,
	})
	return nil
}
