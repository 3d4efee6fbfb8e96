// Package agpacketagent runs the agent of packet services on the VM of a host.
//
// It connects these parts:
//
//   - agopen decides on new flows by the host's heartbeats and the statuses of balancers,
//   - agadmission decides on them by their class and the wait that agcapacity expects,
//   - agqueue queues requests of the highest priority while the host is full,
//   - agholder decides how each packet is handled.
//
// No flow depends on state that only this process has: the host holds its flows.
// The agent sends the host's packets directly to the caller, without a balancer.
//
// The tasks share these parts under one mutex, which each task holds
// for one batch of datagrams at most.
//
// # Usage
//
//	process, stop, err := agpacketagent.NewProcess(ctx, settings, parts)
//	if err != nil {
//		return err
//	}
//	defer stop()
//	return process.Run(ctx, signals)
package agpacketagent

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/admission/agadmission"
	"github.com/anvilglade/anvilglade/internal/admission/agcapacity"
	"github.com/anvilglade/anvilglade/internal/admission/agopen"
	"github.com/anvilglade/anvilglade/internal/admission/agqueue"
	"github.com/anvilglade/anvilglade/internal/flow/agholder"
	"github.com/anvilglade/anvilglade/internal/membership/agregistry"
	"github.com/anvilglade/anvilglade/internal/membership/agroster"
	"github.com/anvilglade/anvilglade/internal/observe/agdecision"
	"github.com/anvilglade/anvilglade/internal/observe/aglog"
	"github.com/anvilglade/anvilglade/internal/observe/agmetric"
	"github.com/anvilglade/anvilglade/internal/operate/agpackettask"
	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/state/agevacuation"
)

const (
	// leaveTime is how long a stopping agent continues to forward packets. In this
	// time balancers stop placing flows on its host.
	leaveTime = 150 * time.Millisecond
	// expireInterval is the time between two removals of idle flows.
	expireInterval = time.Second
)

