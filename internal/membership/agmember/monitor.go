// Package agmember maintains the membership of hosts and balancers.
//
// The Reporter of an agent announces its host to three balancers in its data
// centre and sends one heartbeat to each of them in turn. The Monitor of a
// balancer replies with the assignment of the host and publishes changes, not
// heartbeats, as replicated records. A balancer claims that a host whose
// heartbeats are missing is Suspect. Any balancer that still receives heartbeats
// of the host refutes the claim; otherwise the host is declared Dead after two
// seconds. The host itself overrides every claim with a higher sequence, so a
// host that was paused or unreachable returns with its flows.
//
// No record depends on a lease or on a write to the object API. Each record is
// owned by the host or balancer that it describes and is rebuilt from heartbeats
// within seconds.
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

// Events and states of balancer.yaml that the code uses.
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
	// pauseThreshold is the gap between two ticks above which this process is
	// assumed to have been paused. Missing heartbeats then do not indicate that
	// the hosts have stopped.
	pauseThreshold = time.Second
	// suspectSlack is the time added to one round of heartbeats before a claim.
	suspectSlack = time.Second
	// recentHeartbeat is the maximum age of a heartbeat that refutes a claim.
	recentHeartbeat = 1500 * time.Millisecond
	// deadAfter is the time in which a claim can be refuted before the host is
	// declared Dead.
	deadAfter = 2 * time.Second
	// maxDoublings is the maximum number of times that refuted claims double the
	// time without heartbeats before the next claim. Without the doubling, a
	// balancer that cannot be reached by one live host publishes a claim with every
	// tick.
	maxDoublings = 5
	// probesBeforeClaim is the number of probes, one per tick, that are sent to a
	// host whose heartbeats are missing. A balancer that has lost its peers
	// computes that it monitors hosts that report to other balancers; without
	// probes it declared them dead.
	probesBeforeClaim = 4
	// A balancer that monitors at least minMonitored hosts and receives
	// heartbeats from less than one in isolatedDivisor of them makes no claims.
	isolatedDivisor = 4
	minMonitored    = 3
)

// MonitorOptions are the settings of a Monitor.
type MonitorOptions struct {
	// Self is the record of this balancer. The monitor sets Incarnation, Sequence
	// and Living.
	Self    anvilglade.BalancerRecord
	Replica anvilglade.Replica
	Send    SendFunc
	Clock   anvilglade.Clock
	Events  anvilglade.Recorder
	// Configuration returns the configuration in effect, nil before the first.
	Configuration func() *anvilglade.Configuration
	// Service returns the service of a host under that configuration.
	Service func(anvilglade.HostID) (anvilglade.ServiceID, bool)
	// Keys returns the keys in effect and their version.
	Keys func() (anvilglade.KeyBundle, anvilglade.Version)
}

// Monitor is the balancer's part of the membership protocol. It is safe for
// concurrent use.
type Monitor struct {
	options    MonitorOptions
	log        *aglog.Logger
	hostStates *agchart.Chart
	// balancerStates is the state chart of other balancers, selfState the state
	// machine of this balancer.
	balancerStates *agchart.Chart
	selfState      *fsm.FSM
	view           atomic.Pointer[view]

	mu   sync.Mutex
	self anvilglade.BalancerRecord
	// heartbeats is the time of the last heartbeat of each host, or the start of
	// its grace period.
	heartbeats     map[anvilglade.HostID]time.Time
	observedClaims map[anvilglade.HostID]observedClaim
	// refutedClaims counts the claims of this balancer about a host since it
	// received the host's last heartbeat. All but the latest claim have been
	// refuted by other balancers.
	refutedClaims map[anvilglade.HostID]int
	// probes counts the probes sent to a host since its last heartbeat.
	probes      map[anvilglade.HostID]int
	lastTick    time.Time
	assignment  assignmentCache
	subscribers map[chan struct{}]struct{}
}

// observedClaim is the version of a host record that contains a claim, and the
// time at which this balancer first received it.
type observedClaim struct {
	version anvilglade.Version
	since   time.Time
}

// NewMonitor returns a monitor and publishes the record of this balancer. It
// returns an error if a state chart or the record is invalid.
func NewMonitor(options MonitorOptions) (*Monitor, error) {
	hostStates, err := agchart.Load(hostChart)
	if err != nil {
		return nil, err
	}
	balancerStates, err := agchart.Load(balancerChart)
	if err != nil {
		return nil, err
	}
	m := &Monitor{
		options:        options,
		log:            aglog.New("member"),
		hostStates:     hostStates,
		balancerStates: balancerStates,
		selfState:      balancerStates.NewMachine(),
		self:           options.Self,
		heartbeats:     make(map[anvilglade.HostID]time.Time),
		observedClaims: make(map[anvilglade.HostID]observedClaim),
		refutedClaims:  make(map[anvilglade.HostID]int),
		probes:         make(map[anvilglade.HostID]int),
		lastTick:       options.Clock.Now(),
		subscribers:    make(map[chan struct{}]struct{}),
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

// Members returns the members in the current view.
func (m *Monitor) Members() *anvilglade.Members {
	return &m.view.Load().members
}

// Subscribe returns a channel that receives a signal after the view has changed,
// and a function that ends the subscription.
func (m *Monitor) Subscribe() (<-chan struct{}, func()) {
	signal := make(chan struct{}, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers[signal] = struct{}{}
	return signal, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.subscribers, signal)
	}
}

// Run maintains the view and claims hosts whose heartbeats are missing until ctx
// is done. It returns ctx.Err().
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
		// Batch changes that arrive together, such as the loss of a data centre,
		// into one rebuild.
		time.Sleep(refreshPause)
	}
}

