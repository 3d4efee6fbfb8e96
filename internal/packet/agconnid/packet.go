package agconnid

// Parsing of the destination connection id in QUIC packets. A long header contains
// the length of the id. A short header does not; its id has Size bytes, because an
// agent issued it. The constants are bits, values and offsets of QUIC headers (RFC
// 9000, section 17).

import "encoding/binary"

const (
	formLong         = 0x80
	typeMask         = 0x30
	typeHandshake    = 0x20
	version1         = 1
	versionOffset    = 1
	longLengthOffset = 5
	longIDOffset     = 6
	shortIDOffset    = 1
	minLongIDBytes   = 8
	maxLongIDBytes   = 20
)

// ParseDestination returns the destination connection id of a QUIC packet and
// whether the header is long. The id shares memory with the packet. ok is false
// if the packet is too short, or if it has a long header of QUIC v1 and an id of
// other than 8 to 20 bytes (RFC 9000, section 7.2).
func ParseDestination(packet []byte) (id []byte, long, ok bool) {
	if len(packet) == 0 {
		return nil, false, false
	}
	if packet[0]&formLong == 0 {
		if len(packet) < shortIDOffset+Size {
			return nil, false, false
		}
		return packet[shortIDOffset : shortIDOffset+Size], false, true
	}
	if len(packet) < longIDOffset {
		return nil, true, false
	}
	end := longIDOffset + int(packet[longLengthOffset])
	if len(packet) < end {
		return nil, true, false
	}
	size := end - longIDOffset
	if binary.BigEndian.Uint32(packet[versionOffset:]) == version1 && (size < minLongIDBytes || size > maxLongIDBytes) {
		return nil, true, false
	}
	return packet[longIDOffset:end], true, true
}

// ChosenByCaller reports whether the destination id of a packet may have been
// chosen by the caller. That is the case for packets with a long header, except
// QUIC v1 Handshake packets, whose id comes from a packet of the agent.
func ChosenByCaller(packet []byte) bool {
	if len(packet) < longIDOffset || packet[0]&formLong == 0 {
		return false
	}
	return binary.BigEndian.Uint32(packet[versionOffset:]) != version1 || packet[0]&typeMask != typeHandshake
}
