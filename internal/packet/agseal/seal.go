// Package agseal encrypts and authenticates the datagrams between balancers and
// agents.
//
// A sealed datagram begins with an unencrypted header of 19 bytes: version, kind,
// key id, sender instance (8 random bytes generated at process start) and counter
// (8 bytes). The rest is AES-128-GCM ciphertext. The AES key is derived with
// HKDF-SHA256 from the datagram key and the sender instance. No two processes
// therefore seal with the same AES key, and the counter alone makes the nonce
// unique. The unencrypted header is authenticated too.
//
// The Opener has a replay window for each sender. Datagrams under unknown or
// retired keys, replays, malformed and oversized datagrams are dropped and
// counted. In the steady state neither side allocates memory per datagram.
// Sealer and Opener are safe for concurrent use.
//
// # Usage
//
//	sealer, err := agseal.NewSealer(ring)
//	if err != nil {
//		return err
//	}
//	datagram, err := sealer.Seal(buffer[:0], agheader.KindLookup, plaintext)
//
//	opener := agseal.NewOpener(ring)
//	kind, plaintext, drop := opener.Open(buffer[:0], datagram)
//	if drop != anvilglade.DropNone {
//		return // opener.Drops() holds the counts
//	}
package agseal

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
)

const (
	version      = 1
	instanceSize = 8

	kindOffset     = 1
	keyOffset      = 2
	instanceOffset = 3
	counterOffset  = instanceOffset + instanceSize
	clearSize      = counterOffset + 8
	// The nonce is the end of the unencrypted header: 4 bytes of the sender
	// instance, which are constant under one derived key, and the counter.
	nonceOffset = clearSize - 12

	tagSize    = 16
	keySize    = 16
	keyContext = "anvilglade datagram v1"
)

// Overhead is the number of bytes that sealing adds to the plaintext.
const Overhead = clearSize + tagSize

// MaxDatagram is the largest UDP payload over IPv4 in bytes.
const MaxDatagram = 65507

// Errors of Seal.
var (
	ErrNoKey     = errors.New("no datagram key is available")
	ErrOversized = errors.New("datagram is larger than UDP carries")
	ErrKind      = errors.New("datagram kind is unknown")
)

type instance [instanceSize]byte

// derivedKeys has the sealing keys of one generation of the key ring.
type derivedKeys struct {
	generation uint64
	data, join sealingKey
}

type sealingKey struct {
	id     anvilglade.KeyID
	secret anvilglade.Secret
	aead   cipher.AEAD // nil if there is no key
}

// Sealer seals the datagrams of one process.
type Sealer struct {
	keys     anvilglade.KeyRing
	instance instance
	counter  atomic.Uint64
	derived  atomic.Pointer[derivedKeys]
}

// NewSealer returns a sealer with a random sender instance. It returns an error
// if the system has no random source.
func NewSealer(keys anvilglade.KeyRing) (*Sealer, error) {
	s := &Sealer{keys: keys}
	if _, err := rand.Read(s.instance[:]); err != nil {
		return nil, fmt.Errorf("generate sender instance: %w", err)
	}
	return s, nil
}

// Seal appends the sealed datagram to dst. Heartbeat kinds are sealed with the
// join key, others with the current datagram key. The plaintext must not overlap
// the unused capacity of dst. Seal returns ErrNoKey, ErrOversized, ErrKind or an
// error of the key derivation.
func (s *Sealer) Seal(dst []byte, kind agheader.Kind, plaintext []byte) ([]byte, error) {
	if !kind.Valid() {
		return dst, ErrKind
	}
	if len(plaintext)+Overhead > MaxDatagram {
		return dst, ErrOversized
	}
	derived, err := s.current()
	if err != nil {
		return dst, err
	}
	key := &derived.data
	if kind.Heartbeat() {
		key = &derived.join
	}
	if key.aead == nil {
		return dst, ErrNoKey
	}
	start := len(dst)
	dst = append(dst, version, byte(kind), byte(key.id))
	dst = append(dst, s.instance[:]...)
	dst = binary.BigEndian.AppendUint64(dst, s.counter.Add(1))
	clearHeader := dst[start:]
	return key.aead.Seal(dst, clearHeader[nonceOffset:], plaintext, clearHeader), nil
}

// current returns the derived keys. It derives them again if the key ring has
// changed.
func (s *Sealer) current() (*derivedKeys, error) {
	generation := s.keys.Generation()
	if derived := s.derived.Load(); derived != nil && derived.generation == generation {
		return derived, nil
	}
	derived := &derivedKeys{generation: generation}
	var err error
	if derived.join, err = s.newSealingKey(s.keys.Join()); err != nil {
		return nil, err
	}
	if key, ok := s.keys.CurrentDatagram(); ok {
		if derived.data, err = s.newSealingKey(key); err != nil {
			return nil, err
		}
	}
	s.derived.Store(derived)
	return derived, nil
}

func (s *Sealer) newSealingKey(key anvilglade.Key) (sealingKey, error) {
	aead, err := newAEAD(key.Secret, s.instance)
	if err != nil {
		return sealingKey{}, err
	}
	return sealingKey{id: key.ID, secret: key.Secret, aead: aead}, nil
}

func newAEAD(secret anvilglade.Secret, from instance) (cipher.AEAD, error) {
	key, err := hkdf.Key(sha256.New, secret[:], from[:], keyContext, keySize)
	if err != nil {
		return nil, fmt.Errorf("derive datagram key: %w", err)
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, fmt.Errorf("create datagram cipher: %w", err)
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return nil, fmt.Errorf("create datagram cipher: %w", err)
	}
	return aead, nil
}
