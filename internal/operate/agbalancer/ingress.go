package agbalancer

// Service addresses. When a table takes effect, the ingress set opens a socket and
// starts a task for each new route, and closes the sockets whose route has been
// removed. A failed bind is logged and retried with the next table. It does not
// make the balancer unready, because one bad route would then stop the whole
// fleet.

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agconnid"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
	"github.com/anvilglade/anvilglade/internal/routing/agtable"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
)

const (
	// ingressBatch is the batch size in packets. It is smaller than
	// agsocket.BatchSize, because each of several hundred service addresses has
	// its own buffers.
	ingressBatch = 16
	// maxIngress is the size of the largest datagram of a caller in bytes. An
	// Ethernet frame holds 1,472 bytes of UDP payload. Fragments of larger
	// datagrams would arrive at different balancers and could not be reassembled.
	maxIngress = 2048
)

// ingress is an open service address.
type ingress struct {
	address netip.AddrPort
	socket  *agsocket.Socket
	close   func()
	// replies and pending are accessed only by the task that reads datagrams.
	replies *agsocket.Writer
	pending bool
}

type ingressSet struct {
	balancer     *Balancer
	group        *agtask.Group
	open         atomic.Pointer[map[netip.AddrPort]*ingress]
	mu           sync.Mutex
	closed       bool
	bindFailures []netip.AddrPort
}

func newIngressSet(balancer *Balancer) *ingressSet {
	s := &ingressSet{balancer: balancer}
	s.open.Store(&map[netip.AddrPort]*ingress{})
	return s
}

func (s *ingressSet) find(address netip.AddrPort) *ingress {
	return (*s.open.Load())[address]
}

func (s *ingressSet) unbound() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bindFailures
}

// apply opens and closes sockets so that they match the table.
func (s *ingressSet) apply(ctx context.Context, table *agtable.Table) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	current := *s.open.Load()
	next := make(map[netip.AddrPort]*ingress, len(current))
	var opened []*ingress
	s.bindFailures = nil
	for _, route := range table.Routes() {
		if existing, ok := current[route.Address]; ok {
			next[route.Address] = existing
			continue
		}
		if in := s.listen(ctx, route.Address); in != nil {
			next[route.Address] = in
			opened = append(opened, in)
		}
	}
	s.open.Store(&next)
	for address, in := range current {
		if _, ok := next[address]; !ok {
			in.close()
		}
	}
	for _, in := range opened {
		if err := s.group.Start("ingress "+in.address.String(), func(context.Context) error { return s.balancer.readIngress(in) }); err != nil {
			return err
		}
	}
	return nil
}

func (s *ingressSet) listen(ctx context.Context, address netip.AddrPort) *ingress {
	bind := address
	if host := s.balancer.options.IngressHost; host.IsValid() {
		bind = netip.AddrPortFrom(host, address.Port())
	}
	socket, closeSocket, err := agsocket.Listen(ctx, bind)
	if err != nil {
		s.bindFailures = append(s.bindFailures, address)
		s.balancer.counters.bindErrors.Add(1)
		s.balancer.log.WithError(err).WithField("Address", address).Error("Cannot open a service address.")
		return nil
	}
	return &ingress{address: address, socket: socket, close: closeSocket, replies: socket.NewWriter(ingressBatch)}
}

// close closes all service addresses. No address is opened afterwards.
func (s *ingressSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, in := range *s.open.Load() {
		in.close()
	}
	s.open.Store(&map[netip.AddrPort]*ingress{})
}

// forwarder contains the buffers of one ingress task.
type forwarder struct {
	balancer  *Balancer
	writer    *agsocket.Writer
	packet    anvilglade.IngressPacket
	decision  anvilglade.RouteDecision
	header    agheader.Header
	plaintext []byte
}

func (b *Balancer) newForwarder() *forwarder {
	return &forwarder{balancer: b, writer: b.datagrams.NewWriter(ingressBatch)}
}

