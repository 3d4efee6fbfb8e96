// Package agscenario runs scenarios with real processes: it starts balancers,
// agents and test doubles, generates load from callers, injects faults, and
// compares the measures with the targets of the case.
//
// A case is a folder with a file case.txt; test/cases/README.md lists the verbs.
// Each case runs in its own fleet on its own loopback addresses, so that several
// cases can run in parallel. Every measure is printed as one JSON line.
//
// # Usage
//
//	code, err := agscenario.RunCases(ctx, agscenario.MeasureOptions{
//		Anvilglade: "bin/anvilglade", Agstand: "bin/agstand", Cases: "test/cases", Seed: 1, Output: os.Stdout,
//	})
package agscenario

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/stand/agbackend"
	"github.com/anvilglade/anvilglade/internal/stand/agcaller"
)

// caseRun is one run of a case.
type caseRun struct {
	name       string
	fleet      *Fleet
	background *agtask.Group
	notes      io.Writer
	started    time.Time

	flows       *agcaller.Flows
	lines       []*agcaller.Lines
	loads       map[string]*agcaller.Load
	loadService map[string]string
	joined      []string
	moved       map[string]string
	dcChanges   []dcChange
	config      configRecord
	// markTime is the start of the measured part; before holds the journals at
	// that time.
	markTime time.Time
	before   []agbackend.Journal
	settled  bool
	// finalJournals holds the journals at the end, which are read once.
	finalJournals []agbackend.Journal

	mu         sync.Mutex
	violations map[string][]string
	cleanups   []func()
	output     []outcome
	// speeds holds the speed of each host for which a case set one; the default
	// is 1.
	speeds map[string]float64
	// savedUtilisations holds the utilisation of the hosts of each service at
	// the time of saveUtilisations.
	savedUtilisations map[string]map[string]float64
	// retiredKeyProbes counts probes under retired datagram keys.
	retiredKeyProbes keyProbes
	// failShares is the share of the work that fails at each host.
	failShares map[string]float64
}

type dcChange struct {
	name            string
	state           anvilglade.DataCentreState
	start, accepted time.Time
}

func newCaseRun(name string, fleet *Fleet, notes io.Writer) (*caseRun, func(), error) {
	background, stop, err := agtask.NewGroup(context.Background())
	if err != nil {
		return nil, nil, err
	}
	s := &caseRun{
		name:        name,
		fleet:       fleet,
		background:  background,
		notes:       notes,
		started:     time.Now(),
		loads:       map[string]*agcaller.Load{},
		loadService: map[string]string{},
		moved:       map[string]string{},
		speeds:      map[string]float64{},
		failShares:  map[string]float64{},
		violations:  map[string][]string{},
	}
	return s, func() {
		for _, cleanup := range slices.Backward(s.cleanups) {
			cleanup()
		}
		stop()
	}, nil
}

func (s *caseRun) cleanup(stop func()) {
	s.cleanups = append(s.cleanups, stop)
}

// logf writes a log line with the name of the case and the time since its start.
func (s *caseRun) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.notes, "%s %6.2fs %s\n", s.name, time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// recordViolation logs a violation and records it under the name of the measure
// that counts it.
func (s *caseRun) recordViolation(measure, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.logf("%s: %s", measure, text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations[measure] = append(s.violations[measure], text)
}

func (s *caseRun) violationCount(measure string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.violations[measure])
}

func (s *caseRun) markHostUnavailable(name string) {
	if s.flows != nil {
		s.flows.MarkHostUnavailable(name)
	}
	for _, lines := range s.lines {
		lines.MarkHostUnavailable(name)
	}
}

func (s *caseRun) markHostAvailable(name string) {
	if s.flows != nil {
		s.flows.MarkHostAvailable(name)
	}
	for _, lines := range s.lines {
		lines.MarkHostAvailable(name)
	}
}

// mark starts the measured part of the case.
func (s *caseRun) mark(ctx context.Context) error {
	journals, err := s.fleet.journals(ctx)
	if err != nil {
		return err
	}
	s.markTime, s.before = time.Now(), journals
	return nil
}

// settle stops the loads, waits until flows and lines have received an answer, and
// reads the journals. Only its first call has an effect.
func (s *caseRun) settle(ctx context.Context) {
	if s.settled {
		return
	}
	s.settled = true
	for _, load := range s.loads {
		load.Stop(ctx)
	}
	if s.flows != nil {
		s.flows.Settle(ctx)
		report := s.flows.Report()
		s.logf("flows: %d, answered %d, broken %d, lost %d, wrong service %d, sent %d, received %d, p99 to the first answer %s",
			report.Flows, report.Answered, report.Broken, report.Lost, report.WrongService, report.Sent, report.Received, report.OpenP99.Round(time.Millisecond))
		for _, reason := range report.Reasons {
			s.logf("broken: %s", reason)
		}
	}
	for _, lines := range s.lines {
		lines.Settle(ctx)
		report := lines.Report()
		s.logf("lines: %d, open %d, broken %d, lost %d", report.Flows, report.Answered, report.Broken, report.Lost)
		for _, reason := range report.Reasons {
			s.logf("broken: %s", reason)
		}
	}
	for name, load := range s.loads {
		results, skipped := load.Results()
		s.logf("load %s: %s, skipped %d, lost connections %d", name, summary(results), skipped, load.Lost())
	}
	journals, err := s.fleet.journals(ctx)
	if err != nil {
		s.logf("journals: %v", err)
	}
	s.finalJournals = journals
	for _, journal := range journals {
		if len(journal.FellOver) > 0 {
			s.logf("backend server %s fell over %d times", journal.Host, len(journal.FellOver))
		}
	}
}

// summary describes the number of results by verdict, with an example of each
// failure.
func summary(results []agcaller.Result) string {
	counts := map[agcaller.Verdict]int{}
	example := map[agcaller.Verdict]string{}
	var times []time.Duration
	for _, result := range results {
		counts[result.Verdict]++
		if result.Detail != "" {
			example[result.Verdict] = result.Detail
		}
		if result.Verdict == agcaller.Answered {
			times = append(times, result.End.Sub(result.Start))
		}
	}
	text := fmt.Sprintf("%d requests, p50 %s, p99 %s", len(results),
		agcaller.Percentile(times, 50).Round(100*time.Microsecond), agcaller.Percentile(times, 99).Round(100*time.Microsecond))
	for _, verdict := range []agcaller.Verdict{agcaller.Answered, agcaller.NotRun, agcaller.Unknown, agcaller.Failed, agcaller.Lost, agcaller.Foreign, agcaller.Canceled} {
		if counts[verdict] == 0 {
			continue
		}
		text += fmt.Sprintf(", %s %d", verdict, counts[verdict])
		if verdict != agcaller.Answered && example[verdict] != "" {
			text += fmt.Sprintf(" (such as %q)", example[verdict])
		}
	}
	return text
}
