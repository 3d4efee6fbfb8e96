package agserve

// Connections of callers: admission, and which of them have requests in
// progress.

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/anvilglade/anvilglade"
)

type connectionKey struct{}

type connection struct {
	ctx    context.Context
	active atomic.Int64
	// idleSince is in nanoseconds of the clock; 0 while requests run.
	idleSince atomic.Int64
	// key issued the first connection ids, which the caller may use as long as
	// the connection lasts.
	key anvilglade.KeyID
}

// ConnectionKeys returns the number of open connections by the key that issued
// their first ids.
func (s *Server) ConnectionKeys() map[anvilglade.KeyID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[anvilglade.KeyID]int)
	for _, c := range s.open {
		counts[c.key]++
	}
	return counts
}

// admitConnection refuses a connection before its handshake costs anything.
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
	c := &connection{ctx: conn.Context()}
	if s.options.ConnectionKey != nil {
		c.key = s.options.ConnectionKey()
	}
	c.idleSince.Store(s.options.Clock.Now().UnixNano())
	s.mu.Lock()
	s.open[conn] = c
	s.mu.Unlock()
	s.counters.Add("ConnectionsOpen", 1)
	context.AfterFunc(conn.Context(), func() {
		s.mu.Lock()
		delete(s.open, conn)
		s.mu.Unlock()
		s.counters.Add("ConnectionsOpen", -1)
	})
	return context.WithValue(ctx, connectionKey{}, c)
}

func connectionOf(ctx context.Context) *connection {
	c, _ := ctx.Value(connectionKey{}).(*connection)
	return c
}

func (c *connection) begin() {
	if c != nil {
		c.active.Add(1)
	}
}

func (c *connection) end(now time.Time) {
	if c != nil && c.active.Add(-1) == 0 {
		c.idleSince.Store(now.UnixNano())
	}
}

// lost reports whether the connection itself has ended.
func (c *connection) lost() bool {
	return c == nil || c.ctx.Err() != nil
}
