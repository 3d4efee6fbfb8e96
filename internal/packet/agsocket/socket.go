// Package agsocket reads and writes UDP datagrams in batches.
//
// A Socket is an IPv4 UDP socket. A Reader receives a batch of datagrams into a
// fixed set of buffers with one system call. A Writer collects datagrams and
// sends them with one system call. Buffers are reused. A Reader or Writer must be
// used by one task only; a Socket may have several of them.
//
// # Usage
//
//	socket, closeSocket, err := agsocket.Listen(ctx, address)
//	if err != nil {
//		return err
//	}
//	defer closeSocket()
//	reader, writer := socket.NewReader(agsocket.BatchSize, 2048), socket.NewWriter(agsocket.BatchSize)
//	for {
//		packets, err := reader.Read()
//		if err != nil {
//			return err
//		}
//		for i := range packets {
//			buffer := append(writer.Buffer(), packets[i].Data...)
//			writer.Add(buffer, packets[i].From)
//		}
//		writer.Flush()
//	}
package agsocket

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/ipv4"
)

// BatchSize is the default number of datagrams per system call.
const BatchSize = 32

// bufferBytes is the requested size of the kernel's socket buffers. It is
// sufficient for 20 ms of a full 1 Gbit/s link. The kernel may grant less.
const bufferBytes = 4 << 20

// Socket is an IPv4 UDP socket.
type Socket struct {
	conn  *net.UDPConn
	batch *ipv4.PacketConn
	local netip.AddrPort
	// sent and received count the datagrams of all readers and writers.
	sent, received counter
}

// Listen opens a socket on an IPv4 address. The returned function closes it;
// blocked reads then return net.ErrClosed.
func Listen(ctx context.Context, address netip.AddrPort) (*Socket, func(), error) {
	var config net.ListenConfig
	packetConn, err := config.ListenPacket(ctx, "udp4", address.String())
	if err != nil {
		return nil, nil, fmt.Errorf("listen on UDP address %s: %w", address, err)
	}
	conn, ok := packetConn.(*net.UDPConn)
	if !ok {
		_ = packetConn.Close()
		return nil, nil, fmt.Errorf("listen on UDP address %s: unexpected connection type %T", address, packetConn)
	}
	// Errors are ignored: with smaller buffers the kernel only drops datagrams
	// earlier.
	_ = conn.SetReadBuffer(bufferBytes)
	_ = conn.SetWriteBuffer(bufferBytes)
	local := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	s := &Socket{conn: conn, batch: ipv4.NewPacketConn(conn), local: netip.AddrPortFrom(local.Addr().Unmap(), local.Port())}
	return s, func() { _ = conn.Close() }, nil
}

// Local returns the address on which the socket listens.
func (s *Socket) Local() netip.AddrPort {
	return s.local
}

// Interrupt makes blocked and later reads return os.ErrDeadlineExceeded. Writes are
// not affected.
func (s *Socket) Interrupt() {
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
}

// WriteTo sends one datagram without a batch. It is safe for concurrent use.
func (s *Socket) WriteTo(data []byte, to netip.AddrPort) error {
	if _, err := s.conn.WriteToUDPAddrPort(data, to); err != nil {
		return fmt.Errorf("send datagram to %s: %w", to, err)
	}
	s.sent.add(1, len(data))
	return nil
}

// Packet is a datagram that was read. Data is valid until the next Read of the
// same Reader.
type Packet struct {
	Data []byte
	From netip.AddrPort
	// Truncated is set if the datagram was larger than the buffer.
	Truncated bool
}

// Reader reads batches of datagrams from a socket.
type Reader struct {
	socket   *Socket
	messages []ipv4.Message
	packets  []Packet
	limit    int
}

// NewReader returns a reader for batches of up to count datagrams of up to size
// bytes each.
func (s *Socket) NewReader(count, size int) *Reader {
	r := &Reader{socket: s, messages: make([]ipv4.Message, count), packets: make([]Packet, count), limit: size}
	for i := range r.messages {
		// One byte above the limit serves to distinguish a datagram of
		// exactly that size from a longer one.
		r.messages[i].Buffers = [][]byte{make([]byte, size+1)}
	}
	return r
}

// Read waits for at least one datagram and returns the datagrams that have
// arrived. The returned slice is valid until the next Read.
func (r *Reader) Read() ([]Packet, error) {
	n, err := r.socket.batch.ReadBatch(r.messages, 0)
	if err != nil {
		return nil, fmt.Errorf("read from %s: %w", r.socket.local, err)
	}
	bytes := 0
	for i := range n {
		message := &r.messages[i]
		bytes += message.N
		from := message.Addr.(*net.UDPAddr).AddrPort()
		r.packets[i] = Packet{
			Data:      message.Buffers[0][:min(message.N, r.limit)],
			From:      netip.AddrPortFrom(from.Addr().Unmap(), from.Port()),
			Truncated: message.N > r.limit,
		}
	}
	r.socket.received.add(n, bytes)
	return r.packets[:n], nil
}

// Writer sends datagrams in batches to a socket.
type Writer struct {
	socket   *Socket
	messages []ipv4.Message
	slots    []writeSlot
	used     int
	errors   uint64
}

type writeSlot struct {
	buffer  []byte
	buffers [1][]byte
	ip      [4]byte
	address net.UDPAddr
}

// NewWriter returns a writer for batches of up to count datagrams.
func (s *Socket) NewWriter(count int) *Writer {
	w := &Writer{socket: s, messages: make([]ipv4.Message, count), slots: make([]writeSlot, count)}
	for i := range w.slots {
		slot := &w.slots[i]
		slot.address.IP = slot.ip[:]
		w.messages[i].Buffers = slot.buffers[:]
		w.messages[i].Addr = &slot.address
	}
	return w
}

// Buffer returns an empty buffer for the next datagram. The writer reuses the
// buffer that is passed to Add, which may be a larger one.
func (w *Writer) Buffer() []byte {
	return w.slots[w.used].buffer[:0]
}

// Add adds a datagram that was appended to Buffer, and sends the batch when it is
// full. A datagram to an address that is not IPv4 is counted as an error and not
// sent.
func (w *Writer) Add(data []byte, to netip.AddrPort) {
	slot := &w.slots[w.used]
	slot.buffer = data
	ip := to.Addr().Unmap()
	if !ip.Is4() {
		w.errors++
		return
	}
	slot.buffers[0] = data
	slot.ip = ip.As4()
	slot.address.Port = int(to.Port())
	w.used++
	if w.used == len(w.slots) {
		w.Flush()
	}
}

// Flush sends the collected datagrams. A datagram that the kernel refuses is
// counted as an error and skipped, so that an invalid destination does not stop
// the others.
func (w *Writer) Flush() {
	for sent := 0; sent < w.used; {
		n, err := w.socket.batch.WriteBatch(w.messages[sent:w.used], 0)
		w.countSent(sent, sent+n)
		sent += max(n, 0)
		if err == nil {
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			w.errors += uint64(w.used - sent)
			break
		}
		w.errors++
		sent++
	}
	w.used = 0
}

// countSent counts the datagrams of a range of the batch. WriteBatch returns -1 on an error;
// end is below first then.
func (w *Writer) countSent(first, end int) {
	bytes := 0
	for i := first; i < end; i++ {
		bytes += len(w.slots[i].buffers[0])
	}
	w.socket.sent.add(max(end-first, 0), bytes)
}

// Errors returns the number of datagrams that could not be sent.
func (w *Writer) Errors() uint64 {
	return w.errors
}
