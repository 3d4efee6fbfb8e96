package agbalancer

// The datagram socket. Responses are written in batches to the socket of their
// service address. Heartbeats are copied into the ring of handleHeartbeats.

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
	"github.com/anvilglade/anvilglade/internal/packet/agseal"
	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
)

type heartbeat struct {
	from    netip.AddrPort
	payload []byte
}

// replier contains the buffers of the task that reads datagrams.
type replier struct {
	balancer     *Balancer
	header       agheader.Header
	plaintext    []byte
	pendingFlush []*ingress
}

// readDatagrams handles the datagrams of agents until the socket closes.
func (b *Balancer) readDatagrams(ctx context.Context) error {
	reader := b.datagrams.NewReader(agsocket.BatchSize, agseal.MaxDatagram)
	r := &replier{balancer: b, plaintext: make([]byte, 0, agseal.MaxDatagram)}
	for {
		packets, err := reader.Read()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return ctx.Err()
		}
		if err != nil {
			b.warn(err, "Cannot read from the datagram socket.")
			continue
		}
		for i := range packets {
			r.handle(&packets[i])
		}
		r.flush()
	}
}

// handle opens one datagram and handles it by its kind.
func (r *replier) handle(packet *agsocket.Packet) {
	kind, plaintext, drop := r.balancer.opener.Open(r.plaintext[:0], packet.Data)
	if drop != anvilglade.DropNone {
		return // counted by the opener
	}
	switch kind {
	case agheader.KindReply:
		r.reply(plaintext)
	case agheader.KindHeartbeat:
		r.enqueue(packet.From, plaintext)
	default:
		r.balancer.counters.drop(anvilglade.DropMalformed)
	}
}

// reply forwards a response to the caller. It drops the response if the service
// address now has another service or none, so that a caller does not receive
// packets of a service to which the address no longer belongs.
func (r *replier) reply(plaintext []byte) {
	b := r.balancer
	payload, err := agheader.Parse(plaintext, &r.header)
	if err != nil {
		b.counters.drop(anvilglade.DropMalformed)
		return
	}
	in, table := b.ingresses.find(r.header.ServiceAddress), b.router.Table()
	if in == nil || table == nil {
		b.counters.drop(anvilglade.DropNoRoute)
		return
	}
	if route := table.Route(r.header.ServiceAddress); route == nil || route.Number != r.header.Service {
		b.counters.drop(anvilglade.DropWrongService)
		return
	}
	if !in.pending {
		in.pending = true
		r.pendingFlush = append(r.pendingFlush, in)
	}
	in.replies.Add(append(in.replies.Buffer(), payload...), r.header.Caller)
	b.counters.replies.Add(1)
}

func (r *replier) flush() {
	for _, in := range r.pendingFlush {
		errorsBefore := in.replies.Errors()
		in.replies.Flush()
		r.balancer.counters.sendErrors.Add(in.replies.Errors() - errorsBefore)
		in.pending = false
	}
	r.pendingFlush = r.pendingFlush[:0]
}

func (r *replier) enqueue(from netip.AddrPort, plaintext []byte) {
	hb := heartbeat{from: from, payload: append([]byte(nil), plaintext...)}
	select {
	case r.balancer.heartbeatRing <- hb:
	default:
		r.balancer.counters.drop(anvilglade.DropRingFull)
	}
}

// handleHeartbeats passes the heartbeats to the monitor.
func (b *Balancer) handleHeartbeats(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case hb := <-b.heartbeatRing:
			b.counters.heartbeats.Add(1)
			if err := b.heartbeats.HandleHeartbeat(hb.from, hb.payload); err != nil {
				b.warn(err, "Cannot handle a heartbeat.")
			}
		}
	}
}
