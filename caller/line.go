package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/anvilglade/anvilglade/internal/request/agproblem"
)

// maxLineLength is the maximum length of one line in bytes.
const maxLineLength = 1 << 20

// ErrLineRefused means that the service responded to Line with an error status for
// which a retry is of no use.
var ErrLineRefused = errors.New("service refused the line")

// Line keeps an alert line open: it sends a GET and calls handle for each line of
// text in the response. When the response ends, the alert line is opened again on
// a new connection. Text that the service sends while no connection is open is
// lost. Line returns when ctx ends, when handle returns an error, or with an error
// that wraps ErrLineRefused.
func (c *Client) Line(ctx context.Context, path string, handle func(line []byte) error) error {
	failures := 0
	for {
		received, err := c.follow(ctx, path, handle)
		var handlerErr *handlerError
		if errors.As(err, &handlerErr) {
			return handlerErr.err
		}
		if ctx.Err() != nil {
			return fmt.Errorf("line %s: %w", path, context.Cause(ctx))
		}
		if errors.Is(err, ErrLineRefused) {
			return err
		}
		if received {
			failures = 0
		}
		if err := pause(ctx, failures, retryAfter(err)); err != nil {
			return fmt.Errorf("line %s: %w", path, err)
		}
		failures++
	}
}

// handlerError wraps an error that handle returned to follow.
type handlerError struct{ err error }

func (e *handlerError) Error() string { return e.err.Error() }

// follow opens the alert line once and reads it to its end. It reports whether a
// line of text was received.
func (c *Client) follow(ctx context.Context, path string, handle func([]byte) error) (received bool, err error) {
	s := c.newSession()
	defer s.close()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+c.options.Address+path, http.NoBody)
	if err != nil {
		return false, fmt.Errorf("build request: %w", err)
	}
	response, err := s.transport.RoundTrip(request)
	if err != nil {
		return false, fmt.Errorf("line %s: %w", path, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		return false, lineProblem(response)
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maxLineLength)
	for scanner.Scan() {
		received = true
		if err := handle(scanner.Bytes()); err != nil {
			return true, &handlerError{err}
		}
	}
	return received, scanner.Err()
}

// lineProblem returns the error for an error status. It wraps ErrLineRefused for a
// status below 500 that the backend server sent, which is not retried.
func lineProblem(response *http.Response) error {
	if response.Header.Get("Content-Type") != agproblem.ContentType && response.StatusCode < http.StatusInternalServerError {
		return fmt.Errorf("%w: status %d", ErrLineRefused, response.StatusCode)
	}
	return fmt.Errorf("status %d", response.StatusCode)
}
