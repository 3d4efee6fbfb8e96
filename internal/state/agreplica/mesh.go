package agreplica

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/quic-go/quic-go"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/aglog"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
)

const (
	// dialedPeers is the number of peers that a balancer dials in a large fleet.
	// As it is also dialed by others, it has about six connections. A random
	// graph of that degree connects 520 balancers within four or five hops.
	dialedPeers = 3
	// fullMeshSize is the fleet size up to which all balancers are connected.
	fullMeshSize   = 7
	digestInterval = time.Second
	dialInterval   = 500 * time.Millisecond
	dialTimeout    = 2 * time.Second
	// peerIdleTimeout is the time without a packet after which a connection
	// counts as lost.
	peerIdleTimeout = 4 * time.Second
	keepAlivePeriod = 1900 * time.Millisecond
	// missingLimit is the time without a connection after which a peer that
	// counts as living is reported as lost. It covers balancers that stopped
	// together with all their peers: no remaining balancer had a connection to
	// them that could end, so they would count as living permanently.
	missingLimit = 6 * time.Second
	// reportPause is the time until the same peer may be reported as lost again.
	// A living peer that cannot be reached has to refute each report.
	reportPause = time.Minute
	// peerRingSize is the number of messages that may be queued for one peer.
	peerRingSize = 1024
	// maxFloodBytes is the largest payload that is flooded. A larger record, such
	// as the configuration, is announced and fetched by the peers that lack it:
	// most already have it from the object API. Flooding 17 KB 960 times a day
	// over six connections would take 2.3 KB/s.
	maxFloodBytes = 1024
	// maxBatchRecords is the largest number of records in one message.
	maxBatchRecords = 256
	alpn            = "anvilglade-replica"
	codeWrongPeer   = 1
	codeClosing     = 2
)

// Peer is another balancer that the mesh may connect to.
type Peer struct {
	Balancer anvilglade.BalancerID
	Address  netip.AddrPort
}

// MeshOptions are the settings of a Mesh.
type MeshOptions struct {
	Self    anvilglade.BalancerID
	Address netip.AddrPort
	Seeds   []netip.AddrPort
	// Peers returns the other living balancers.
	Peers func() []Peer
	// OnPeerLost is called after the last connection to a peer has ended, and for
	// a peer that has had no connection for missingLimit.
	OnPeerLost func(anvilglade.BalancerID)
	// ServerTLS and ClientTLS authenticate the processes to each other.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	Events    anvilglade.Recorder
	Group     *agtask.Group
}

// MeshStatistics has the current number of connections, and counters since the
// start. Bytes include UDP and IP headers.
type MeshStatistics struct {
	Connections      int
	BytesSent        uint64
	BytesReceived    uint64
	RecordsSent      uint64
	RecordsReceived  uint64
	RecordsDropped   uint64
	DigestMismatches uint64
}

// Mesh connects a replica to the replicas of other balancers over QUIC.
type Mesh struct {
	replica   *Replica
	options   MeshOptions
	log       *aglog.Logger
	socket    *countingConn
	transport *quic.Transport
	listener  *quic.Listener
	quic      *quic.Config

	mu      sync.Mutex
	peers   map[anvilglade.BalancerID]*connection
	dialing map[netip.AddrPort]struct{}
	// missingSince has the time since which a peer has had no connection. Only
	// Run uses it.
	missingSince map[anvilglade.BalancerID]time.Time

	synced           atomic.Bool
	recordsSent      atomic.Uint64
	recordsReceived  atomic.Uint64
	recordsDropped   atomic.Uint64
	digestMismatches atomic.Uint64
}

// connection is one QUIC connection to a peer with its single stream.
type connection struct {
	peer   anvilglade.BalancerID
	dialer bool
	conn   *quic.Conn
	stream *quic.Stream
	send   chan *message
}

// NewMesh listens on the peer address. The returned function closes the socket.
func NewMesh(replica *Replica, options MeshOptions) (*Mesh, func(), error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(options.Address))
	if err != nil {
		return nil, nil, fmt.Errorf("listen on peer address %s: %w", options.Address, err)
	}
	conn := &countingConn{PacketConn: socket, socket: socket}
	m := &Mesh{
		replica:   replica,
		options:   options,
		log:       aglog.New("mesh"),
		socket:    conn,
		transport: &quic.Transport{Conn: conn},
		quic: &quic.Config{
			MaxIdleTimeout:       peerIdleTimeout,
			KeepAlivePeriod:      keepAlivePeriod,
			HandshakeIdleTimeout: dialTimeout,
			MaxIncomingStreams:   1,
		},
		peers:        make(map[anvilglade.BalancerID]*connection),
		dialing:      make(map[netip.AddrPort]struct{}),
		missingSince: make(map[anvilglade.BalancerID]time.Time),
	}
	server := options.ServerTLS.Clone()
	server.NextProtos = []string{alpn}
	listener, err := m.transport.Listen(server, m.quic)
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("listen for peers: %w", err), socket.Close())
	}
	m.listener = listener
	replica.setOnChange(m.flood)
	return m, func() {
		_ = m.transport.Close()
		_ = socket.Close()
	}, nil
}

