// The average number of requests in progress.

package agadmit

import (
	"math"
	"time"
)

// averageWindow is the time constant of the average. It covers many requests of 10
// to 100 ms and is short compared with the lifetime of a connection.
const averageWindow = 2 * time.Second

// requestAverage is an exponentially weighted moving average of the number of
// requests in progress.
type requestAverage struct {
	average   float64
	updatedAt time.Time
}

// update adds the number of requests that were in progress since the last call.
func (a *requestAverage) update(now time.Time, inProgress int) {
	if !a.updatedAt.IsZero() {
		decay := math.Exp(-now.Sub(a.updatedAt).Seconds() / averageWindow.Seconds())
		a.average = a.average*decay + float64(inProgress)*(1-decay)
	}
	a.updatedAt = now
}
