// Package agpacketbalancer runs the balancer of packet services.
//
// It joins the parts: packets of callers go through agdispatch to agents, what
// agents and other balancers say goes into agfleet, and the operators' desired
// state comes from the platform's store or from a peer that has a newer one.
// The process keeps nothing that a flow depends on.
//
// Tasks share the fleet and the dispatcher under one mutex, which each holds
// for one batch of datagrams at most.
//
// # Usage
//
//	process, stop, err := agpacketbalancer.NewProcess(ctx, settings, parts)
//	if err != nil {
//		return err
//	}
//	defer stop()
//	return process.Run(ctx, signals)
package agpacketbalancer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agdecision"
	"github.com/anvilglade/anvilglade/internal/observe/aglog"
	"github.com/anvilglade/anvilglade/internal/observe/agmetric"
	"github.com/anvilglade/anvilglade/internal/operate/agpackettask"
	"github.com/anvilglade/anvilglade/internal/packet/agmessage"
	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
	"github.com/anvilglade/anvilglade/internal/routing/agdispatch"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/state/agfleet"
)

const (
	// leaveTime is how long a stopping balancer goes on forwarding: callers'
	// packets come until it has missed two readiness checks, half a second
	// apart. A longer time would keep it out of the rotation for longer, and a
	// data centre with few balancers in rotation gets packets at all of them,
	// also at one that is just restarting.
	leaveTime = 1100 * time.Millisecond
	// warmUp is how long a balancer that has just started waits for agents that
	// it has not heard yet before it takes packets.
	warmUp = 1500 * time.Millisecond
	// expireInterval is the time between two searches for idle flows.
	expireInterval = 2 * time.Second
)

// Parts are what a process gets from outside.
type Parts struct {
	Codec anvilglade.PacketCodec
	Feed  anvilglade.PlatformFeed
	Store anvilglade.Store
	// ReadyHandler makes the handler of the readiness check.
	ReadyHandler func(ready func() bool) http.Handler
	// Reload reads the settings again.
	Reload func() (anvilglade.PlatformSettings, error)
	// Unreadable returns the number of objects in the store that could not be
	// read.
	Unreadable func() uint64
	// LogWriter passes log lines on while the process runs.
	LogWriter func(context.Context) error
}

// Process is a balancer of packet services.
type Process struct {
	settings    anvilglade.PlatformSettings
	parts       Parts
	log         *aglog.Logger
	started     time.Time
	incarnation anvilglade.Incarnation
	sequence    atomic.Uint64
	leaving     atomic.Bool
	// wasReady is the readiness that was logged last.
	wasReady atomic.Bool
	packets  *agsocket.Socket
	inner    *agsocket.Socket
	http     *http.Client

	mu         sync.Mutex
	fleet      *agfleet.Fleet
	dispatcher *agdispatch.Dispatcher
	decisions  *agdecision.Log
	metrics    *agmetric.Metrics
	// counters holds the counter of each decision, so that the usual packet
	// costs no search for its labels.
	counters map[decision]prometheus.Counter
	// answered is what each agent was told last.
	answered   map[anvilglade.IPv4]answered
	broadcasts uint64
	// states is reused for the answers to questions.
	states []agmessage.FlowState
	// adopted is the time at which the desired state came into effect.
	adopted time.Time
}

// decision is what a balancer does with a packet and why.
type decision struct {
	service anvilglade.ServiceNumber
	action  agdispatch.Action
	reason  agdispatch.Reason
}