// Synced reports whether the replica has been equal to that of a peer, or has
// received all records of one, since the start.
func (m *Mesh) Synced() bool {
	return m.synced.Load()
}

// Statistics returns the current statistics.
func (m *Mesh) Statistics() MeshStatistics {
	m.mu.Lock()
	connections := len(m.peers)
	m.mu.Unlock()
	return MeshStatistics{
		Connections:      connections,
		BytesSent:        m.socket.sent.Load(),
		BytesReceived:    m.socket.received.Load(),
		RecordsSent:      m.recordsSent.Load(),
		RecordsReceived:  m.recordsReceived.Load(),
		RecordsDropped:   m.recordsDropped.Load(),
		DigestMismatches: m.digestMismatches.Load(),
	}
}

// Run accepts and dials connections and sends digests until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	if err := m.options.Group.Start("mesh-accept", m.accept); err != nil {
		return err
	}
	dial := time.NewTicker(dialInterval)
	defer dial.Stop()
	digest := time.NewTicker(digestInterval)
	defer digest.Stop()
	m.dialMissing()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-dial.C:
			m.dialMissing()
			m.reportMissing(now)
		case <-digest.C:
			m.sendDigest()
		}
	}
}

func (m *Mesh) accept(ctx context.Context) error {
	for {
		conn, err := m.listener.Accept(ctx)
		if err != nil {
			return ctx.Err()
		}
		if err := m.options.Group.Start("mesh-peer", func(ctx context.Context) error {
			m.serveAccepted(ctx, conn)
			return nil
		}); err != nil {
			return err
		}
	}
}

// dialMissing dials the chosen peers that are not connected. It also dials the
// seeds while there are no peers or the replica is not synced.
func (m *Mesh) dialMissing() {
	chosen := m.choosePeers(m.options.Peers())
	for _, peer := range chosen {
		if !m.connected(peer.Balancer) {
			m.startDial(peer.Address)
		}
	}
	if len(chosen) > 0 && m.Synced() {
		return
	}
	for _, seed := range m.options.Seeds {
		m.startDial(seed)
	}
}

// reportMissing reports peers as lost that should have a connection and have had
// none for missingLimit. In a small fleet all peers should have one, regardless
// of which side dials.
func (m *Mesh) reportMissing(now time.Time) {
	expected := m.options.Peers()
	if len(expected) >= fullMeshSize {
		expected = m.choosePeers(expected)
	}
	stillMissing := make(map[anvilglade.BalancerID]time.Time, len(expected))
	for _, peer := range expected {
		if m.connected(peer.Balancer) {
			continue
		}
		since, ok := m.missingSince[peer.Balancer]
		if !ok {
			since = now
		}
		if now.Sub(since) > missingLimit {
			m.options.OnPeerLost(peer.Balancer)
			since = now.Add(reportPause)
		}
		stillMissing[peer.Balancer] = since
	}
	m.missingSince = stillMissing
}

// choosePeers returns the peers that this balancer dials. In a small fleet these
// are all peers with a higher id, so that each pair is dialed from one side,
// otherwise those with the highest rendezvous scores.
func (m *Mesh) choosePeers(peers []Peer) []Peer {
	if len(peers) < fullMeshSize {
		return slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Balancer < m.options.Self })
	}
	score := func(p Peer) uint64 {
		return xxhash.Sum64String(string(m.options.Self) + "/" + string(p.Balancer))
	}
	sorted := slices.SortedFunc(slices.Values(peers), func(a, b Peer) int {
		return cmp.Compare(score(b), score(a))
	})
	return sorted[:dialedPeers]
}

func (m *Mesh) connected(peer anvilglade.BalancerID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.peers[peer]
	return ok
}

func (m *Mesh) startDial(address netip.AddrPort) {
	m.mu.Lock()
	_, inProgress := m.dialing[address]
	m.dialing[address] = struct{}{}
	m.mu.Unlock()
	if inProgress {
		return
	}
	task := func(ctx context.Context) error {
		defer func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			delete(m.dialing, address)
		}()
		m.dial(ctx, address)
		return nil
	}
	if err := m.options.Group.Start("mesh-dial", task); err != nil {
		m.log.WithError(err).Debug("Starting the dial task has failed.")
	}
}

// dial connects to an address and serves the connection until it ends.
func (m *Mesh) dial(ctx context.Context, address netip.AddrPort) {
	client := m.options.ClientTLS.Clone()
	client.NextProtos = []string{alpn}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := m.transport.Dial(dialCtx, net.UDPAddrFromAddrPort(address), client, m.quic)
	if err != nil {
		m.log.WithError(err).WithField("Address", address).Debug("Dialing a peer has failed.")
		return
	}
	stream, err := conn.OpenStreamSync(dialCtx)
	if err != nil {
		m.log.WithError(err).WithField("Address", address).Debug("Opening a stream to a peer has failed.")
		return
	}
	m.serve(ctx, &connection{dialer: true, conn: conn, stream: stream, send: make(chan *message, peerRingSize)})
}

