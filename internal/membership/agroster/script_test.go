package agroster_test

import (
	"fmt"
	"slices"
	"strings"
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
		roster.AddSeeds(addresses(step.Args))
	case "Learn":
		return formatAdded(roster.Add(addresses(step.Args), now))
	case "Hear":
		return formatAdded(roster.HandleStatus(&anvilglade.BalancerStatus{Balancer: address(step.Args[0]), Balancers: addresses(step.Args[1:])}, now))
	case "Leaves":
		return formatAdded(roster.HandleStatus(&anvilglade.BalancerStatus{Balancer: address(step.Args[0]), Leaving: true}, now))
	case "Receivers":
		return names(roster.Receivers(now))
	case "Answering":
		return names(roster.Responsive(now))
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

func address(name string) anvilglade.IPv4 {
	return anvilglade.IPv4{10, 0, 0, name[1] - '0'}
}

func addresses(names []string) []anvilglade.IPv4 {
	var list []anvilglade.IPv4
	for _, name := range names {
		list = append(list, address(name))
	}
	return list
}

func names(addresses []anvilglade.IPv4) string {
	list := make([]string, 0, len(addresses))
	for _, address := range addresses {
		list = append(list, fmt.Sprintf("b%d", address[3]))
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}
