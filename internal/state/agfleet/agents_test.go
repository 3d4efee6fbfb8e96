package agfleet_test

import (
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/state/agfleet"
)

// Guards against log lines without the name of the host, which most statuses leave out,
// and against the name of a former host after its address was used again.
func TestHostNameIsKept(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	fleet := agfleet.NewFleet(agfleet.Options{Self: balancerIP(0)})
	for i, c := range []struct {
		host anvilglade.HostID
		born int64
		want anvilglade.HostID
	}{{"h1", 1, "h1"}, {"", 1, "h1"}, {"", 2, ""}, {"h2", 2, "h2"}, {"", 2, "h2"}} {
		fleet.UpdateAgent(anvilglade.AgentStatus{Agent: agentIP(0), Incarnation: 1, Sequence: anvilglade.Sequence(i + 1), Host: c.host, Born: c.born}, now)
		if host, ok := fleet.Host(agentIP(0)); !ok || host.Host != c.want {
			t.Errorf("status %d: host is %q, want %q", i, host.Host, c.want)
		}
	}
}
