package agtask

import (
	"context"
	"time"
)

// Sleep waits for a duration or until the context ends, whose error it then
// returns.
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
