package agseal

// The Opener keeps one entry for each (key id, sender instance): the cipher and
// the replay window. An entry is created only after a datagram of the sender
// was authenticated, so forged datagrams cannot displace entries. The number
// of entries is bounded; the least recently used one makes room.

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

// maxSenders bounds the entries of an opener. The design size has 4,720
// processes, each with up to two keys during a rotation. An entry takes about
// 2 KB.
const maxSenders = 10240

type senderKey struct {
	key  anvilglade.KeyID
	from instance
}

// sender is the state of one sender. The opener's mutex guards the window.
type sender struct {
	aead       cipher.AEAD
	secret     anvilglade.Secret
	generation uint64
	window     window
}

// Opener opens the datagrams that a process receives.
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

// NewOpener returns an opener without known senders.
func NewOpener(keys anvilglade.KeyRing) *Opener {
	return newOpener(keys, maxSenders)
}

func newOpener(keys anvilglade.KeyRing, bound int) *Opener {
	senders, err := simplelru.NewLRU[senderKey, *sender](bound, nil)
	if err != nil {
		panic(fmt.Sprintf("create sender table of size %d: %v", bound, err))
	}
	return &Opener{keys: keys, senders: senders}
}

// Open checks a datagram and appends its plaintext to dst. The datagram must
// not overlap the free part of dst. If drop is not DropNone, the datagram must
// be ignored and has been counted.
func (o *Opener) Open(dst, datagram []byte) (agheader.Kind, []byte, anvilglade.Drop) {
	kind, plaintext, drop := o.open(dst, datagram)
	if drop != anvilglade.DropNone {
		o.count(drop)
		return 0, nil, drop
	}
	return kind, plaintext, anvilglade.DropNone
}

// Drops returns the number of dropped datagrams of each reason.
func (o *Opener) Drops() map[anvilglade.Drop]uint64 {
	counts := make(map[anvilglade.Drop]uint64, len(dropReasons))
	for i, reason := range dropReasons {
		counts[reason] = o.drops[i].Load()
	}
	return counts
}

// Senders returns the number of senders that are known.
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
	kind := agheader.Kind(datagram[kindAt])
	if !kind.Valid() {
		return 0, nil, anvilglade.DropMalformed
	}
	key := senderKey{key: anvilglade.KeyID(datagram[keyAt]), from: instance(datagram[instanceAt:counterAt])}
	// Join keys exist before the configuration is known and are accepted for
	// heartbeats only.
	if kind.Heartbeat() != (key.key >= anvilglade.FirstJoinKey) {
		return 0, nil, anvilglade.DropUnknownKey
	}
	counter := binary.BigEndian.Uint64(datagram[counterAt:clearSize])
	from, known, drop := o.find(key, counter)
	if drop != anvilglade.DropNone {
		return 0, nil, drop
	}
	plaintext, err := from.aead.Open(dst, datagram[nonceAt:clearSize], datagram[clearSize:], datagram[:clearSize])
	if err != nil {
		return 0, nil, anvilglade.DropMalformed
	}
	if !o.accept(key, from, known, counter) {
		return 0, nil, anvilglade.DropReplay
	}
	return kind, plaintext, anvilglade.DropNone
}

// find returns the entry of a sender, or a new one that is not yet stored.
func (o *Opener) find(key senderKey, counter uint64) (*sender, bool, anvilglade.Drop) {
	generation := o.keys.Generation()
	o.mu.Lock()
	from, known := o.senders.Get(key)
	if known && from.generation == generation {
		replayed := from.window.seen(counter)
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
	if known && from.secret == secret {
		from.generation = generation
		if from.window.seen(counter) {
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

// accept marks the counter of an authenticated datagram as seen and stores a
// new sender. It returns false if another task has accepted the datagram.
func (o *Opener) accept(key senderKey, from *sender, known bool, counter uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !known {
		// Two first datagrams of a sender may be opened at once; both must
		// use the same window.
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
