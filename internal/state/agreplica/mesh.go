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
	// dialedPeers is the number of peers that a balancer chooses. Others choose
	// it too, so it has about six connections; a random graph of that degree
	// joins 520 balancers within four or five hops.
	dialedPeers = 3
	// fullMeshSize is the fleet size up to which all balancers are connected.
	fullMeshSize   = 7
	digestInterval = time.Second
	dialInterval   = 500 * time.Millisecond
	dialTimeout    = 2 * time.Second
	// peerIdleTimeout is the silence after which a connection counts as lost.
	peerIdleTimeout = 4 * time.Second
	keepAlive       = 1900 * time.Millisecond
	// missingLimit is how long a peer that counts as living may stay without a
	// connection. It finds balancers whose peers ended together with them;
	// nobody lost a connection to those, so they counted as living for ever.
	missingLimit = 6 * time.Second
	// claimPause is the time to the next claim about the same peer: a living
	// one that cannot be reached refutes each.
	claimPause = time.Minute
	// peerRingSize bounds the changes that wait for one peer.
	peerRingSize = 1024
	// floodSize is the largest payload in bytes that is flooded. A larger record,
	// such as the configuration, is announced and fetched by those that lack it:
	// most have it from the object API already. Flooding 17 KB 960 times a day
	// over six connections would take 2.3 KB/s (worked out).
	floodSize = 1024
	// batchSize bounds the records of one message.
	batchSize   = 256
	alpn        = "anvilglade-replica"
	wrongPeer   = 1
	meshClosing = 2
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
	// Lost is called after the last connection to a peer has ended.
	Lost func(anvilglade.BalancerID)
	// ServerTLS and ClientTLS authenticate the processes to each other.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	Events    anvilglade.Recorder
	Group     *agtask.Group
}

// MeshStatistics are counters since the start. Bytes include UDP and IP headers.
type MeshStatistics struct {
	Connections      int
	BytesSent        uint64
	BytesReceived    uint64
	RecordsSent      uint64
	RecordsReceived  uint64
	RecordsDropped   uint64
	DigestMismatches uint64
}

// Mesh connects the replica to those of other balancers over QUIC.
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
	// missing has the time from which on a peer has had no connection. Only Run
	// uses it.
	missing map[anvilglade.BalancerID]time.Time

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

// NewMesh opens the peer address. The returned function closes it.
func NewMesh(replica *Replica, options MeshOptions) (*Mesh, func(), error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(options.Address))
	if err != nil {
		return nil, nil, fmt.Errorf("listen on peer address %s: %w", options.Address, err)
	}
	counted := &countingConn{PacketConn: socket, socket: socket}
	m := &Mesh{
		replica:   replica,
		options:   options,
		log:       aglog.New("mesh"),
		socket:    counted,
		transport: &quic.Transport{Conn: counted},
		quic: &quic.Config{
			MaxIdleTimeout:       peerIdleTimeout,
			KeepAlivePeriod:      keepAlive,
			HandshakeIdleTimeout: dialTimeout,
			MaxIncomingStreams:   1,
		},
		peers:   make(map[anvilglade.BalancerID]*connection),
		dialing: make(map[netip.AddrPort]struct{}),
		missing: make(map[anvilglade.BalancerID]time.Time),
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

// Synced reports whether the replica has been compared with at least one peer.
func (m *Mesh) Synced() bool {
	return m.synced.Load()
}

// Statistics returns the counters.
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
			m.claimMissing(now)
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

// dialMissing dials the chosen peers that are not connected. While no peer is
// known it dials the seeds.
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

// claimMissing claims peers that should have a connection and have had none for
// missingLimit. In a small fleet those are all peers, whoever dials.
func (m *Mesh) claimMissing(now time.Time) {
	expected := m.options.Peers()
	if len(expected) >= fullMeshSize {
		expected = m.choosePeers(expected)
	}
	seen := make(map[anvilglade.BalancerID]time.Time, len(expected))
	for _, peer := range expected {
		if m.connected(peer.Balancer) {
			continue
		}
		since, ok := m.missing[peer.Balancer]
		if !ok {
			since = now
		}
		if now.Sub(since) > missingLimit {
			m.options.Lost(peer.Balancer)
			since = now.Add(claimPause)
		}
		seen[peer.Balancer] = since
	}
	m.missing = seen
}

// choosePeers returns the peers that this balancer dials: all of them in a
// small fleet, otherwise those with the highest rendezvous scores.
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
	_, busy := m.dialing[address]
	m.dialing[address] = struct{}{}
	m.mu.Unlock()
	if busy {
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
		m.log.WithError(err).Debug("Dial was not started.")
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
		m.log.WithError(err).WithField("Address", address).Debug("Peer does not answer.")
		return
	}
	stream, err := conn.OpenStreamSync(dialCtx)
	if err != nil {
		m.log.WithError(err).WithField("Address", address).Debug("Peer opened no stream.")
		return
	}
	m.serve(ctx, &connection{dialer: true, conn: conn, stream: stream, send: make(chan *message, peerRingSize)})
}

