package agreplica

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/anvilglade/anvilglade"
)

// Detection and repair of differences between two replicas. The peers compare a
// root hash, then the hashes of the shards, then the versions of the records in
// each shard that differs.

func (m *Mesh) compareRoot(c *connection, root uint64) {
	hashes := m.replica.digest()
	if hashes.root() == root {
		m.synced.Store(true)
		return
	}
	m.digestMismatches.Add(1)
	m.enqueue(c, &message{Shards: &hashes})
}

func (m *Mesh) compareShards(c *connection, theirs *shardHashes) {
	ours := m.replica.digest()
	for shard := range ours {
		if ours[shard] != theirs[shard] {
			versions := &shardVersions{Shard: shard, Records: m.replica.versions(shard)}
			m.enqueue(c, &message{Versions: versions})
		}
	}
}

// fetchNewer requests the records of which the peer has a higher version.
func (m *Mesh) fetchNewer(c *connection, theirs []recordVersion) {
	var wanted []recordKey
	for _, item := range theirs {
		if ours, _ := m.replica.Get(item.Kind, item.Name); ours.Version < item.Version {
			wanted = append(wanted, recordKey{Kind: item.Kind, Name: item.Name})
		}
	}
	if len(wanted) > 0 {
		m.enqueue(c, &message{Wanted: wanted})
	}
}

// compareVersions sends the records of a shard that the peer lacks or has in a
// lower version, and requests those of which it has a higher version.
func (m *Mesh) compareVersions(c *connection, theirs *shardVersions) {
	m.fetchNewer(c, theirs.Records)
	theirVersions := make(map[recordKey]anvilglade.Version, len(theirs.Records))
	for _, item := range theirs.Records {
		theirVersions[recordKey{Kind: item.Kind, Name: item.Name}] = item.Version
	}
	var newer []recordKey
	for _, ours := range m.replica.versions(theirs.Shard) {
		key := recordKey{Kind: ours.Kind, Name: ours.Name}
		if theirVersions[key] < ours.Version {
			newer = append(newer, key)
		}
	}
	m.sendRecords(c, newer)
}

func (m *Mesh) sendRecords(c *connection, keys []recordKey) {
	for batch := range slices.Chunk(keys, maxBatchRecords) {
		var records []anvilglade.Record
		for _, key := range batch {
			if record, ok := m.replica.Get(key.Kind, key.Name); ok {
				records = append(records, record)
			}
		}
		if len(records) > 0 {
			m.enqueue(c, &message{Records: records})
		}
	}
}

// sendAll sends all records to a fresh balancer, which needs no exchange of
// digests then.
func (m *Mesh) sendAll(c *connection) {
	var keys []recordKey
	for shard := range shardCount {
		for _, item := range m.replica.versions(shard) {
			keys = append(keys, recordKey{Kind: item.Kind, Name: item.Name})
		}
	}
	m.sendRecords(c, keys)
	m.enqueue(c, &message{Complete: true})
}

func (m *Mesh) rootMessage() *message {
	hashes := m.replica.digest()
	root := hashes.root()
	return &message{Root: &root}
}

// sendDigest sends the root hash to one random peer. With one digest a second,
// the digests of a balancer take about 0.2 KB/s, whatever the number of its
// connections.
func (m *Mesh) sendDigest() {
	m.mu.Lock()
	peers := slices.Collect(maps.Values(m.peers))
	m.mu.Unlock()
	if len(peers) > 0 {
		m.enqueue(peers[rand.IntN(len(peers))], m.rootMessage())
	}
}
