package caller

import (
	"context"
	"fmt"
	"net/http"
)

// Get sends a GET request for a path with an optional query and returns the
// complete response. The request is sent up to Options.MaxAttempts times; each
// retry uses a new connection. A problem is returned as a *ProblemError.
func (c *Client) Get(ctx context.Context, path string) (*Answer, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	o := &outgoing{method: http.MethodGet, path: path}
	var lastErr error
	for attempt := 1; attempt <= c.options.MaxAttempts; attempt++ {
		s, err := c.sharedSession()
		if err != nil {
			return nil, err
		}
		result := c.attempt(ctx, s, o)
		if result.answer != nil {
			result.answer.Attempts = attempt
			return result.answer, nil
		}
		if result.problem != nil {
			lastErr = &ProblemError{Problem: *result.problem}
			if result.retryAfter == 0 {
				return nil, lastErr
			}
		} else {
			lastErr = result.err
		}
		c.discard(s)
		if err := pause(ctx, attempt, result.retryAfter); err != nil {
			return nil, fmt.Errorf("%w; last attempt: %w", err, lastErr)
		}
	}
	return nil, lastErr
}
