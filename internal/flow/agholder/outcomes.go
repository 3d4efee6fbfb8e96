package agholder

// The share of requests that a host fails. A request counts as failed if the
// host resets its flow before answering, or if the caller closes the flow after
// waiting longer than answerTimeout. The share is needed because a host that
// fails requests immediately has few requests in progress, so the load alone
// would attract new flows to it.

import (
	"math"
	"time"
)

const (
	// outcomeWeight is the weight of one request in the moving average.
	outcomeWeight = 0.1
	// outcomeDecay is the time in which the failure share decays to 1/e without
	// new requests, so that a host that receives none is tried again.
	outcomeDecay = 3 * time.Second
	// answerTimeout is the time without an answer after which a flow that its
	// caller closes counts as a failure of the host.
	answerTimeout = 300 * time.Millisecond
)

// outcomes is an exponential moving average of failed requests that decays with
// time.
type outcomes struct {
	average   float64
	updatedAt time.Time
}

func (o *outcomes) add(failed bool, now time.Time) {
	share := 0.0
	if failed {
		share = 1
	}
	o.average = o.share(now)
	o.average += outcomeWeight * (share - o.average)
	o.updatedAt = now
}

// share returns the share of failed requests, from 0 to 1.
func (o *outcomes) share(now time.Time) float64 {
	if o.average == 0 {
		return 0
	}
	return o.average * math.Exp(-float64(now.Sub(o.updatedAt))/float64(outcomeDecay))
}
