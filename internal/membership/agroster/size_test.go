package agroster_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/membership/agroster"
)

// sizedFleet is the balancers of one agent, of which every third is large.
type sizedFleet struct {
	now      time.Time
	size     int
	roster   *agroster.Roster
	random   *rand.Rand
	replies  func(balancer int) bool
	asked    map[int]int
	lastSeen time.Time
	maxAge   time.Duration
}

const (
	// replyInterval is the time between two requests of an agent for replies.
	replyInterval = 400 * time.Millisecond
	// roundsPerReply is the number of requests in 10 s, after which each balancer replies
	// without a request.
	roundsPerReply = 25
)

func isLarge(balancer int) bool {
	return balancer%3 == 0
}

func newSizedFleet(balancers int) *sizedFleet {
	now := time.Unix(1_000_000, 0)
	f := &sizedFleet{now: now, size: balancers, roster: agroster.NewRoster(), random: rand.New(rand.NewPCG(1, 1)), replies: func(int) bool { return true }, lastSeen: now}
	for i := range balancers {
		f.reply(i)
	}
	return f
}

func (f *sizedFleet) reply(balancer int) {
	status := anvilglade.BalancerStatus{
		Balancer: anvilglade.IPv4{10, 0, 0, byte(balancer)}, DataCentre: "dk1", Capacity: 100, Desired: 1, Evacuations: anvilglade.Evacuations{Revision: 1},
	}
	if isLarge(balancer) {
		status.Capacity = 800
	}
	f.roster.HandleStatus(&status, f.now)
	f.lastSeen = f.now
}

// run requests replies for some time and counts the requests to each balancer. Each
// balancer also replies every 10 s without a request, as package agpacketbalancer does.
func (f *sizedFleet) run(rounds int) {
	f.asked, f.maxAge = make(map[int]int), 0
	for round := range rounds {
		f.now = f.now.Add(replyInterval)
		f.maxAge = max(f.maxAge, f.now.Sub(f.lastSeen))
		for _, target := range f.roster.ReplyTargets(f.now, f.random) {
			number := int(target[3])
			f.asked[number]++
			if f.replies(number) {
				f.reply(number)
			}
		}
		if (round+1)%roundsPerReply != 0 {
			continue
		}
		for number := range f.size {
			if f.replies(number) {
				f.reply(number)
			}
		}
	}
}

func (f *sizedFleet) requestsToSmall() (small, all int) {
	for number, count := range f.asked {
		all += count
		if !isLarge(number) {
			small += count
		}
	}
	return small, all
}

// Guards against agents that request replies from small balancers beside larger ones, that
// get no reply when the large balancers are lost, or that do not return to them.
func TestLargeBalancersReply(t *testing.T) {
	// staleAfter is the age of the last reply from which an agent refuses new flows
	// (package agopen).
	const staleAfter = 3 * time.Second
	fleet := newSizedFleet(15)
	fleet.run(100)
	if small, all := fleet.requestsToSmall(); small > 0 {
		t.Errorf("%d of %d requests go to small balancers", small, all)
	}
	fleet.replies = func(balancer int) bool { return !isLarge(balancer) }
	fleet.run(int(staleAfter / replyInterval))
	if fleet.maxAge >= staleAfter {
		t.Errorf("no reply for %s after the loss of the large balancers, want less than %s", fleet.maxAge, staleAfter)
	}
	fleet.run(100)
	if fleet.maxAge > replyInterval {
		t.Errorf("no reply for %s although small balancers have taken over, want one in each round", fleet.maxAge)
	}
	fleet.replies = func(int) bool { return true }
	// All balancers reply in one of these rounds.
	fleet.run(roundsPerReply)
	fleet.run(100)
	if small, all := fleet.requestsToSmall(); small > 0 {
		t.Errorf("%d of %d requests go to small balancers after the return of the large ones", small, all)
	}
}
