package agcapacity

// The mean service time, from two moving averages. The slow one has little noise and
// is the estimate. The fast one replaces it when it is higher by more than noise
// explains, so that a slowdown takes effect within a second while a recovery takes
// several. The weight of samples falls with time, so that the averaged period does not
// depend on the load. Samples are limited to a multiple of the estimate: service times
// are heavy-tailed, and a single one must not double the mean.

import (
	"math"
	"time"
)

const (
	// slowPeriod and fastPeriod are the times in which the weight of a sample falls to
	// 1/e. Within 10 s a recovery must have taken effect, within 1 s a slowdown.
	slowPeriod = 2 * time.Second
	fastPeriod = 250 * time.Millisecond
	// minWeight is the least number of samples that an average is worth, so that
	// one sample at low load moves it by an eighth at most.
	minWeight = 8
	// minSamples is the number of samples from which the mean is used.
	minSamples = 16
	// maxSampleRatio limits a sample to a multiple of the mean. It lowers the mean of a
	// log-normal distribution (sigma 1) by less than 4%; a ratio of 5 would lower it by
	// about 5% and delay the estimate of a host that has become six times slower.
	maxSampleRatio = 6
	// quickDivisor is the divisor of the mean below which a request counts as quick. A
	// host that fails requests answers them in a fraction of the usual time, and the agent
	// cannot tell the answer from a good one; it would seem fast and attract requests.
	quickDivisor = 8
	// Quick requests are no samples while their share is between minQuickShare and
	// maxQuickShare. Fewer are the lower end of the distribution; if nearly all are quick,
	// the host has become faster. quickWeight is the weight of one request in the share.
	minQuickShare = 0.2
	maxQuickShare = 0.9
	quickWeight   = 1.0 / 16
	// riseRatio is the ratio of the fast to the slow average from which the host counts
	// as slower. At the rate of two busy slots noise rarely reaches it.
	riseRatio = 1.5
)

// movingMean is a mean of values in nanoseconds whose weight falls with time.
type movingMean struct {
	value float64
	// weight is the number of samples that the mean is worth.
	weight float64
}

// add adds a value after the weight has fallen by a factor.
func (m *movingMean) add(value, decay float64) {
	m.weight = max(m.weight*decay, minWeight-1) + 1
	m.value += (value - m.value) / m.weight
}

// serviceTime is the estimate of the mean service time.
type serviceTime struct {
	slow, fast movingMean
	samples    int
	// quickShare is the share of quick requests among the recent ones.
	quickShare float64
	updatedAt  time.Time
}

// mean returns the mean of the answered requests, 0 if there are too few.
func (s *serviceTime) mean() time.Duration {
	if s.samples < minSamples {
		return 0
	}
	return time.Duration(s.slow.value)
}

// add adds the service time of one request.
func (s *serviceTime) add(sample time.Duration, now time.Time) {
	if s.samples < minSamples {
		s.updatedAt = now
		s.addFirst(float64(sample))
		return
	}
	if s.isQuick(float64(sample)) {
		return
	}
	value := min(float64(sample), maxSampleRatio*s.slow.value)
	elapsed := float64(now.Sub(s.updatedAt))
	s.updatedAt = now
	s.slow.add(value, math.Exp(-elapsed/float64(slowPeriod)))
	s.fast.add(value, math.Exp(-elapsed/float64(fastPeriod)))
	if s.fast.value > riseRatio*s.slow.value {
		s.slow.value = s.fast.value
	}
}

// isQuick records whether a request was quick and reports whether it is no sample.
func (s *serviceTime) isQuick(sample float64) bool {
	quick := 0.0
	if sample < s.slow.value/quickDivisor {
		quick = 1
	}
	s.quickShare += quickWeight * (quick - s.quickShare)
	return quick == 1 && s.quickShare >= minQuickShare && s.quickShare <= maxQuickShare
}

// addFirst adds one of the first samples, which have equal weights.
func (s *serviceTime) addFirst(value float64) {
	s.samples++
	s.slow.value += (value - s.slow.value) / float64(s.samples)
	s.slow.weight = float64(s.samples)
	s.fast = s.slow
}

// estimate returns the mean service time, raised by running requests that have run
// for longer. They count like answered ones, without a limit: one of many slots that
// is stuck raises the mean little, a host that answers nothing raises it steadily.
func (s *serviceTime) estimate(running []*request, now time.Time) time.Duration {
	if s.samples < minSamples {
		return 0
	}
	raised := s.fast.value
	share := 1 / float64(max(len(running), minWeight))
	for _, request := range running {
		if excess := float64(now.Sub(request.startedAt)) - s.fast.value; excess > 0 {
			raised += share * excess
		}
	}
	if raised > riseRatio*s.slow.value {
		return time.Duration(raised)
	}
	return time.Duration(s.slow.value)
}
