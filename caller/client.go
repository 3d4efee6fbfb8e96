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
	// DefaultTimeout ends a request without a deadline in its context.
	DefaultTimeout = 30 * time.Second
	// DefaultAttemptTimeout is when an attempt without an answer is given up
	// and the request goes out on a new connection.
	DefaultAttemptTimeout = 5 * time.Second
	// DefaultMaxAttempts bounds the attempts of Get.
	DefaultMaxAttempts = 3
	// DefaultMaxAnswer bounds an answer in bytes.
	DefaultMaxAnswer = 16 << 20
)

const (
	firstPause = 50 * time.Millisecond
	maxPause   = 2 * time.Second
)

// Options say where the service is.
type Options struct {
	// Address is HOST:PORT of the service.
	Address string
	// TLS may be nil; the roots of the system are then used.
	TLS            *tls.Config
	Timeout        time.Duration
	AttemptTimeout time.Duration
	MaxAttempts    int
	MaxAnswer      int64
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Ticket is the ticket under which a report ran.
	Ticket string
	// Attempts is how often the request was sent.
	Attempts int
}

// Problem is a problem of RFC 9457 that an agent answered.
type Problem = agproblem.Problem

// ProblemError is a problem as an error. It wraps anvilglade.ErrNotRun or
// anvilglade.ErrUnknownOutcome where the problem says so.
type ProblemError struct {
	Problem Problem
	// Ticket is set if the problem belongs to a report under a ticket.
	Ticket string
}

// Error returns title and detail.
func (e *ProblemError) Error() string {
	if e.Problem.Detail == "" {
		return e.Problem.Title
	}
	return e.Problem.Title + ": " + e.Problem.Detail
}

// Unwrap returns the error of the root package that programs test.
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

// Client is safe for concurrent use.
type Client struct {
	options Options

	mu      sync.Mutex
	current *session
	closed  bool
}

// session is one connection. A new session has a new source port, so it may
// reach another host.
type session struct {
	transport *http3.Transport
}

// New returns a client that has no connection yet. The returned function closes
// its connections.
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

// shared returns the session of requests that need none of their own.
func (c *Client) shared() (*session, error) {
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

// discard drops a session whose connection does not answer any more. Its other
// requests go on until they end themselves.
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

// withTimeout gives a context without deadline the default one.
func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.options.Timeout)
}

// pause waits before the next attempt: at least what the agent asked for, with
// jitter so that callers of a failed host do not return together.
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
