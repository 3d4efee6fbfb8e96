// The adaptive limit: additive increase with completions at normal latency,
// multiplicative decrease on signs of overload.

package agadmit

import (
	"time"

	"github.com/anvilglade/anvilglade"
)

const (
	// decreaseFailure is the factor of a decrease after a failure, decreaseLatency
	// that after a completion at high latency.
	decreaseFailure = 0.8
	decreaseLatency = 0.9
	// minLimit allows one request, because only completions raise the limit again.
	minLimit = 1.0
)

// adaptive is a limit that rises and falls with the results of requests.
type adaptive struct {
	limit    float64
	maxLimit float64
	// loweredAt is the time of the last decrease. Requests that started before it
	// ran under the previous limit and do not lower it again.
	loweredAt time.Time
}

func (a *adaptive) restart(slots anvilglade.Slots) {
	a.maxLimit = float64(slots)
	a.limit = a.maxLimit
	a.loweredAt = time.Time{}
}

// clamp sets a new number of slots as the maximum. A limit that was at the previous
// maximum rises to the new one.
func (a *adaptive) clamp(slots anvilglade.Slots) {
	maxLimit := float64(slots)
	if a.limit >= a.maxLimit || a.limit > maxLimit {
		a.limit = maxLimit
	}
	a.maxLimit = maxLimit
}

func (a *adaptive) floor() int {
	return int(a.limit)
}

// raise raises the limit after a completion at normal latency. It has an effect only
// while at least half of the limit is in use, because completions of an idle server
// are no evidence that it can handle more.
func (a *adaptive) raise(inProgress int) {
	if float64(2*inProgress) >= a.limit {
		a.limit = min(a.maxLimit, a.limit+1/a.limit)
	}
}

func (a *adaptive) lower(now, started time.Time, factor float64) {
	if started.Before(a.loweredAt) {
		return
	}
	a.limit = max(minLimit, a.limit*factor)
	a.loweredAt = now
}
