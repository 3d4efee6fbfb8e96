// Package agadminapi serves the configuration to several teams over HTTPS.
//
// Every balancer can serve the API. It has the same operations as the operators'
// commands and submits edits in the same way, with package agedit. A team
// authenticates with a bearer token. Its role and its patterns of pools and routes
// determine which rows it may change. Each team has a limit of requests per minute
// at each balancer. Reads return the revision as ETag. Changes require If-Match with
// this ETag, so that a client cannot overwrite an edit that it has not read. Errors
// are problem details (RFC 9457). Each change is recorded as an audit event with the
// team, the edit id and the outcome.
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

// Options contains the dependencies and settings of a server. TLS and Address are
// used by Run only.
type Options struct {
	Store   anvilglade.Store
	Events  anvilglade.Recorder
	Clock   anvilglade.Clock
	TLS     *tls.Config
	Address netip.AddrPort
	// Hosts returns the hosts for which the balancer has a record. If it is nil,
	// edits are validated without the list of hosts.
	Hosts func() []anvilglade.HostRecord
}

// Server serves the administration API. It is safe for concurrent use.
type Server struct {
	options       Options
	accessControl *accessControl
	mux           *http.ServeMux
}

// operation is one operation of the API.
type operation struct {
	pattern string
	handle  func(s *Server, r *http.Request, team Team) (response, error)
}

// operations lists the operations of the API, which openapi.json describes.
var operations = []operation{
	{"GET /v1/tables/{table}", (*Server).getTable},
	{"GET /v1/tables/{table}/rows/{key...}", (*Server).getRow},
	{"PUT /v1/tables/{table}/rows/{key...}", (*Server).putRow},
	{"DELETE /v1/tables/{table}/rows/{key...}", (*Server).deleteRow},
	{"GET /v1/history", (*Server).getHistory},
	{"POST /v1/rollbacks", (*Server).rollback},
	{"POST /v1/edits/{id}/resolution", (*Server).resolve},
}

// NewServer returns a server. It does not listen before Run.
func NewServer(options Options) *Server {
	if options.Clock == nil {
		options.Clock = anvilglade.SystemClock{}
	}
	s := &Server{options: options, accessControl: newAccessControl(options.Store, options.Clock), mux: http.NewServeMux()}
	for _, op := range operations {
		s.mux.HandleFunc(op.pattern, func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, op) })
	}
	s.mux.HandleFunc("GET /v1/openapi.json", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(openAPI)
	})
	return s
}

// ServeHTTP handles one request of the API. TLS is added by Run.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Run listens with TLS and serves until ctx ends. It returns an error if it cannot
// listen or if serving fails.
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

// serve authenticates the team, checks its request rate, performs the operation and
// writes the response.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, op operation) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	r = r.WithContext(ctx)
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	if err := s.accessControl.refresh(ctx); err != nil {
		newProblem(typeUnavailable, "the teams are not known: "+err.Error()).write(w)
		return
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	team, found := s.accessControl.team(token)
	if !ok || !found {
		s.audit(APIAccessRefused, 0, "unknown token for "+r.Method+" "+r.URL.Path)
		w.Header().Set("WWW-Authenticate", "Bearer")
		newProblem(typeUnauthenticated, "the request has no known bearer token").write(w)
		return
	}
	if !s.accessControl.allow(team) {
		w.Header().Set("Retry-After", "1")
		newProblem(typeRateLimit, "team "+team.Name+" is above its rate at this balancer").write(w)
		return
	}
	result, err := op.handle(s, r, team)
	var problem *problemError
	switch {
	case errors.As(err, &problem):
		problem.write(w)
	case err != nil:
		newProblem(typeUnavailable, err.Error()).write(w)
	default:
		result.write(w, r)
	}
}

func (s *Server) audit(kind anvilglade.EventType, revision anvilglade.Revision, detail string) {
	if s.options.Events != nil {
		s.options.Events.Record(anvilglade.Event{Type: kind, Revision: revision, Detail: detail})
	}
}