func (m *Mesh) serveAccepted(ctx context.Context, conn *quic.Conn) {
	streamCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	stream, err := conn.AcceptStream(streamCtx)
	if err != nil {
		_ = conn.CloseWithError(codeWrongPeer, "no stream")
		return
	}
	m.serve(ctx, &connection{conn: conn, stream: stream, send: make(chan *message, peerRingSize)})
}

// serve exchanges Hello messages and then handles the peer's messages until the
// connection ends.
func (m *Mesh) serve(ctx context.Context, c *connection) {
	defer func() { _ = c.conn.CloseWithError(codeClosing, "done") }()
	stop := context.AfterFunc(ctx, func() { _ = c.conn.CloseWithError(codeClosing, "stopping") })
	defer stop()
	m.write(c, &message{Hello: &hello{Balancer: m.options.Self, Fresh: !m.Synced()}})
	first, err := readMessage(c.stream)
	if err != nil || first.Hello == nil || first.Hello.Balancer == m.options.Self {
		_ = c.conn.CloseWithError(codeWrongPeer, "no Hello of another balancer")
		return
	}
	c.peer = first.Hello.Balancer
	if !m.register(c) {
		_ = c.conn.CloseWithError(codeClosing, "second connection")
		return
	}
	defer m.unregister(c)
	if err := m.options.Group.Start("mesh-send", func(ctx context.Context) error {
		m.sendLoop(ctx, c)
		return nil
	}); err != nil {
		return
	}
	if first.Hello.Fresh && m.Synced() {
		m.sendAll(c)
	}
	m.enqueue(c, m.rootMessage())
	m.receiveLoop(c)
}

// register makes c the only connection to its peer. When both sides dial at the
// same time, both keep the connection that the side with the lower id dialed. It
// returns false if another connection is kept.
func (m *Mesh) register(c *connection) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	old, exists := m.peers[c.peer]
	if exists {
		preferred := c.dialer == (m.options.Self < c.peer)
		if !preferred && old.conn.Context().Err() == nil {
			return false
		}
		_ = old.conn.CloseWithError(codeClosing, "second connection")
	}
	m.peers[c.peer] = c
	m.log.WithField("Balancer", c.peer).Info("Peer is connected.")
	return true
}

func (m *Mesh) unregister(c *connection) {
	m.mu.Lock()
	current := m.peers[c.peer] == c
	if current {
		delete(m.peers, c.peer)
	}
	m.mu.Unlock()
	if !current {
		return
	}
	m.log.WithField("Balancer", c.peer).Info("Peer is disconnected.")
	if m.options.Group.Context().Err() == nil {
		m.options.OnPeerLost(c.peer)
	}
}

func (m *Mesh) sendLoop(ctx context.Context, c *connection) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.conn.Context().Done():
			return
		case msg := <-c.send:
			m.write(c, msg)
		}
	}
}

func (m *Mesh) write(c *connection, msg *message) {
	msg.Time = m.options.Events.Now()
	m.recordsSent.Add(uint64(len(msg.Records)))
	if err := writeMessage(c.stream, msg); err != nil {
		_ = c.conn.CloseWithError(codeClosing, "write failed")
	}
}

func (m *Mesh) receiveLoop(c *connection) {
	for {
		msg, err := readMessage(c.stream)
		if err != nil {
			return
		}
		m.options.Events.Observe(msg.Time)
		m.handle(c, msg)
	}
}

// handle processes one message of a peer.
func (m *Mesh) handle(c *connection, msg *message) {
	switch {
	case msg.Records != nil:
		m.recordsReceived.Add(uint64(len(msg.Records)))
		for _, record := range msg.Records {
			m.replica.put(record, string(c.peer))
		}
	case msg.Announced != nil:
		m.fetchNewer(c, msg.Announced)
	case msg.Complete:
		m.synced.Store(true)
	case msg.Root != nil:
		m.compareRoot(c, *msg.Root)
	case msg.Shards != nil:
		m.compareShards(c, msg.Shards)
	case msg.Versions != nil:
		m.compareVersions(c, msg.Versions)
	case msg.Wanted != nil:
		m.sendRecords(c, msg.Wanted)
	}
}

// flood sends or announces an adopted record to all connected peers except the
// one that sent it.
func (m *Mesh) flood(record anvilglade.Record, fromPeer string) {
	m.mu.Lock()
	peers := slices.Collect(maps.Values(m.peers))
	m.mu.Unlock()
	for _, c := range peers {
		if string(c.peer) == fromPeer {
			continue
		}
		if len(record.Payload) <= maxFloodBytes {
			m.enqueue(c, &message{Records: []anvilglade.Record{record}})
			continue
		}
		m.enqueue(c, &message{Announced: []recordVersion{{Kind: record.Kind, Name: record.Name, Version: record.Version}}})
	}
}

// enqueue queues a message for a peer and never blocks. A full queue drops the
// message, and a later digest repairs the difference.
func (m *Mesh) enqueue(c *connection, msg *message) {
	select {
	case c.send <- msg:
	default:
		m.recordsDropped.Add(uint64(max(1, len(msg.Records))))
	}
}
