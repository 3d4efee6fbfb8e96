// Package agconnid makes the QUIC connection ids that name the agent of a
// connection.
//
// An id has 17 bytes: the id of a connection-id key, and one AES-128 block over
// the agent's IPv4 address and port, 16 bits of its incarnation, 32 bits of the
// service number and a counter. A balancer that has the key finds the agent
// without any state of flows. The service tag also rejects ids that are not
// ours: a random block passes with a probability of 2^-32.
//
// # Usage
//
//	codec := agconnid.NewCodec(ring)
//	generator := agconnid.NewGenerator(codec, agconnid.Target{Agent: address, Incarnation: incarnation.Tag(), Service: number.Tag()})
//	transport := &quic.Transport{Conn: conn, ConnectionIDGenerator: generator}
//
//	id, long, ok := agconnid.ParseDestination(packet)
//	target, ok := codec.Decode(id)
package agconnid

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/anvilglade/anvilglade"
)

// Size is the length of a connection id in bytes.
const Size = 1 + aes.BlockSize

const (
	keySize    = 16
	keyContext = "anvilglade connection id v1"
	keyCount   = 256
)

// Errors of Encode.
var (
	ErrNoKey   = errors.New("no connection-id key is known")
	ErrAddress = errors.New("agent address is not IPv4")
)

// Target is what a connection id names.
type Target struct {
	Agent       netip.AddrPort
	Incarnation uint16 // anvilglade.Incarnation.Tag
	Service     uint32 // anvilglade.ServiceNumber.Tag
}

// ciphers are the block ciphers of one generation of the key ring.
type ciphers struct {
	generation uint64
	blocks     [keyCount]cipher.Block // nil if the key is not accepted
	current    anvilglade.KeyID
	canEncode  bool
}

// Codec encodes and decodes connection ids. It is safe for concurrent use.
type Codec struct {
	keys   anvilglade.KeyRing
	cached atomic.Pointer[ciphers]
}

// NewCodec returns a codec that follows the key ring.
func NewCodec(keys anvilglade.KeyRing) *Codec {
	return &Codec{keys: keys}
}

// blockPool holds buffers for decryption. A buffer on the stack would escape
// through the cipher.Block interface and cost an allocation per packet.
var blockPool = sync.Pool{New: func() any { return new([aes.BlockSize]byte) }}

// Encode returns the connection id for a target. The counter makes ids of one
// target differ. It returns ErrNoKey or ErrAddress.
func (c *Codec) Encode(target Target, counter uint32) ([]byte, error) {
	cached := c.current()
	if !cached.canEncode {
		return nil, ErrNoKey
	}
	address := target.Agent.Addr().Unmap()
	if !address.Is4() {
		return nil, fmt.Errorf("encode connection id for %s: %w", target.Agent, ErrAddress)
	}
	raw := address.As4()
	id := make([]byte, 0, Size)
	id = append(id, byte(cached.current))
	id = append(id, raw[:]...)
	id = binary.BigEndian.AppendUint16(id, target.Agent.Port())
	id = binary.BigEndian.AppendUint16(id, target.Incarnation)
	id = binary.BigEndian.AppendUint32(id, target.Service)
	id = binary.BigEndian.AppendUint32(id, counter)
	cached.blocks[cached.current].Encrypt(id[1:], id[1:])
	return id, nil
}

// Decode returns the target of a connection id. It returns false if the id has
// another length or its key is not accepted. The target of a foreign id is
// random, so the caller must compare the service tag.
func (c *Codec) Decode(id []byte) (Target, bool) {
	if len(id) != Size {
		return Target{}, false
	}
	block := c.current().blocks[id[0]]
	if block == nil {
		return Target{}, false
	}
	plain := blockPool.Get().(*[aes.BlockSize]byte)
	defer blockPool.Put(plain)
	block.Decrypt(plain[:], id[1:])
	return Target{
		Agent:       netip.AddrPortFrom(netip.AddrFrom4([4]byte(plain[:4])), binary.BigEndian.Uint16(plain[4:])),
		Incarnation: binary.BigEndian.Uint16(plain[6:]),
		Service:     binary.BigEndian.Uint32(plain[8:]),
	}, true
}

// current returns the ciphers and creates them anew after the key ring has
// changed.
func (c *Codec) current() *ciphers {
	generation := c.keys.Generation()
	if cached := c.cached.Load(); cached != nil && cached.generation == generation {
		return cached
	}
	fresh := &ciphers{generation: generation}
	for id := range keyCount {
		if secret, ok := c.keys.ConnectionID(anvilglade.KeyID(id)); ok {
			fresh.blocks[id] = newBlock(secret)
		}
	}
	if key, ok := c.keys.CurrentConnectionID(); ok && fresh.blocks[key.ID] != nil {
		fresh.current, fresh.canEncode = key.ID, true
	}
	c.cached.Store(fresh)
	return fresh
}

func newBlock(secret anvilglade.Secret) cipher.Block {
	key, err := hkdf.Key(sha256.New, secret[:], nil, keyContext, keySize)
	if err != nil {
		return nil
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil
	}
	return block
}
