package agpace_test

import (
	"testing"
	"time"

	"github.com/anvilglade/anvilglade/internal/membership/agpace"
)

// Guards against messages of a process that grow with the fleet: from 30 to 300
// VMs a balancer's bytes grew 8.8 times (docs/CAPACITY.md).
func TestMessagesAreBounded(t *testing.T) {
	const (
		base  = 250 * time.Millisecond
		every = 8
		// maxMessages and maxEntries are those of 40 receivers.
		maxMessages = 40 / 0.25
		maxEntries  = 40 * maxMessages / every
	)
	most := 0.0
	for receivers := 1; receivers <= 1000; receivers++ {
		interval := agpace.Interval(base, receivers)
		if interval < base {
			t.Fatalf("%d receivers: %s", receivers, interval)
		}
		// Each list has an entry for each of its receivers.
		lists := float64(receivers) / interval.Seconds() / float64(agpace.MessagesPerList(every, receivers))
		if entries := lists * float64(receivers); entries > maxEntries+1 {
			t.Fatalf("%d receivers: %.0f entries of lists a second", receivers, entries)
		}
		most = max(most, float64(receivers)/interval.Seconds())
	}
	if most > maxMessages+1 {
		t.Errorf("%.0f messages a second", most)
	}
}
