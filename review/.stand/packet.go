package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Control bits of a packet, as on the protocol page.
const (
	flagBounced = 8
	flagSYN     = 16
	flagRST     = 32
	flagFIN     = 64
	flagACK     = 128
	headerSize  = 32
)

// packetKey is the key of the checksum. Only clients and hosts know it.
var packetKey = []byte("review")

type end struct {
	ip   [4]byte
	port uint16
}

type packet struct {
	sum, seq, ack uint32
	flags, pad    byte
	echo          uint32
	src, dst      end
	data          []byte
}

func checksum(raw []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write(packetKey)
	_, _ = h.Write(raw[4:12])
	_, _ = h.Write([]byte{raw[12] &^ flagBounced})
	_, _ = h.Write(raw[18:])
	return h.Sum32() | 1
}

// encode returns the packet with its checksum. Echo and pad are 0.
func (p *packet) encode() []byte {
	raw := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint32(raw[4:], p.seq)
	binary.BigEndian.PutUint32(raw[8:], p.ack)
	raw[12] = p.flags
	copy(raw[18:], p.src.ip[:])
	binary.BigEndian.PutUint16(raw[22:], p.src.port)
	copy(raw[24:], p.dst.ip[:])
	binary.BigEndian.PutUint16(raw[28:], p.dst.port)
	binary.BigEndian.PutUint16(raw[30:], uint16(len(p.data)))
	raw = append(raw, p.data...)
	binary.BigEndian.PutUint32(raw, checksum(raw))
	return raw
}

func decode(raw []byte) (packet, bool) {
	if len(raw) < headerSize || int(binary.BigEndian.Uint16(raw[30:])) != len(raw)-headerSize {
		return packet{}, false
	}
	p := packet{
		sum: binary.BigEndian.Uint32(raw), seq: binary.BigEndian.Uint32(raw[4:]), ack: binary.BigEndian.Uint32(raw[8:]),
		flags: raw[12], pad: raw[13], echo: binary.BigEndian.Uint32(raw[14:]), data: raw[headerSize:],
	}
	copy(p.src.ip[:], raw[18:])
	p.src.port = binary.BigEndian.Uint16(raw[22:])
	copy(p.dst.ip[:], raw[24:])
	p.dst.port = binary.BigEndian.Uint16(raw[28:])
	return p, true
}

// intact reports whether the packet is as its sender wrote it.
func intact(raw []byte) bool {
	return binary.BigEndian.Uint32(raw) == checksum(raw)
}

func ip4(text string) [4]byte {
	return netip.MustParseAddr(text).As4()
}
