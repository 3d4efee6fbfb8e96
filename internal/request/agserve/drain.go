package agserve

// Graceful shutdown: no new connections and requests are accepted, callers
// receive a GOAWAY, requests in progress complete within their deadline, and
// alert lines stay open until the time limit.

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// drainPoll is the interval of the checks for idle connections and for
	// requests from other agents while draining.
	drainPoll = 250 * time.Millisecond
	// drainIdle is the time for which a connection without requests stays open
	// after the GOAWAY, to allow retransmissions of the last response.
	drainIdle = 3 * time.Second
)

// ErrCutOff means that requests in progress were aborted at the time limit of a
// drain.
var ErrCutOff = errors.New("connections with requests in progress were cut off at the limit")

// Drain shuts the server down gracefully and returns when the last connection is
// closed. The end of ctx is the time limit for alert lines. Connections with
// requests in progress at that time are closed, and Drain returns an error that
// wraps ErrCutOff and has their number.
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
	// Count the connections with requests before Shutdown closes them.
	activeAtLimit := 0
	shutdownCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		activeAtLimit = s.activeConnections()
		cancel()
	})
	defer stop()
	if err := s.http.Shutdown(shutdownCtx); err != nil && shutdownCtx.Err() == nil {
		return fmt.Errorf("drain service %q: %w", s.options.Service, err)
	}
	if shutdownCtx.Err() == nil {
		s.waitForPeerRequests(ctx)
	}
	if shutdownCtx.Err() != nil && activeAtLimit > 0 {
		s.counters.Add("CutOff", int64(activeAtLimit))
		return fmt.Errorf("drain service %q: %d %w", s.options.Service, activeAtLimit, ErrCutOff)
	}
	return nil
}

// activeConnections returns the number of callers' connections with requests in
// progress.
func (s *Server) activeConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, c := range s.conns {
		if c.active.Load() > 0 {
			count++
		}
	}
	return count
}

// waitForPeerRequests waits until the requests from other agents have ended, or
// ctx ends.
func (s *Server) waitForPeerRequests(ctx context.Context) {
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

// closeIdleConnections closes idle connections whose callers ignore the GOAWAY.
// It reschedules itself every drainPoll until done is closed.
func (s *Server) closeIdleConnections(started time.Time, done <-chan struct{}) {
	select {
	case <-done:
		return
	default:
	}
	limit := s.options.Clock.Now().Add(-drainIdle)
	s.mu.Lock()
	for conn, c := range s.conns {
		idle := time.Unix(0, max(c.idleSince.Load(), started.UnixNano()))
		if c.active.Load() == 0 && idle.Before(limit) {
			// CloseWithError waits for the connection's goroutine, which locks
			// s.mu in the cleanup function of trackConnection.
			time.AfterFunc(0, func() { _ = conn.CloseWithError(noErrorCode, closeReason) })
		}
	}
	s.mu.Unlock()
	time.AfterFunc(drainPoll, func() { s.closeIdleConnections(started, done) })
}
