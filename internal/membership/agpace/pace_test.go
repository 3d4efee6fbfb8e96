package agpace_test

import (
	"testing"
	"time"

	"github.com/anvilglade/anvilglade/internal/membership/agpace"
)

// TestMessagesAreBounded guards against a message rate per process that is
// proportional to the size of the fleet: without longer intervals, a balancer
// sends 8.8 times as many bytes at 300 VMs as at 30 (docs/CAPACITY.md).
func TestMessagesAreBounded(t *testing.T) {
	const (
		base            = 250 * time.Millisecond
		messagesPerList = 8
		// maxMessages and maxEntries are the numbers of messages and of list
		// entries per second with 40 receivers.
		maxMessages = 40 / 0.25
		maxEntries  = 40 * maxMessages / messagesPerList
	)
	maxRate := 0.0
	for receivers := 1; receivers <= 1000; receivers++ {
		interval := agpace.Interval(base, receivers)
		if interval < base {
			t.Fatalf("interval for %d receivers is %s, less than for one receiver", receivers, interval)
		}
		// Each list has one entry per receiver.
		listsPerSecond := float64(receivers) / interval.Seconds() / float64(agpace.MessagesPerList(messagesPerList, receivers))
		if entries := listsPerSecond * float64(receivers); entries > maxEntries+1 {
			t.Fatalf("%d receivers: %.0f list entries per second, more than for 40 receivers", receivers, entries)
		}
		maxRate = max(maxRate, float64(receivers)/interval.Seconds())
	}
	if maxRate > maxMessages+1 {
		t.Errorf("%.0f messages per second, more than for 40 receivers", maxRate)
	}
}
