// Package agmember keeps the membership of hosts and balancers.
//
// An agent announces its host to three balancers of its data centre, one
// heartbeat in turn to each (Reporter). A balancer answers with the assignment of
// the host and publishes changes, not heartbeats, as replicated records
// (Monitor). A host that is silent is claimed to be Suspect; any balancer that
// still hears it refutes the claim; otherwise the host is Dead after two
// seconds. The host itself overrules every claim with a higher sequence, so a
// host that was paused or cut off returns with its flows.
//
// No record rests on a lease or on a write to the object API: the records
// belong to their subjects and are rebuilt from heartbeats within seconds.
//
// # Usage
//
// At a balancer:
//
//	monitor := agmember.NewMonitor(agmember.MonitorOptions{...})
//	if err := group.Start("monitor", monitor.Run); err != nil {
//		return err
//	}
//	err := monitor.HandleHeartbeat(from, payload)
//	members := monitor.Members()
//
// At an agent:
//
//	reporter := agmember.NewReporter(agmember.ReporterOptions{...})
//	if err := group.Start("heartbeat", reporter.Run); err != nil {
//		return err
//	}
//	assignment, ok := reporter.Assignment()
package agmember

import (
	"context"
	_ "embed"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/looplab/fsm"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
	"github.com/anvilglade/anvilglade/internal/observe/aglog"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
	"github.com/anvilglade/anvilglade/internal/state/agchart"
)

//go:embed host.yaml
var hostChart []byte

//go:embed balancer.yaml
var balancerChart []byte

// Events and states of balancer.yaml that the code names.
const (
	balancerLiving = "Living"
	balancerLost   = "Lost"
	eventLose      = "Lose"
	eventRefute    = "Refute"
	eventStop      = "Stop"
)

const (
	refreshPause = 20 * time.Millisecond
	tickInterval = 200 * time.Millisecond
	// pauseGap is a gap between two ticks after which this process counts as
	// having been paused, so its silence says nothing about the hosts.
	pauseGap = time.Second
	// suspectSlack is added to one round of heartbeats before a claim.
	suspectSlack = time.Second
	// recentlyHeard is the age of a heartbeat that refutes a claim.
	recentlyHeard = 1500 * time.Millisecond
	// deadAfter is the time for refutations of a claim.
	deadAfter = 2 * time.Second
	// maxDoublings bounds how often a refuted claim doubles the silence before
	// the next claim. Without it a balancer that is cut off from one living
	// host publishes a claim with every tick.
	maxDoublings = 5
	// probesBeforeClaim are sent to a silent host, one each tick. A balancer that
	// has lost its peers believes itself to be the monitor of hosts that report
	// to others; without probes it declared them dead.
	probesBeforeClaim = 4
	// A balancer that hears less than one in isolatedPart of its hosts, of which
	// there are at least leastMonitored, makes no claims.
	isolatedPart   = 4
	leastMonitored = 3
)

// MonitorOptions are the settings of a Monitor.
type MonitorOptions struct {
	// Self is this balancer; Incarnation, Sequence and Living are set by the
	// monitor.
	Self    anvilglade.BalancerRecord
	Replica anvilglade.Replica
	Send    SendFunc
	Clock   anvilglade.Clock
	Events  anvilglade.Recorder
	// Configuration returns the configuration in force, nil before the first.
	Configuration func() *anvilglade.Configuration
	// Service returns the service of a host under that configuration.
	Service func(anvilglade.HostID) (anvilglade.ServiceID, bool)
	// Keys returns the keys in force and their version.
	Keys func() (anvilglade.KeyBundle, anvilglade.Version)
}

// Monitor is the balancer's side of membership. It is safe for concurrent use.
type Monitor struct {
	options MonitorOptions
	log     *aglog.Logger
	hosts   *agchart.Chart
	// balancers is the chart of other balancers, life this one's own.
	balancers *agchart.Chart
	life      *fsm.FSM
	view      atomic.Pointer[view]

	mu        sync.Mutex
	self      anvilglade.BalancerRecord
	heard     map[anvilglade.HostID]time.Time
	suspected map[anvilglade.HostID]suspicion
	// refuted counts the claims of this balancer that others refuted since it
	// heard the host itself.
	refuted map[anvilglade.HostID]int
	// probes counts the probes of a silent host.
	probes     map[anvilglade.HostID]int
	lastTick   time.Time
	assignment assignmentCache
	signals    map[chan struct{}]struct{}
}

