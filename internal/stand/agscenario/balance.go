package agscenario

// The imbalance that a random choice of hosts would have caused, computed from
// the demand of the callers in the same run.

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// randomTrials is the number of random assignments that are averaged.
const randomTrials = 200

// randomImbalance assigns every caller connection to a random host of the service
// for all its requests, as a layer-4 balancer without load information does. It
// returns max/mean utilisation, averaged over randomTrials, or NaN if there are no
// hosts or no requests.
func (s *caseRun) randomImbalance(of string) float64 {
	callers := map[string]string{}
	for name, load := range s.loads {
		results, _ := load.Results()
		for _, result := range results {
			callers[result.Seed] = fmt.Sprintf("%s/%d", name, result.Caller)
		}
	}
	demands := map[string]time.Duration{}
	var speeds []float64
	for _, journal := range s.finalJournals {
		item, err := s.fleet.host(journal.Host)
		if err != nil || item.service != of {
			continue
		}
		speed := cmp.Or(s.speeds[journal.Host], 1)
		speeds = append(speeds, speed)
		for _, entry := range journal.Entries {
			if caller, ok := callers[entry.Seed]; ok && !entry.Start.Before(s.markTime) && entry.Ran {
				demands[caller] += time.Duration(float64(entry.End.Sub(entry.Start)) * speed)
			}
		}
	}
	if len(speeds) == 0 || len(demands) == 0 {
		return math.NaN()
	}
	random := rand.New(rand.NewPCG(s.fleet.options.Seed, uint64(len(speeds))))
	sum := 0.0
	for range randomTrials {
		sum += assignmentImbalance(random, demands, speeds)
	}
	return sum / randomTrials
}

func assignmentImbalance(random *rand.Rand, demands map[string]time.Duration, speeds []float64) float64 {
	utilisations := make([]float64, len(speeds))
	for _, caller := range slices.Sorted(maps.Keys(demands)) {
		at := random.IntN(len(speeds))
		utilisations[at] += float64(demands[caller]) / speeds[at]
	}
	highest, total := 0.0, 0.0
	for _, one := range utilisations {
		highest = max(highest, one)
		total += one
	}
	return highest / (total / float64(len(utilisations)))
}
