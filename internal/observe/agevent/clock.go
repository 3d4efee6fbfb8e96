package agevent

import (
	"sync"

	"github.com/anvilglade/anvilglade"
)

// counterBits is the size of the logical part of a Timestamp.
const counterBits = 16

// HybridClock is a hybrid logical clock. It follows the system clock, and its time
// is always above every time that it has returned or observed in a message.
type HybridClock struct {
	mu    sync.Mutex
	clock anvilglade.Clock
	last  anvilglade.Timestamp
}

// NewHybridClock returns a clock that follows the given one.
func NewHybridClock(clock anvilglade.Clock) *HybridClock {
	return &HybridClock{clock: clock}
}

// Now returns a time above all times that were returned or observed before.
func (c *HybridClock) Now() anvilglade.Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	physical := anvilglade.Timestamp(c.clock.Now().UnixMilli()) << counterBits
	c.last = max(physical, c.last+1)
	return c.last
}

// Observe advances the clock to a time received in a message, so that Now returns
// a higher one.
func (c *HybridClock) Observe(observed anvilglade.Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, observed)
}

// UnixMilli returns the physical part of a time in milliseconds since the Unix
// epoch.
func UnixMilli(t anvilglade.Timestamp) int64 {
	return int64(t >> counterBits)
}
