package agfabric

// Forwarding of datagrams between processes.

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"github.com/anvilglade/anvilglade/internal/packet/agheader"
)

// kindOffset is the offset of the kind byte in the unencrypted header of a
// datagram. Byte 0 is the version.
const kindOffset = 1

// forward reads datagrams from the socket of an advertised address and forwards
// them to the owner of that address. The source address identifies the sender.
func (f *Fabric) forward(ctx context.Context, to *endpointState) error {
	return readLoop(ctx, to.socket, func(data []byte, source netip.AddrPort) {
		from, known := f.view.Load().bySource[source]
		if !known {
			f.unknownSenders.Add(1)
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

// deliver sends a datagram from a socket, subject to the faults of its link.
func (f *Fabric) deliver(path link, data []byte, socket *net.UDPConn, to netip.AddrPort) {
	f.sendWithFaults(path, data, func(data []byte) {
		if _, err := socket.WriteToUDPAddrPort(data, to); err != nil {
			f.failures.Add(1)
		}
	})
}

func (f *Fabric) sendWithFaults(path link, data []byte, write func([]byte)) {
	delivery := f.faults.draw(path)
	for range delivery.copies {
		if delivery.delay <= 0 {
			write(data)
			continue
		}
		copied := append([]byte(nil), data...)
		f.delays.add(delivery.delay, func() { write(copied) })
	}
}

// readLoop calls handle for each datagram of a socket until ctx ends. The data is
// valid only during the call.
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
