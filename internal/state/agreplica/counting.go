package agreplica

import (
	"net"
	"sync/atomic"
)

// datagramHeaderBytes is the size of the UDP and IPv4 headers of a datagram.
const datagramHeaderBytes = 28

// countingConn counts the bytes of datagrams, including their headers, so that
// the control traffic of a process can be compared with its budget.
type countingConn struct {
	net.PacketConn
	socket   *net.UDPConn
	sent     atomic.Uint64
	received atomic.Uint64
}

// ReadFrom reads a datagram.
func (c *countingConn) ReadFrom(p []byte) (int, net.Addr, error) {
	n, from, err := c.PacketConn.ReadFrom(p)
	if err == nil {
		c.received.Add(uint64(n + datagramHeaderBytes))
	}
	return n, from, err
}

// WriteTo writes a datagram.
func (c *countingConn) WriteTo(p []byte, to net.Addr) (int, error) {
	n, err := c.PacketConn.WriteTo(p, to)
	if err == nil {
		c.sent.Add(uint64(n + datagramHeaderBytes))
	}
	return n, err
}

// SetReadBuffer sets the receive buffer of the socket in bytes.
func (c *countingConn) SetReadBuffer(bytes int) error {
	return c.socket.SetReadBuffer(bytes)
}

// SetWriteBuffer sets the send buffer of the socket in bytes.
func (c *countingConn) SetWriteBuffer(bytes int) error {
	return c.socket.SetWriteBuffer(bytes)
}
