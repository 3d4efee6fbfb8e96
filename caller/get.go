package caller

import (
	"context"
	"fmt"
	"net/http"
)

// Get sends a GET for a path with query and returns the whole answer. It may be
// sent MaxAttempts times; each further attempt uses a new connection.
func (c *Client) Get(ctx context.Context, path string) (*Answer, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	o := &outgoing{method: http.MethodGet, path: path}
	var last error
	for attempt := 1; attempt <= c.options.MaxAttempts; attempt++ {
		s, err := c.shared()
		if err != nil {
			return nil, err
		}
		result := c.attempt(ctx, s, o)
		if result.answer != nil {
			result.answer.Attempts = attempt
			return result.answer, nil
		}
		if result.problem != nil {
			last = &ProblemError{Problem: *result.problem}
			if result.retryAfter == 0 {
				return nil, last
			}
		} else {
			last = result.err
		}
		c.discard(s)
		if err := pause(ctx, attempt, result.retryAfter); err != nil {
			return nil, fmt.Errorf("%w; last attempt: %w", err, last)
		}
	}
	return nil, last
}
