package anvilglade

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// IPv4 is an address in network byte order. The zero value means no address.
type IPv4 [4]byte

// ParseIPv4 parses an address such as "10.1.0.7".
func ParseIPv4(text string) (IPv4, error) {
	addr, err := netip.ParseAddr(text)
	if err != nil {
		return IPv4{}, fmt.Errorf("parse IPv4 address: %w", err)
	}
	if !addr.Is4() {
		return IPv4{}, fmt.Errorf("%s is not an IPv4 address", addr)
	}
	return addr.As4(), nil
}

// Addr returns the address in the form of net/netip.
func (ip IPv4) Addr() netip.Addr {
	return netip.AddrFrom4(ip)
}

// String returns the address in dotted-decimal notation.
func (ip IPv4) String() string {
	return ip.Addr().String()
}

// MarshalText returns the address in dotted-decimal notation. Logs use it.
func (ip IPv4) MarshalText() ([]byte, error) {
	return []byte(ip.String()), nil
}

// UnmarshalText parses an address in dotted-decimal notation.
func (ip *IPv4) UnmarshalText(text []byte) error {
	parsed, err := ParseIPv4(string(text))
	if err != nil {
		return err
	}
	*ip = parsed
	return nil
}

// Endpoint is an IPv4 address and port. It is small and cheap to compare, because
// each packet of a flow carries two.
type Endpoint struct {
	IP   IPv4
	Port uint16
}

// AddrPort returns the endpoint in the form of net/netip.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(e.IP.Addr(), e.Port)
}

// String returns "IP:PORT".
func (e Endpoint) String() string {
	return e.AddrPort().String()
}

// Flow identifies a packet flow by its two ends: the caller's and the service
// address to which the caller sends.
type Flow struct {
	Caller  Endpoint
	Service Endpoint
}

// String returns "CALLER>SERVICE", which identifies the flow in logs.
func (f Flow) String() string {
	return f.Caller.String() + ">" + f.Service.String()
}

// Hash returns a hash of both ends that is the same in every process.
func (f Flow) Hash() uint64 {
	var buf [12]byte
	copy(buf[0:4], f.Caller.IP[:])
	binary.BigEndian.PutUint16(buf[4:6], f.Caller.Port)
	copy(buf[6:10], f.Service.IP[:])
	binary.BigEndian.PutUint16(buf[10:12], f.Service.Port)
	return xxhash.Sum64(buf[:])
}

// PacketFlags are the control bits of a packet.
type PacketFlags uint8

// Control bits of a packet. FlagReturned marks a packet that a backend server
// returns because it has no such flow or cannot accept it.
const (
	FlagSYN PacketFlags = 1 << iota
	FlagACK
	FlagFIN
	FlagRST
	FlagReturned
)

// Has reports whether all the given bits are set.
func (f PacketFlags) Has(bits PacketFlags) bool {
	return f&bits == bits
}

// Packet is the decoded header of a packet that belongs to a flow.
type Packet struct {
	Source      Endpoint
	Destination Endpoint
	Flags       PacketFlags
	// Sequence is the sequence number of the first byte of the data, Acknowledged
	// that of the next byte that the sender expects.
	Sequence     uint32
	Acknowledged uint32
	// Tag is set by an agent before it delivers the packet to its backend server.
	// A returned packet carries it unchanged.
	Tag        uint32
	DataLength int
}

// Opens reports whether the packet is the first packet of a flow that a caller
// sends, or a retransmission of it.
func (p *Packet) Opens() bool {
	return p.Flags&(FlagSYN|FlagACK|FlagRST) == FlagSYN
}

// FromCaller returns the flow of a packet that a caller sent.
func (p *Packet) FromCaller() Flow {
	return Flow{Caller: p.Source, Service: p.Destination}
}

// FromHost returns the flow of a packet that a backend server sent.
func (p *Packet) FromHost() Flow {
	return Flow{Caller: p.Destination, Service: p.Source}
}

// PacketCodec decodes and modifies the headers of packets. It never changes bytes
// that are covered by the sender's checksum.
type PacketCodec interface {
	// Parse decodes a header. It returns an error that names the malformed part.
	Parse(data []byte, packet *Packet) error
	// SetTag sets the Tag of a caller's packet before delivery to a backend
	// server.
	SetTag(data []byte, tag uint32)
	// ClearMarks reverts the changes that SetTag and a backend server that returns
	// the packet have made to the header.
	ClearMarks(data []byte)
	// AppendReset appends a packet that resets the flow at its caller. The
	// parameter acknowledged is the newest acknowledgement that the caller sent,
	// 0 if there is none.
	AppendReset(dst []byte, flow Flow, acknowledged uint32) []byte
}
