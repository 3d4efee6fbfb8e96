// Package agheader encodes the header of the datagrams between balancers and
// agents.
//
// The header precedes the payload inside the encrypted part of a datagram.
// Package agseal encrypts both and adds the unencrypted header. Integers are
// big-endian. An address is one byte for its family (0, 4 or 6), followed by the
// IP address and the port unless the family is 0. Encoding and decoding allocate
// nothing once the buffers are large enough.
//
// # Usage
//
//	plaintext, err := agheader.Append(buffer[:0], &header)
//	if err != nil {
//		return err
//	}
//	plaintext = append(plaintext, payload...)
//
//	payload, err := agheader.Parse(plaintext, &header) // reuses header.Candidates
package agheader

import (
	"errors"
	"net/netip"

	"golang.org/x/crypto/cryptobyte"

	"github.com/anvilglade/anvilglade"
)

// Kind is the purpose of a datagram.
type Kind uint8

// Kinds of datagrams. Lookup carries a packet to the possible owners of its flow,
// Place requests that a host accepts a flow, Placed and Refused answer a Place,
// Reply carries a response back to a balancer, and Utilisation reports load to an
// arbiter. Heartbeat and HeartbeatAck are sealed with a join key.
const (
	KindLookup Kind = iota + 1
	KindPlace
	KindPlaced
	KindRefused
	KindReply
	KindUtilisation
	KindHeartbeat
	KindHeartbeatAck
)

var kindNames = [...]string{
	KindLookup:       "Lookup",
	KindPlace:        "Place",
	KindPlaced:       "Placed",
	KindRefused:      "Refused",
	KindReply:        "Reply",
	KindUtilisation:  "Utilisation",
	KindHeartbeat:    "Heartbeat",
	KindHeartbeatAck: "HeartbeatAck",
}

// Valid reports whether the kind is one of the constants.
func (k Kind) Valid() bool {
	return k >= KindLookup && k <= KindHeartbeatAck
}

// Heartbeat reports whether datagrams of the kind are sealed with a join key.
func (k Kind) Heartbeat() bool {
	return k == KindHeartbeat || k == KindHeartbeatAck
}

// String returns the name of the kind, or "Unknown" if it is not valid.
func (k Kind) String() string {
	if !k.Valid() {
		return "Unknown"
	}
	return kindNames[k]
}

// maxListLength is the largest length of a candidate list: the candidates and the
// arbiter.
const maxListLength = anvilglade.MaxCandidates + 1

// Errors of Append and Parse. They are fixed values without details, so that a
// flood of malformed datagrams causes no allocations.
var (
	ErrTruncated  = errors.New("header is truncated")
	ErrAddress    = errors.New("header has an unknown address family")
	ErrProtocol   = errors.New("header has an unknown protocol")
	ErrFlags      = errors.New("header has unknown flags")
	ErrCandidates = errors.New("header has too many candidates")
)

// Header is the encrypted header of a datagram. Fields that a kind does not use
// are zero.
type Header struct {
	Revision anvilglade.Revision
	Service  anvilglade.ServiceNumber
	Protocol anvilglade.Protocol
	Flow     anvilglade.FlowKey
	Caller   netip.AddrPort
	// ServiceAddress is the address on which the caller reached the service.
	ServiceAddress netip.AddrPort
	// Balancer is the address to which Reply datagrams are sent.
	Balancer netip.AddrPort
	// Sender is the agent that sends Place, Placed, Refused and Utilisation.
	Sender netip.AddrPort
	// Direct is set if the packet's connection id identifies the receiving host.
	// The agent then makes no lookup.
	Direct      bool
	Utilisation anvilglade.Utilisation
	// Step is the index of the receiver in Candidates. In a Place and its answers
	// it is the number of the placement attempt.
	Step uint8
	// Hops is the number of times that the datagram has been forwarded.
	Hops uint8
	// Candidates are the possible holders of the flow; the last one is the
	// arbiter.
	Candidates []anvilglade.Candidate
}

const (
	protocolNone = 0
	protocolUDP  = 1
	protocolQUIC = 2

	familyNone = 0
	familyIPv4 = 4
	familyIPv6 = 6
	familyMask = 0x07

	flagDirect  = 0x01
	flagAccepts = 0x80
)

// Append appends the encoded header to dst. It returns ErrCandidates or
// ErrProtocol.
func Append(dst []byte, header *Header) ([]byte, error) {
	if len(header.Candidates) > maxListLength {
		return dst, ErrCandidates
	}
	protocol, err := encodeProtocol(header.Protocol)
	if err != nil {
		return dst, err
	}
	builder := cryptobyte.NewBuilder(dst)
	builder.AddUint64(uint64(header.Revision))
	builder.AddUint64(uint64(header.Service))
	builder.AddUint8(protocol)
	builder.AddUint64(uint64(header.Flow))
	addAddress(builder, header.Caller, 0)
	addAddress(builder, header.ServiceAddress, 0)
	addAddress(builder, header.Balancer, 0)
	addAddress(builder, header.Sender, 0)
	var flags uint8
	if header.Direct {
		flags |= flagDirect
	}
	builder.AddUint8(flags)
	builder.AddUint16(uint16(header.Utilisation))
	builder.AddUint8(header.Step)
	builder.AddUint8(header.Hops)
	builder.AddUint8(uint8(len(header.Candidates)))
	for i := range header.Candidates {
		var accepts uint8
		if header.Candidates[i].Accepts {
			accepts = flagAccepts
		}
		addAddress(builder, header.Candidates[i].Address, accepts)
	}
	return builder.Bytes()
}

