package agroster_test

import (
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/membership/agroster"
	"github.com/anvilglade/anvilglade/internal/stand/agscript"
)

// TestScripts runs each script in testdata; b1 and b2 denote balancers.
func TestScripts(t *testing.T) {
	agscript.Run(t, func() agscript.Player {
		roster := agroster.NewRoster()
		return func(t *testing.T, step *agscript.Step, now time.Time) string {
			t.Helper()
			return runStep(t, roster, step, now)
		}
	})
}

func runStep(t *testing.T, roster *agroster.Roster, step *agscript.Step, now time.Time) string {
	t.Helper()
	switch step.Verb {
	case "Seeds":
		roster.AddSeeds(agscript.Addresses(step.Args))
	case "Learn":
		return formatAdded(roster.Add(agscript.Addresses(step.Args), now))
	case "Hear":
		return formatAdded(roster.HandleStatus(&anvilglade.BalancerStatus{Balancer: agscript.Address(step.Args[0]), Balancers: agscript.Addresses(step.Args[1:])}, now))
	case "Leaves":
		return formatAdded(roster.HandleStatus(&anvilglade.BalancerStatus{Balancer: agscript.Address(step.Args[0]), Leaving: true}, now))
	case "Receivers":
		return agscript.Names("b", roster.Receivers(now))
	case "Answering":
		return agscript.Names("b", roster.Responsive(now))
	default:
		t.Fatalf("unknown verb: %s", step.Source)
	}
	return ""
}

func formatAdded(added []anvilglade.IPv4) string {
	if len(added) > 0 {
		return "News"
	}
	return ""
}
