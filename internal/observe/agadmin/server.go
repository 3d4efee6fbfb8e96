// Package agadmin is the HTTP server on the admin address of a process.
//
// It serves /debug/vars (expvar), /events (the ring of events), /ready and
// /status. Other packages add their handlers before the server starts.
//
// # Usage
//
//	server := agadmin.NewServer(agadmin.Options{Address: addr, Events: ring, Ready: ready, Status: status})
//	server.Handle("GET /requests/unknown", journal)
//	if err := group.Start("admin", server.Run); err != nil {
//		return err
//	}
package agadmin

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
)

const (
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 2 * time.Second
)

// Options contains the address of a server and the sources of its responses.
type Options struct {
	Address netip.AddrPort
	Events  *agevent.Ring
	// Ready returns nil if the process accepts new work, else an error with the
	// reason. The text of the error is the body of the response.
	Ready func() error
	// Status returns the value that is served as JSON.
	Status func() any
}

// Server is the admin HTTP server of a process.
type Server struct {
	options Options
	mux     *http.ServeMux
}

// NewServer returns a server. It does not listen before Run.
func NewServer(options Options) *Server {
	s := &Server{options: options, mux: http.NewServeMux()}
	s.mux.Handle("GET /debug/vars", expvar.Handler())
	s.mux.HandleFunc("GET /events", s.serveEvents)
	s.mux.HandleFunc("GET /ready", s.serveReady)
	s.mux.HandleFunc("GET /status", s.serveStatus)
	return s
}

// Handle adds a handler for a pattern in the syntax of http.ServeMux.
func (s *Server) Handle(pattern string, handler http.Handler) {
	s.mux.Handle(pattern, handler)
}

// Run listens and serves until ctx ends. It returns an error if it cannot listen
// or if serving fails.
func (s *Server) Run(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.options.Address.String())
	if err != nil {
		return fmt.Errorf("listen on admin address %s: %w", s.options.Address, err)
	}
	server := &http.Server{Handler: s.mux, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() {
		deadline, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(deadline)
	})
	defer stop()
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve admin address %s: %w", s.options.Address, err)
	}
	return nil
}

func (s *Server) serveEvents(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, fmt.Sprintf("after=%q is not a timestamp", text), http.StatusBadRequest)
			return
		}
		after = parsed
	}
	writeJSON(w, s.options.Events.Events(anvilglade.Timestamp(after)))
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.options.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ready")
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.options.Status())
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
