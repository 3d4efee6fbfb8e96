package main

// The packets of the users' pages: a head of 32 bytes, big-endian, and data.

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"net"
)

const (
	headSize = 32
	flagSYN  = 16
	flagACK  = 128
	flagFIN  = 64
	flagRST  = 32
	flagBack = 8
)

// sumKey stands for the key that only clients and hosts know.
const sumKey = 0x5eed1e57

type end struct {
	ip   [4]byte
	port uint16
}

func (e end) String() string { return fmt.Sprintf("%s:%d", net.IP(e.ip[:]), e.port) }

type packet struct {
	sum, seq, ack uint32
	flags         byte
	src, dst      end
	data          []byte
}

// encode writes a packet with its sum. Echo and pad are 0.
func (p *packet) encode() []byte {
	raw := make([]byte, headSize, headSize+len(p.data))
	binary.BigEndian.PutUint32(raw[4:], p.seq)
	binary.BigEndian.PutUint32(raw[8:], p.ack)
	raw[12] = p.flags
	copy(raw[18:], p.src.ip[:])
	binary.BigEndian.PutUint16(raw[22:], p.src.port)
	copy(raw[24:], p.dst.ip[:])
	binary.BigEndian.PutUint16(raw[28:], p.dst.port)
	binary.BigEndian.PutUint16(raw[30:], uint16(len(p.data)))
	raw = append(raw, p.data...)
	binary.BigEndian.PutUint32(raw, sumOf(raw))
	return raw
}

// sumOf is a keyed sum over all fields but echo, pad and BOUNCED.
func sumOf(raw []byte) uint32 {
	covered := append([]byte{0x5e, 0xed, 0x1e, 0x57}, raw[4:]...)
	covered[12] &^= flagBack
	for i := 13; i < 18; i++ {
		covered[i] = 0
	}
	return crc32.ChecksumIEEE(covered) ^ sumKey | 1
}

func decode(raw []byte) (*packet, bool) {
	if len(raw) < headSize || int(binary.BigEndian.Uint16(raw[30:])) != len(raw)-headSize {
		return nil, false
	}
	p := &packet{
		sum: binary.BigEndian.Uint32(raw), seq: binary.BigEndian.Uint32(raw[4:]), ack: binary.BigEndian.Uint32(raw[8:]), flags: raw[12],
		src: end{port: binary.BigEndian.Uint16(raw[22:])}, dst: end{port: binary.BigEndian.Uint16(raw[28:])},
		data: append([]byte(nil), raw[headSize:]...),
	}
	copy(p.src.ip[:], raw[18:22])
	copy(p.dst.ip[:], raw[24:28])
	return p, true
}

// genuine reports whether the sum is that of a client or host.
func genuine(raw []byte) bool { return binary.BigEndian.Uint32(raw) == sumOf(raw) }
