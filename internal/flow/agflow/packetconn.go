// The net.PacketConn through which a QUIC transport communicates with the callers
// of one service.
//
// The transport receives packets with the callers' addresses. Packets to callers are
// sent as datagrams of kind Reply to the balancer that last forwarded a packet of
// the caller. The return paths of the most recent callers are cached; the next
// packet of an evicted caller restores its path.

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
	// maxPaths is the maximum number of return paths. A host has about 2,000
	// connections, and a caller that moves to a new address uses another path.
	maxPaths = 16384
	// packetQueueSize is the number of packets that can be queued for the
	// transport, about 100 ms at 10,000 packets per second.
	packetQueueSize = 1024
	// maxPacket is the size in bytes of the largest QUIC packet that is accepted.
	maxPacket = 2048
)

type packet struct {
	caller netip.AddrPort
	size   int
	data   [maxPacket]byte
}

type returnPath struct {
	serviceAddress, balancer netip.AddrPort
	// lastFromCaller is the time of the caller's last packet in nanoseconds since
	// the Unix epoch.
	lastFromCaller int64
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

	closeOnce       sync.Once
	closed          chan struct{}
	mu              sync.Mutex
	deadline        time.Time
	deadlineChanged chan struct{}

	dropped, undeliverable atomic.Uint64
}

var _ net.PacketConn = (*PacketConn)(nil)

// NewPacketConn returns the connection of a service and a function that closes
// it.
func NewPacketConn(machine *Machine, service anvilglade.ServiceNumber, send Sender, clock anvilglade.Clock) (*PacketConn, func(), error) {
	paths, err := lru.New[netip.AddrPort, returnPath](maxPaths)
	if err != nil {
		return nil, nil, fmt.Errorf("create table of return paths: %w", err)
	}
	c := &PacketConn{
		machine: machine, service: service, send: send, clock: clock, paths: paths,
		packets: make(chan *packet, packetQueueSize), closed: make(chan struct{}), deadlineChanged: make(chan struct{}),
	}
	c.pool.New = func() any { return new(packet) }
	return c, func() { _ = c.Close() }, nil
}

// Deliver queues a caller's packet for the transport. It never blocks. It returns
// DropNone, or the reason for which the packet was dropped.
func (c *PacketConn) Deliver(now time.Time, header *agheader.Header, payload []byte) anvilglade.Drop {
	if len(payload) > maxPacket {
		return anvilglade.DropOversized
	}
	c.paths.Add(header.Caller, returnPath{serviceAddress: header.ServiceAddress, balancer: header.Balancer, lastFromCaller: now.UnixNano()})
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

// ReadFrom reads the next packet and returns the address of its caller. The error
// is net.ErrClosed after Close and os.ErrDeadlineExceeded after the read deadline.
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

// readDeadline returns a channel that receives at the deadline, a channel that is
// closed when the deadline changes, and a function that releases the timer.
func (c *PacketConn) readDeadline() (<-chan time.Time, <-chan struct{}, func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadline.IsZero() {
		return nil, c.deadlineChanged, func() {}
	}
	timer := time.NewTimer(time.Until(c.deadline))
	return timer.C, c.deadlineChanged, func() { timer.Stop() }
}

// WriteTo sends a packet to a caller through a balancer. A packet that cannot be
// sent, because its caller has no return path or sending fails, is counted in
// Undeliverable and dropped without an error, like a packet lost on a network.
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
		c.undeliverable.Add(1)
		return len(data), nil
	}
	balancer, ok := c.machine.answerBalancer(c.clock.Now(), path.balancer, path.lastFromCaller)
	if !ok {
		c.undeliverable.Add(1)
		return len(data), nil
	}
	header := agheader.Header{
		Service: c.service, Protocol: anvilglade.ProtocolQUIC,
		Caller: caller, ServiceAddress: path.serviceAddress, Balancer: balancer,
	}
	if err := c.send(balancer, agheader.KindReply, &header, data); err != nil {
		c.undeliverable.Add(1)
	}
	return len(data), nil
}

// Close makes all reads return net.ErrClosed.
func (c *PacketConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr returns the agent's address. Packets to callers never contain it.
func (c *PacketConn) LocalAddr() net.Addr {
	return net.UDPAddrFromAddrPort(c.machine.options.Self)
}

// SetDeadline sets the deadline of reads; writes never block.
func (c *PacketConn) SetDeadline(t time.Time) error {
	return c.SetReadDeadline(t)
}

// SetReadDeadline sets the deadline of reads, including one in progress.
func (c *PacketConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	close(c.deadlineChanged)
	c.deadlineChanged = make(chan struct{})
	return nil
}

// SetWriteDeadline does nothing: writes never block.
func (*PacketConn) SetWriteDeadline(time.Time) error {
	return nil
}

// SetReadBuffer does nothing: the queue has a fixed size. QUIC transports log a
// warning for connections without this method.
func (*PacketConn) SetReadBuffer(int) error {
	return nil
}

// SetWriteBuffer does nothing: writes never block.
func (*PacketConn) SetWriteBuffer(int) error {
	return nil
}

// Dropped returns the number of packets that were dropped because the queue was
// full.
func (c *PacketConn) Dropped() uint64 {
	return c.dropped.Load()
}

// Undeliverable returns the number of packets to callers that could not be sent
// because there was no return path or sending failed.
func (c *PacketConn) Undeliverable() uint64 {
	return c.undeliverable.Load()
}
