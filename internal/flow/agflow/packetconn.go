// The net.PacketConn through which a QUIC transport talks to the callers of one
// service.
//
// The transport sees the callers' addresses. Answers go back as Reply to the
// balancer that last forwarded a packet of the caller. Paths are kept for the
// callers heard last; the next packet of a forgotten caller brings its path
// again.

package agflow

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
)

const (
	// maxPaths bounds the callers whose way back is known. A host has about
	// 2,000 connections; callers that move to a new address take another path.
	maxPaths = 16384
	// packetRing is the number of packets that wait for the transport, about
	// 100 ms at 10,000 packets a second.
	packetRing = 1024
	// maxPacket is the largest QUIC packet that is taken, in bytes.
	maxPacket = 2048
)

type packet struct {
	caller netip.AddrPort
	size   int
	data   [maxPacket]byte
}

type returnPath struct {
	serviceAddress, balancer netip.AddrPort
	heard                    int64
}

// PacketConn is a virtual net.PacketConn for the QUIC packets of one service.
type PacketConn struct {
	machine *Machine
	service anvilglade.ServiceNumber
	send    Sender
	clock   anvilglade.Clock
	packets chan *packet
	pool    sync.Pool
	paths   *lru.Cache[netip.AddrPort, returnPath]

	closing  sync.Once
	closed   chan struct{}
	mu       sync.Mutex
	deadline time.Time
	changed  chan struct{}

	dropped, unanswered atomic.Uint64
}

var _ net.PacketConn = (*PacketConn)(nil)

// NewPacketConn returns the connection of a service and its clean-up function.
func NewPacketConn(machine *Machine, service anvilglade.ServiceNumber, send Sender, clock anvilglade.Clock) (*PacketConn, func(), error) {
	paths, err := lru.New[netip.AddrPort, returnPath](maxPaths)
	if err != nil {
		return nil, nil, fmt.Errorf("create table of return paths: %w", err)
	}
	c := &PacketConn{
		machine: machine, service: service, send: send, clock: clock, paths: paths,
		packets: make(chan *packet, packetRing), closed: make(chan struct{}), changed: make(chan struct{}),
	}
	c.pool.New = func() any { return new(packet) }
	return c, func() { _ = c.Close() }, nil
}

// Deliver queues a caller's packet for the transport. It never blocks.
func (c *PacketConn) Deliver(now time.Time, header *agheader.Header, payload []byte) anvilglade.Drop {
	if len(payload) > maxPacket {
		return anvilglade.DropOversized
	}
	c.paths.Add(header.Caller, returnPath{serviceAddress: header.ServiceAddress, balancer: header.Balancer, heard: now.UnixNano()})
	item, _ := c.pool.Get().(*packet)
	item.caller = header.Caller
	item.size = copy(item.data[:], payload)
	select {
	case c.packets <- item:
		return anvilglade.DropNone
	default:
		c.pool.Put(item)
		c.dropped.Add(1)
		return anvilglade.DropRingFull
	}
}

// ReadFrom returns the next packet and the address of its caller.
func (c *PacketConn) ReadFrom(data []byte) (int, net.Addr, error) {
	for {
		expired, changed, stop := c.readDeadline()
		select {
		case <-c.closed:
			stop()
			return 0, nil, net.ErrClosed
		case <-expired:
			return 0, nil, os.ErrDeadlineExceeded
		case <-changed:
			stop()
		case item := <-c.packets:
			stop()
			size := copy(data, item.data[:item.size])
			caller := net.UDPAddrFromAddrPort(item.caller)
			c.pool.Put(item)
			return size, caller, nil
		}
	}
}

// readDeadline returns a channel that fires at the deadline and one that is
// closed when the deadline changes.
func (c *PacketConn) readDeadline() (<-chan time.Time, <-chan struct{}, func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadline.IsZero() {
		return nil, c.changed, func() {}
	}
	timer := time.NewTimer(time.Until(c.deadline))
	return timer.C, c.changed, func() { timer.Stop() }
}

// WriteTo sends a packet to a caller through a balancer. A packet without a way
// back is lost, as on a network.
func (c *PacketConn) WriteTo(data []byte, address net.Addr) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	udp, ok := address.(*net.UDPAddr)
	if !ok {
		return 0, fmt.Errorf("caller address %v is not a UDP address", address)
	}
	caller := udp.AddrPort()
	caller = netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port())
	path, ok := c.paths.Get(caller)
	if !ok {
		c.unanswered.Add(1)
		return len(data), nil
	}
	balancer, ok := c.machine.answerPath(c.clock.Now(), path.balancer, path.heard)
	if !ok {
		c.unanswered.Add(1)
		return len(data), nil
	}
	header := agheader.Header{
		Service: c.service, Protocol: anvilglade.ProtocolQUIC,
		Caller: caller, ServiceAddress: path.serviceAddress, Balancer: balancer,
	}
	if err := c.send(balancer, agheader.KindReply, &header, data); err != nil {
		c.unanswered.Add(1)
	}
	return len(data), nil
}

// Close ends all reads.
func (c *PacketConn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr returns the agent's address, which callers never see.
func (c *PacketConn) LocalAddr() net.Addr {
	return net.UDPAddrFromAddrPort(c.machine.options.Self)
}

// SetDeadline sets the deadline of reads; writes never block.
func (c *PacketConn) SetDeadline(t time.Time) error {
	return c.SetReadDeadline(t)
}

// SetReadDeadline sets the deadline of reads, also of one that waits.
func (c *PacketConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	close(c.changed)
	c.changed = make(chan struct{})
	return nil
}

// SetWriteDeadline does nothing: writes never block.
func (*PacketConn) SetWriteDeadline(time.Time) error {
	return nil
}

// SetReadBuffer does nothing: the ring has a fixed size. QUIC transports warn
// about connections without this method.
func (*PacketConn) SetReadBuffer(int) error {
	return nil
}

// SetWriteBuffer does nothing: writes never wait.
func (*PacketConn) SetWriteBuffer(int) error {
	return nil
}

// Dropped returns the number of packets that found the ring full.
func (c *PacketConn) Dropped() uint64 {
	return c.dropped.Load()
}

// Unanswered returns the number of answers that found no way back.
func (c *PacketConn) Unanswered() uint64 {
	return c.unanswered.Load()
}
