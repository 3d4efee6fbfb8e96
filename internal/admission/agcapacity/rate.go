package agcapacity

import (
	"math"
	"time"
)

const (
	// ratePeriod is the time in which the weight of a request in the rate falls to
	// 1/e. Balancers compare the rates of hosts that receive a few requests per second.
	ratePeriod = 3 * time.Second
	// minRatePeriod is the least time over which the rate is averaged after the start.
	minRatePeriod = time.Second
)

// requestRate is a moving average of the number of requests per second.
type requestRate struct {
	// weighted is the sum of the weights of all requests as of updatedAt.
	weighted             float64
	startedAt, updatedAt time.Time
}

func (r *requestRate) add(now time.Time) {
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	r.weighted = r.weighted*remaining(now.Sub(r.updatedAt)) + 1
	r.updatedAt = now
}

func (r *requestRate) perSecond(now time.Time) float64 {
	if r.startedAt.IsZero() {
		return 0
	}
	observed := max(now.Sub(r.startedAt), minRatePeriod)
	period := ratePeriod.Seconds() * (1 - remaining(observed))
	return r.weighted * remaining(now.Sub(r.updatedAt)) / period
}

// remaining returns the factor by which the weight of a request falls in a time.
func remaining(elapsed time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(ratePeriod))
}