// suspicion is a claim on a host with the time at which this balancer saw it.
type suspicion struct {
	version anvilglade.Version
	since   time.Time
}

// NewMonitor returns a monitor and publishes the record of this balancer.
func NewMonitor(options MonitorOptions) (*Monitor, error) {
	hosts, err := agchart.Load(hostChart)
	if err != nil {
		return nil, err
	}
	balancers, err := agchart.Load(balancerChart)
	if err != nil {
		return nil, err
	}
	m := &Monitor{
		options:   options,
		log:       aglog.New("member"),
		hosts:     hosts,
		balancers: balancers,
		life:      balancers.NewMachine(),
		self:      options.Self,
		heard:     make(map[anvilglade.HostID]time.Time),
		suspected: make(map[anvilglade.HostID]suspicion),
		refuted:   make(map[anvilglade.HostID]int),
		probes:    make(map[anvilglade.HostID]int),
		lastTick:  options.Clock.Now(),
		signals:   make(map[chan struct{}]struct{}),
	}
	m.self.Incarnation = anvilglade.Incarnation(options.Clock.Now().UnixNano())
	m.self.Living = true
	m.view.Store(newView(nil, nil, options.Self.Balancer))
	if err := m.publishSelf(); err != nil {
		return nil, err
	}
	m.refresh()
	return m, nil
}

// Members returns the current view.
func (m *Monitor) Members() *anvilglade.Members {
	return &m.view.Load().members
}

// Subscribe returns a channel that gets a signal after the view has changed,
// and a function that ends the subscription.
func (m *Monitor) Subscribe() (<-chan struct{}, func()) {
	signal := make(chan struct{}, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.signals[signal] = struct{}{}
	return signal, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.signals, signal)
	}
}

// Run keeps the view and claims silent hosts until ctx ends.
func (m *Monitor) Run(ctx context.Context) error {
	hosts, endHosts := m.options.Replica.Subscribe(anvilglade.RecordHost)
	defer endHosts()
	balancers, endBalancers := m.options.Replica.Subscribe(anvilglade.RecordBalancer)
	defer endBalancers()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hosts:
			m.refresh()
		case <-balancers:
			m.refresh()
		case <-tick.C:
			m.Tick()
			continue
		}
		// Changes that come together, such as the loss of a data centre, share
		// one rebuild.
		time.Sleep(refreshPause)
	}
}

// Leave publishes that this balancer stops.
func (m *Monitor) Leave() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.life.Event(context.Background(), eventStop); err != nil {
		return fmt.Errorf("stop balancer: %w", err)
	}
	m.self.Living = false
	return m.publishSelf()
}

// PeerLost claims that a balancer is dead after the connection to it was lost.
// The balancer refutes the claim if it lives.
func (m *Monitor) PeerLost(id anvilglade.BalancerID) {
	record, ok := m.options.Replica.Get(anvilglade.RecordBalancer, string(id))
	if !ok {
		return
	}
	balancer, err := recordToBalancer(record)
	if err != nil || !m.balancers.Allows(balancerState(&balancer), eventLose) {
		return
	}
	balancer.Living = false
	claim, err := balancerToRecord(&balancer)
	if err != nil {
		m.log.WithError(err).Error("Claim was not encoded.")
		return
	}
	if m.options.Replica.Put(claim) {
		m.log.WithField("Balancer", id).Warn("Balancer is lost.")
		m.options.Events.Record(anvilglade.Event{Type: agevent.BalancerLost, Detail: string(id)})
	}
}

