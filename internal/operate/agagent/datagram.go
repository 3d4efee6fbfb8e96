// The datagram task, which reads and opens each datagram, and applies the actions
// that agflow decides on.

package agagent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/flow/agflow"
	"github.com/anvilglade/anvilglade/internal/observe/aglog"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
)

const (
	// largestDatagram is the size of the largest UDP datagram in bytes.
	largestDatagram = 65535
	// socketBuffer is the requested size of the receive buffer and of the send
	// buffer of the socket, in bytes.
	socketBuffer = 4 << 20
	// dropLogInterval is the minimum time between two log lines about dropped
	// packets.
	dropLogInterval = 10 * time.Second
)

type sendBuffer struct {
	plain, sealed []byte
}

// receive runs the datagram task until ctx ends or the socket is closed.
func (a *Agent) receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = a.socket.SetReadDeadline(time.Now()) })
	defer stop()
	datagram := make([]byte, largestDatagram)
	scratch := make([]byte, 0, largestDatagram)
	limiter := aglog.NewLimiter(dropLogInterval)
	var header agheader.Header
	var actions []agflow.Action
	for {
		size, from, err := a.socket.ReadFromUDPAddrPort(datagram)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// A read also returns ICMP errors of earlier sends, which are ignored.
			if errors.Is(err, net.ErrClosed) {
				return fmt.Errorf("read agent socket: %w", err)
			}
			continue
		}
		a.counters.received.Add(1)
		kind, plain, reason := a.opener.Open(scratch[:0], datagram[:size])
		if reason != anvilglade.DropNone {
			a.recordDrop(reason, limiter)
			continue
		}
		if kind.Heartbeat() {
			a.handleHeartbeat(kind, from, plain)
			continue
		}
		payload, err := agheader.Parse(plain, &header)
		if err != nil {
			a.recordDrop(anvilglade.DropMalformed, limiter)
			continue
		}
		now := a.clock.Now()
		actions = a.machine.Handle(now, kind, &header, payload, actions[:0])
		a.applyActions(ctx, now, actions, limiter)
	}
}

func (a *Agent) handleHeartbeat(kind agheader.Kind, from netip.AddrPort, payload []byte) {
	if kind != agheader.KindHeartbeatAck {
		return
	}
	a.machine.SetRecentBalancer(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	if err := a.reporter.HandleAck(payload); err != nil {
		a.log.WithError(err).Debug("Acknowledgement of a heartbeat is ignored.")
	}
}

func (a *Agent) applyActions(ctx context.Context, now time.Time, actions []agflow.Action, limiter *aglog.Limiter) {
	for i := range actions {
		action := &actions[i]
		switch action.Kind {
		case agflow.ActionDeliver:
			if reason := a.deliver(ctx, now, action); reason != anvilglade.DropNone {
				a.recordDrop(reason, limiter)
			}
		case agflow.ActionSend:
			if err := a.send(action.To, action.Message, &action.Header, action.Payload); err != nil {
				a.counters.sendFailures.Add(1)
			}
		case agflow.ActionDrop:
			a.recordDrop(action.Drop, limiter)
		case agflow.ActionEnd:
			a.relay.End(action.Flow)
		}
	}
}

func (a *Agent) deliver(ctx context.Context, now time.Time, action *agflow.Action) anvilglade.Drop {
	a.counters.delivered.Add(1)
	if action.Header.Protocol != anvilglade.ProtocolQUIC {
		return a.relay.Deliver(ctx, action.Flow, action.Payload)
	}
	conn := a.conns[action.Header.Service]
	if conn == nil {
		return anvilglade.DropWrongService
	}
	return conn.Deliver(now, &action.Header, action.Payload)
}

func (a *Agent) recordDrop(reason anvilglade.Drop, limiter *aglog.Limiter) {
	a.counters.drop(reason)
	if ok, suppressed := limiter.Allow(a.clock.Now()); ok {
		a.log.WithField("Reason", reason).WithField("Suppressed", suppressed).Info("Packet is dropped.")
	}
}

// send seals a header with its payload and sends them in one datagram.
func (a *Agent) send(to netip.AddrPort, kind agheader.Kind, header *agheader.Header, payload []byte) error {
	buffer, _ := a.buffers.Get().(*sendBuffer)
	defer a.buffers.Put(buffer)
	plain, err := agheader.Append(buffer.plain[:0], header)
	if err != nil {
		return fmt.Errorf("encode %s: %w", kind, err)
	}
	plain = append(plain, payload...)
	buffer.plain = plain
	return a.seal(buffer, to, kind, buffer.plain)
}

// sendPlain seals and sends a payload without a header. It is used for heartbeats.
func (a *Agent) sendPlain(to netip.AddrPort, kind agheader.Kind, payload []byte) error {
	buffer, _ := a.buffers.Get().(*sendBuffer)
	defer a.buffers.Put(buffer)
	return a.seal(buffer, to, kind, payload)
}

func (a *Agent) seal(buffer *sendBuffer, to netip.AddrPort, kind agheader.Kind, plain []byte) error {
	sealed, err := a.sealer.Seal(buffer.sealed[:0], kind, plain)
	if err != nil {
		return fmt.Errorf("seal %s: %w", kind, err)
	}
	buffer.sealed = sealed
	if _, err := a.socket.WriteToUDPAddrPort(sealed, to); err != nil {
		return fmt.Errorf("send %s to %s: %w", kind, to, err)
	}
	a.counters.sent.Add(1)
	return nil
}

func (a *Agent) backendRefused(anvilglade.ServiceNumber) {
	if a.limits != nil {
		a.limits.RefusedConnection()
	}
}
