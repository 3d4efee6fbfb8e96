package agqueue_test

import (
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/admission/agqueue"
)

// TestFreePlaceGoesToTheQueuedRequest guards against a request of a lower priority whose
// refusal is on its way and that hides the place which an answer frees, and against a
// request that is delivered to a full host because another one took the place while the
// answer was on its way.
func TestFreePlaceGoesToTheQueuedRequest(t *testing.T) {
	for name, test := range map[string]struct {
		sinceLower time.Duration
		released   bool
	}{
		"the host sheds the lower request":  {sinceLower: time.Millisecond, released: true},
		"the lower request takes the place": {sinceLower: 100 * time.Microsecond},
	} {
		t.Run(name, func(t *testing.T) {
			m := newModel()
			m.limit = 1
			running, waiting, lower := &m.flows[0], &m.flows[4], &m.flows[1]
			m.deliver(running)
			arrival := agqueue.Arrival{Flow: waiting.flow, Class: high, Packet: &anvilglade.Packet{DataLength: 1}, StartsRequest: true}
			if decision := m.queue.Offer(&arrival, m.now); decision != agqueue.DecisionRequestQueued {
				t.Fatalf("decision is %d", decision)
			}
			arrival.Flow, arrival.Class = lower.flow, low
			if decision := m.queue.Offer(&arrival, m.now); decision != agqueue.DecisionDeliver {
				t.Fatalf("decision on a lower priority is %d", decision)
			}
			m.outstanding++
			m.queue.Arrive(lower.flow, low, m.now)
			m.now = m.now.Add(test.sinceLower)
			m.outstanding--
			m.queue.Answer(running.flow, m.now)
			if _, ok := m.queue.Next(m.now); ok != test.released {
				t.Fatalf("released: %t", ok)
			}
			if test.released {
				return
			}
			m.outstanding--
			m.queue.Answer(lower.flow, m.now)
			if release, ok := m.queue.Next(m.now); !ok || release.Flow != waiting.flow {
				t.Fatal("the request stays queued although the host has a place")
			}
		})
	}
}
