package agexplain_test

import (
	"strings"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade/internal/observe/agexplain"
)

const windowLog = `{"Decision":"Lookup","Reason":"Lookup","Node":"b1","msg":"x","time":"2026-01-17T08:00:00.1Z"}
{"Node":"a1","msg":"packet-agent: Agent has started.","time":"2026-01-17T08:00:00.2Z"}
{"Decision":"Passed","Cause":"Busy","Omitted":41,"Node":"a1","msg":"x","time":"2026-01-17T08:00:01.0Z"}
{"Decision":"Placed","Reason":"Placed","Omitted":9,"Node":"b1","msg":"x","time":"2026-01-17T08:00:01.1Z"}
{"Decision":"Reset","Reason":"HeldNowhere","Node":"b1","msg":"x","time":"2026-01-17T08:00:01.9Z"}
{"Decision":"Reset","Reason":"HostLost","Node":"b1","msg":"x","time":"2026-01-17T08:00:02Z"}
{"Node":"b2","Reason":"Busy","msg":"state, no decision","time":"2026-01-17T08:00:01.5Z"}
`

// Guards against a table that shows few decisions in the seconds in which there were
// most, because the budgets of the logs omitted them, against one that counts flows
// that were served, and against one that includes lines outside the span.
func TestCountEffects(t *testing.T) {
	log, err := agexplain.Read(strings.NewReader(windowLog))
	if err != nil {
		t.Fatal(err)
	}
	from := time.Date(2026, 1, 17, 8, 0, 0, 0, time.UTC)
	steps := log.CountEffects(agexplain.Span{From: from, To: from.Add(2 * time.Second), Step: time.Second})
	var text strings.Builder
	if err := agexplain.WriteStepsText(&text, steps); err != nil {
		t.Fatal(err)
	}
	want := [][]string{
		{"From", "Started", "NoState", "Search", "FlowLost", "Busy", "Cold", "NotReady", "Refused"},
		{"08:00:00.000", "1", "0", "1", "0", "0", "0", "0", "0"},
		{"08:00:01.000", "0", "0", "0", "1", "42", "0", "0", "0"},
		{"all", "1", "0", "1", "1", "42", "0", "0", "0"},
	}
	lines := strings.Split(strings.TrimSpace(text.String()), "\n")
	for i, row := range want {
		if i >= len(lines) || strings.Join(strings.Fields(lines[i]), " ") != strings.Join(row, " ") {
			t.Fatalf("row %d differs from %v:\n%s", i, row, text.String())
		}
	}
	var page strings.Builder
	if err := agexplain.WriteStepsHTML(&page, steps); err != nil || !strings.Contains(page.String(), "08:00:01.000 Busy: 42") {
		t.Errorf("page lacks the bar of the busy hosts (%v)", err)
	}
}

// Guards against a span that is no multiple of the step or has no lines.
func TestStepsOfAnEmptySpan(t *testing.T) {
	log, err := agexplain.Read(strings.NewReader(windowLog))
	if err != nil {
		t.Fatal(err)
	}
	from := time.Date(2026, 1, 17, 9, 0, 0, 0, time.UTC)
	steps := log.CountEffects(agexplain.Span{From: from, To: from.Add(300 * time.Millisecond), Step: 200 * time.Millisecond})
	if len(steps) != 2 || len(steps[0].Counts) != 0 {
		t.Errorf("steps of a span without lines are %v, want two without counts", steps)
	}
}
