package agscenario

import (
	"context"
	"math"
	"time"

	"github.com/anvilglade/anvilglade/internal/stand/agcaller"
)

// Measures of load: its distribution over the hosts, and the used share of the
// capacity.

// utilisations returns the utilisation of the slots of each host of a service
// since the mark, as a share of 1.
func (s *caseRun) utilisations(of string) map[string]float64 {
	before := map[string]time.Duration{}
	for _, journal := range s.before {
		before[journal.Host] = journal.Busy
	}
	window := s.lastEnd().Sub(s.markTime)
	found := map[string]float64{}
	for _, journal := range s.finalJournals {
		if item, err := s.fleet.host(journal.Host); err == nil && item.service == of {
			found[journal.Host] = float64(journal.Busy-before[journal.Host]) / float64(window) / float64(journal.Slots)
		}
	}
	return found
}

// lastEnd returns the time at which the last request of the loads ended.
func (s *caseRun) lastEnd() time.Time {
	last := s.markTime
	for _, result := range s.resultsOf("") {
		if result.End.After(last) {
			last = result.End
		}
	}
	return last
}

func maxOverMean(values map[string]float64) float64 {
	highest, sum := 0.0, 0.0
	for _, one := range values {
		highest = max(highest, one)
		sum += one
	}
	return highest / (sum / float64(len(values)))
}

func measureImbalance(_ context.Context, s *caseRun, of string) value {
	values := s.utilisations(of)
	if len(values) == 0 {
		return missing("no utilisation of the service %q", of)
	}
	s.logf("utilisation %v", values)
	return value{value: maxOverMean(values), of: float64(len(values)), unit: "max/mean"}
}

// measureImbalanceToRandom returns the imbalance, divided by the imbalance that a
// random choice of host for each connection would have caused with the same
// demand.
func measureImbalanceToRandom(ctx context.Context, s *caseRun, of string) value {
	measured := measureImbalance(ctx, s, of)
	random := s.randomImbalance(of)
	if measured.missing != nil || math.IsNaN(random) {
		return missing("no demand of callers of the service %q", of)
	}
	s.logf("imbalance measured %.3f, random choice %.3f", measured.value, random)
	return value{value: measured.value / random, of: random, unit: "ratio"}
}

func measureGoodput(_ context.Context, s *caseRun, of string) value {
	service, err := s.fleet.service(s.loadService[of])
	if err != nil {
		return missing("goodput needs the name of a load, not %q", of)
	}
	selected, err := s.fleet.selectHosts(service.spec.name)
	if err != nil {
		return missing("%w", err)
	}
	results := s.resultsOf(of)
	first, last, answered := time.Now(), s.markTime, 0
	for _, result := range results {
		if result.Start.Before(first) {
			first = result.Start
		}
		if result.Start.After(last) {
			last = result.Start
		}
	}
	for _, result := range results {
		if result.Verdict == agcaller.Answered && result.End.Before(last) {
			answered++
		}
	}
	capacity := float64(len(selected)*service.spec.slots) / s.fleet.settings.serviceTime.Seconds()
	rate := float64(answered) / last.Sub(first).Seconds()
	s.logf("goodput %.1f requests a second of a capacity of %.1f", rate, capacity)
	return value{value: 100 * rate / capacity, of: capacity, unit: "% of capacity"}
}

// measureGoodputOfSurviving returns the goodput as a percentage of the capacity
// that remains when a share of the work fails.
func measureGoodputOfSurviving(ctx context.Context, s *caseRun, of string) value {
	got := measureGoodput(ctx, s, of)
	service, err := s.fleet.service(s.loadService[of])
	if err != nil {
		return got
	}
	selected, err := s.fleet.selectHosts(service.spec.name)
	if err != nil || len(selected) == 0 {
		return got
	}
	surviving := 0.0
	for _, item := range selected {
		surviving += 1 - s.failShares[item.name]
	}
	surviving /= float64(len(selected))
	got.value /= surviving
	got.of *= surviving
	return got
}

func measureRefusalP99(_ context.Context, s *caseRun, of string) value {
	var times []time.Duration
	for _, result := range s.resultsOf(of) {
		if result.Verdict == agcaller.NotRun {
			times = append(times, result.End.Sub(result.Start))
		}
	}
	if len(times) == 0 {
		return missing("no request was refused")
	}
	return value{value: float64(agcaller.Percentile(times, 99)) / float64(time.Millisecond), of: float64(len(times)), unit: "ms"}
}

// measureAttempts returns the number of attempts that backend servers began per
// request that reached one.
func measureAttempts(_ context.Context, s *caseRun, of string) value {
	began, requests := 0, map[string]bool{}
	for _, journal := range s.finalJournals {
		for _, entry := range journal.Entries {
			name, ok := s.loadOfEntry(entry)
			if !ok || of != "" && name != of {
				continue
			}
			began++
			requests[entry.Seed+entry.Report] = true
		}
	}
	if len(requests) == 0 {
		return missing("no request reached a backend server")
	}
	return value{value: float64(began) / float64(len(requests)), of: float64(len(requests)), unit: "attempts"}
}
