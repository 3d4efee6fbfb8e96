package agemulator

// A loopback proxy in front of the store. It injects network faults into
// connections: a reset, permanent packet loss, or packet loss in one direction.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
)

// connectionFault is a network fault of a connection.
type connectionFault int

const (
	faultNone connectionFault = iota
	// faultReset resets the connection.
	faultReset
	// faultSilent permanently drops all data in both directions.
	faultSilent
	// faultOneWay drops the data from the server; data to the server arrives.
	faultOneWay
)

// proxyBuffer is the size of the copy buffer of each direction, in bytes.
const proxyBuffer = 16 << 10

// link is a connection through the proxy.
type link struct {
	client, server net.Conn

	mu    sync.Mutex
	fault connectionFault
}

func (l *link) inject(fault connectionFault) error {
	l.mu.Lock()
	l.fault = fault
	l.mu.Unlock()
	if fault != faultReset {
		return nil
	}
	if client, ok := l.client.(*net.TCPConn); ok {
		if err := client.SetLinger(0); err != nil && !errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("reset connection: %w", err)
		}
	}
	l.close()
	return nil
}

func (l *link) close() {
	// Both ends may be closed already.
	_ = l.client.Close()
	_ = l.server.Close()
}

// drops reports whether the connection drops data. answer selects the direction
// from the server to the client.
func (l *link) drops(answer bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault == faultSilent || l.fault == faultOneWay && answer
}

// forward copies one direction until either end closes. A connection that drops
// data stays open.
func (l *link) forward(from, to net.Conn, answer bool) {
	defer l.close()
	buffer := make([]byte, proxyBuffer)
	for {
		count, err := from.Read(buffer)
		if count > 0 && !l.drops(answer) {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// proxy forwards connections to one server.
type proxy struct {
	group    *agtask.Group
	listener net.Listener
	server   string

	mu     sync.Mutex
	random *rand.Rand
	links  map[*link]struct{}
	fault  connectionFault
	share  float64
}

// newProxy listens on an address and forwards connections to a server until the
// group stops.
func newProxy(group *agtask.Group, address, server string, random *rand.Rand) (*proxy, error) {
	var config net.ListenConfig
	listener, err := config.Listen(group.Context(), "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen for the store's proxy: %w", err)
	}
	p := &proxy{group: group, listener: listener, server: server, random: random, links: make(map[*link]struct{})}
	if err := group.Start("store proxy", p.accept); err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	return p, group.Start("store proxy end", p.end)
}

// end closes the listener and all connections when the group stops.
func (p *proxy) end(ctx context.Context) error {
	<-ctx.Done()
	err := p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for link := range p.links {
		link.close()
	}
	return err
}

func (p *proxy) accept(ctx context.Context) error {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return fmt.Errorf("accept at the store's proxy: %w", err)
		}
		if err := p.connect(ctx, client); err != nil {
			return err
		}
	}
}

// connect forwards one connection. If the server does not accept it, the client's
// connection is closed, similar to a refused connection without the proxy.
func (p *proxy) connect(ctx context.Context, client net.Conn) error {
	var dialer net.Dialer
	server, err := dialer.DialContext(ctx, "tcp4", p.server)
	if err != nil {
		return client.Close()
	}
	l := &link{client: client, server: server}
	if err := p.add(l); err != nil {
		return err
	}
	if err := p.group.Start("store proxy request", func(context.Context) error { l.forward(client, server, false); return nil }); err != nil {
		return err
	}
	return p.group.Start("store proxy answer", func(context.Context) error {
		l.forward(server, client, true)
		p.mu.Lock()
		delete(p.links, l)
		p.mu.Unlock()
		return nil
	})
}

// add registers a connection and applies the active fault to it, if the random
// draw selects the connection.
func (p *proxy) add(l *link) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links[l] = struct{}{}
	if p.fault == faultNone || p.random.Float64() >= p.share {
		return nil
	}
	return l.inject(p.fault)
}

// inject applies a fault to a share of the open connections, and to the same share
// of the connections that are opened within the given time. Affected connections
// do not recover.
func (p *proxy) inject(ctx context.Context, fault connectionFault, share float64, length time.Duration) error {
	p.mu.Lock()
	p.fault, p.share = fault, share
	for link := range p.links {
		if p.random.Float64() < share {
			if err := link.inject(fault); err != nil {
				p.mu.Unlock()
				return err
			}
		}
	}
	p.mu.Unlock()
	// A run that ends cuts the wait short.
	_ = agtask.Sleep(ctx, length)
	p.mu.Lock()
	p.fault = faultNone
	p.mu.Unlock()
	return nil
}