func (m *Mesh) serveAccepted(ctx context.Context, conn *quic.Conn) {
	streamCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	stream, err := conn.AcceptStream(streamCtx)
	if err != nil {
		_ = conn.CloseWithError(wrongPeer, "no stream")
		return
	}
	m.serve(ctx, &connection{conn: conn, stream: stream, send: make(chan *message, peerRingSize)})
}

// serve exchanges Hello and then messages until the connection ends.
func (m *Mesh) serve(ctx context.Context, c *connection) {
	defer func() { _ = c.conn.CloseWithError(meshClosing, "done") }()
	stop := context.AfterFunc(ctx, func() { _ = c.conn.CloseWithError(meshClosing, "stopping") })
	defer stop()
	m.write(c, &message{Hello: &hello{Balancer: m.options.Self, Fresh: !m.Synced()}})
	first, err := readMessage(c.stream)
	if err != nil || first.Hello == nil || first.Hello.Balancer == m.options.Self {
		_ = c.conn.CloseWithError(wrongPeer, "no Hello of another balancer")
		return
	}
	c.peer = first.Hello.Balancer
	if !m.register(c) {
		_ = c.conn.CloseWithError(meshClosing, "second connection")
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

// register keeps one connection for each peer. When both sides dial at the
// same time, both keep the one that the lower id dialed.
func (m *Mesh) register(c *connection) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	old, exists := m.peers[c.peer]
	if exists {
		preferred := c.dialer == (m.options.Self < c.peer)
		if !preferred && old.conn.Context().Err() == nil {
			return false
		}
		_ = old.conn.CloseWithError(meshClosing, "second connection")
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
		m.options.Lost(c.peer)
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
		_ = c.conn.CloseWithError(meshClosing, "write failed")
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

// handle answers one message of a peer.
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

// flood sends an adopted record to all peers but the one it came from.
func (m *Mesh) flood(record anvilglade.Record, fromPeer string) {
	m.mu.Lock()
	peers := slices.Collect(maps.Values(m.peers))
	m.mu.Unlock()
	for _, c := range peers {
		if string(c.peer) == fromPeer {
			continue
		}
		if len(record.Payload) <= floodSize {
			m.enqueue(c, &message{Records: []anvilglade.Record{record}})
			continue
		}
		m.enqueue(c, &message{Announced: []recordVersion{{Kind: record.Kind, Name: record.Name, Version: record.Version}}})
	}
}

// enqueue never blocks: a full ring drops the message, and the next digest
// repairs the difference.
func (m *Mesh) enqueue(c *connection, msg *message) {
	select {
	case c.send <- msg:
	default:
		m.recordsDropped.Add(uint64(max(1, len(msg.Records))))
	}
}
