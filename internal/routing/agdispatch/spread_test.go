package agdispatch_test

import (
	"testing"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/routing/agdispatch"
)

// Guards against hosts of a large service that receive no flows, or too many,
// because only maxOptions of them are compared for each flow.
func TestFlowsSpreadOverLargeService(t *testing.T) {
	const hosts, perHost = 500, 10
	dispatcher, packet, now := newBench(hosts)
	packet.Flags = anvilglade.FlagSYN
	placed := make(map[anvilglade.IPv4]int)
	var verdict agdispatch.Verdict
	for range hosts * perHost {
		packet.Source.Port++
		dispatcher.FromCaller(packet, now, &verdict)
		placed[verdict.To[0]]++
	}
	if len(placed) != hosts {
		t.Errorf("%d of %d hosts have flows", len(placed), hosts)
	}
	for host, flows := range placed {
		if flows > 2*perHost {
			t.Errorf("host %s has %d flows, the mean is %d", host, flows, perHost)
		}
	}
}