// Leave publishes that this balancer stops. It returns an error if the balancer
// has already stopped.
func (m *Monitor) Leave() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.selfState.Event(context.Background(), eventStop); err != nil {
		return fmt.Errorf("stop balancer: %w", err)
	}
	m.self.Living = false
	return m.publishSelf()
}

// PeerLost claims that a balancer is lost after the connection to it has ended.
// The balancer refutes the claim if it is still running.
func (m *Monitor) PeerLost(id anvilglade.BalancerID) {
	record, ok := m.options.Replica.Get(anvilglade.RecordBalancer, string(id))
	if !ok {
		return
	}
	balancer, err := recordToBalancer(record)
	if err != nil || !m.balancerStates.Allows(balancerState(&balancer), eventLose) {
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

// HandleHeartbeat processes the payload of a heartbeat and sends the
// acknowledgement to from. It returns an error if the heartbeat is malformed or
// comes from an earlier incarnation, or if the acknowledgement cannot be sent.
func (m *Monitor) HandleHeartbeat(from netip.AddrPort, payload []byte) error {
	heartbeat, err := parseHeartbeat(payload)
	if err != nil {
		return err
	}
	m.options.Events.Observe(heartbeat.Time)
	stored, exists := m.view.Load().host(heartbeat.Host)
	if exists && anvilglade.Version(stored.Incarnation) > heartbeat.RecordVersion {
		return fmt.Errorf("heartbeat of host %s is from an earlier process than incarnation %d", heartbeat.Host, stored.Incarnation)
	}
	m.mu.Lock()
	m.heartbeats[heartbeat.Host] = m.options.Clock.Now()
	delete(m.refutedClaims, heartbeat.Host)
	delete(m.probes, heartbeat.Host)
	m.mu.Unlock()
	ack := HeartbeatAck{Time: m.options.Events.Now(), Balancer: m.options.Self.Balancer}
	if err := m.updateRecord(heartbeat, stored, exists, &ack); err != nil {
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

// updateRecord publishes a host record that is newer than the stored one and sets
// the fields of the acknowledgement that the agent has to act on.
func (m *Monitor) updateRecord(heartbeat *Heartbeat, stored anvilglade.HostRecord, exists bool, ack *HeartbeatAck) error {
	if heartbeat.Record != nil && heartbeat.Record.JoinStamp == 0 {
		ack.MaxJoinStamp = m.view.Load().maxJoinStamp
		return nil
	}
	if !exists || hostVersion(&stored) < heartbeat.RecordVersion {
		ack.SendRecord = heartbeat.Record == nil
		return m.publishHost(heartbeat.Record, stored.Incarnation)
	}
	switch stored.State {
	case anvilglade.HostSuspect:
		m.claim(stored, eventRefute, stored.OwnState)
	case anvilglade.HostDead:
		ack.Claimed = &stored.Sequence
	default:
	}
	return nil
}

// publishHost publishes the record of a host. Previous is the incarnation in the
// stored record, 0 for a new host.
func (m *Monitor) publishHost(host *anvilglade.HostRecord, previous anvilglade.Incarnation) error {
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
		if host.Incarnation != previous {
			event = agevent.HostJoined
		}
		m.options.Events.Record(anvilglade.Event{
			Type: event, Host: host.Host, DataCentre: host.DataCentre, Detail: string(host.State),
		})
	}
	return nil
}

// refresh rebuilds the view from the replica and signals the subscribers.
func (m *Monitor) refresh() {
	m.refuteReachableHosts()
	m.mu.Lock()
	defer m.mu.Unlock()
	next := newView(m.options.Replica, m.view.Load(), m.options.Self.Balancer)
	m.view.Store(next)
	m.assignment.clear()
	if err := m.refuteSelf(next); err != nil {
		m.log.WithError(err).Error("Claim about this balancer was not refuted.")
	}
	for signal := range m.subscribers {
		select {
		case signal <- struct{}{}:
		default:
		}
	}
}

// refuteSelf increments the sequence of this balancer if another balancer has
// claimed that it is lost.
func (m *Monitor) refuteSelf(current *view) error {
	if current.selfLive || !m.balancerStates.Allows(balancerLost, eventRefute) || m.selfState.Current() != balancerLiving {
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
