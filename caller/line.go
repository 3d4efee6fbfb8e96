package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/anvilglade/anvilglade/internal/request/agproblem"
)

// maxLineLength bounds one line in bytes.
const maxLineLength = 1 << 20

// ErrLineRefused means that the service answered a line with an error status
// that a retry does not change.
var ErrLineRefused = errors.New("service refused the line")

// Line keeps an alert line open: it sends a GET and calls handle for each line
// of the answer. A line that breaks or ends is opened again on a new connection.
// It returns when ctx ends or handle returns an error. Lines that the service
// sends while no connection is open are not seen.
func (c *Client) Line(ctx context.Context, path string, handle func(line []byte) error) error {
	failures := 0
	for {
		got, err := c.follow(ctx, path, handle)
		var stop *handlerError
		if errors.As(err, &stop) {
			return stop.err
		}
		if ctx.Err() != nil {
			return fmt.Errorf("line %s: %w", path, context.Cause(ctx))
		}
		if errors.Is(err, ErrLineRefused) {
			return err
		}
		if got {
			failures = 0
		}
		if err := pause(ctx, failures, retryAfter(err)); err != nil {
			return fmt.Errorf("line %s: %w", path, err)
		}
		failures++
	}
}

// handlerError carries the error of the caller's function out of follow.
type handlerError struct{ err error }

func (e *handlerError) Error() string { return e.err.Error() }

// follow reads one connection to its end. It reports whether a line came.
func (c *Client) follow(ctx context.Context, path string, handle func([]byte) error) (got bool, err error) {
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
		got = true
		if err := handle(scanner.Bytes()); err != nil {
			return true, &handlerError{err}
		}
	}
	return got, scanner.Err()
}

// lineProblem returns an error that is final for a status of the service itself
// below 500.
func lineProblem(response *http.Response) error {
	if response.Header.Get("Content-Type") != agproblem.ContentType && response.StatusCode < http.StatusInternalServerError {
		return fmt.Errorf("%w: status %d", ErrLineRefused, response.StatusCode)
	}
	return fmt.Errorf("status %d", response.StatusCode)
}
