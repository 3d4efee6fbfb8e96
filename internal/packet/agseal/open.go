package agseal

// The Opener has one entry for each pair of key id and sender instance, with the
// cipher and the replay window. An entry is stored only after a datagram of the
// sender has been authenticated, so that forged datagrams cannot evict entries.
// The number of entries is bounded. If it is reached, a new entry evicts the
// least recently used one.

import (
	"crypto/cipher"
	"encoding/binary"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
)

// maxSenders is the largest number of entries of an opener. The largest supported
// fleet has 4,720 processes, each with up to two keys during a rotation. An entry
// takes about 2 KB.
const maxSenders = 10240

type senderKey struct {
	key  anvilglade.KeyID
	from instance
}

// sender is the entry of one sender. The opener's mutex guards generation and
// window.
type sender struct {
	aead       cipher.AEAD
	secret     anvilglade.Secret
	generation uint64
	window     window
}

// Opener decrypts and checks the datagrams that a process receives.
type Opener struct {
	keys    anvilglade.KeyRing
	mu      sync.Mutex
	senders *simplelru.LRU[senderKey, *sender]
	drops   [4]atomic.Uint64
}

var dropReasons = [4]anvilglade.Drop{
	anvilglade.DropUnknownKey,
	anvilglade.DropReplay,
	anvilglade.DropMalformed,
	anvilglade.DropOversized,
}

// NewOpener returns an opener without senders.
func NewOpener(keys anvilglade.KeyRing) *Opener {
	return newOpener(keys, maxSenders)
}

func newOpener(keys anvilglade.KeyRing, limit int) *Opener {
	senders, err := simplelru.NewLRU[senderKey, *sender](limit, nil)
	if err != nil {
		panic(fmt.Sprintf("create sender table of size %d: %v", limit, err))
	}
	return &Opener{keys: keys, senders: senders}
}

// Open authenticates a datagram, appends its plaintext to dst and returns its
// kind. The datagram must not overlap the unused capacity of dst. If the returned
// Drop is not DropNone, the datagram has been counted and must be ignored.
func (o *Opener) Open(dst, datagram []byte) (agheader.Kind, []byte, anvilglade.Drop) {
	kind, plaintext, drop := o.open(dst, datagram)
	if drop != anvilglade.DropNone {
		o.count(drop)
		return 0, nil, drop
	}
	return kind, plaintext, anvilglade.DropNone
}

// Drops returns the number of dropped datagrams by reason.
func (o *Opener) Drops() map[anvilglade.Drop]uint64 {
	counts := make(map[anvilglade.Drop]uint64, len(dropReasons))
	for i, reason := range dropReasons {
		counts[reason] = o.drops[i].Load()
	}
	return counts
}

// Senders returns the number of sender entries.
func (o *Opener) Senders() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.senders.Len()
}

func (o *Opener) open(dst, datagram []byte) (agheader.Kind, []byte, anvilglade.Drop) {
	if len(datagram) > MaxDatagram {
		return 0, nil, anvilglade.DropOversized
	}
	if len(datagram) < Overhead || datagram[0] != version {
		return 0, nil, anvilglade.DropMalformed
	}
	kind := agheader.Kind(datagram[kindOffset])
	if !kind.Valid() {
		return 0, nil, anvilglade.DropMalformed
	}
	key := senderKey{key: anvilglade.KeyID(datagram[keyOffset]), from: instance(datagram[instanceOffset:counterOffset])}
	// Join keys exist before the first configuration is received, and are
	// accepted only for heartbeats.
	if kind.Heartbeat() != (key.key >= anvilglade.FirstJoinKey) {
		return 0, nil, anvilglade.DropUnknownKey
	}
	counter := binary.BigEndian.Uint64(datagram[counterOffset:clearSize])
	from, exists, drop := o.lookup(key, counter)
	if drop != anvilglade.DropNone {
		return 0, nil, drop
	}
	plaintext, err := from.aead.Open(dst, datagram[nonceOffset:clearSize], datagram[clearSize:], datagram[:clearSize])
	if err != nil {
		return 0, nil, anvilglade.DropMalformed
	}
	if !o.accept(key, from, exists, counter) {
		return 0, nil, anvilglade.DropReplay
	}
	return kind, plaintext, anvilglade.DropNone
}

// lookup returns the entry of a sender, or a new one that is not yet stored.
func (o *Opener) lookup(key senderKey, counter uint64) (*sender, bool, anvilglade.Drop) {
	generation := o.keys.Generation()
	o.mu.Lock()
	from, exists := o.senders.Get(key)
	if exists && from.generation == generation {
		replayed := from.window.isReplay(counter)
		o.mu.Unlock()
		if replayed {
			return nil, true, anvilglade.DropReplay
		}
		return from, true, anvilglade.DropNone
	}
	defer o.mu.Unlock()
	secret, accepted := o.keys.Datagram(key.key)
	if !accepted {
		o.senders.Remove(key)
		return nil, false, anvilglade.DropUnknownKey
	}
	if exists && from.secret == secret {
		from.generation = generation
		if from.window.isReplay(counter) {
			return nil, true, anvilglade.DropReplay
		}
		return from, true, anvilglade.DropNone
	}
	aead, err := newAEAD(secret, key.from)
	if err != nil {
		return nil, false, anvilglade.DropUnknownKey
	}
	return &sender{aead: aead, secret: secret, generation: generation}, false, anvilglade.DropNone
}

// accept marks the counter of an authenticated datagram as received and stores
// the entry of a new sender. It returns false if another task has already
// accepted the datagram.
func (o *Opener) accept(key senderKey, from *sender, exists bool, counter uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !exists {
		// Two tasks may open the first two datagrams of a sender at the same
		// time. Both must use the same window.
		if stored, ok := o.senders.Get(key); ok && stored.secret == from.secret {
			from = stored
		} else {
			o.senders.Add(key, from)
		}
	}
	return from.window.accept(counter)
}

func (o *Opener) count(drop anvilglade.Drop) {
	for i, reason := range dropReasons {
		if reason == drop {
			o.drops[i].Add(1)
			return
		}
	}
}
