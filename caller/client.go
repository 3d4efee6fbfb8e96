package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/quic-go/quic-go/http3"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/request/agproblem"
)

// Defaults of the options.
const (
	// DefaultTimeout is the timeout of a request whose context has no deadline.
	DefaultTimeout = 30 * time.Second
	// DefaultAttemptTimeout is the timeout of one attempt. After it the request
	// is sent again on a new connection.
	DefaultAttemptTimeout = 5 * time.Second
	// DefaultMaxAttempts is the maximum number of attempts of Get.
	DefaultMaxAttempts = 3
	// DefaultMaxAnswer is the maximum size of a response body in bytes.
	DefaultMaxAnswer = 16 << 20
)

// firstPause and maxPause are the initial value and the maximum of the exponential
// backoff between attempts. The pause is at least half of it.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = 2 * time.Second
)

// Options are the address of the service and the limits of requests. A limit of 0
// or below selects the default.
type Options struct {
	// Address is the HOST:PORT of the service.
	Address string
	// TLS is the client configuration. If nil, the root certificates of the
	// system are used.
	TLS            *tls.Config
	Timeout        time.Duration
	AttemptTimeout time.Duration
	MaxAttempts    int
	MaxAnswer      int64
}

// Answer is a complete response.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Ticket is the ticket of a report, empty for other requests.
	Ticket string
	// Attempts is the number of attempts. For a report, attempts for which no
	// connection was established are not counted.
	Attempts int
}

// Problem is a problem document (RFC 9457) in a response from an agent.
type Problem = agproblem.Problem

// ProblemError is the error for a response with a problem. It wraps anvilglade.ErrNotRun if the
// problem states that the request did not run, and anvilglade.ErrUnknownOutcome
// if it may have run.
type ProblemError struct {
	Problem Problem
	// Ticket is the ticket of a report, empty for other requests.
	Ticket string
}

// Error returns the title and the detail of the problem.
func (e *ProblemError) Error() string {
	if e.Problem.Detail == "" {
		return e.Problem.Title
	}
	return e.Problem.Title + ": " + e.Problem.Detail
}

// Unwrap returns anvilglade.ErrNotRun, anvilglade.ErrUnknownOutcome or nil.
func (e *ProblemError) Unwrap() error {
	switch {
	case e.Problem.NotRun:
		return anvilglade.ErrNotRun
	case e.Problem.Type == agproblem.OutcomeUnknown, e.Problem.Type == agproblem.TicketExpired, e.Problem.Type == agproblem.ReportRunning:
		return anvilglade.ErrUnknownOutcome
	default:
		return nil
	}
}

// Client sends requests to one service. It is safe for concurrent use.
type Client struct {
	options Options

	mu      sync.Mutex
	current *session
	closed  bool
}

// session is one connection. A new session has a new source port, so the balancer
// may assign it to another host.
type session struct {
	transport *http3.Transport
}

// New returns a client. It connects when the first request is sent, and returns an
// error if options.Address is missing. The returned function closes the client's
// shared connection.
func New(options Options) (*Client, func(), error) {
	if options.Address == "" {
		return nil, nil, errors.New("caller: Address is missing")
	}
	if options.TLS == nil {
		options.TLS = &tls.Config{MinVersion: tls.VersionTLS13}
	}
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.AttemptTimeout <= 0 {
		options.AttemptTimeout = DefaultAttemptTimeout
	}
	if options.MaxAttempts <= 0 {
		options.MaxAttempts = DefaultMaxAttempts
	}
	if options.MaxAnswer <= 0 {
		options.MaxAnswer = DefaultMaxAnswer
	}
	c := &Client{options: options}
	return c, c.close, nil
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.current != nil {
		_ = c.current.transport.Close()
		c.current = nil
	}
}

func (c *Client) newSession() *session {
	return &session{transport: &http3.Transport{TLSClientConfig: c.options.TLS, DisableCompression: true}}
}

// sharedSession returns the session that GET requests share, and creates it if
// there is none. It returns an error if the client is closed.
func (c *Client) sharedSession() (*session, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("caller: client is closed")
	}
	if c.current == nil {
		c.current = c.newSession()
	}
	return c.current, nil
}

// discard makes later GET requests use a new session instead of s. The session
// stays open, so that other requests in progress on it can complete.
func (c *Client) discard(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == s {
		c.current = nil
	}
}

func (s *session) close() {
	_ = s.transport.Close()
}

// withTimeout adds Options.Timeout to a context without a deadline.
func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.options.Timeout)
}

// pause waits before the next attempt with exponential backoff, and at least for
// retryAfter, the agent's Retry-After. The jitter prevents callers of a failed host from reconnecting at
// the same time. It returns an error if ctx ends first.
func pause(ctx context.Context, attempt int, retryAfter time.Duration) error {
	wait := min(firstPause<<min(attempt, 10), maxPause)
	wait = max(wait/2+rand.N(wait/2+1), retryAfter+rand.N(retryAfter/4+1))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return fmt.Errorf("wait for the next attempt: %w", context.Cause(ctx))
	case <-timer.C:
		return nil
	}
}
