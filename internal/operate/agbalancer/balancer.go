// Package agbalancer is the balancer process.
//
// One task reads each service address, asks the router and sends the packets
// to the agents. One task reads the datagram socket: responses go back to the
// callers from the service address, heartbeats go through a bounded ring to
// the membership monitor. One task rebuilds the table when the configuration
// or the hosts change and opens and closes the service addresses.
//
// The tasks that forward write to the sockets themselves. A ring between
// reading and writing would copy each packet once more and would only add a
// second queue behind that of the kernel, which drops by itself when full.
//
// # Usage
//
//	balancer, closeBalancer, err := agbalancer.NewBalancer(ctx, options, newParts)
//	if err != nil {
//		return err
//	}
//	defer closeBalancer()
//	return balancer.Run(ctx) // until Shutdown or the end of ctx
package agbalancer

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
	"github.com/anvilglade/anvilglade/internal/observe/aglog"
	"github.com/anvilglade/anvilglade/internal/packet/agconnid"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
	"github.com/anvilglade/anvilglade/internal/packet/agseal"
	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
	"github.com/anvilglade/anvilglade/internal/routing/agbalance"
	"github.com/anvilglade/anvilglade/internal/routing/agtable"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
)

// ConfigurationName is the name of the configuration and of the keys record.
const ConfigurationName = "current"

const (
	// DrainTime is how long the service addresses stay open after Shutdown:
	// the fabric learns from /ready that it must spray elsewhere.
	DrainTime = 2 * time.Second
	// replyTime is how long responses are still passed on after that.
	replyTime = time.Second

	heartbeatRing = 1024
	logInterval   = 10 * time.Second
)

// SendFunc sends a sealed datagram from the datagram socket.
type SendFunc func(to netip.AddrPort, kind agheader.Kind, payload []byte) error

// Heartbeats takes the heartbeats of agents, see agmember.Monitor.
type Heartbeats interface {
	HandleHeartbeat(from netip.AddrPort, payload []byte) error
	Members() *anvilglade.Members
	Run(ctx context.Context) error
}

// Options are the settings of the process.
type Options struct {
	Balancer   anvilglade.BalancerID
	DataCentre anvilglade.DataCentreID
	// IngressHost replaces the IP of the routes when service addresses are
	// bound, if it is valid.
	IngressHost netip.Addr
	// DatagramAddress is where agents send to; AdvertiseDatagram is that
	// address as agents see it.
	DatagramAddress   netip.AddrPort
	AdvertiseDatagram netip.AddrPort
	Routing           agbalance.Mode
	DrainTime         time.Duration
}

// Parts are the other parts of the process.
type Parts struct {
	Keys anvilglade.KeyRing
	// ResetKey ends QUIC connections whose data centre is out; nil sends no
	// resets.
	ResetKey *quic.StatelessResetKey
	Replica  anvilglade.Replica
	Events   anvilglade.Recorder
	Clock    anvilglade.Clock
	// Decode returns the configuration in a record of the replica, and the
	// match of hosts to pools in it.
	Decode func(anvilglade.Record) (*anvilglade.Configuration, agtable.ServiceOf, error)
	// AdoptKeys hands a record of the replica to the key ring.
	AdoptKeys func(anvilglade.Record) error
	// NewHeartbeats creates the monitor, which answers through send.
	NewHeartbeats func(send SendFunc) (Heartbeats, error)
	// Leave tells the other balancers that this one stops, so that agents and
	// operators do not count on it. It may be nil.
	Leave func() error
	// Ready returns an error while a part has not learned enough to serve.
	Ready func() error
	// Tasks are further tasks of the process by name.
	Tasks map[string]func(context.Context) error
}

// Balancer is a balancer process.
type Balancer struct {
	options    Options
	parts      Parts
	log        *aglog.Logger
	limiter    *aglog.Limiter
	counters   *counters
	router     agbalance.TableRouter
	builder    *agtable.Builder
	heartbeats Heartbeats
	beats      chan heartbeat
	sealer     *agseal.Sealer
	opener     *agseal.Opener
	datagrams  *agsocket.Socket
	ingresses  *ingressSet
	stopOnce   sync.Once
	stopping   chan struct{}
}

