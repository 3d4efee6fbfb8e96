package agfabric

// TCP relays to the object API. Each party has its own relay, so that a fault can
// cut off a single party.

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const relayDialTimeout = 2 * time.Second

type relay struct {
	fabric *Fabric
	party  *partyState

	mu   sync.Mutex
	open map[net.Conn]bool
}

func (f *Fabric) startRelay(party *partyState) error {
	var config net.ListenConfig
	listener, err := config.Listen(f.group.Context(), "tcp4", party.Relay.String())
	if err != nil {
		return fmt.Errorf("listen for relay: %w", err)
	}
	item := &relay{fabric: f, party: party, open: map[net.Conn]bool{}}
	f.relays = append(f.relays, item)
	return f.group.Start("relay/"+party.Name, func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { _ = listener.Close() })()
		return item.accept(ctx, listener)
	})
}

func (r *relay) path() link {
	return link{from: r.party.names, to: map[string]bool{groupAPI: true}, class: ClassControl}
}

func (r *relay) accept(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return fmt.Errorf("accept relay connection: %w", err)
		}
		if r.fabric.faults.partitioned(r.path()) {
			_ = conn.Close()
			continue
		}
		if err := r.fabric.group.Start("relayed", func(ctx context.Context) error { return r.serve(ctx, conn) }); err != nil {
			return err
		}
	}
}

// serve relays one connection in both directions. An error of the connection does
// not stop the fabric.
func (r *relay) serve(ctx context.Context, client net.Conn) error {
	defer func() { _ = client.Close() }()
	dialer := net.Dialer{Timeout: relayDialTimeout}
	server, err := dialer.DialContext(ctx, "tcp4", r.fabric.config.API.String())
	if err != nil {
		r.fabric.failures.Add(1)
		// The object API may be unavailable; the client's connection is closed.
		return nil
	}
	r.track(client, server, true)
	defer r.track(client, server, false)
	defer context.AfterFunc(ctx, func() { closeBoth(client, server) })()
	done := make(chan struct{})
	if err := r.fabric.group.Start("relayed back", func(ctx context.Context) error {
		defer close(done)
		r.copyBack(ctx, client, server)
		closeBoth(client, server)
		return nil
	}); err != nil {
		closeBoth(client, server)
		return err
	}
	_, _ = io.Copy(server, client)
	closeBoth(client, server)
	<-done
	return nil
}

// copyBack relays data from the object API to the client. Each chunk is delayed
// according to the faults on the link from the API to the party.
func (r *relay) copyBack(ctx context.Context, client io.Writer, server io.Reader) {
	path := link{from: r.path().to, to: r.path().from, class: ClassControl}
	buf := make([]byte, datagramSize)
	for {
		n, err := server.Read(buf)
		if n > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(r.fabric.faults.draw(path).delay):
			}
			if _, err := client.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func closeBoth(a, b net.Conn) {
	_ = a.Close()
	_ = b.Close()
}

func (r *relay) track(client, server net.Conn, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.open[client], r.open[server] = true, true
		return
	}
	delete(r.open, client)
	delete(r.open, server)
}

// closePartitioned closes the relay connections of all parties that a fault
// currently partitions from the object API.
func (f *Fabric) closePartitioned() {
	f.mu.Lock()
	relays := append([]*relay(nil), f.relays...)
	f.mu.Unlock()
	for _, item := range relays {
		if !f.faults.partitioned(item.path()) {
			continue
		}
		item.mu.Lock()
		for conn := range item.open {
			_ = conn.Close()
		}
		item.mu.Unlock()
	}
}
