package agcommand

// Creates the dependencies of a balancer: the key ring, the replica with its
// sources and the membership monitor.

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agconfig"
	"github.com/anvilglade/anvilglade/internal/membership/agmember"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
	"github.com/anvilglade/anvilglade/internal/operate/agbalancer"
	"github.com/anvilglade/anvilglade/internal/packet/agconnid"
	"github.com/anvilglade/anvilglade/internal/routing/agtable"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/state/agkeys"
	"github.com/anvilglade/anvilglade/internal/state/agreplica"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

// balancerBuilder creates the dependencies of a balancer and implements the
// callbacks between them.
type balancerBuilder struct {
	settings *balancerSettings
	events   *agevent.Ring
	clock    anvilglade.Clock
	started  time.Time
	ring     *agkeys.Ring
	resetKey quic.StatelessResetKey
	keys     atomic.Pointer[anvilglade.KeyBundle]
	current  atomic.Pointer[adoptedConfiguration]
	replica  *agreplica.Replica
	store    *agplatform.Store
	watcher  *agreplica.Watcher
	mesh     *agreplica.Mesh
	monitor  atomic.Pointer[agmember.Monitor]
	cleanup  []func()
}

// adoptedConfiguration is the configuration in effect and the matcher of its
// pools.
type adoptedConfiguration struct {
	configuration *anvilglade.Configuration
	matcher       *agconfig.Matcher
}

// newBalancerParts creates the key ring, the replica with its sources (object
// API and peers) and the membership monitor. The returned function releases
// them.
func newBalancerParts(ctx context.Context, settings *balancerSettings, events *agevent.Ring, clock anvilglade.Clock) (agbalancer.Parts, func(), error) {
	b := &balancerBuilder{settings: settings, events: events, clock: clock, started: clock.Now(), replica: agreplica.NewReplica()}
	steps := []func(context.Context) error{b.buildKeys, b.buildStore, b.buildMesh}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			b.close()
			return agbalancer.Parts{}, nil, err
		}
	}
	parts := agbalancer.Parts{
		Keys:          b.ring,
		ResetKey:      &b.resetKey,
		Replica:       b.replica,
		Events:        events,
		Clock:         clock,
		Decode:        b.adoptConfiguration,
		AdoptKeys:     b.adoptKeys,
		NewHeartbeats: b.newMonitor,
		Leave:         func() error { return b.monitor.Load().Leave() },
		Ready:         b.ready,
		Tasks:         map[string]func(context.Context) error{"mesh": b.mesh.Run},
	}
	for _, object := range watchedObjects {
		parts.Tasks["watch-"+string(object.Kind)] = b.watcher.Task(object)
	}
	return parts, b.close, nil
}

// watchedObjects lists the objects that are copied from the object API into the
// replica.
var watchedObjects = []agreplica.WatchedObject{
	{Kind: anvilglade.RecordConfiguration, Name: agbalancer.ConfigurationName},
	{Kind: anvilglade.RecordKeys, Name: agbalancer.ConfigurationName},
}

func (b *balancerBuilder) close() {
	for i := len(b.cleanup) - 1; i >= 0; i-- {
		b.cleanup[i]()
	}
	b.cleanup = nil
}

func (b *balancerBuilder) buildKeys(context.Context) error {
	ring, err := agkeys.NewRing(b.settings.joinSecrets)
	if err != nil {
		return err
	}
	b.ring = ring
	if b.resetKey, err = agconnid.ResetKey(b.settings.joinSecrets[0]); err != nil {
		return err
	}
	b.keys.Store(&anvilglade.KeyBundle{})
	return nil
}

func (b *balancerBuilder) buildStore(context.Context) error {
	store, stop, err := agplatform.NewStore(agplatform.StoreOptions{URL: b.settings.platform, Token: b.settings.platformToken})
	if err != nil {
		return err
	}
	b.store = store
	b.cleanup = append(b.cleanup, stop)
	b.watcher = agreplica.NewWatcher(b.replica, store, agreplica.WatcherOptions{
		Balancers: func() int { return len(b.livingPeers()) + 1 },
		Events:    b.events,
	})
	expvar.Publish("PlatformCalls", expvar.Func(func() any { return store.Calls() }))
	return nil
}