// NewBalancer opens the datagram socket and connects the parts. The returned
// function closes all sockets.
func NewBalancer(ctx context.Context, options Options, parts Parts) (*Balancer, func(), error) {
	b := &Balancer{
		options:  options,
		parts:    parts,
		log:      aglog.New("balancer"),
		limiter:  aglog.NewLimiter(logInterval),
		counters: newCounters(),
		router:   agbalance.New(options.Routing, agconnid.NewCodec(parts.Keys)),
		builder:  agtable.NewBuilder(agtable.Options{Clock: parts.Clock, Baseline: options.Routing == agbalance.ModeBaseline}),
		beats:    make(chan heartbeat, heartbeatRing),
		opener:   agseal.NewOpener(parts.Keys),
		stopping: make(chan struct{}),
	}
	var err error
	if b.sealer, err = agseal.NewSealer(parts.Keys); err != nil {
		return nil, nil, err
	}
	datagrams, closeDatagrams, err := agsocket.Listen(ctx, options.DatagramAddress)
	if err != nil {
		return nil, nil, err
	}
	b.datagrams = datagrams
	if !b.options.AdvertiseDatagram.IsValid() {
		b.options.AdvertiseDatagram = datagrams.Local()
	}
	if b.heartbeats, err = parts.NewHeartbeats(b.Send); err != nil {
		closeDatagrams()
		return nil, nil, err
	}
	b.ingresses = newIngressSet(b)
	return b, func() {
		b.ingresses.close()
		closeDatagrams()
	}, nil
}

// Run forwards packets until Shutdown has completed, ctx ends or a task fails.
func (b *Balancer) Run(ctx context.Context) error {
	group, stop, err := agtask.NewGroup(ctx)
	if err != nil {
		return err
	}
	defer stop()
	b.ingresses.group = group
	tasks := map[string]func(context.Context) error{
		"datagrams":  b.readDatagrams,
		"heartbeats": b.handleHeartbeats,
		"monitor":    b.heartbeats.Run,
		"tables":     b.rebuildTables,
		"keys":       b.followKeys,
		"shutdown": func(ctx context.Context) error {
			defer group.Stop()
			return b.awaitShutdown(ctx)
		},
	}
	for name, task := range b.parts.Tasks {
		tasks[name] = task
	}
	for name, task := range tasks {
		if err := group.Start(name, task); err != nil {
			return err
		}
	}
	return group.Wait()
}

// Shutdown begins a graceful stop: Ready fails at once, the service addresses
// close after the drain time, and Run returns when the last responses have had
// time to pass.
func (b *Balancer) Shutdown() {
	b.stopOnce.Do(func() { close(b.stopping) })
}

// Ready returns an error that says why the balancer takes no new packets.
func (b *Balancer) Ready() error {
	select {
	case <-b.stopping:
		return errors.New("balancer is stopping")
	default:
	}
	if table := b.router.Table(); table == nil || table.Revision == 0 {
		return errors.New("no configuration is known")
	}
	if b.parts.Ready == nil {
		return nil
	}
	return b.parts.Ready()
}

// Status is the state of a balancer for operators.
type Status struct {
	Balancer   anvilglade.BalancerID
	DataCentre anvilglade.DataCentreID
	Revision   anvilglade.Revision
	Routes     []anvilglade.Route
	// Unbound lists routes whose address could not be opened.
	Unbound []netip.AddrPort
}

// Status returns the state of the balancer.
func (b *Balancer) Status() any {
	status := Status{Balancer: b.options.Balancer, DataCentre: b.options.DataCentre, Unbound: b.ingresses.unbound()}
	if table := b.router.Table(); table != nil {
		status.Revision, status.Routes = table.Revision, table.Routes()
	}
	return status
}

// Members returns the hosts and balancers that the balancer knows.
func (b *Balancer) Members() *anvilglade.Members {
	return b.heartbeats.Members()
}

// Vars returns the counters.
func (b *Balancer) Vars() expvar.Var {
	return expvar.Func(func() any { return b.counters.snapshot(b.opener.Drops()) })
}

// DatagramAddress returns the address of the datagram socket.
func (b *Balancer) DatagramAddress() netip.AddrPort {
	return b.datagrams.Local()
}

// Send seals a payload and sends it from the datagram socket.
func (b *Balancer) Send(to netip.AddrPort, kind agheader.Kind, payload []byte) error {
	datagram, err := b.sealer.Seal(nil, kind, payload)
	if err != nil {
		return fmt.Errorf("seal %s for %s: %w", kind, to, err)
	}
	return b.datagrams.WriteTo(datagram, to)
}

// awaitShutdown waits for Shutdown and closes the sockets step by step.
func (b *Balancer) awaitShutdown(ctx context.Context) error {
	select {
	case <-b.stopping:
	case <-ctx.Done():
		b.datagrams.Interrupt()
		b.ingresses.close()
		return ctx.Err()
	}
	b.parts.Events.Record(anvilglade.Event{Type: agevent.ProcessStopping})
	b.log.Info("Stops after its drain time.")
	if b.parts.Leave != nil {
		if err := b.parts.Leave(); err != nil {
			b.log.WithError(err).Warn("Cannot tell the others of the stop.")
		}
	}
	sleep(ctx, b.options.DrainTime)
	b.ingresses.close()
	sleep(ctx, replyTime)
	b.datagrams.Interrupt()
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
