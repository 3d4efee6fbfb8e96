package agroster_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/membership/agroster"
)

// Guards against an agent that refuses new flows because its information on evacuations
// is old although some balancers reach it, and against replies whose number grows with
// the balancers. The load: an agent requests replies 2.5 times a second, and only a
// share of the balancers replies.
func TestRepliesFromAnyLivingBalancer(t *testing.T) {
	const (
		interval = 400 * time.Millisecond
		// maxAge is the age of the last reply from which an agent refuses new flows
		// (package agopen).
		maxAge = 3 * time.Second
	)
	for _, c := range []struct{ balancers, living int }{{3, 1}, {6, 6}, {60, 60}, {60, 12}, {60, 1}, {520, 40}} {
		random := rand.New(rand.NewPCG(1, 1))
		roster := agroster.NewRoster()
		now := time.Unix(1_000_000, 0)
		lastReply, requests, rounds := now, 0, 0
		for ; rounds < 150; rounds++ {
			now = now.Add(interval)
			// The balancers that do not reply are still listed by others.
			var all []anvilglade.IPv4
			for i := range c.balancers {
				all = append(all, anvilglade.IPv4{10, 0, byte(i >> 8), byte(i)})
			}
			roster.Add(all, now)
			targets := roster.ReplyTargets(now, random)
			requests += len(targets)
			for _, target := range targets {
				if int(target[2])<<8+int(target[3]) >= c.living {
					continue
				}
				roster.HandleStatus(&anvilglade.BalancerStatus{Balancer: target, Desired: 1, Evacuations: anvilglade.Evacuations{Revision: 1}}, now)
				lastReply = now
			}
			if age := now.Sub(lastReply); age > maxAge {
				t.Fatalf("%d of %d balancers reply: no reply for %s after %d rounds", c.living, c.balancers, age, rounds)
			}
		}
		// The first request goes to all of them.
		if limit := 2*rounds + c.balancers; requests > limit {
			t.Errorf("%d of %d balancers reply: %d requests in %d rounds, want at most %d", c.living, c.balancers, requests, rounds, limit)
		}
	}
}

// Guards against hosts that take no flows for 0.3 s although balancers have a state:
// after an outage of everything the balancers answered without one for a second, and an
// agent that requested replies from two of them received the state late.
func TestEveryBalancerIsAskedUntilOneHasAState(t *testing.T) {
	const balancers = 60
	random := rand.New(rand.NewPCG(1, 1))
	roster := agroster.NewRoster()
	now := time.Unix(1_000_000, 0)
	for i := range balancers {
		roster.HandleStatus(&anvilglade.BalancerStatus{Balancer: anvilglade.IPv4{10, 0, 0, byte(i)}}, now)
	}
	if targets := roster.ReplyTargets(now, random); len(targets) != balancers {
		t.Errorf("%d balancers are asked while none has a state, want all %d", len(targets), balancers)
	}
	roster.HandleStatus(&anvilglade.BalancerStatus{Balancer: anvilglade.IPv4{10, 0, 0, 7}, Desired: 3, Evacuations: anvilglade.Evacuations{Revision: 9}}, now)
	if targets := roster.ReplyTargets(now, random); len(targets) > 2 {
		t.Errorf("%d balancers are asked although one has a state, want at most 2", len(targets))
	}
}