// HandleHeartbeat takes the payload of a heartbeat and answers it. It returns
// an error for a malformed one.
func (m *Monitor) HandleHeartbeat(from netip.AddrPort, payload []byte) error {
	heartbeat, err := parseHeartbeat(payload)
	if err != nil {
		return err
	}
	m.options.Events.Observe(heartbeat.Time)
	known, exists := m.view.Load().host(heartbeat.Host)
	if exists && anvilglade.Version(known.Incarnation) > heartbeat.RecordVersion {
		return fmt.Errorf("heartbeat of host %s comes from a process older than incarnation %d", heartbeat.Host, known.Incarnation)
	}
	m.mu.Lock()
	m.heard[heartbeat.Host] = m.options.Clock.Now()
	delete(m.refuted, heartbeat.Host)
	delete(m.probes, heartbeat.Host)
	m.mu.Unlock()
	ack := HeartbeatAck{Time: m.options.Events.Now(), Balancer: m.options.Self.Balancer}
	if err := m.takeRecord(heartbeat, known, exists, &ack); err != nil {
		return err
	}
	if err := m.addAssignment(heartbeat, &ack); err != nil {
		return err
	}
	if ack.Assignment != nil || ack.Claimed != nil {
		ack.MaxJoinStamp = m.view.Load().maxJoinStamp
	}
	answer, err := cbor.Marshal(&ack)
	if err != nil {
		return fmt.Errorf("encode acknowledgement: %w", err)
	}
	return m.options.Send(from, agheader.KindHeartbeatAck, answer)
}

// takeRecord publishes what is new in a heartbeat and notes in the answer what
// the agent has to do.
func (m *Monitor) takeRecord(heartbeat *Heartbeat, known anvilglade.HostRecord, exists bool, ack *HeartbeatAck) error {
	if heartbeat.Record != nil && heartbeat.Record.JoinStamp == 0 {
		ack.MaxJoinStamp = m.view.Load().maxJoinStamp
		return nil
	}
	if !exists || hostVersion(&known) < heartbeat.RecordVersion {
		ack.SendRecord = heartbeat.Record == nil
		return m.publishHost(heartbeat.Record, known.Incarnation)
	}
	switch known.State {
	case anvilglade.HostSuspect:
		m.claim(known, eventRefute, known.OwnState)
	case anvilglade.HostDead:
		ack.Claimed = &known.Sequence
	default:
	}
	return nil
}

// publishHost publishes the record of an agent. Known is the incarnation that was
// known before, 0 for a new host.
func (m *Monitor) publishHost(host *anvilglade.HostRecord, known anvilglade.Incarnation) error {
	if host == nil {
		return nil
	}
	host.Claim = 0
	host.State = host.OwnState
	record, err := hostToRecord(host)
	if err != nil {
		return err
	}
	if m.options.Replica.Put(record) {
		event := agevent.HostStateChanged
		if host.Incarnation != known {
			event = agevent.HostJoined
		}
		m.options.Events.Record(anvilglade.Event{
			Type: event, Host: host.Host, DataCentre: host.DataCentre, Detail: string(host.State),
		})
	}
	return nil
}

// refresh rebuilds the view from the replica and tells the subscribers.
func (m *Monitor) refresh() {
	m.refuteHeard()
	m.mu.Lock()
	defer m.mu.Unlock()
	next := newView(m.options.Replica, m.view.Load(), m.options.Self.Balancer)
	m.view.Store(next)
	m.assignment.clear()
	if err := m.refuteSelf(next); err != nil {
		m.log.WithError(err).Error("Claim about this balancer was not refuted.")
	}
	for signal := range m.signals {
		select {
		case signal <- struct{}{}:
		default:
		}
	}
}

// refuteSelf raises the sequence of this balancer when another one claimed that
// it is dead.
func (m *Monitor) refuteSelf(current *view) error {
	if current.selfLiving || !m.balancers.Allows(balancerLost, eventRefute) || m.life.Current() != balancerLiving {
		return nil
	}
	m.self.Sequence++
	return m.publishSelf()
}

func balancerState(balancer *anvilglade.BalancerRecord) string {
	if balancer.Living {
		return balancerLiving
	}
	return balancerLost
}

func (m *Monitor) publishSelf() error {
	record, err := balancerToRecord(&m.self)
	if err != nil {
		return err
	}
	m.options.Replica.Put(record)
	return nil
}
