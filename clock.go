package anvilglade

import "time"

// Clock returns the current time. Decision code takes it as a parameter, so that
// tests can control time.
type Clock interface {
	Now() time.Time
}

// SystemClock is the clock of the operating system.
type SystemClock struct{}

// Now returns time.Now.
func (SystemClock) Now() time.Time {
	return time.Now()
}
