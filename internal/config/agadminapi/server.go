// Package agadminapi serves the configuration to many teams over HTTPS.
//
// Every balancer can serve it. The operations are those of the operators'
// commands, over the same edit path. A team authenticates with a bearer token;
// its role and its patterns of pools and routes say what it may change. Each
// team has a rate per balancer. Reads have the revision as ETag; changes need
// If-Match with it, so that nobody overwrites what they have not seen. Errors
// are problem details (RFC 9457). Each change is an audit event with the team,
// the edit id and the outcome.
//
// # Usage
//
//	server := agadminapi.NewServer(agadminapi.Options{Store: store, Events: ring, TLS: config, Address: address})
//	if err := group.Start("adminapi", server.Run); err != nil {
//		return err
//	}
//
//	curl -H "Authorization: Bearer $TOKEN" https://balancer:7943/v1/tables/Pools
package agadminapi

import (
	"context"
	"crypto/tls"
	_ "embed" // for the OpenAPI description
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/anvilglade/anvilglade"
)

const (
	maxBody           = 1 << 20
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	requestTimeout    = 30 * time.Second
	shutdownTimeout   = 2 * time.Second
)

//go:embed openapi.json
var openAPI []byte

// Types of audit events.
const (
	APIEditDecided   anvilglade.EventType = "APIEditDecided"
	APIAccessRefused anvilglade.EventType = "APIAccessRefused"
)

// Options are the parts of a server. TLS and Address are needed by Run only.
type Options struct {
	Store   anvilglade.Store
	Events  anvilglade.Recorder
	Clock   anvilglade.Clock
	TLS     *tls.Config
	Address netip.AddrPort
	// Hosts returns the hosts that the balancer knows; it may be nil.
	Hosts func() []anvilglade.HostRecord
}

// Server is the administration API. It is safe for concurrent use.
type Server struct {
	options Options
	access  *access
	mux     *http.ServeMux
}

// operation is one entry of the API.
type operation struct {
	pattern string
	handle  func(s *Server, r *http.Request, team Team) (answer, error)
}

// operations names the entries of the API; openapi.json describes them.
var operations = []operation{
	{"GET /v1/tables/{table}", (*Server).getTable},
	{"GET /v1/tables/{table}/rows/{key...}", (*Server).getRow},
	{"PUT /v1/tables/{table}/rows/{key...}", (*Server).putRow},
	{"DELETE /v1/tables/{table}/rows/{key...}", (*Server).deleteRow},
	{"GET /v1/history", (*Server).getHistory},
	{"POST /v1/rollbacks", (*Server).rollback},
	{"POST /v1/edits/{id}/resolution", (*Server).resolve},
}

// NewServer returns a server that does not listen yet.
func NewServer(options Options) *Server {
	if options.Clock == nil {
		options.Clock = anvilglade.SystemClock{}
	}
	s := &Server{options: options, access: newAccess(options.Store, options.Clock), mux: http.NewServeMux()}
	for _, item := range operations {
		s.mux.HandleFunc(item.pattern, func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, item) })
	}
	s.mux.HandleFunc("GET /v1/openapi.json", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(openAPI)
	})
	return s
}

// ServeHTTP serves the API without TLS; Run adds it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Run listens until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.options.Address.String())
	if err != nil {
		return fmt.Errorf("listen for the administration API on %s: %w", s.options.Address, err)
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout}
	stop := context.AfterFunc(ctx, func() {
		deadline, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(deadline)
	})
	defer stop()
	if err := server.Serve(tls.NewListener(listener, s.options.TLS)); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve the administration API on %s: %w", s.options.Address, err)
	}
	return nil
}

// serve authenticates the team, counts its rate and answers.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, item operation) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	r = r.WithContext(ctx)
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	if err := s.access.refresh(ctx); err != nil {
		problemOf(typeUnavailable, "the teams are not known: "+err.Error()).write(w)
		return
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	team, known := s.access.team(token)
	if !ok || !known {
		s.audit(APIAccessRefused, 0, "unknown token for "+r.Method+" "+r.URL.Path)
		w.Header().Set("WWW-Authenticate", "Bearer")
		problemOf(typeUnauthenticated, "the request has no known bearer token").write(w)
		return
	}
	if !s.access.allow(team) {
		w.Header().Set("Retry-After", "1")
		problemOf(typeRateLimit, "team "+team.Name+" is above its rate at this balancer").write(w)
		return
	}
	result, err := item.handle(s, r, team)
	var failed *problemError
	switch {
	case errors.As(err, &failed):
		failed.write(w)
	case err != nil:
		problemOf(typeUnavailable, err.Error()).write(w)
	default:
		result.write(w, r)
	}
}

func (s *Server) audit(kind anvilglade.EventType, revision anvilglade.Revision, detail string) {
	if s.options.Events != nil {
		s.options.Events.Record(anvilglade.Event{Type: kind, Revision: revision, Detail: detail})
	}
}