// Parts are the dependencies of a Process.
type Parts struct {
	Codec anvilglade.PacketCodec
	Store anvilglade.Store
	// HeartbeatHandler returns the handler of the host's heartbeats.
	HeartbeatHandler func(anvilglade.HeartbeatListener) http.Handler
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

// Process is an agent of packet services.
type Process struct {
	settings    anvilglade.PlatformSettings
	parts       Parts
	log         *aglog.Logger
	incarnation anvilglade.Incarnation
	leaving     atomic.Bool
	packets     *agsocket.Socket
	hostSocket  *agsocket.Socket
	// wake triggers a status to all balancers before the interval has passed,
	// statusToNew one to newBalancers only.
	wake        chan struct{}
	statusToNew chan struct{}

	mu     sync.Mutex
	gate   *agopen.Gate
	holder *agholder.Holder
	queue  *agqueue.Queue
	// released has the buffers for packets that leave the queue.
	released forwardBuffer
	// releaseTimer fires at releaseAt, the deadline of the queue. It is stopped while
	// the queue is empty.
	releaseTimer *time.Timer
	releaseAt    time.Time
	// capacity estimates the service time and the queue limit of the host. admission
	// decides by them.
	capacity    *agcapacity.Estimator
	capacityLog capacityLog
	admission   *agadmission.Controller
	considered  consideredOpening
	sequence    anvilglade.Sequence
	// broadcasts is the number of statuses that were sent to all balancers.
	broadcasts     uint64
	admissionState agopen.Refusal
	// failing is set while the share of failed requests of the host is at least
	// failingThreshold.
	failing     bool
	evacuations *agevacuation.Set
	roster      *agroster.Roster
	// newBalancers has the balancers of the roster that have not received a status.
	newBalancers []anvilglade.IPv4
	// random selects the balancers to request a reply from.
	random    *rand.Rand
	decisions *agdecision.Log
	metrics   *agmetric.Metrics
}

// NewProcess returns a Process with open sockets, or an error if a socket cannot
// be opened. The returned function closes the sockets.
func NewProcess(ctx context.Context, settings anvilglade.PlatformSettings, parts Parts) (*Process, func(), error) {
	packets, closePackets, err := agsocket.Listen(ctx, anvilglade.Endpoint{IP: settings.IP, Port: settings.PacketPort}.AddrPort())
	if err != nil {
		return nil, nil, err
	}
	hostSocket, closeHostSocket, err := agsocket.Listen(ctx, settings.OutboundAddr.AddrPort())
	if err != nil {
		closePackets()
		return nil, nil, err
	}
	seed := uint64(time.Now().UnixNano())
	p := &Process{
		settings:    settings,
		parts:       parts,
		log:         aglog.New("packet-agent"),
		incarnation: anvilglade.Incarnation(time.Now().UnixNano()),
		packets:     packets,
		hostSocket:  hostSocket,
		wake:        make(chan struct{}, 1),
		statusToNew: make(chan struct{}, 1),
		gate: agopen.NewGate(agopen.Options{
			Service:           settings.Service,
			Address:           settings.HostAddr,
			HeartbeatInterval: settings.HeartbeatInterval,
			Started:           time.Now(),
			ColdSlack:         settings.ColdSlack,
		}),
		holder:         agholder.NewHolder(agholder.Options{Service: settings.Service.Number(), IdleTimeout: settings.MaxFlowAge}, time.Now()),
		releaseTimer:   newStoppedTimer(),
		evacuations:    agevacuation.NewSet(),
		capacity:       agcapacity.NewEstimator(0),
		admission:      agadmission.NewController(),
		admissionState: agopen.RefusalNoHeartbeat,
		roster:         agroster.NewRoster(),
		random:         rand.New(rand.NewPCG(seed, seed)),
		decisions:      agdecision.NewLog(aglog.New("packet-agent")),
		metrics:        agmetric.NewMetrics("packet-agent", settings.DataCentre),
	}
	p.roster.AddSeeds(settings.Seeds)
	p.connectQueue(p.capacity, &requestObserver{capacity: p.capacity, admission: p.admission})
	p.capacity.OnResult = p.countResult
	p.addMetrics()
	closeAll := func() {
		p.releaseTimer.Stop()
		closePackets()
		closeHostSocket()
	}
	return p, closeAll, nil
}

// Run runs the tasks until the agent has stopped after a signal, the context ends
// or a task fails.
func (p *Process) Run(ctx context.Context, signals <-chan os.Signal) error {
	group, stop, err := agtask.NewGroup(ctx)
	if err != nil {
		return err
	}
	defer stop()
	tasks := []agpackettask.Task{
		{Name: "log", Run: p.parts.LogWriter},
		{Name: "packets", Run: p.readPackets},
		{Name: "outbound", Run: p.readHostPackets},
		{Name: "heartbeats", Run: func(ctx context.Context) error {
			return agtask.ServeHTTP(ctx, p.settings.ControlAddr, p.parts.HeartbeatHandler(p))
		}},
		{Name: "ready", Run: func(ctx context.Context) error {
			return agtask.ServeHTTP(ctx, p.settings.ReadyAddr, p.parts.ReadyHandler(func() bool { return !p.leaving.Load() }))
		}},
		{Name: "metrics", Run: func(ctx context.Context) error {
			return agpackettask.ServeMetrics(ctx, p.log, p.settings.IP, p.metrics)
		}},
		{Name: "status", Run: p.sendStatus},
		{Name: "queue", Run: p.releaseExpired},
		{Name: "watch", Run: p.watchHost},
		{Name: "discover", Run: p.discover},
		{Name: "expire", Run: p.expire},
		{Name: "reload", Run: p.reload},
	}
	if err := agpackettask.Start(group, tasks); err != nil {
		return err
	}
	p.log.WithField("Node", p.settings.Node).WithField("Address", p.settings.IP).WithField("Service", p.settings.Service).Info("Agent has started.")
	select {
	case signal := <-signals:
		p.log.WithField("Signal", signal.String()).Info("Agent stops.")
		p.leaving.Store(true)
		p.broadcast()
		// The agent stops after the wait, and also if the context ends before.
		_ = agtask.Sleep(group.Context(), leaveTime)
		p.unregister(group.Context())
	case <-group.Context().Done():
	}
	group.Stop()
	p.packets.Interrupt()
	p.hostSocket.Interrupt()
	err = group.Wait()
	p.log.Info("Agent has stopped.")
	return err
}

// unregister removes this agent from the list in the store if its host has ended,
// because the VM is then removed as well.
func (p *Process) unregister(ctx context.Context) {
	p.mu.Lock()
	ended := p.gate.Ended()
	p.mu.Unlock()
	if !ended {
		return
	}
	if err := agregistry.NewRegistry(p.parts.Store, agregistry.KindAgent).Leave(ctx, p.settings.IP); err != nil {
		p.log.WithError(err).Warn("Agent cannot be removed from the list of processes.")
	}
}

func (p *Process) expire(ctx context.Context) error {
	for {
		if err := agtask.Sleep(ctx, expireInterval); err != nil {
			return err
		}
		p.mu.Lock()
		p.holder.Expire(time.Now())
		p.mu.Unlock()
	}
}

// reload adds seeds that have been added to the settings file.
func (p *Process) reload(ctx context.Context) error {
	return agpackettask.Reload(ctx, p.log, p.parts.Reload, func(settings anvilglade.PlatformSettings) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.roster.AddSeeds(settings.Seeds)
	})
}

func (p *Process) innerEndpoint(ip anvilglade.IPv4) anvilglade.Endpoint {
	return anvilglade.Endpoint{IP: ip, Port: p.settings.InnerPort}
}

func (p *Process) packetEndpoint(ip anvilglade.IPv4) anvilglade.Endpoint {
	return anvilglade.Endpoint{IP: ip, Port: p.settings.PacketPort}
}
