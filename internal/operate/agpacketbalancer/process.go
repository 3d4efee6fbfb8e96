// Package agpacketbalancer runs the balancer of packet services.
//
// It connects three parts. Packets of callers are forwarded to agents as
// agdispatch decides, messages of agents and of other balancers update agfleet,
// and the operators' desired state is read from the platform's store or from a
// peer that has a newer one. No flow depends on state that only this process
// has.
//
// The tasks share the fleet and the dispatcher under one mutex, which each task
// holds for one batch of datagrams at most.
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
	"github.com/anvilglade/anvilglade/internal/membership/agrank"
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
	// leaveTime is how long a stopping balancer continues to forward packets:
	// callers' packets arrive until it has failed two readiness checks, half a
	// second apart. A longer time would keep it out of the rotation for longer. A
	// data centre with few balancers in rotation receives packets at all of them,
	// including one that is restarting.
	leaveTime = 1100 * time.Millisecond
	// warmUp is the maximum time for which a balancer that has just started waits
	// for the first status of each agent before it reports ready.
	warmUp = 1500 * time.Millisecond
	// expireInterval is the time between two removals of idle flows.
	expireInterval = 2 * time.Second
)

// Parts are the dependencies of a Process.
type Parts struct {
	Codec anvilglade.PacketCodec
	Feed  anvilglade.PlatformFeed
	Store anvilglade.Store
	// ReadyHandler returns the handler of the readiness check.
	ReadyHandler func(ready func() bool) http.Handler
	// Reload reads the settings again.
	Reload func() (anvilglade.PlatformSettings, error)
	// Unreadable returns the number of objects in the store that could not be
	// read.
	Unreadable func() uint64
	// LogWriter writes log lines until its context ends.
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
	// loggedReady is the readiness that was logged last.
	loggedReady atomic.Bool
	packets     *agsocket.Socket
	inner       *agsocket.Socket
	http        *http.Client
	// desiredWatch and evacuationWatch describe the two watches of the store.
	desiredWatch    watchHealth
	evacuationWatch watchHealth
	// loggedRole is the role that was logged last.
	loggedRole atomic.Uint32
	// loggedRelieved is whether this balancer was relieved when that was logged last.
	loggedRelieved atomic.Bool
	// newerDesired receives a signal when a peer announces a newer desired state.
	newerDesired chan struct{}
	// pendingAgents receives a signal when agents have been listed that have not sent a
	// status yet.
	pendingAgents chan struct{}

	mu         sync.Mutex
	fleet      *agfleet.Fleet
	dispatcher *agdispatch.Dispatcher
	decisions  *agdecision.Log
	metrics    *agmetric.Metrics
	// counters caches the counter of each decision, which saves a lookup by
	// labels for each packet.
	counters   map[decision]prometheus.Counter
	placements placementMetrics
	// controlCounters caches the counters of control messages.
	controlCounters map[controlKey]controlCounters
	monitor         *agrank.Monitor
	// lastReply contains the last reply to each agent.
	lastReply  map[anvilglade.IPv4]lastReply
	broadcasts uint64
	logged     loggedEvacuations
	// states is the reused buffer for parsing flow replies.
	states []agmessage.FlowState
	// adopted is the time at which the desired state came into effect.
	adopted time.Time
}

// loggedEvacuations are the data centres of the last line about evacuations: those in
// effect and those that the restored store lacks.
type loggedEvacuations struct {
	evacuated, missing []anvilglade.DataCentreID
}

// decision identifies a counter of decisions on packets.
type decision struct {
	service anvilglade.ServiceNumber
	action  agdispatch.Action
	reason  agdispatch.Reason
}

// NewProcess returns a Process with open sockets, or an error if a socket cannot
// be opened. The returned function closes the sockets.
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
	fleet.AddBalancers(settings.Seeds, now)
	seed := uint64(now.UnixNano())
	p := &Process{
		settings:        settings,
		parts:           parts,
		log:             aglog.New("packet-balancer"),
		started:         now,
		incarnation:     anvilglade.Incarnation(now.UnixNano()),
		packets:         packets,
		inner:           inner,
		http:            &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		newerDesired:    make(chan struct{}, 1),
		pendingAgents:   make(chan struct{}, 1),
		fleet:           fleet,
		decisions:       agdecision.NewLog(aglog.New("packet-balancer")),
		metrics:         agmetric.NewMetrics("packet-balancer", settings.DataCentre),
		counters:        make(map[decision]prometheus.Counter),
		controlCounters: make(map[controlKey]controlCounters),
		monitor:         agrank.NewMonitor(settings.Limits),
		placements:      newPlacementMetrics(),
		lastReply:       make(map[anvilglade.IPv4]lastReply),
		dispatcher:      agdispatch.NewDispatcher(fleet, rand.New(rand.NewPCG(seed, seed)), now),
	}
	fleet.SetCapacity(p.monitor.Capacity())
	p.addGauges()
	p.addSplitMetrics()
	p.addSizeGauges()
	return p, func() { closePackets(); closeInner() }, nil
}

// Run runs the tasks until the balancer has left the rotation after a signal,
// the context ends or a task fails.
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

// leave continues to forward packets for leaveTime, until callers' packets are
// sent to other balancers.
func (p *Process) leave(ctx context.Context) {
	p.leaving.Store(true)
	p.broadcast()
	select {
	case <-time.After(leaveTime):
	case <-ctx.Done():
	}
}

// Ready reports whether callers' packets may be sent to this balancer. It needs
// the desired state, the evacuations and the statuses of the hosts. A balancer
// that receives no status of any host is cut off from them and is not ready.
func (p *Process) Ready() bool {
	if p.leaving.Load() {
		return false
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.fleet.Desired(); !ok || p.fleet.Evacuations().Revision == 0 {
		return false
	}
	responding, _ := p.fleet.CountHosts(now)
	return responding > 0 && (now.Sub(p.started) > warmUp || p.fleet.DiscoveryComplete(p.started, now))
}

// expire removes idle flows, and processes that have sent no status for
// agfleet.ForgetAfter.
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
			for agent := range p.lastReply {
				if _, ok := p.fleet.Host(agent); !ok {
					delete(p.lastReply, agent)
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
