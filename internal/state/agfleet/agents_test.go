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

// Guards against a balancer that takes a running host for lost: the host's agent has
// restarted while the balancer was paused, so the agent does not know the balancer, and
// the balancer does not send its status to an agent that it knows.
func TestAgentWithoutStatusIsNotified(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	fleet := agfleet.NewFleet(agfleet.Options{Self: balancerIP(0)})
	for i, ended := range []bool{false, true, false} {
		fleet.UpdateAgent(anvilglade.AgentStatus{Agent: agentIP(i), Incarnation: 1, Sequence: 1, Ended: ended}, now)
	}
	later := now.Add(agfleet.SilentAfter + time.Millisecond)
	fleet.UpdateAgent(anvilglade.AgentStatus{Agent: agentIP(2), Incarnation: 1, Sequence: 2}, later)
	fleet.UpdateSilent(later)
	if agents := fleet.OverdueAgents(); len(agents) != 1 || agents[0] != agentIP(0) {
		t.Errorf("agents to notify are %v, want only %v", agents, agentIP(0))
	}
}

// Guards against a loss of a data centre after which every balancer sends its status to
// hundreds of lost agents several times a second, and against a selection that never
// reaches the one that runs.
func TestOverdueAgentsAreNotifiedInTurn(t *testing.T) {
	const (
		agents    = 200
		perSecond = 4
		seconds   = 30
	)
	now := time.Unix(1_000_000, 0)
	fleet := agfleet.NewFleet(agfleet.Options{Self: balancerIP(0)})
	for i := range agents {
		fleet.UpdateAgent(anvilglade.AgentStatus{Agent: agentIP(i), Incarnation: 1, Sequence: 1}, now)
	}
	fleet.UpdateSilent(now.Add(agfleet.LostAfter))
	notified := make(map[anvilglade.IPv4]bool)
	for range perSecond * seconds {
		selected := fleet.OverdueAgents()
		if len(selected) > 8 {
			t.Fatalf("%d agents are notified at once, want at most 8", len(selected))
		}
		for _, agent := range selected {
			notified[agent] = true
		}
	}
	if len(notified) < agents*9/10 {
		t.Errorf("%d of %d agents were notified in %d s", len(notified), agents, seconds)
	}
}
