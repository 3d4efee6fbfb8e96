package agdecision_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade/internal/observe/agdecision"
	"github.com/anvilglade/anvilglade/internal/observe/aglog"
)

var kinds = []agdecision.Kind{
	agdecision.KindPlaced, agdecision.KindLookup, agdecision.KindReturned, agdecision.KindRefused,
	agdecision.KindPassed, agdecision.KindReset, agdecision.KindDropped, agdecision.KindOwner,
	agdecision.KindQueued, agdecision.KindShifted, agdecision.KindSplit, agdecision.KindEjected,
}

// TestVolumeIsBoundedAndCounted guards against a log volume that grows with the
// load, and against omitted lines that are not counted.
func TestVolumeIsBoundedAndCounted(t *testing.T) {
	var out bytes.Buffer
	if err := aglog.Configure(aglog.Options{Level: "info", JSON: true, Output: &out, Node: "vm-1"}); err != nil {
		t.Fatal(err)
	}
	log := agdecision.NewLog(aglog.New("part"))
	start := time.Unix(1_000_000, 0)
	const perSecond, seconds = 1000, 3
	for i := range perSecond * seconds {
		for _, kind := range kinds {
			if line, ok := log.Line(kind, start.Add(time.Duration(i)*time.Second/perSecond)); ok {
				line.WithField("Flow", "f").Info("Decision.")
			}
		}
	}
	written, omitted := 0, 0.0
	for _, raw := range bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n")) {
		var line map[string]any
		if err := json.Unmarshal(raw, &line); err != nil {
			t.Fatalf("%s: %v", raw, err)
		}
		if line["Node"] != "vm-1" || line["Flow"] != "f" {
			t.Errorf("line without Node or Flow: %s", raw)
		}
		written++
		if count, ok := line["Omitted"].(float64); ok {
			omitted += count
		}
	}
	if limit := 200 * seconds; written > limit {
		t.Errorf("%d lines in %d s, allowed are %d", written, seconds, limit)
	}
	// Lines omitted in the last second would be reported by the next line only.
	total, last := float64(perSecond*seconds*len(kinds)), float64(perSecond*len(kinds))
	if got := float64(written) + omitted; got < total-last || got > total {
		t.Errorf("%d lines written and %.0f counted as omitted, of %.0f", written, omitted, total)
	}
}
