// Package agbackend is the test double of a backend server.
//
// One process stands for one host. For each service it listens on one address,
// over UDP and over HTTP/1.1. Its capacity is a number of slots; a cold server
// can handle fewer requests at once, warms by completed work, and falls over
// when it gets more than it can handle. The journal lists every request that
// began, so that a test can compare what callers were told with what ran.
//
// Faults are switched on and off over POST /control: shares of failed,
// truncated and reset answers, misleading or lagging /health and /load, a
// different service time, draining, and turning cold.
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

// Options describe the host. The zero durations and counts mean that the limit
// is not simulated.
type Options struct {
	Host     string
	Services []Service
	// Slots is how many requests a warm server works on at once.
	Slots int
	// Connections is the most alert lines that the server keeps.
	Connections int
	// ServiceTime is how long a warm server works on one request.
	ServiceTime time.Duration
	// ColdInitial is how many requests at once a cold server can handle; 0
	// makes the server warm from the start.
	ColdInitial int
	// ColdStep is how many completed requests let it handle one more.
	ColdStep int
	// ColdSlowdown multiplies the service time of a server that is cold.
	ColdSlowdown float64
	// FellOverFor is how long a server that fell over answers nothing.
	FellOverFor time.Duration
	Seed        uint64
}

// Server is a running test double.
type Server struct {
	options     Options
	incarnation int64
	load        *load
	journal     *journal
	draws       *draws
}

const (
	readHeaderTimeout = 10 * time.Second
	datagramSize      = 2048
	socketBuffer      = 1 << 20
)

// NewServer returns a server that does not listen yet.
func NewServer(options Options) *Server {
	if options.ColdStep < 1 {
		options.ColdStep = 1
	}
	if options.ColdSlowdown < 1 {
		options.ColdSlowdown = 1
	}
	return &Server{
		options:     options,
		incarnation: time.Now().UnixNano(),
		load:        newLoad(options),
		journal:     &journal{},
		draws:       &draws{random: rand.New(rand.NewPCG(options.Seed, uint64(len(options.Host))))},
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
		return s.echo(ctx, packets, service.Name)
	})
}

// draws is a seeded random source that handlers share.
type draws struct {
	mu     sync.Mutex
	random *rand.Rand
}

// hit reports true for the given share of the calls.
func (d *draws) hit(share float64) bool {
	if share <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Float64() < share
}
