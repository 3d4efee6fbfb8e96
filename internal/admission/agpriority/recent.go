// Package agpriority determines the highest priority of the requests that a host has
// received recently.
//
// Admission control and the queue in front of the host give way to the highest priority.
// A priority counts only if it has a notable share of the recent requests: otherwise a
// few requests of a rarely used route would take precedence over the class that most
// requests have. Requests of such a rare priority have the precedence of the highest one.
// A priority without a request for two seconds does not count either. While no priority
// counts, the last one that did remains the highest.
//
// The package has no input or output. A Recent takes the time as a parameter and is not
// safe for concurrent use; its memory is bounded by the number of priorities.
//
// # Usage
//
//	var recent agpriority.Recent
//	recent.Add(class.Priority, now)
//	if class.Priority <= recent.Top() {
//		// the request has precedence
//	}
package agpriority

import (
	"math"
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
)

const (
	// window is the time in which the weight of a request falls to 1/e, and the time for
	// which a priority counts after its latest request. A caller that was refused has
	// made its other attempts by then.
	window = 2 * time.Second
	// minShare is the share of the recent requests from which a priority counts.
	minShare = 0.05
	// rescaleAfter is the time after which all weights are scaled down, well before
	// they overflow.
	rescaleAfter = 100 * window
)

// Recent counts the recent requests by priority. The zero value has none.
type Recent struct {
	// epoch is the time at which a request has the weight 1; later ones weigh more.
	epoch  time.Time
	shares []share
	// total is the sum of the weights.
	total float64
	top   anvilglade.Priority
}

// share holds the requests of one priority.
type share struct {
	priority anvilglade.Priority
	weight   float64
	latest   time.Time
}

// Add records a request.
func (r *Recent) Add(priority anvilglade.Priority, now time.Time) {
	r.rescale(now)
	weight := math.Exp(float64(now.Sub(r.epoch)) / float64(window))
	i, found := slices.BinarySearchFunc(r.shares, priority, func(share share, priority anvilglade.Priority) int {
		return int(share.priority) - int(priority)
	})
	if !found {
		r.shares = slices.Insert(r.shares, i, share{priority: priority})
	}
	r.shares[i].weight += weight
	r.shares[i].latest = now
	r.total += weight
	r.updateTop(now)
}

// Top returns the highest priority with a notable share of the recent requests, 0 if
// there were none.
func (r *Recent) Top() anvilglade.Priority {
	return r.top
}

// updateTop sets the highest priority. If none of those with a request within the window
// has a notable share yet, it is the one with the largest share of them.
func (r *Recent) updateTop(now time.Time) {
	largest := 0.0
	for _, share := range r.shares {
		if now.Sub(share.latest) > window {
			continue
		}
		if share.weight >= minShare*r.total {
			r.top = share.priority
			return
		}
		if share.weight > largest {
			largest, r.top = share.weight, share.priority
		}
	}
}

// rescale makes now the epoch if the present one is too old.
func (r *Recent) rescale(now time.Time) {
	age := now.Sub(r.epoch)
	if age < rescaleAfter && !r.epoch.IsZero() {
		return
	}
	factor := math.Exp(-float64(age) / float64(window))
	r.epoch, r.total = now, 0
	for i := range r.shares {
		r.shares[i].weight *= factor
		r.total += r.shares[i].weight
	}
}
