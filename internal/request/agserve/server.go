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
	// idleTimeout is the time without packets after which a caller's connection
	// is closed.
	idleTimeout = 30 * time.Second
	// keepAlivePeriod is the interval of keep-alive packets, which keep idle alert
	// lines open through network address translators.
	keepAlivePeriod = 10 * time.Second
	// maxStreams is the maximum number of concurrent requests per connection.
	maxStreams     = 100
	maxHeaderBytes = 32 << 10
	noErrorCode    = quic.ApplicationErrorCode(http3.ErrCodeNoError)
	closeReason    = "agent stops"
)

// Server handles the requests of one service. It is safe for concurrent use.
type Server struct {
	options     Options
	transport   *quic.Transport
	listener    *quic.EarlyListener
	http        *http3.Server
	backend     *backend
	retryBudget *retryBudget
	minDuration *minDuration
	counters    *expvar.Map
	// bufferedBodies is the memory of buffered request bodies, in bytes.
	bufferedBodies atomic.Int64
	// bufferedAnswers is the memory of completely buffered responses, in bytes.
	bufferedAnswers atomic.Int64
	// peerActive is the number of requests in progress from other agents.
	peerActive atomic.Int64
	log        *aglog.Logger
	logLimit   *aglog.Limiter

	stopping atomic.Bool
	mu       sync.Mutex
	conns    map[*quic.Conn]*callerConn
}

// NewServer returns a server that listens on options.Conn. It returns an error
// if options are missing or listening fails. The returned function closes the
// server and its connections immediately; Conn stays open.
func NewServer(options Options) (*Server, func(), error) {
	if err := options.complete(); err != nil {
		return nil, nil, fmt.Errorf("request server of service %q: %w", options.Service, err)
	}
	s := &Server{
		options:     options,
		backend:     newBackend(options.Backend),
		retryBudget: newRetryBudget(),
		minDuration: &minDuration{},
		counters:    new(expvar.Map).Init(),
		log:         aglog.New("requests " + string(options.Service)),
		logLimit:    aglog.NewLimiter(time.Second),
		conns:       make(map[*quic.Conn]*callerConn),
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
	listener, err := s.transport.ListenEarly(http3.ConfigureTLSConfig(options.TLS), quicConfig(idleTimeout, keepAlivePeriod))
	if err != nil {
		return nil, nil, fmt.Errorf("request server of service %q: listen: %w", options.Service, err)
	}
	s.listener = listener
	if options.Peers != nil {
		options.Peers.register(options.Service, s)
	}
	return s, s.close, nil
}

// quicConfig returns the QUIC configuration. 0-RTT is disabled, because a
// replayed first flight would run a request twice.
func quicConfig(idle, keepAlive time.Duration) *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:     idle,
		KeepAlivePeriod:    keepAlive,
		MaxIncomingStreams: maxStreams,
	}
}

// Run serves requests until ctx ends or Drain returns.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	err := s.http.ServeListener(s.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
		return fmt.Errorf("request server of service %q: %w", s.options.Service, err)
	}
	return nil
}

// Vars returns all counters, for /debug/vars.
func (s *Server) Vars() expvar.Var {
	return s.counters
}

// Count returns the value of a counter, 0 if there is no counter of that name.
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

func (s *Server) recordEvent(kind anvilglade.EventType, c *call, detail string) {
	if s.options.Events == nil {
		return
	}
	s.options.Events.Record(anvilglade.Event{Type: kind, Request: c.id, Service: s.options.Service, Detail: detail})
}
