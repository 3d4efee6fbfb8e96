// The adaptive limit: additive increase with completions at normal latency,
// multiplicative decrease on signs of overload.

package agadmit

import (
	"time"

	"github.com/anvilglade/anvilglade"
)

const (
	// decreaseFailure and decreaseLatency are the factors of one decrease.
	decreaseFailure = 0.8
	decreaseLatency = 0.9
	// lowestLimit keeps one request going, as only completions can raise the
	// limit again.
	lowestLimit = 1.0
)

// adaptive is the limit that follows the results of requests.
type adaptive struct {
	limit   float64
	highest float64
	// lowered is the time of the last decrease. Requests that started before it
	// ran under the former limit and do not lower it again.
	lowered time.Time
}

func (a *adaptive) restart(slots anvilglade.Slots) {
	a.highest = float64(slots)
	a.limit = a.highest
	a.lowered = time.Time{}
}

// clamp adopts a new number of slots. A limit that was at its highest follows
// the slots upwards.
func (a *adaptive) clamp(slots anvilglade.Slots) {
	highest := float64(slots)
	if a.limit >= a.highest || a.limit > highest {
		a.limit = highest
	}
	a.highest = highest
}

func (a *adaptive) whole() int {
	return int(a.limit)
}

// raise counts a completion at normal latency. It has an effect only while at
// least half of the limit is in use, because an idle server shows nothing about
// a higher limit.
func (a *adaptive) raise(inProgress int) {
	if float64(2*inProgress) >= a.limit {
		a.limit = min(a.highest, a.limit+1/a.limit)
	}
}

func (a *adaptive) lower(now, started time.Time, factor float64) {
	if started.Before(a.lowered) {
		return
	}
	a.limit = max(lowestLimit, a.limit*factor)
	a.lowered = now
}
