package agserve

// Graceful stop: no new connections and requests, GOAWAY to callers, requests
// in progress end within their deadline, alert lines stay until the limit.

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// drainPoll is how often idle connections are looked for while draining.
	drainPoll = 250 * time.Millisecond
	// drainIdle is how long a connection without requests is kept after the
	// GOAWAY. It covers retransmissions of the last answer.
	drainIdle = 3 * time.Second
)

// ErrCutOff means that the limit of a drain ended requests in progress.
var ErrCutOff = errors.New("connections with requests in progress were cut off at the limit")

// Drain stops the server gracefully and returns when the last connection has
// ended. The end of ctx is the limit for alert lines; what is open then is cut
// off and Drain returns an error that counts it.
func (s *Server) Drain(ctx context.Context) error {
	s.stopping.Store(true)
	if s.options.Tickets != nil {
		s.options.Tickets.Close()
	}
	_ = s.listener.Close()
	started := s.options.Clock.Now()
	done := make(chan struct{})
	defer close(done)
	s.closeIdleConnections(started, done)
	// The count is taken before Shutdown closes the connections.
	cut := 0
	limited, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		cut = s.busyConnections()
		cancel()
	})
	defer stop()
	if err := s.http.Shutdown(limited); err != nil && limited.Err() == nil {
		return fmt.Errorf("drain service %q: %w", s.options.Service, err)
	}
	if limited.Err() == nil {
		s.waitForPeers(ctx)
	}
	if limited.Err() != nil && cut > 0 {
		s.counters.Add("CutOff", int64(cut))
		return fmt.Errorf("drain service %q: %d %w", s.options.Service, cut, ErrCutOff)
	}
	return nil
}

// busyConnections counts connections of callers with requests in progress.
func (s *Server) busyConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := 0
	for _, c := range s.open {
		if c.active.Load() > 0 {
			busy++
		}
	}
	return busy
}

// waitForPeers waits for requests that other agents have passed to this one.
func (s *Server) waitForPeers(ctx context.Context) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.peerActive.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// closeIdleConnections closes connections whose callers ignore the GOAWAY. It
// calls itself again until done.
func (s *Server) closeIdleConnections(started time.Time, done <-chan struct{}) {
	select {
	case <-done:
		return
	default:
	}
	limit := s.options.Clock.Now().Add(-drainIdle)
	s.mu.Lock()
	for conn, c := range s.open {
		idle := time.Unix(0, max(c.idleSince.Load(), started.UnixNano()))
		if c.active.Load() == 0 && idle.Before(limit) {
			// CloseWithError waits for the connection's task, which needs s.mu
			// in the clean-up of trackConnection.
			time.AfterFunc(0, func() { _ = conn.CloseWithError(noErrorCode, closeNowMessage) })
		}
	}
	s.mu.Unlock()
	time.AfterFunc(drainPoll, func() { s.closeIdleConnections(started, done) })
}
