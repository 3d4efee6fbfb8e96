package agserve

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/aglog"
)

const (
	// idleTimeout ends the connection of a caller that is gone.
	idleTimeout = 30 * time.Second
	// keepAlive keeps quiet alert lines open through address translators.
	keepAlive = 10 * time.Second
	// maxStreams bounds the requests at once on one connection.
	maxStreams      = 100
	maxHeaderBytes  = 32 << 10
	noErrorCode     = quic.ApplicationErrorCode(http3.ErrCodeNoError)
	closeNowMessage = "agent stops"
)

// Server serves one service. It is safe for concurrent use.
type Server struct {
	options   Options
	transport *quic.Transport
	listener  *quic.EarlyListener
	http      *http3.Server
	backend   *backend
	budget    *budget
	durations *durations
	counters  *expvar.Map
	buffered  atomic.Int64
	// held is the memory of answers that are held whole, in bytes.
	held atomic.Int64
	// peerActive counts requests in progress that came from other agents.
	peerActive atomic.Int64
	log        *aglog.Logger
	logLimit   *aglog.Limiter

	stopping atomic.Bool
	mu       sync.Mutex
	open     map[*quic.Conn]*connection
}

// NewServer listens on the connection of the options. The returned function
// ends everything at once; it leaves Conn open.
func NewServer(options Options) (*Server, func(), error) {
	if err := options.complete(); err != nil {
		return nil, nil, fmt.Errorf("request server of service %q: %w", options.Service, err)
	}
	s := &Server{
		options:   options,
		backend:   newBackend(options.Backend),
		budget:    newBudget(),
		durations: &durations{},
		counters:  new(expvar.Map).Init(),
		log:       aglog.New("requests " + string(options.Service)),
		logLimit:  aglog.NewLimiter(time.Second),
		open:      make(map[*quic.Conn]*connection),
	}
	s.transport = &quic.Transport{
		Conn:                  options.Conn,
		ConnectionIDGenerator: options.ConnectionIDs,
		StatelessResetKey:     options.ResetKey,
		ConnContext:           s.admitConnection,
	}
	s.http = &http3.Server{
		Handler:        http.HandlerFunc(s.serveCaller),
		MaxHeaderBytes: maxHeaderBytes,
		ConnContext:    s.trackConnection,
	}
	listener, err := s.transport.ListenEarly(http3.ConfigureTLSConfig(options.TLS), quicConfig(idleTimeout, keepAlive))
	if err != nil {
		return nil, nil, fmt.Errorf("request server of service %q: listen: %w", options.Service, err)
	}
	s.listener = listener
	if options.Peers != nil {
		options.Peers.register(options.Service, s)
	}
	return s, s.close, nil
}

// quicConfig has no 0-RTT: a replayed first flight would run a request twice.
func quicConfig(idle, keepAlive time.Duration) *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:     idle,
		KeepAlivePeriod:    keepAlive,
		MaxIncomingStreams: maxStreams,
	}
}

// Run serves until ctx ends or Drain has ended.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	err := s.http.ServeListener(s.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
		return fmt.Errorf("request server of service %q: %w", s.options.Service, err)
	}
	return nil
}

// Vars returns the counters for /debug/vars.
func (s *Server) Vars() expvar.Var {
	return s.counters
}

// Count returns one counter.
func (s *Server) Count(name string) int64 {
	if value, ok := s.counters.Get(name).(*expvar.Int); ok {
		return value.Value()
	}
	return 0
}

func (s *Server) close() {
	s.stopping.Store(true)
	if s.options.Peers != nil {
		s.options.Peers.unregister(s.options.Service, s)
	}
	_ = s.listener.Close()
	_ = s.http.Close()
	_ = s.transport.Close()
}

func (s *Server) record(kind anvilglade.EventType, c *call, detail string) {
	if s.options.Events == nil {
		return
	}
	s.options.Events.Record(anvilglade.Event{Type: kind, Request: c.id, Service: s.options.Service, Detail: detail})
}