// Parse decodes a header and returns the payload that follows it, which shares
// memory with data. It reuses header.Candidates. On an error, the fields of the
// header have undefined values.
func Parse(data []byte, header *Header) ([]byte, error) {
	input := cryptobyte.String(data)
	var protocol, flags, count uint8
	if !input.ReadUint64((*uint64)(&header.Revision)) ||
		!input.ReadUint64((*uint64)(&header.Service)) ||
		!input.ReadUint8(&protocol) ||
		!input.ReadUint64((*uint64)(&header.Flow)) {
		return nil, ErrTruncated
	}
	var err error
	if header.Protocol, err = decodeProtocol(protocol); err != nil {
		return nil, err
	}
	for _, target := range [...]*netip.AddrPort{&header.Caller, &header.ServiceAddress, &header.Balancer, &header.Sender} {
		if _, err := readAddress(&input, target, 0); err != nil {
			return nil, err
		}
	}
	if !input.ReadUint8(&flags) ||
		!input.ReadUint16((*uint16)(&header.Utilisation)) ||
		!input.ReadUint8(&header.Step) ||
		!input.ReadUint8(&header.Hops) ||
		!input.ReadUint8(&count) {
		return nil, ErrTruncated
	}
	if flags&^flagDirect != 0 {
		return nil, ErrFlags
	}
	header.Direct = flags&flagDirect != 0
	if err := parseCandidates(&input, header, int(count)); err != nil {
		return nil, err
	}
	return input, nil
}

func parseCandidates(input *cryptobyte.String, header *Header, count int) error {
	header.Candidates = header.Candidates[:0]
	if count > maxListLength {
		return ErrCandidates
	}
	for range count {
		var candidate anvilglade.Candidate
		flags, err := readAddress(input, &candidate.Address, flagAccepts)
		if err != nil {
			return err
		}
		candidate.Accepts = flags != 0
		header.Candidates = append(header.Candidates, candidate)
	}
	return nil
}

func encodeProtocol(protocol anvilglade.Protocol) (uint8, error) {
	switch protocol {
	case "":
		return protocolNone, nil
	case anvilglade.ProtocolUDP:
		return protocolUDP, nil
	case anvilglade.ProtocolQUIC:
		return protocolQUIC, nil
	default:
		return 0, ErrProtocol
	}
}

func decodeProtocol(b uint8) (anvilglade.Protocol, error) {
	switch b {
	case protocolNone:
		return "", nil
	case protocolUDP:
		return anvilglade.ProtocolUDP, nil
	case protocolQUIC:
		return anvilglade.ProtocolQUIC, nil
	default:
		return "", ErrProtocol
	}
}

func addAddress(builder *cryptobyte.Builder, address netip.AddrPort, flags uint8) {
	ip := address.Addr().Unmap()
	switch {
	case !ip.IsValid():
		builder.AddUint8(familyNone | flags)
		return
	case ip.Is4():
		raw := ip.As4()
		builder.AddUint8(familyIPv4 | flags)
		builder.AddBytes(raw[:])
	default:
		raw := ip.As16()
		builder.AddUint8(familyIPv6 | flags)
		builder.AddBytes(raw[:])
	}
	builder.AddUint16(address.Port())
}

// readAddress reads an address and returns the flags in its family byte, of
// which only those in allowed may be set.
func readAddress(input *cryptobyte.String, target *netip.AddrPort, allowed uint8) (uint8, error) {
	var first uint8
	var raw [16]byte
	var port uint16
	if !input.ReadUint8(&first) {
		return 0, ErrTruncated
	}
	flags := first &^ familyMask
	if flags&^allowed != 0 {
		return 0, ErrFlags
	}
	var ip netip.Addr
	switch first & familyMask {
	case familyNone:
		*target = netip.AddrPort{}
		return flags, nil
	case familyIPv4:
		if !input.CopyBytes(raw[:4]) {
			return 0, ErrTruncated
		}
		ip = netip.AddrFrom4([4]byte(raw[:4]))
	case familyIPv6:
		if !input.CopyBytes(raw[:]) {
			return 0, ErrTruncated
		}
		ip = netip.AddrFrom16(raw).Unmap()
	default:
		return 0, ErrAddress
	}
	if !input.ReadUint16(&port) {
		return 0, ErrTruncated
	}
	*target = netip.AddrPortFrom(ip, port)
	return flags, nil
}
