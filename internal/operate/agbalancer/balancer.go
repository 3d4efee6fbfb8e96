// Package agbalancer implements the balancer process.
//
// One task per service address reads packets, routes them and sends them to the
// agents. One task reads the datagram socket: it sends responses to the callers
// from the service address and passes heartbeats through a bounded ring to the
// membership monitor. One task rebuilds the table when the configuration or the
// hosts change, and opens and closes the service addresses.
//
// The forwarding tasks write to the sockets themselves. A ring between reading
// and writing would copy each packet once more and only add a second queue to
// the socket buffer of the kernel, which drops packets when it is full.
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
	// DrainTime is how long the service addresses stay open after Shutdown. In
	// this time the network fabric, which checks /ready, stops sending packets to
	// this balancer.
	DrainTime = 2 * time.Second
	// replyTime is how long responses are still forwarded after DrainTime.
	replyTime = time.Second

	heartbeatRingSize = 1024
	logInterval       = 10 * time.Second
)

// SendFunc sends a sealed datagram from the datagram socket.
type SendFunc func(to netip.AddrPort, kind agheader.Kind, payload []byte) error

// Heartbeats handles the heartbeats of agents, see agmember.Monitor.
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
	// DatagramAddress is the address of the datagram socket, to which agents send.
	// AdvertiseDatagram is the address under which agents reach that socket.
	DatagramAddress   netip.AddrPort
	AdvertiseDatagram netip.AddrPort
	Routing           agbalance.Mode
	DrainTime         time.Duration
}

// Parts are the dependencies of a Balancer.
type Parts struct {
	Keys anvilglade.KeyRing
	// ResetKey is the key of the stateless resets for QUIC connections whose data
	// centre is out. If it is nil, no resets are sent.
	ResetKey *quic.StatelessResetKey
	Replica  anvilglade.Replica
	Events   anvilglade.Recorder
	Clock    anvilglade.Clock
	// Decode returns the configuration in a record of the replica, and the
	// function that returns the service of a host by its pools.
	Decode func(anvilglade.Record) (*anvilglade.Configuration, agtable.ServiceOf, error)
	// AdoptKeys passes a keys record of the replica to the key ring.
	AdoptKeys func(anvilglade.Record) error
	// NewHeartbeats returns the monitor, which sends its acknowledgements with
	// send.
	NewHeartbeats func(send SendFunc) (Heartbeats, error)
	// Leave notifies the other balancers that this one stops, so that agents and
	// operators no longer rely on it. It may be nil.
	Leave func() error
	// Ready returns an error while a part lacks state that it needs to serve. It
	// may be nil.
	Ready func() error
	// Tasks are additional tasks of the process by name.
	Tasks map[string]func(context.Context) error
}

// Balancer is a balancer process.
type Balancer struct {
	options       Options
	parts         Parts
	log           *aglog.Logger
	limiter       *aglog.Limiter
	counters      *counters
	router        agbalance.TableRouter
	builder       *agtable.Builder
	heartbeats    Heartbeats
	heartbeatRing chan heartbeat
	sealer        *agseal.Sealer
	opener        *agseal.Opener
	datagrams     *agsocket.Socket
	ingresses     *ingressSet
	stopOnce      sync.Once
	stopping      chan struct{}
}

// NewBalancer returns a Balancer with an open datagram socket, or an error if the
// sealer, the socket or the monitor cannot be created. The returned function
// closes all sockets.
func NewBalancer(ctx context.Context, options Options, parts Parts) (*Balancer, func(), error) {
	b := &Balancer{
		options:       options,
		parts:         parts,
		log:           aglog.New("balancer"),
		limiter:       aglog.NewLimiter(logInterval),
		counters:      newCounters(),
		router:        agbalance.New(options.Routing, agconnid.NewCodec(parts.Keys)),
		builder:       agtable.NewBuilder(agtable.Options{Clock: parts.Clock, Baseline: options.Routing == agbalance.ModeBaseline}),
		heartbeatRing: make(chan heartbeat, heartbeatRingSize),
		opener:        agseal.NewOpener(parts.Keys),
		stopping:      make(chan struct{}),
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

// Shutdown begins a graceful stop. Ready returns an error at once, the service
// addresses close after the drain time, and Run returns after replyTime, in which
// the last responses are forwarded.
func (b *Balancer) Shutdown() {
	b.stopOnce.Do(func() { close(b.stopping) })
}

// Ready returns nil if the balancer accepts new packets, otherwise an error with
// the reason.
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

// Members returns the hosts and balancers that the monitor lists.
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

// awaitShutdown waits for Shutdown and then closes the sockets in order. If ctx
// ends first, it closes them at once.
func (b *Balancer) awaitShutdown(ctx context.Context) error {
	select {
	case <-b.stopping:
	case <-ctx.Done():
		b.datagrams.Interrupt()
		b.ingresses.close()
		return ctx.Err()
	}
	b.parts.Events.Record(anvilglade.Event{Type: agevent.ProcessStopping})
	b.log.Info("Balancer stops after its drain time.")
	if b.parts.Leave != nil {
		if err := b.parts.Leave(); err != nil {
			b.log.WithError(err).Warn("Cannot notify the other balancers of the stop.")
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
