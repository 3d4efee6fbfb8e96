package agtask

import (
	"context"
	"time"
)

// Sleep waits for the duration d. If the context ends earlier, it returns the
// context's error immediately.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
