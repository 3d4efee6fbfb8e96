package agpacketbalancer

import (
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
)

// Guards against standbys, whose number grows with the fleet, that call an unavailable
// store as often as primaries, and against a primary that detects the end of an outage
// late because it was a standby before.
func TestBackoffDependsOnTheRole(t *testing.T) {
	calls := func(role anvilglade.StoreWatch, outage time.Duration) int {
		count, backoff := 0, time.Duration(0)
		for elapsed := time.Duration(0); elapsed < outage; elapsed += backoff {
			count++
			backoff = nextBackoff(backoff, role)
		}
		return count
	}
	const outage = 30 * time.Second
	if primary, standby := calls(anvilglade.WatchPrimary, outage), calls(anvilglade.WatchStandby, outage); standby > primary/3 {
		t.Errorf("a standby makes %d calls in an outage of %s, a primary %d, want at most a third", standby, outage, primary)
	}
	backoff := time.Duration(0)
	for range 10 {
		backoff = nextBackoff(backoff, anvilglade.WatchStandby)
	}
	if next := nextBackoff(backoff, anvilglade.WatchPrimary); next > maxBackoff {
		t.Errorf("a standby that becomes a primary waits %s, want at most %s", next, maxBackoff)
	}
}