// NewProcess opens the sockets. The returned function closes them.
func NewProcess(ctx context.Context, settings anvilglade.PlatformSettings, parts Parts) (*Process, func(), error) {
	packets, closePackets, err := agsocket.Listen(ctx, anvilglade.Endpoint{IP: settings.IP, Port: settings.PacketPort}.AddrPort())
	if err != nil {
		return nil, nil, err
	}
	inner, closeInner, err := agsocket.Listen(ctx, anvilglade.Endpoint{IP: settings.IP, Port: settings.InnerPort}.AddrPort())
	if err != nil {
		closePackets()
		return nil, nil, err
	}
	now := time.Now()
	fleet := agfleet.NewFleet(agfleet.Options{Self: settings.IP, DataCentre: settings.DataCentre, Regions: settings.Regions})
	fleet.AddBalancers(settings.Seeds)
	seed := uint64(now.UnixNano())
	p := &Process{
		settings:    settings,
		parts:       parts,
		log:         aglog.New("packet-balancer"),
		started:     now,
		incarnation: anvilglade.Incarnation(now.UnixNano()),
		packets:     packets,
		inner:       inner,
		http:        &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		fleet:       fleet,
		decisions:   agdecision.NewLog(aglog.New("packet-balancer")),
		metrics:     agmetric.NewMetrics("packet-balancer", settings.DataCentre),
		counters:    make(map[decision]prometheus.Counter),
		answered:    make(map[anvilglade.IPv4]answered),
		dispatcher:  agdispatch.NewDispatcher(fleet, rand.New(rand.NewPCG(seed, seed)), now),
	}
	p.addGauges()
	return p, func() { closePackets(); closeInner() }, nil
}

// Run works until a signal to stop arrives and the balancer has left the
// rotation, or the context ends.
func (p *Process) Run(ctx context.Context, signals <-chan os.Signal) error {
	group, stop, err := agtask.NewGroup(ctx)
	if err != nil {
		return err
	}
	defer stop()
	tasks := []agpackettask.Task{
		{Name: "log", Run: p.parts.LogWriter},
		{Name: "packets", Run: p.readPackets},
		{Name: "inner", Run: p.readInner},
		{Name: "status", Run: p.sendStatus},
		{Name: "search", Run: p.search},
		{Name: "desired", Run: p.watchDesired},
		{Name: "evacuations", Run: p.watchEvacuations},
		{Name: "peers", Run: p.fetchFromPeers},
		{Name: "discover", Run: p.discover},
		{Name: "expire", Run: p.expire},
		{Name: "reload", Run: p.reload},
		{Name: "ready", Run: func(ctx context.Context) error {
			return agtask.ServeHTTP(ctx, p.settings.ReadyAddr, p.parts.ReadyHandler(p.Ready))
		}},
		{Name: "transfer", Run: p.serveTransfer},
		{Name: "metrics", Run: func(ctx context.Context) error {
			return agpackettask.ServeMetrics(ctx, p.log, p.settings.IP, p.metrics)
		}},
	}
	if err := agpackettask.Start(group, tasks); err != nil {
		return err
	}
	p.log.WithField("Node", p.settings.Node).WithField("Address", p.settings.IP).Info("Balancer has started.")
	select {
	case signal := <-signals:
		p.log.WithField("Signal", signal.String()).Info("Balancer leaves the rotation.")
		p.leave(group.Context())
	case <-group.Context().Done():
	}
	group.Stop()
	p.packets.Interrupt()
	p.inner.Interrupt()
	err = group.Wait()
	p.log.Info("Balancer has stopped.")
	return err
}

// leave goes on forwarding until callers' packets come to others.
func (p *Process) leave(ctx context.Context) {
	p.leaving.Store(true)
	p.broadcast()
	select {
	case <-time.After(leaveTime):
	case <-ctx.Done():
	}
}

// Ready reports whether callers' packets may come here: the desired state and
// the evacuations are known, and so are the hosts. A balancer that hears none is
// cut off from them.
func (p *Process) Ready() bool {
	if p.leaving.Load() {
		return false
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.fleet.Desired(); !known || p.fleet.Evacuations().Revision == 0 {
		return false
	}
	heard, _ := p.fleet.CountHosts(now)
	return heard > 0 && (now.Sub(p.started) > warmUp || p.fleet.DiscoveryComplete(p.started, now))
}

// expire forgets idle flows and silent processes.
func (p *Process) expire(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			p.mu.Lock()
			p.dispatcher.Expire(now)
			p.fleet.Forget(now)
			for agent := range p.answered {
				if _, known := p.fleet.Host(agent); !known {
					delete(p.answered, agent)
				}
			}
			p.mu.Unlock()
		}
	}
}

func (p *Process) endpointOf(ip anvilglade.IPv4, port uint16) anvilglade.Endpoint {
	return anvilglade.Endpoint{IP: ip, Port: port}
}

func (p *Process) logFailure(err error, text string) {
	p.log.WithError(fmt.Errorf("balancer %s: %w", p.settings.Node, err)).Warn(text)
}
