package agserve

// A call is one request, read whole before anything is decided: a request that
// its caller breaks off never reaches the backend server.

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

type call struct {
	id            anvilglade.RequestID
	method        string
	path, rawPath string
	query         string
	host          string
	header        http.Header
	body          []byte
	// deadline is zero for a request that names none.
	deadline   time.Time
	repeatable bool
	// peer is set when another agent sent the call: it is then neither
	// offered to others nor repeated here.
	peer bool
}

// hopHeaders apply to one connection only and are not passed on.
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
		id:         requestID(r),
		method:     r.Method,
		path:       r.URL.Path,
		rawPath:    r.URL.RawPath,
		query:      r.URL.RawQuery,
		host:       r.Host,
		header:     r.Header.Clone(),
		repeatable: r.Method == http.MethodGet || r.Method == http.MethodHead,
	}
	removeHopHeaders(c.header)
	text := r.Header.Get(agproblem.HeaderTimeout)
	if text == "" {
		return c, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds <= 0 {
		return c, fmt.Errorf("%s: %q: %w", agproblem.HeaderTimeout, text, errTimeoutHeader)
	}
	timeout := min(time.Duration(min(milliseconds, MaxTimeout.Milliseconds()))*time.Millisecond, MaxTimeout)
	c.deadline = now.Add(timeout)
	return c, nil
}

// requestID keeps an id of the caller's if it is short and plain.
func requestID(r *http.Request) anvilglade.RequestID {
	id := r.Header.Get(agproblem.HeaderRequestID)
	if id != "" && len(id) <= maxRequestIDLength {
		return anvilglade.RequestID(id)
	}
	return anvilglade.RequestID(rand.Text())
}

// bodyStep is the largest piece in which a body is read.
const bodyStep = 32 << 10

// readBody reads the body within the limits. The returned function gives the
// memory back. Over HTTP/3 even a GET without a body usually has no announced
// length, so memory is taken for what has come, not for what may come.
func (s *Server) readBody(r *http.Request) (body []byte, release func(), err error) {
	reserved := int64(0)
	release = func() { s.buffered.Add(-reserved) }
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
	piece := make([]byte, bodyStepFor(r.ContentLength))
	for {
		n, err := limited.Read(piece)
		if n > 0 {
			reserved += int64(n)
			if s.buffered.Add(int64(n)) > s.options.MaxBuffered {
				return nil, release, errBuffersFull
			}
			body = append(body, piece[:n]...)
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

// bodyStepFor keeps the buffer of a request without a body small.
func bodyStepFor(announced int64) int64 {
	if announced < 0 {
		return 1 << 10
	}
	return min(announced, bodyStep)
}

// callContext returns the context of all attempts. It ends when parent ends or
// the deadline passes; noDeadline lifts the default deadline of a line.
func (s *Server) callContext(parent context.Context, c *call) (ctx context.Context, noDeadline, cancel func()) {
	ctx, cancelCause := context.WithCancelCause(parent)
	deadline := c.deadline
	if deadline.IsZero() {
		deadline = s.options.Clock.Now().Add(s.options.Timeout)
	}
	timer := time.AfterFunc(deadline.Sub(s.options.Clock.Now()), func() { cancelCause(errDeadline) })
	noDeadline = func() {
		if c.deadline.IsZero() {
			timer.Stop()
		}
	}
	return ctx, noDeadline, func() {
		timer.Stop()
		cancelCause(context.Canceled)
	}
}
