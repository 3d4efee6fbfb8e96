// Package agreplica keeps the newest version of each replicated record and
// distributes changes between balancers.
//
// Records come from three sources: this process itself, the object API (through
// a Watcher) and other balancers (through a Mesh). A record is adopted only if
// its version is higher than that of the stored one, whatever its source, so an
// outdated answer has no effect. Changes are flooded to the connected peers at
// once. Digests, which are sent every second, detect and repair differences that
// a lost connection or a full queue has left.
//
// # Usage
//
//	replica := agreplica.NewReplica()
//	mesh, closeMesh, err := agreplica.NewMesh(replica, agreplica.MeshOptions{...})
//	if err != nil {
//		return err
//	}
//	defer closeMesh()
//	if err := group.Start("mesh", mesh.Run); err != nil {
//		return err
//	}
//	watcher := agreplica.NewWatcher(replica, store, agreplica.WatcherOptions{...})
//	if err := group.Start("watch", watcher.Task(object)); err != nil {
//		return err
//	}
package agreplica

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilglade/anvilglade"
)

// shardCount is the number of shards into which the digest divides the records.
// With 4,200 hosts a shard has about 66 names, which take 2 KB on the wire.
const shardCount = 64

// recordKey identifies a record.
type recordKey struct {
	Kind anvilglade.RecordKind
	Name string
}

// shardHashes is the digest of all records, one hash per shard.
type shardHashes [shardCount]uint64

// Replica implements anvilglade.Replica in memory. It is safe for concurrent
// use.
type Replica struct {
	mu          sync.Mutex
	records     map[recordKey]anvilglade.Record
	hashes      shardHashes
	subscribers map[anvilglade.RecordKind]map[chan struct{}]struct{}
	onChange    func(anvilglade.Record, string)
}

var _ anvilglade.Replica = (*Replica)(nil)

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{
		records:     make(map[recordKey]anvilglade.Record),
		subscribers: make(map[anvilglade.RecordKind]map[chan struct{}]struct{}),
		onChange:    func(anvilglade.Record, string) {},
	}
}

// Put adopts a record of this process or of the object API if its version is
// higher than that of the stored one, and reports whether it did.
func (r *Replica) Put(record anvilglade.Record) bool {
	return r.put(record, "")
}

// put is Put for a record that was received from fromPeer, which is empty for a
// record of this process. It is passed to the callback, so that the record is
// not sent back to that peer.
func (r *Replica) put(record anvilglade.Record, fromPeer string) bool {
	key := recordKey{Kind: record.Kind, Name: record.Name}
	r.mu.Lock()
	stored, exists := r.records[key]
	if exists && stored.Version >= record.Version {
		r.mu.Unlock()
		return false
	}
	shard := key.shard()
	if exists {
		r.hashes[shard] ^= key.hash(stored.Version)
	}
	r.hashes[shard] ^= key.hash(record.Version)
	r.records[key] = record
	notify(r.subscribers[record.Kind])
	callback := r.onChange
	r.mu.Unlock()
	callback(record, fromPeer)
	return true
}

// Get returns the stored record, which has the newest version received. It
// returns false if there is none.
func (r *Replica) Get(kind anvilglade.RecordKind, name string) (anvilglade.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, ok := r.records[recordKey{Kind: kind, Name: name}]
	return record, ok
}

// List returns the stored records of a kind, sorted by name.
func (r *Replica) List(kind anvilglade.RecordKind) []anvilglade.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []anvilglade.Record
	for key, record := range r.records {
		if key.Kind == kind {
			found = append(found, record)
		}
	}
	slices.SortFunc(found, func(a, b anvilglade.Record) int { return cmp.Compare(a.Name, b.Name) })
	return found
}

// Remove removes a record if it still has the given version, and reports whether
// it did. A peer that still has the record sends it again, so only records that
// every balancer removes by the same rule may be removed.
func (r *Replica) Remove(kind anvilglade.RecordKind, name string, version anvilglade.Version) bool {
	key := recordKey{Kind: kind, Name: name}
	r.mu.Lock()
	defer r.mu.Unlock()
	stored, exists := r.records[key]
	if !exists || stored.Version != version {
		return false
	}
	r.hashes[key.shard()] ^= key.hash(stored.Version)
	delete(r.records, key)
	notify(r.subscribers[kind])
	return true
}

// Subscribe returns a channel that receives a signal after records of the kind
// have changed, and a function that ends the subscription. Signals are merged
// while the channel holds one.
func (r *Replica) Subscribe(kind anvilglade.RecordKind) (<-chan struct{}, func()) {
	signal := make(chan struct{}, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.subscribers[kind] == nil {
		r.subscribers[kind] = make(map[chan struct{}]struct{})
	}
	r.subscribers[kind][signal] = struct{}{}
	return signal, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.subscribers[kind], signal)
	}
}

// setOnChange sets the callback for each adopted record. Its second argument is
// the peer that sent the record, or empty.
func (r *Replica) setOnChange(callback func(anvilglade.Record, string)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onChange = callback
}

// digest returns the hash of each shard.
func (r *Replica) digest() shardHashes {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hashes
}

// versions returns the kind, name and version of all records of a shard.
func (r *Replica) versions(shard int) []recordVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []recordVersion
	for key, record := range r.records {
		if key.shard() == shard {
			found = append(found, recordVersion{Kind: key.Kind, Name: key.Name, Version: record.Version})
		}
	}
	return found
}

// root returns one hash of all shard hashes.
func (h *shardHashes) root() uint64 {
	var buf [8 * shardCount]byte
	for i, hash := range h {
		binary.BigEndian.PutUint64(buf[8*i:], hash)
	}
	return xxhash.Sum64(buf[:])
}

func (k recordKey) shard() int {
	return int(xxhash.Sum64String(string(k.Kind)+"/"+k.Name) % shardCount)
}

func (k recordKey) hash(version anvilglade.Version) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(k.Kind))
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(k.Name)
	var buf [8]byte
	binary.BigEndian.PutUint64(buf[:], uint64(version))
	_, _ = digest.Write(buf[:])
	return digest.Sum64()
}

func notify(subscribers map[chan struct{}]struct{}) {
	for signal := range subscribers {
		select {
		case signal <- struct{}{}:
		default:
		}
	}
}
