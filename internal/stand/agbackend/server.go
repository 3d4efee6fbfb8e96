// Package agbackend is the test double of a backend server.
//
// One process represents one host. For each service it listens on one address over
// UDP and over HTTP/1.1. Its capacity is a number of slots. A cold server can
// handle fewer concurrent requests and warms up with completed requests. If it gets
// more than it can handle, it falls over: for a while it answers no request for /echo
// or /reports, and /health reports that it is down. The journal lists every request for
// /echo and /reports, so that a test can compare the answers that callers received with
// the requests that ran.
//
// POST /control changes the behaviour: shares of failed, truncated and reset answers,
// wrong or outdated /health and /load, another service time or number of slots,
// draining, and a cold server.
//
// # Usage
//
//	server := agbackend.NewServer(agbackend.Options{Host: "dk1-alerts-01", Services: services, Slots: 4})
//	if err := server.Run(ctx); err != nil {
//		return err
//	}
package agbackend

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
)

// Service is one service address of the host.
type Service struct {
	Name    string
	Address netip.AddrPort
}

// Options describe the host. A zero duration or count other than Slots and ColdStep
// disables the simulation of that limit; a ColdStep below 1 counts as 1.
type Options struct {
	Host     string
	Services []Service
	// Slots is the number of concurrent requests of a warm server.
	Slots int
	// Connections is the maximum number of open alert lines.
	Connections int
	// ServiceTime is the execution time of a request on a warm server.
	ServiceTime time.Duration
	// ColdInitial is the initial number of concurrent requests that a cold server
	// can handle; 0 makes the server warm from the start.
	ColdInitial int
	// ColdStep is the number of completed requests that raise the limit of a cold
	// server by one.
	ColdStep int
	// ColdSlowdown multiplies the service time of a cold server.
	ColdSlowdown float64
	// FellOverFor is how long a server does not answer after an overload.
	FellOverFor time.Duration
	Seed        uint64
}

// Server is a test double of a backend server.
type Server struct {
	options      Options
	incarnation  int64
	load         *load
	journal      *journal
	randomSource *randomSource
}

const (
	readHeaderTimeout = 10 * time.Second
	datagramSize      = 2048
	socketBuffer      = 1 << 20
)

// NewServer returns a server. Run starts to listen.
func NewServer(options Options) *Server {
	if options.ColdStep < 1 {
		options.ColdStep = 1
	}
	if options.ColdSlowdown < 1 {
		options.ColdSlowdown = 1
	}
	return &Server{
		options:      options,
		incarnation:  time.Now().UnixNano(),
		load:         newLoad(options),
		journal:      &journal{},
		randomSource: &randomSource{random: rand.New(rand.NewPCG(options.Seed, uint64(len(options.Host))))},
	}
}

// Run serves all addresses until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	group, stop, err := agtask.NewGroup(ctx)
	if err != nil {
		return err
	}
	defer stop()
	for _, service := range s.options.Services {
		if err := s.start(group, service); err != nil {
			return err
		}
	}
	return group.Wait()
}

func (s *Server) start(group *agtask.Group, service Service) error {
	var config net.ListenConfig
	listener, err := config.Listen(group.Context(), "tcp", service.Address.String())
	if err != nil {
		return fmt.Errorf("listen for service %s: %w", service.Name, err)
	}
	packets, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(service.Address))
	if err != nil {
		return errors.Join(fmt.Errorf("listen for datagrams of service %s: %w", service.Name, err), listener.Close())
	}
	if err := packets.SetReadBuffer(socketBuffer); err != nil {
		return fmt.Errorf("set read buffer: %w", err)
	}
	server := &http.Server{Handler: s.handler(service.Name), ReadHeaderTimeout: readHeaderTimeout}
	if err := group.Start("http/"+service.Name, func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { _ = server.Close() })()
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}); err != nil {
		return err
	}
	return group.Start("udp/"+service.Name, func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { _ = packets.Close() })()
		return s.serveDatagrams(ctx, packets, service.Name)
	})
}

// randomSource is a seeded random source. It is safe for concurrent use.
type randomSource struct {
	mu     sync.Mutex
	random *rand.Rand
}

// chance returns true with the given probability, 0 to 1.
func (d *randomSource) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Float64() < share
}
