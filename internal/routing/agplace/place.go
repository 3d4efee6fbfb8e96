// Package agplace ranks the hosts that may take a new packet flow.
//
// A new flow is placed on the usable host with the lowest expected utilisation:
// its requests in progress plus the average load of its open flows, divided by its
// slots. A host in the balancer's own data centre is preferred unless its utilisation
// is more than remotePenalty above that of the best host elsewhere, because all packets
// of a flow to another data centre cross the network between the two. The ranking is
// designed for a steady load of long flows, where a badly placed flow stays on its
// host.
//
// # Usage
//
//	ranked = agplace.Rank(ranked[:0], options)
//	first, rest := ranked[0], ranked[1:]
//
//	centres.Update(hosts, local, pathCost, budget, now)
//	ranked = ranker.Rank(ranked[:0], options, centres.FlowRate())
package agplace

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
)

const (
	// flowWeight is the share of a slot that an open flow occupies on average.
	flowWeight = 0.08
	// remotePenalty is added to the utilisation of hosts in other data centres.
	remotePenalty = 0.08
	// coldPenalty is added to the utilisation of cold hosts. An idle cold host gets
	// flows only when the other hosts score above coldPenalty.
	coldPenalty = 0.5
	// failingPenalty is added to the utilisation of a host that fails every
	// request; a host that fails some gets a proportional share of it.
	failingPenalty = 4.0
	// suspectPenalty is added to the utilisation of hosts that may have stopped.
	// It keeps flows off them while there are other hosts.
	suspectPenalty = 8.0
	// slowLatencyFactor is the multiple of the median latency above which a host
	// counts as slow.
	slowLatencyFactor = 2.0
)

// Option is a host that may take a flow.
type Option struct {
	Agent anvilglade.IPv4
	Slots anvilglade.Slots
	// Flows is the number of open flows, ActiveRequests that of requests in
	// progress.
	Flows          int
	ActiveRequests int
	// Latency is the average time to the first byte of an answer; 0 if unknown.
	Latency time.Duration
	// Failing is the share of its requests that the host fails, 0 to 1.
	Failing float64
	// Suspect is set if the host may have stopped.
	Suspect bool
	// Local is set if the host is in the balancer's data centre.
	Local bool
	// Cold is set for some seconds after the start of the host, in which it works
	// more slowly.
	Cold bool
	// Order is a random number that breaks ties, so that balancers with the same
	// state do not all choose the same host.
	Order uint64
	// Load, PathCost and Open are used by Ranker only. Load has the service time 0 if
	// the agent does not report it. PathCost is the time that the path to another data
	// centre adds to a request. Open is set if that data centre receives flows of the
	// balancer's own one, see Centres.
	Load     Load
	PathCost time.Duration
	Open     bool
}

type scored struct {
	option *Option
	score  float64
}

// Rank appends the agents of the options to dst, the one to try first at the front.
func Rank(dst []anvilglade.IPv4, options []Option) []anvilglade.IPv4 {
	median := medianLatency(options)
	list := make([]scored, len(options))
	for i := range options {
		list[i] = scored{option: &options[i], score: Score(&options[i], median)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if order := cmp.Compare(a.score, b.score); order != 0 {
			return order
		}
		return cmp.Compare(a.option.Order, b.option.Order)
	})
	for _, entry := range list {
		dst = append(dst, entry.option.Agent)
	}
	return dst
}

// Score returns the expected utilisation of a host with its penalties; lower is
// better. Median is the median latency of the service's hosts, 0 if unknown.
func Score(option *Option, median time.Duration) float64 {
	slots := float64(max(option.Slots, 1))
	perFlow := flowWeight
	if median > 0 && float64(option.Latency) > slowLatencyFactor*float64(median) {
		// Requests of a flow occupy a slow host for longer.
		perFlow *= float64(option.Latency) / float64(median)
	}
	score := (float64(option.ActiveRequests)+perFlow*float64(option.Flows))/slots + failingPenalty*option.Failing
	if !option.Local {
		score += remotePenalty
	}
	if option.Cold {
		score += coldPenalty
	}
	if option.Suspect {
		score += suspectPenalty
	}
	return score
}

func medianLatency(options []Option) time.Duration {
	latencies := make([]time.Duration, 0, len(options))
	for i := range options {
		if options[i].Latency > 0 {
			latencies = append(latencies, options[i].Latency)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2]
}