func (b *balancerBuilder) buildMesh(ctx context.Context) error {
	server, client, err := agkeys.ProcessTLS(b.settings.joinSecrets, anvilglade.ProcessID("balancer/"+b.settings.options.Balancer))
	if err != nil {
		return err
	}
	group, stop, err := agtask.NewGroup(ctx)
	if err != nil {
		return err
	}
	b.cleanup = append(b.cleanup, stop)
	mesh, closeMesh, err := agreplica.NewMesh(b.replica, agreplica.MeshOptions{
		Self:       b.settings.options.Balancer,
		Address:    b.settings.peer,
		Seeds:      b.settings.seeds,
		Peers:      b.livingPeers,
		OnPeerLost: b.peerLost,
		ServerTLS:  server,
		ClientTLS:  client,
		Events:     b.events,
		Group:      group,
	})
	if err != nil {
		return err
	}
	b.mesh = mesh
	b.cleanup = append(b.cleanup, closeMesh)
	expvar.Publish("Mesh", expvar.Func(func() any { return mesh.Statistics() }))
	return nil
}

// livingPeers returns the other balancers that are living.
func (b *balancerBuilder) livingPeers() []agreplica.Peer {
	monitor := b.monitor.Load()
	if monitor == nil {
		return nil
	}
	var peers []agreplica.Peer
	for _, balancer := range monitor.Members().Balancers {
		if balancer.Living && balancer.Balancer != b.settings.options.Balancer {
			peers = append(peers, agreplica.Peer{Balancer: balancer.Balancer, Address: balancer.PeerAddress})
		}
	}
	return peers
}

func (b *balancerBuilder) peerLost(id anvilglade.BalancerID) {
	if monitor := b.monitor.Load(); monitor != nil {
		monitor.PeerLost(id)
	}
}

func (b *balancerBuilder) newMonitor(send agbalancer.SendFunc) (agbalancer.Heartbeats, error) {
	options := b.settings.options
	monitor, err := agmember.NewMonitor(agmember.MonitorOptions{
		Self: anvilglade.BalancerRecord{
			Balancer:        options.Balancer,
			DataCentre:      options.DataCentre,
			DatagramAddress: options.AdvertiseDatagram,
			PeerAddress:     b.settings.advertisePeer,
			AdminAddress:    b.settings.admin,
		},
		Replica:       b.replica,
		Send:          agmember.SendFunc(send),
		Clock:         b.clock,
		Events:        b.events,
		Configuration: b.configuration,
		Service:       b.service,
		Keys: func() (anvilglade.KeyBundle, anvilglade.Version) {
			return *b.keys.Load(), b.ring.Version()
		},
	})
	if err != nil {
		return nil, err
	}
	b.monitor.Store(monitor)
	return monitor, nil
}

func (b *balancerBuilder) configuration() *anvilglade.Configuration {
	if current := b.current.Load(); current != nil {
		return current.configuration
	}
	return nil
}

func (b *balancerBuilder) service(host anvilglade.HostID) (anvilglade.ServiceID, bool) {
	if current := b.current.Load(); current != nil {
		return current.matcher.Service(host)
	}
	return "", false
}

// adoptConfiguration decodes the configuration in a record and puts it into
// effect: the monitor sends it to agents from then on.
func (b *balancerBuilder) adoptConfiguration(record anvilglade.Record) (*anvilglade.Configuration, agtable.ServiceOf, error) {
	document, err := agconfig.Decode(record.Payload)
	if err != nil {
		return nil, nil, fmt.Errorf("decode configuration %d: %w", record.Version, err)
	}
	next := &adoptedConfiguration{
		configuration: &anvilglade.Configuration{Revision: anvilglade.Revision(record.Version), Tables: document.Tables},
		matcher:       agconfig.NewMatcher(document.Tables),
	}
	b.current.Store(next)
	return next.configuration, next.matcher.Service, nil
}

func (b *balancerBuilder) adoptKeys(record anvilglade.Record) error {
	bundle, err := agkeys.Decode(record.Payload)
	if err != nil {
		return fmt.Errorf("decode keys %d: %w", record.Version, err)
	}
	if b.ring.Adopt(bundle, record.Version) {
		b.keys.Store(&bundle)
	}
	return nil
}

// syncTimeout is the time for which a balancer with seeds waits for a peer before
// it becomes ready. It limits the wait when all balancers of a fleet start at
// once or no other balancer is left. Hosts send heartbeats to the balancer within
// this time.
const syncTimeout = 5 * time.Second

// ready returns an error until this balancer has compared its records with a
// peer. After syncTimeout, or without seeds, an answer of the object API is
// sufficient. Without this check a balancer that replaces another one serves
// before it has the host records and drops packets, 701 of 1,937 in a trial.
func (b *balancerBuilder) ready() error {
	switch {
	case b.mesh.Synced():
		return nil
	case len(b.settings.seeds) > 0 && b.clock.Now().Sub(b.started) < syncTimeout:
		return errors.New("no peer has answered yet")
	case !b.watcher.HasAnswered():
		return errors.New("neither the object API nor a peer has answered")
	default:
		return nil
	}
}
