package agserve

// HTTP/1.1 client for the backend server over loopback.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/anvilglade/anvilglade/internal/request/agproblem"
)

const (
	backendDialTimeout = 2 * time.Second
	maxAnswerHeader    = 64 << 10
)

// backend sends requests to the backend server, each on a new connection. On a
// kept-alive connection, bytes that a server writes after the announced end of a
// response can be taken for the response to the next request. net/http also
// retries a request on its own when a kept-alive connection closes, including an
// empty POST that has an Idempotency-Key. Neither can happen on a new connection.
type backend struct {
	address   netip.AddrPort
	transport *http.Transport
}

func newBackend(address netip.AddrPort) *backend {
	return &backend{address: address, transport: &http.Transport{
		DialContext:            dialGuarded,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeader,
		Protocols:              onlyHTTP1(),
	}}
}

// guard decides immediately before the first byte of a request is written
// whether it may be sent. The process may have been paused since the request was
// admitted, and net/http writes a request on a new connection without checking
// its context.
type guard struct {
	check func() error
	wrote atomic.Bool
}

type guardKey struct{}

type guardedConn struct {
	net.Conn
	guard *guard
}

// Write fails before the first byte if the check of the guard fails; the server
// then receives nothing.
func (c *guardedConn) Write(data []byte) (int, error) {
	if !c.guard.wrote.Load() {
		if err := c.guard.check(); err != nil {
			return 0, err
		}
		c.guard.wrote.Store(true)
	}
	return c.Conn.Write(data)
}

func dialGuarded(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: backendDialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	g, ok := ctx.Value(guardKey{}).(*guard)
	if !ok {
		return nil, errors.Join(errors.New("request without a guard"), conn.Close())
	}
	return &guardedConn{Conn: conn, guard: g}, nil
}

func onlyHTTP1() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return protocols
}

// send writes the request and waits for the response headers. It calls check
// immediately before the first byte. Sent is false only if no byte was written;
// the server then cannot have received the request.
func (b *backend) send(ctx context.Context, c *call, now time.Time, check func() error) (response *http.Response, sent bool, err error) {
	g := &guard{check: check}
	request := c.newRequest(context.WithValue(ctx, guardKey{}, g), "http", b.address.String(), now)
	response, err = b.transport.RoundTrip(request)
	if err != nil {
		return nil, g.wrote.Load(), fmt.Errorf("backend server %s: %w", b.address, err)
	}
	if err := checkFraming(response, c); err != nil {
		_ = response.Body.Close()
		return nil, true, fmt.Errorf("backend server %s: %w", b.address, err)
	}
	return response, true, nil
}

// checkFraming rejects responses whose end cannot be distinguished from a broken
// connection, responses to another request and responses with a status below 200.
func checkFraming(response *http.Response, c *call) error {
	if id := response.Header.Get(agproblem.HeaderRequestID); id != "" && id != string(c.id) {
		return errWrongRequest
	}
	if response.StatusCode < http.StatusOK {
		return fmt.Errorf("%w: status %d", errFraming, response.StatusCode)
	}
	chunked := len(response.TransferEncoding) > 0
	if response.ContentLength < 0 && !chunked && c.method != http.MethodHead {
		return fmt.Errorf("%w: neither length nor chunks", errFraming)
	}
	return nil
}

// newRequest returns the outgoing HTTP request for one attempt.
func (c *call) newRequest(ctx context.Context, scheme, authority string, now time.Time) *http.Request {
	request := (&http.Request{
		Method:        c.method,
		URL:           &url.URL{Scheme: scheme, Host: authority, Path: c.path, RawPath: c.rawPath, RawQuery: c.query},
		Host:          c.host,
		Header:        c.header.Clone(),
		ContentLength: int64(len(c.body)),
		Body:          http.NoBody,
	}).WithContext(ctx)
	if len(c.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(c.body))
	}
	request.Header.Set(agproblem.HeaderRequestID, string(c.id))
	request.Header.Del(agproblem.HeaderTimeout)
	if !c.deadline.IsZero() {
		remaining := max(c.deadline.Sub(now).Milliseconds(), 1)
		request.Header.Set(agproblem.HeaderTimeout, strconv.FormatInt(remaining, 10))
	}
	return request
}
