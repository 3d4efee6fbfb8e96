package agholder

// Which part of its requests a host fails, as far as the ends of flows show it:
// the host resets a flow while a request waits for its answer, or the caller
// gives up waiting. A host that fails requests at once has little work in
// progress and would draw new flows otherwise.

import (
	"math"
	"time"
)

const (
	// outcomeWeight is the weight of one request in the share that fails.
	outcomeWeight = 0.1
	// outcomeMemory is the time in which the share falls to 1/e of itself
	// without new requests, so that a host that gets none is tried again.
	outcomeMemory = 3 * time.Second
	// patience is the wait for an answer after which the end of a flow by its
	// caller counts as a failure of the host.
	patience = 300 * time.Millisecond
)

// outcomes is the share of failed requests, weighted by their age.
type outcomes struct {
	failing float64
	noted   time.Time
}

func (o *outcomes) note(failed bool, now time.Time) {
	share := 0.0
	if failed {
		share = 1
	}
	o.failing = o.share(now)
	o.failing += outcomeWeight * (share - o.failing)
	o.noted = now
}

// share returns the share of requests that fail, 0 to 1.
func (o *outcomes) share(now time.Time) float64 {
	if o.failing == 0 {
		return 0
	}
	return o.failing * math.Exp(-float64(now.Sub(o.noted))/float64(outcomeMemory))
}
