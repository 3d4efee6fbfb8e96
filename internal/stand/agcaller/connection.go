package agcaller

// A caller with one HTTP/3 connection, which it re-establishes after a loss.

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

const (
	handshakeTimeout = 3 * time.Second
	keepAlive        = 2 * time.Second
	idleTimeout      = AnswerTimeout
	// redialInterval is the minimum time between two dials of a caller, so that
	// callers do not dial in a tight loop.
	redialInterval = 100 * time.Millisecond
	// retireGrace is the time for which a replaced connection stays open. It
	// exceeds the request timeouts of the cases, so that no request is cut off.
	retireGrace = 5 * time.Second
)

// Target is the service that a caller connects to.
type Target struct {
	Service string
	Address netip.AddrPort
	// Source is the source IP address of the caller.
	Source netip.Addr
}

// connection is a caller with at most one HTTP/3 connection for new requests.
// It is safe for concurrent use.
type connection struct {
	target Target

	mu        sync.Mutex
	transport *quic.Transport
	socket    *net.UDPConn
	quic      *quic.Conn
	client    *http3.ClientConn
	lastDial  time.Time
	dials     int
	lost      int
}

func newConnection(target Target) *connection {
	return &connection{target: target}
}

// open returns the established connection, or dials a new one. The second value
// identifies the connection in a later call of drop.
func (c *connection) open(ctx context.Context) (*http3.ClientConn, *quic.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Many requests may wait here for one dial; those whose context has ended
	// must not dial again.
	if err := ctx.Err(); err != nil {
		return nil, nil, err
	}
	if c.quic != nil && c.quic.Context().Err() == nil {
		return c.client, c.quic, nil
	}
	if c.quic != nil && !graceful(context.Cause(c.quic.Context())) {
		c.lost++
	}
	c.closeLocked("")
	if wait := redialInterval - time.Since(c.lastDial); wait > 0 {
		time.Sleep(wait)
	}
	c.lastDial = time.Now()
	return c.dial(ctx)
}

func (c *connection) dial(ctx context.Context) (*http3.ClientConn, *quic.Conn, error) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: c.target.Source.AsSlice()})
	if err != nil {
		return nil, nil, fmt.Errorf("open caller socket: %w", err)
	}
	transport := &quic.Transport{Conn: socket}
	config := &quic.Config{HandshakeIdleTimeout: handshakeTimeout, MaxIdleTimeout: idleTimeout, KeepAlivePeriod: keepAlive}
	conn, err := transport.Dial(ctx, net.UDPAddrFromAddrPort(c.target.Address), c.tls(), config)
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("dial %s: %w", c.target.Address, err), transport.Close(), socket.Close())
	}
	c.socket, c.transport, c.quic = socket, transport, conn
	c.client = (&http3.Transport{}).NewClientConn(conn)
	c.dials++
	return c.client, conn, nil
}

func (c *connection) tls() *tls.Config {
	return &tls.Config{
		ServerName:         c.target.Service,
		NextProtos:         []string{http3.NextProtoH3},
		InsecureSkipVerify: true, //nolint:gosec // certificates are generated at the start of a scenario; callers check the bodies instead
	}
}

// retire makes the next request open a new connection. The current one is closed
// after retireGrace, so that its requests can finish.
func (c *connection) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.quic == nil {
		return
	}
	old := &connection{quic: c.quic, transport: c.transport, socket: c.socket}
	time.AfterFunc(retireGrace, func() { old.close() })
	c.quic, c.client = nil, nil
}

// drop closes conn if it is still the current connection, because a request
// found it unusable. The next request then dials.
func (c *connection) drop(conn *quic.Conn, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.quic == conn {
		c.closeLocked(reason)
	}
}

func (c *connection) closeLocked(reason string) {
	if c.quic == nil {
		return
	}
	_ = c.quic.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), reason)
	_ = c.transport.Close()
	_ = c.socket.Close()
	c.quic, c.client = nil, nil
}

func (c *connection) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked("caller ends")
}

// graceful reports whether a connection was closed with H3_NO_ERROR (RFC 9114).
func graceful(cause error) bool {
	application, ok := errors.AsType[*quic.ApplicationError](cause)
	return ok && application.ErrorCode == quic.ApplicationErrorCode(http3.ErrCodeNoError)
}

func closeBody(response *http.Response) {
	_ = response.Body.Close()
}
