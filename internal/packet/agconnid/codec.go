// Package agconnid encodes and decodes QUIC connection ids that contain the
// address of the agent of the connection.
//
// A connection id has 17 bytes: the id of a connection-id key, and one block
// encrypted with AES-128. The block has the agent's IPv4 address and port, 16
// bits of its incarnation, 32 bits of the service number (the service tag) and a
// counter. A balancer that has the key can determine the agent from the id alone,
// without state for each flow. The service tag also serves to reject ids that no agent
// has issued: a random block passes with a probability of 2^-32.
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

// Size is the length of the agents' connection ids in bytes.
const Size = 1 + aes.BlockSize

const (
	keySize    = 16
	keyContext = "anvilglade connection id v1"
	keyCount   = 256
)

// Errors of Encode.
var (
	ErrNoKey   = errors.New("no connection-id key is available")
	ErrAddress = errors.New("agent address is not IPv4")
)

// Target is the content of a connection id besides its counter.
type Target struct {
	Agent       netip.AddrPort
	Incarnation uint16 // anvilglade.Incarnation.Tag
	Service     uint32 // anvilglade.ServiceNumber.Tag
}

// ciphers has the block ciphers of one generation of the key ring.
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

// NewCodec returns a codec that uses the current keys of the key ring.
func NewCodec(keys anvilglade.KeyRing) *Codec {
	return &Codec{keys: keys}
}

// blockPool has buffers for decryption. A local buffer would escape to the heap
// through the cipher.Block interface and cause an allocation per packet.
var blockPool = sync.Pool{New: func() any { return new([aes.BlockSize]byte) }}

// Encode returns the connection id for a target and a counter, which makes the
// ids of one target differ. It returns ErrNoKey or ErrAddress.
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
// another length or its key is not accepted. For an id that no agent has issued
// the target is random, so the service tag must be compared with that of the
// expected service.
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

// current returns the ciphers. It creates them again if the key ring has changed.
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
