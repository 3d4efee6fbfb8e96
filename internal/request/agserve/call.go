package agserve

// Reading of requests. A request is read completely before it is admitted, so
// one that the caller aborts never reaches the backend server.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"crypto/rand"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/request/agproblem"
)

var (
	errTimeoutHeader = errors.New("header is not a number of milliseconds above 0")
	errTooLarge      = errors.New("body is over the limit")
	errBuffersFull   = errors.New("memory for request bodies is full")
	errIncomplete    = errors.New("caller ended the request early")
)

const maxRequestIDLength = 64

// call is one request that was received from a caller or another agent.
type call struct {
	id            anvilglade.RequestID
	method        string
	path, rawPath string
	query         string
	host          string
	header        http.Header
	body          []byte
	// deadline is zero if the request has none.
	deadline  time.Time
	retryable bool
	// fromPeer is set if another agent sent the request. It is then neither
	// offered to other hosts nor retried.
	fromPeer bool
}

// hopHeaders are headers that apply to one connection only and are not
// forwarded (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
	headerForwarded, headerService, headerUtilisation, headerRefusal,
}

func removeHopHeaders(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

func newCall(r *http.Request, now time.Time) (*call, error) {
	c := &call{
		id:        requestID(r),
		method:    r.Method,
		path:      r.URL.Path,
		rawPath:   r.URL.RawPath,
		query:     r.URL.RawQuery,
		host:      r.Host,
		header:    r.Header.Clone(),
		retryable: r.Method == http.MethodGet || r.Method == http.MethodHead,
	}
	removeHopHeaders(c.header)
	value := r.Header.Get(agproblem.HeaderTimeout)
	if value == "" {
		return c, nil
	}
	milliseconds, err := strconv.ParseInt(value, 10, 64)
	if err != nil || milliseconds <= 0 {
		return c, fmt.Errorf("%s: %q: %w", agproblem.HeaderTimeout, value, errTimeoutHeader)
	}
	timeout := min(time.Duration(min(milliseconds, MaxTimeout.Milliseconds()))*time.Millisecond, MaxTimeout)
	c.deadline = now.Add(timeout)
	return c, nil
}

// requestID returns the request ID that the caller set, or a new one if there is
// none or it is longer than maxRequestIDLength.
func requestID(r *http.Request) anvilglade.RequestID {
	id := r.Header.Get(agproblem.HeaderRequestID)
	if id != "" && len(id) <= maxRequestIDLength {
		return anvilglade.RequestID(id)
	}
	return anvilglade.RequestID(rand.Text())
}

// bodyChunkSize is the maximum number of bytes per read of a body.
const bodyChunkSize = 32 << 10

// readBody reads the body within the limits for one body and for all bodies. The
// returned function releases the reserved memory. Over HTTP/3 even a GET without
// a body usually has no announced length, so memory is reserved for received
// bytes only.
func (s *Server) readBody(r *http.Request) (body []byte, release func(), err error) {
	reserved := int64(0)
	release = func() { s.bufferedBodies.Add(-reserved) }
	defer func() {
		if err != nil {
			release()
		}
	}()
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, release, nil
	}
	if r.ContentLength > s.options.MaxBody {
		return nil, release, errTooLarge
	}
	limited := io.LimitReader(r.Body, s.options.MaxBody+1)
	buffer := make([]byte, bodyChunkSizeFor(r.ContentLength))
	for {
		n, err := limited.Read(buffer)
		if n > 0 {
			reserved += int64(n)
			if s.bufferedBodies.Add(int64(n)) > s.options.MaxBuffered {
				return nil, release, errBuffersFull
			}
			body = append(body, buffer[:n]...)
		}
		if int64(len(body)) > s.options.MaxBody {
			return nil, release, errTooLarge
		}
		if errors.Is(err, io.EOF) {
			return body, release, nil
		}
		if err != nil {
			return nil, release, fmt.Errorf("%w: %w", errIncomplete, err)
		}
	}
}

// bodyChunkSizeFor returns the buffer size in bytes for a body of the announced
// length. It is small for an unknown length, as most such requests have no body.
func bodyChunkSizeFor(announced int64) int64 {
	if announced < 0 {
		return 1 << 10
	}
	return min(announced, bodyChunkSize)
}

// callContext returns the context of all attempts. It ends when parent ends or
// the deadline expires. clearDeadline removes the default deadline, for alert
// lines; a deadline that the caller set stays.
func (s *Server) callContext(parent context.Context, c *call) (ctx context.Context, clearDeadline, cancel func()) {
	ctx, cancelCause := context.WithCancelCause(parent)
	deadline := c.deadline
	if deadline.IsZero() {
		deadline = s.options.Clock.Now().Add(s.options.Timeout)
	}
	timer := time.AfterFunc(deadline.Sub(s.options.Clock.Now()), func() { cancelCause(errDeadline) })
	clearDeadline = func() {
		if c.deadline.IsZero() {
			timer.Stop()
		}
	}
	return ctx, clearDeadline, func() {
		timer.Stop()
		cancelCause(context.Canceled)
	}
}
