package agcommand

import (
	"errors"
	"net/netip"
	"testing"

	"github.com/anvilglade/anvilglade"
)

// Guards against a command that waits until its time limit for a replaced
// balancer, and against one that ignores a living balancer that does not answer.
func TestReplacedProcessIsNotWaitedFor(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.1.1:7403")
	unreachable := processAnswer{Address: address, Err: errors.New("connection refused")}
	answerListing := func(living bool) processAnswer {
		balancer := anvilglade.BalancerRecord{Balancer: "b1", AdminAddress: address, Living: living}
		return processAnswer{Members: anvilglade.Members{Balancers: []anvilglade.BalancerRecord{balancer}}}
	}
	for name, c := range map[string]struct {
		answers []processAnswer
		want    bool
	}{
		"no balancer answers":   {answers: []processAnswer{unreachable}, want: false},
		"listed as living":      {answers: []processAnswer{unreachable, answerListing(true)}, want: false},
		"listed as dead":        {answers: []processAnswer{unreachable, answerListing(false)}, want: true},
		"living for one of two": {answers: []processAnswer{answerListing(false), answerListing(true)}, want: false},
	} {
		if got := isReplaced(&unreachable, c.answers); got != c.want {
			t.Errorf("%s: replaced is %t, expected %t", name, got, c.want)
		}
	}
}
