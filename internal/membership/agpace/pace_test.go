package agpace_test

import (
	"testing"
	"time"

	"github.com/anvilglade/anvilglade/internal/membership/agpace"
)

// Guards against status traffic of a process that grows with the fleet: from 30 to
// 300 VMs the bytes of a balancer grew 8.8 times (docs/CAPACITY.md).
func TestMessagesAreBounded(t *testing.T) {
	const (
		base  = 250 * time.Millisecond
		every = 8
		// maxMessages and maxEntries are the values per second for 40 receivers.
		maxMessages = 40 / 0.25
		maxEntries  = 40 * maxMessages / every
	)
	most := 0.0
	for receivers := 1; receivers <= 1000; receivers++ {
		interval := agpace.Interval(base, receivers)
		if interval < base {
			t.Fatalf("%d receivers: interval %s is below the base", receivers, interval)
		}
		// Each list has one entry per receiver.
		lists := float64(receivers) / interval.Seconds() / float64(agpace.MessagesPerList(every, receivers))
		if entries := lists * float64(receivers); entries > maxEntries+1 {
			t.Fatalf("%d receivers: %.0f list entries per second", receivers, entries)
		}
		most = max(most, float64(receivers)/interval.Seconds())
	}
	if most > maxMessages+1 {
		t.Errorf("%.0f messages per second", most)
	}
}
