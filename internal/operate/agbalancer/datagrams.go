package agbalancer

// The datagram socket. Responses are written to the socket of their service
// address in batches; heartbeats are copied into the ring of their task.

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

// replier holds the buffers of the task that reads datagrams.
type replier struct {
	balancer  *Balancer
	header    agheader.Header
	plaintext []byte
	touched   []*ingress
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

// handle opens one datagram and passes it on.
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

// reply passes a response to the caller. The service must still be the one
// behind the address: a caller must not get packets of a service that its
// address no longer belongs to.
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
		r.touched = append(r.touched, in)
	}
	in.replies.Add(append(in.replies.Buffer(), payload...), r.header.Caller)
	b.counters.replies.Add(1)
}

func (r *replier) flush() {
	for _, in := range r.touched {
		failed := in.replies.Errors()
		in.replies.Flush()
		r.balancer.counters.sendErrors.Add(in.replies.Errors() - failed)
		in.pending = false
	}
	r.touched = r.touched[:0]
}

func (r *replier) enqueue(from netip.AddrPort, plaintext []byte) {
	beat := heartbeat{from: from, payload: append([]byte(nil), plaintext...)}
	select {
	case r.balancer.beats <- beat:
	default:
		r.balancer.counters.drop(anvilglade.DropRingFull)
	}
}

// handleHeartbeats hands the heartbeats to the monitor.
func (b *Balancer) handleHeartbeats(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case beat := <-b.beats:
			b.counters.heartbeats.Add(1)
			if err := b.heartbeats.HandleHeartbeat(beat.from, beat.payload); err != nil {
				b.warn(err, "Cannot handle a heartbeat.")
			}
		}
	}
}
