package agcommand

import (
	"errors"
	"net/netip"
	"testing"

	"github.com/anvilglade/anvilglade"
)

// Guards against a command that waits in vain for a balancer that was replaced,
// and against one that leaves out a living balancer that does not answer.
func TestReplacedProcessIsNotWaitedFor(t *testing.T) {
	gone := netip.MustParseAddrPort("127.0.1.1:7403")
	silent := processAnswer{Address: gone, Err: errors.New("connection refused")}
	answering := func(living bool) processAnswer {
		balancer := anvilglade.BalancerRecord{Balancer: "b1", AdminAddress: gone, Living: living}
		return processAnswer{Members: anvilglade.Members{Balancers: []anvilglade.BalancerRecord{balancer}}}
	}
	for name, c := range map[string]struct {
		answers []processAnswer
		want    bool
	}{
		"no balancer answers":   {answers: []processAnswer{silent}, want: false},
		"listed as living":      {answers: []processAnswer{silent, answering(true)}, want: false},
		"listed as dead":        {answers: []processAnswer{silent, answering(false)}, want: true},
		"living for one of two": {answers: []processAnswer{answering(false), answering(true)}, want: false},
	} {
		if got := replaced(&silent, c.answers); got != c.want {
			t.Errorf("%s: replaced is %t, expected %t", name, got, c.want)
		}
	}
}
