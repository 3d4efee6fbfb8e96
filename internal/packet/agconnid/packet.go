package agconnid

// Parsing of the destination connection id in QUIC packets. A long header has the
// length of the id. A short header does not, and its id was issued by an agent,
// so it has Size bytes.

import "encoding/binary"

const (
	formLong       = 0x80
	typeMask       = 0x30
	typeHandshake  = 0x20
	version1       = 1
	versionAt      = 1
	longLengthAt   = 5
	longIDAt       = 6
	shortIDAt      = 1
	minLongIDBytes = 8
	maxLongIDBytes = 20
)

// ParseDestination returns the destination connection id of a QUIC packet and
// whether the header is long. The id shares memory with the packet. ok is false
// for packets that are too short, and for QUIC v1 packets with a long header
// whose id does not have the 8 to 20 bytes that RFC 9000, section 7.2 allows for
// it.
func ParseDestination(packet []byte) (id []byte, long, ok bool) {
	if len(packet) == 0 {
		return nil, false, false
	}
	if packet[0]&formLong == 0 {
		if len(packet) < shortIDAt+Size {
			return nil, false, false
		}
		return packet[shortIDAt : shortIDAt+Size], false, true
	}
	if len(packet) < longIDAt {
		return nil, true, false
	}
	end := longIDAt + int(packet[longLengthAt])
	if len(packet) < end {
		return nil, true, false
	}
	size := end - longIDAt
	if binary.BigEndian.Uint32(packet[versionAt:]) == version1 && (size < minLongIDBytes || size > maxLongIDBytes) {
		return nil, true, false
	}
	return packet[longIDAt:end], true, true
}

// ChosenByCaller reports whether the destination id of a packet may have been
// chosen by the caller. That is the case for packets with a long header, except
// QUIC v1 Handshake packets, which the caller sends after a packet of the agent.
func ChosenByCaller(packet []byte) bool {
	if len(packet) < longIDAt || packet[0]&formLong == 0 {
		return false
	}
	return binary.BigEndian.Uint32(packet[versionAt:]) != version1 || packet[0]&typeMask != typeHandshake
}
