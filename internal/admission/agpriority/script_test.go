package agpriority_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/admission/agpriority"
	"github.com/anvilglade/anvilglade/internal/stand/agscript"
)

// TestScripts runs each script of testdata. "Add 30 p1" records 30 requests of priority
// 1 and returns the highest priority.
func TestScripts(t *testing.T) {
	agscript.Run(t, func() agscript.Player {
		var recent agpriority.Recent
		return func(t *testing.T, step *agscript.Step, now time.Time) string {
			t.Helper()
			if step.Verb == "Top" {
				return fmt.Sprint(recent.Top())
			}
			for range numberOf(t, step.Args[0]) {
				recent.Add(anvilglade.Priority(numberOf(t, step.Args[1][1:])), now)
			}
			return fmt.Sprintf("p%d", recent.Top())
		}
	})
}

func numberOf(t *testing.T, text string) int {
	t.Helper()
	number, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return number
}
