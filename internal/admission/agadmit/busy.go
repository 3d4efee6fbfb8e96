// The average number of requests in progress.

package agadmit

import (
	"math"
	"time"
)

// busyWindow is the time constant of the average. It spans many requests of
// 10 to 100 ms and is short against the life of a connection.
const busyWindow = 2 * time.Second

// busy is an exponentially weighted average over time.
type busy struct {
	average float64
	at      time.Time
}

// advance counts the requests that were in progress since the last call.
func (b *busy) advance(now time.Time, inProgress int) {
	if !b.at.IsZero() {
		kept := math.Exp(-now.Sub(b.at).Seconds() / busyWindow.Seconds())
		b.average = b.average*kept + float64(inProgress)*(1-kept)
	}
	b.at = now
}
