package agserve

// Connections of callers: their admission, and the number of requests in progress
// on each.

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/anvilglade/anvilglade"
)

// callerConnKey is the context key of the connection of a request.
type callerConnKey struct{}

// callerConn is the state of one caller's connection.
type callerConn struct {
	ctx context.Context
	// active is the number of requests in progress.
	active atomic.Int64
	// idleSince is the Unix time in nanoseconds at which the last request ended or,
	// before the first, the connection was opened. It is valid only while active is
	// 0.
	idleSince atomic.Int64
	// key is the key under which the first connection IDs were issued. The
	// caller may use these IDs as long as the connection is open.
	key anvilglade.KeyID
}

// ConnectionKeys returns the number of open connections by the key under which
// their first connection IDs were issued.
func (s *Server) ConnectionKeys() map[anvilglade.KeyID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[anvilglade.KeyID]int)
	for _, c := range s.conns {
		counts[c.key]++
	}
	return counts
}

// admitConnection refuses a connection before the handshake when the server is
// stopping or, with AdmitConnections, the Admitter refuses it.
func (s *Server) admitConnection(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if s.stopping.Load() {
		s.counters.Add("ConnectionsRefused", 1)
		return nil, fmt.Errorf("service %q: agent is stopping", s.options.Service)
	}
	if !s.options.AdmitConnections {
		return ctx, nil
	}
	refusal, release := s.options.Admitter.OpenFlow(s.options.Service)
	if refusal != anvilglade.RefusalNone {
		s.counters.Add("ConnectionsRefused", 1)
		return nil, fmt.Errorf("service %q: connection refused: %s", s.options.Service, refusal)
	}
	context.AfterFunc(ctx, release)
	return ctx, nil
}

func (s *Server) trackConnection(ctx context.Context, conn *quic.Conn) context.Context {
	c := &callerConn{ctx: conn.Context()}
	if s.options.ConnectionKey != nil {
		c.key = s.options.ConnectionKey()
	}
	c.idleSince.Store(s.options.Clock.Now().UnixNano())
	s.mu.Lock()
	s.conns[conn] = c
	s.mu.Unlock()
	s.counters.Add("ConnectionsOpen", 1)
	context.AfterFunc(conn.Context(), func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		s.counters.Add("ConnectionsOpen", -1)
	})
	return context.WithValue(ctx, callerConnKey{}, c)
}

func connFromContext(ctx context.Context) *callerConn {
	c, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return c
}

func (c *callerConn) begin() {
	if c != nil {
		c.active.Add(1)
	}
}

func (c *callerConn) end(now time.Time) {
	if c != nil && c.active.Add(-1) == 0 {
		c.idleSince.Store(now.UnixNano())
	}
}

// closed reports whether the connection has ended. A nil connection counts as
// closed.
func (c *callerConn) closed() bool {
	return c == nil || c.ctx.Err() != nil
}
