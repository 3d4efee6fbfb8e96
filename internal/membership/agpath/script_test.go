package agpath_test

import (
	"slices"
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
			prober.Probe(agscript.Addresses(step.Args[1:]))
		}
	case "Due":
		return agscript.Names("a", prober.Due(now))
	case "Confirm":
		prober.Confirm(agscript.Addresses(step.Args)[0])
	case "Unreachable":
		return agscript.Names("a", slices.DeleteFunc(agscript.Addresses([]string{"a1", "a2", "a3"}), func(agent anvilglade.IPv4) bool { return !prober.Unreachable(agent) }))
	case "Forget":
		removed := agscript.Addresses(step.Args)
		prober.Forget(func(agent anvilglade.IPv4) bool { return !slices.Contains(removed, agent) })
	default:
		t.Fatalf("unknown verb %s", step.Verb)
	}
	return ""
}
