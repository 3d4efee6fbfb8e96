package agplace

// The ranking of hosts by expected completion time.

import (
	"math"
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
)

const (
	// nearEqual is the share of the service time within which expected completion times
	// count as equal. Their order is random, because many balancers place by the same
	// statuses.
	nearEqual = 0.25
	// closedPathPenalty is added, in seconds, to the time of a host in a data centre that
	// receives none of this one's flows, and suspectTimePenalty to that of a host that may
	// have stopped. They exceed any wait, so such hosts are used only in the absence of
	// others.
	closedPathPenalty  = 100.0
	suspectTimePenalty = 200.0
	// attemptTime is the time in seconds that a caller is assumed to lose with a failed
	// request, from its first packet to that of the next attempt.
	attemptTime = 0.1
	// maxRanked is the number of agents that Rank returns. An opening packet has fewer
	// candidates, and a full order would cost most of the time of a placement.
	maxRanked = 8
	// flowsPerTrial is the mean number of flows of which one goes to a host with fewer than
	// trialRate requests per second, if there is one. Without requests its agent cannot
	// learn that the host has recovered.
	flowsPerTrial = 32
	trialRate     = 1.0
	// minServiceShare is the least share of the service time that counts. If all of it
	// counted, slow hosts would stay idle at a moderate load. The share grows with the part
	// of attemptTime that a request takes.
	minServiceShare = 0.5
	// maxFailing bounds the expected number of attempts at a host that fails.
	maxFailing = 0.999
)

// Expectation is what the first request of a new flow is expected to meet at a host; 0 if
// the host does not report it.
type Expectation struct {
	// Completion is the time until its response, the sum of the wait, the service time and
	// the cost of the path.
	Completion time.Duration
	Wait       time.Duration
}

// candidate is an option with its sort keys. Cost and wait are in seconds.
type candidate struct {
	option *Option
	cost   float64
	wait   float64
	// bucket is the number of intervals of nearEqual above the lowest cost, draw the random
	// key within a bucket.
	bucket float64
	draw   float64
}

// Ranker ranks hosts by expected completion time. It reuses its memory and is not safe
// for concurrent use.
type Ranker struct {
	list []candidate
	// top lists the first of them in order.
	top  []*candidate
	best Expectation
}

// Best returns what is expected of the host that the last call of Rank put first.
func (r *Ranker) Best() Expectation {
	return r.best
}

// Rank appends the agents of the first options to dst, the one to try first at the front.
// FlowRate is the rate in requests per second that the flow is expected to bring. If no
// option has a service time, it ranks by utilisation like the function Rank.
func (r *Ranker) Rank(dst []anvilglade.IPv4, options []Option, flowRate float64) []anvilglade.IPv4 {
	r.best = Expectation{}
	serviceTime := meanServiceTime(options)
	if serviceTime == 0 {
		return Rank(dst, options)
	}
	r.fill(options, serviceTime, flowRate)
	r.selectTop()
	r.tryIdle()
	for _, entry := range r.top {
		dst = append(dst, entry.option.Agent)
	}
	if first := r.top[0]; first.option.Load.ServiceTime > 0 {
		wait := seconds(first.wait)
		r.best = Expectation{Completion: wait + first.option.Load.ServiceTime + first.option.PathCost, Wait: wait}
	}
	return dst
}

// selectTop fills top with the first maxRanked options in order.
func (r *Ranker) selectTop() {
	r.top = r.top[:0]
	for i := range r.list {
		entry := &r.list[i]
		if len(r.top) == maxRanked {
			if !entry.before(r.top[maxRanked-1]) {
				continue
			}
			r.top = r.top[:maxRanked-1]
		}
		at := len(r.top)
		for at > 0 && entry.before(r.top[at-1]) {
			at--
		}
		r.top = slices.Insert(r.top, at, entry)
	}
}

// fill computes the sort keys of all options. ServiceTime is the mean one in seconds.
func (r *Ranker) fill(options []Option, serviceTime, flowRate float64) {
	r.list = r.list[:0]
	median, medianKnown := time.Duration(0), false
	best := math.Inf(1)
	for i := range options {
		option := &options[i]
		entry := candidate{option: option}
		if option.Load.ServiceTime > 0 {
			entry.wait = option.Load.wait(option.Slots, flowRate)
			entry.cost = cost(option, entry.wait)
		} else {
			if !medianKnown {
				median, medianKnown = medianLatency(options), true
			}
			entry.cost = serviceTime * (minServiceShare + Score(option, median))
			// Keeps the order by utilisation among hosts without a service time.
			entry.draw = float64(option.Order)
		}
		best = min(best, entry.cost)
		r.list = append(r.list, entry)
	}
	for i := range r.list {
		r.list[i].order(best, nearEqual*serviceTime, flowRate)
	}
}

// order sets the random order among near-equal hosts, in which a host comes first with a
// probability proportional to its spare capacity.
func (c *candidate) order(best, width, flowRate float64) {
	if c.option.Load.ServiceTime == 0 {
		c.bucket = (c.cost - best) / width
		return
	}
	c.bucket = math.Floor((c.cost - best) / width)
	uniform := (float64(c.option.Order>>11) + 0.5) / (1 << 53)
	c.draw = -math.Log(uniform) / c.option.Load.spare(c.option.Slots, flowRate)
}

// tryIdle moves a host without requests to the front for some of the flows, the first one
// in the order of the ranking.
func (r *Ranker) tryIdle() {
	if r.top[0].option.Order%flowsPerTrial != 0 {
		return
	}
	var trial *candidate
	for i := range r.list {
		if entry := &r.list[i]; entry.idle() && (trial == nil || entry.before(trial)) {
			trial = entry
		}
	}
	if trial != nil {
		r.top = slices.DeleteFunc(r.top, func(entry *candidate) bool { return entry == trial })
		r.top = slices.Insert(r.top, 0, trial)
	}
}

// idle reports whether the agent of the host gets too few requests to learn its speed.
func (c *candidate) idle() bool {
	option := c.option
	return option.Local && !option.Suspect && option.Load.ServiceTime > 0 && option.Load.RequestRate < trialRate
}

// before reports whether the candidate is to be tried before another one.
func (c *candidate) before(other *candidate) bool {
	if c.bucket != other.bucket {
		return c.bucket < other.bucket
	}
	return c.draw < other.draw
}

// cost returns the expected completion time in seconds as it enters the ranking, with its
// penalties.
func cost(option *Option, wait float64) float64 {
	service := option.Load.ServiceTime.Seconds()
	total := wait + service*max(minServiceShare, service/attemptTime) + option.PathCost.Seconds()
	failing := min(option.Failing, maxFailing)
	total += attemptTime * failing / (1 - failing)
	if !option.Local && !option.Open {
		total += closedPathPenalty
	}
	if option.Cold {
		total += coldPenalty * service
	}
	if option.Suspect {
		total += suspectTimePenalty
	}
	return total
}

// meanServiceTime returns the mean service time in seconds, 0 if no option has one.
func meanServiceTime(options []Option) float64 {
	sum, count := 0.0, 0.0
	for i := range options {
		if options[i].Load.ServiceTime > 0 {
			sum += options[i].Load.ServiceTime.Seconds()
			count++
		}
	}
	return sum / max(count, 1)
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