// readIngress forwards the packets of one service address until it closes.
func (b *Balancer) readIngress(in *ingress) error {
	reader := in.socket.NewReader(ingressBatch, maxIngress)
	f := b.newForwarder()
	for {
		packets, err := reader.Read()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// A read also returns errors of earlier sends on the same socket, such as
			// an unreachable caller, so the task continues.
			b.warn(err, "Cannot read from a service address.")
			continue
		}
		f.forward(in, packets)
	}
}

// forward sends a batch of packets to the agents.
func (f *forwarder) forward(in *ingress, packets []agsocket.Packet) {
	b := f.balancer
	var forwarded, direct uint64
	for i := range packets {
		if packets[i].Truncated {
			b.counters.drop(anvilglade.DropOversized)
			continue
		}
		f.packet = anvilglade.IngressPacket{Caller: packets[i].From, ServiceAddress: in.address, Payload: packets[i].Data}
		b.router.Route(&f.packet, &f.decision)
		if f.decision.Drop != anvilglade.DropNone {
			b.counters.drop(f.decision.Drop)
			f.reset(in)
			continue
		}
		if f.send() {
			forwarded++
			if f.decision.Direct {
				direct++
			}
		}
	}
	errorsBefore := f.writer.Errors()
	f.writer.Flush()
	b.counters.forwarded.Add(forwarded)
	b.counters.direct.Add(direct)
	b.counters.sendErrors.Add(f.writer.Errors() - errorsBefore)
}

// reset sends a stateless reset to a caller whose QUIC connection ended because
// its data centre is out. Otherwise the caller would reconnect only after its idle
// timeout. The router returns DropDataCentreOut only for connection ids that it
// could decrypt.
func (f *forwarder) reset(in *ingress) {
	if f.decision.Drop != anvilglade.DropDataCentreOut || f.balancer.parts.ResetKey == nil {
		return
	}
	answer, ok := agconnid.AppendReset(f.plaintext[:0], f.balancer.parts.ResetKey, f.packet.Payload)
	if !ok {
		return
	}
	if err := in.socket.WriteTo(answer, f.packet.Caller); err != nil {
		f.balancer.counters.sendErrors.Add(1)
		return
	}
	f.balancer.counters.resets.Add(1)
}

// send seals the packet and adds it to the batch for the first host of the
// decision. It returns false if the packet was dropped.
func (f *forwarder) send() bool {
	b, decision := f.balancer, &f.decision
	candidates := f.header.Candidates[:0]
	for _, i := range decision.Order {
		candidates = append(candidates, decision.Hosts[i])
	}
	f.header = agheader.Header{
		Revision:       decision.Revision,
		Service:        decision.Service,
		Protocol:       decision.Protocol,
		Flow:           decision.Flow,
		Caller:         f.packet.Caller,
		ServiceAddress: f.packet.ServiceAddress,
		Balancer:       b.options.AdvertiseDatagram,
		Direct:         decision.Direct,
		Candidates:     candidates,
	}
	var err error
	if f.plaintext, err = agheader.Append(f.plaintext[:0], &f.header); err != nil {
		b.counters.drop(anvilglade.DropMalformed)
		return false
	}
	f.plaintext = append(f.plaintext, f.packet.Payload...)
	datagram, err := b.sealer.Seal(f.writer.Buffer(), agheader.KindLookup, f.plaintext)
	if err != nil {
		b.counters.drop(anvilglade.DropUnknownKey)
		b.warn(err, "Cannot seal a packet.")
		return false
	}
	f.writer.Add(datagram, candidates[0].Address)
	return true
}

// warn logs at most one line per logInterval, so that a flood of bad datagrams
// does not fill the log.
func (b *Balancer) warn(err error, text string) {
	if ok, suppressed := b.limiter.Allow(b.parts.Clock.Now()); ok {
		b.log.WithError(err).WithField("Suppressed", suppressed).Warn(text)
	}
}
