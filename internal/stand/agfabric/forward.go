package agfabric

// The datagram path between processes.

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"github.com/anvilglade/anvilglade/internal/packet/agheader"
)

// kindOffset is where the clear part of a datagram has its kind; byte 0 is the
// version.
const kindOffset = 1

// forward reads one advertised socket. The receiver is its owner, the sender is
// found by the source address.
func (f *Fabric) forward(ctx context.Context, to *endpointState) error {
	return readLoop(ctx, to.socket, func(data []byte, source netip.AddrPort) {
		from, known := f.view.Load().bySource[source]
		if !known {
			f.unknown.Add(1)
			return
		}
		class := classOf(to, data)
		if class == ClassData {
			f.counts.add(from.party, to.party, data)
		}
		f.deliver(link{from: from.party.names, to: to.party.names, class: class}, data, from.socket, to.Real)
	})
}

func classOf(to *endpointState, data []byte) Class {
	if to.Class != ClassAny {
		return to.Class
	}
	if len(data) > kindOffset && agheader.Kind(data[kindOffset]).Heartbeat() {
		return ClassControl
	}
	return ClassData
}

// deliver writes a datagram from a socket, now or later, as the faults say.
func (f *Fabric) deliver(path link, data []byte, socket *net.UDPConn, to netip.AddrPort) {
	f.pass(path, data, func(data []byte) {
		if _, err := socket.WriteToUDPAddrPort(data, to); err != nil {
			f.failures.Add(1)
		}
	})
}

func (f *Fabric) pass(path link, data []byte, write func([]byte)) {
	fate := f.faults.draw(path)
	for range fate.copies {
		if fate.delay <= 0 {
			write(data)
			continue
		}
		kept := append([]byte(nil), data...)
		f.later.add(fate.delay, func() { write(kept) })
	}
}

// readLoop hands each datagram of a socket to a function until ctx ends.
func readLoop(ctx context.Context, socket *net.UDPConn, handle func(data []byte, source netip.AddrPort)) error {
	defer context.AfterFunc(ctx, func() { _ = socket.Close() })()
	buf := make([]byte, datagramSize)
	for {
		n, source, err := socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return fmt.Errorf("read %s: %w", socket.LocalAddr(), err)
		}
		handle(buf[:n], netip.AddrPortFrom(source.Addr().Unmap(), source.Port()))
	}
}
