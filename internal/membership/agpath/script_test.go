package agpath_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/membership/agpath"
	"github.com/anvilglade/anvilglade/internal/stand/agscript"
)

// TestScripts runs each script of testdata. Agents a1, a2 stand for addresses. The
// comment at the top of a script states the failure that it guards against.
func TestScripts(t *testing.T) {
	agscript.Run(t, func() agscript.Player {
		prober := agpath.NewProber()
		return func(t *testing.T, step *agscript.Step, now time.Time) string {
			t.Helper()
			return runStep(t, prober, step, now)
		}
	})
}

func runStep(t *testing.T, prober *agpath.Prober, step *agscript.Step, now time.Time) string {
	t.Helper()
	switch step.Verb {
	case "Suspect":
		if prober.Suspect(anvilglade.DataCentreID(step.Args[0]), now) {
			prober.Probe(agentsOf(step.Args[1:]))
		}
	case "Due":
		return namesOf(prober.Due(now))
	case "Confirm":
		prober.Confirm(agentsOf(step.Args)[0])
	case "Unreachable":
		return namesOf(slices.DeleteFunc(agentsOf([]string{"a1", "a2", "a3"}), func(agent anvilglade.IPv4) bool { return !prober.Unreachable(agent) }))
	case "Forget":
		removed := agentsOf(step.Args)
		prober.Forget(func(agent anvilglade.IPv4) bool { return !slices.Contains(removed, agent) })
	default:
		t.Fatalf("unknown verb %s", step.Verb)
	}
	return ""
}

func agentsOf(names []string) []anvilglade.IPv4 {
	agents := make([]anvilglade.IPv4, 0, len(names))
	for _, name := range names {
		agents = append(agents, anvilglade.IPv4{10, 0, 0, name[1] - '0'})
	}
	return agents
}

func namesOf(agents []anvilglade.IPv4) string {
	names := make([]string, 0, len(agents))
	for _, agent := range agents {
		names = append(names, fmt.Sprintf("a%d", agent[3]))
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}
