package agmember

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/aglog"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
)

const (
	// heartbeatTargets is the number of balancers that monitor a host.
	heartbeatTargets = 3
	// startInterval is used until the first assignment gives an interval.
	startInterval = 100 * time.Millisecond
	// silenceRounds is the number of rounds over all targets without any
	// acknowledgement after which the agent turns to its seeds.
	silenceRounds = 2
)

// SendFunc sends a sealed datagram from the datagram socket of the process.
type SendFunc func(to netip.AddrPort, kind agheader.Kind, payload []byte) error

// ReporterOptions are the settings of a Reporter.
type ReporterOptions struct {
	// Record is the host as the agent announces it. State, Sequence and
	// JoinStamp are set by the reporter.
	Record anvilglade.HostRecord
	// Seeds are datagram addresses of balancers to start with.
	Seeds []netip.AddrPort
	// Holding returns the services of which the host has established flows. It
	// may be nil.
	Holding func() []anvilglade.ServiceID
	Send    SendFunc
	Clock   anvilglade.Clock
	Events  anvilglade.Recorder
}

// Reporter is the agent's side of membership: it sends heartbeats and keeps the
// assignment that comes back. It implements anvilglade.AssignmentSource.
type Reporter struct {
	options ReporterOptions
	log     *aglog.Logger
	wake    chan struct{}

	mu             sync.Mutex
	record         anvilglade.HostRecord
	assignment     *anvilglade.HostAssignment
	assignmentHash uint64
	maxStamp       anvilglade.JoinStamp
	sendRecord     bool
	turn           int
	lastAck        time.Time
	subscribers    map[chan struct{}]struct{}
}

var _ anvilglade.AssignmentSource = (*Reporter)(nil)

// NewReporter returns a reporter in the state Joining.
func NewReporter(options ReporterOptions) *Reporter {
	record := options.Record
	record.State = anvilglade.HostJoining
	record.OwnState = anvilglade.HostJoining
	return &Reporter{
		options:     options,
		log:         aglog.New("heartbeat"),
		wake:        make(chan struct{}, 1),
		record:      record,
		sendRecord:  true,
		lastAck:     options.Clock.Now(),
		subscribers: make(map[chan struct{}]struct{}),
	}
}

// Run sends heartbeats until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.wake:
		case <-timer.C:
		}
		interval := r.beat()
		timer.Reset(interval)
	}
}

// Assignment returns the newest assignment.
func (r *Reporter) Assignment() (*anvilglade.HostAssignment, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.assignment, r.assignment != nil
}

// Record returns the host as it is announced now.
func (r *Reporter) Record() anvilglade.HostRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.record
}

// Subscribe returns a channel that gets a signal after the assignment changed.
func (r *Reporter) Subscribe() (<-chan struct{}, func()) {
	signal := make(chan struct{}, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers[signal] = struct{}{}
	return signal, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.subscribers, signal)
	}
}

// SetState announces a state of the host to all its monitors: Draining, Active
// after a drain, or Left.
func (r *Reporter) SetState(state anvilglade.HostState) {
	r.mu.Lock()
	r.setState(state)
	r.mu.Unlock()
	for range heartbeatTargets {
		r.beat()
	}
}

func (r *Reporter) setState(state anvilglade.HostState) {
	r.record.State = state
	r.record.OwnState = state
	r.record.Sequence++
	r.sendRecord = true
}

// beat sends one heartbeat to the next target and returns the time to the next
// one.
func (r *Reporter) beat() time.Duration {
	holding := r.holding()
	r.mu.Lock()
	r.announceServices(holding)
	targets := r.targets()
	interval := startInterval
	if r.assignment != nil {
		interval = time.Duration(r.assignment.HeartbeatInterval)
	}
	if len(targets) == 0 {
		r.mu.Unlock()
		return interval
	}
	target := targets[r.turn%len(targets)]
	r.turn++
	heartbeat := Heartbeat{
		Time:           r.options.Events.Now(),
		Host:           r.record.Host,
		RecordVersion:  hostVersion(&r.record),
		AssignmentHash: r.assignmentHash,
	}
	if r.sendRecord {
		record := r.record
		heartbeat.Record = &record
		r.sendRecord = r.turn%len(targets) != 0
	}
	r.mu.Unlock()
	if err := r.send(target, &heartbeat); err != nil {
		r.log.WithError(err).WithField("To", target).Debug("Heartbeat was not sent.")
	}
	return interval
}

func (r *Reporter) send(target netip.AddrPort, heartbeat *Heartbeat) error {
	payload, err := cbor.Marshal(heartbeat)
	if err != nil {
		return fmt.Errorf("encode heartbeat: %w", err)
	}
	return r.options.Send(target, agheader.KindHeartbeat, payload)
}

// targets returns the balancers that monitor this host, or the seeds while no
// balancer is known or none has answered for some rounds.
func (r *Reporter) targets() []netip.AddrPort {
	if r.assignment == nil || len(r.assignment.Balancers) == 0 {
		return r.options.Seeds
	}
	var targets []netip.AddrPort
	for _, balancer := range r.assignment.Balancers[:min(heartbeatTargets, len(r.assignment.Balancers))] {
		targets = append(targets, balancer.DatagramAddress)
	}
	silence := r.options.Clock.Now().Sub(r.lastAck)
	round := time.Duration(r.assignment.HeartbeatInterval) * heartbeatTargets
	if silence <= silenceRounds*round {
		return targets
	}
	for _, balancer := range r.assignment.Balancers[len(targets):] {
		targets = append(targets, balancer.DatagramAddress)
	}
	return append(targets, r.options.Seeds...)
}

// HandleAck takes the payload of an acknowledgement. It returns an error for a
// malformed one and leaves the state as it was.
func (r *Reporter) HandleAck(payload []byte) error {
	ack, err := parseHeartbeatAck(payload)
	if err != nil {
		return err
	}
	r.options.Events.Observe(ack.Time)
	if ack.ReplyTo.IsValid() {
		return r.answerProbe(ack.ReplyTo)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastAck = r.options.Clock.Now()
	r.maxStamp = max(r.maxStamp, ack.MaxJoinStamp)
	if ack.SendRecord {
		r.sendRecord = true
	}
	changed := r.handleClaim(ack)
	if r.record.JoinStamp == 0 {
		r.join()
		changed = true
	}
	if ack.Assignment != nil && r.adopt(ack) {
		changed = true
	}
	if changed {
		r.signal(r.wake)
	}
	return nil
}

// answerProbe sends a heartbeat to a balancer that hears nothing of this host,
// such as one that took over from others that it has lost.
func (r *Reporter) answerProbe(balancer netip.AddrPort) error {
	r.mu.Lock()
	record := r.record
	heartbeat := Heartbeat{
		Time:           r.options.Events.Now(),
		Host:           record.Host,
		RecordVersion:  hostVersion(&record),
		Record:         &record,
		AssignmentHash: r.assignmentHash,
	}
	r.mu.Unlock()
	return r.send(balancer, &heartbeat)
}

// handleClaim refutes a claim that this host is Suspect or Dead.
func (r *Reporter) handleClaim(ack *HeartbeatAck) bool {
	if ack.Claimed == nil || *ack.Claimed < r.record.Sequence || r.record.OwnState == anvilglade.HostLeft {
		return false
	}
	r.record.Sequence = *ack.Claimed
	r.record.AcceptStamp = r.drawStamp()
	r.setState(r.record.OwnState)
	r.log.WithField("Sequence", r.record.Sequence).Warn("Host was claimed to be unreachable; the claim is refuted.")
	return true
}

// join takes a join stamp above all that the balancer knows, so that this host
// is younger than every host that may hold flows.
func (r *Reporter) join() {
	r.record.JoinStamp = r.drawStamp()
	r.record.AcceptStamp = r.record.JoinStamp
	if r.record.OwnState == anvilglade.HostJoining {
		r.setState(anvilglade.HostActive)
	}
	r.sendRecord = true
}

// drawStamp returns a stamp above all that this agent has heard of.
func (r *Reporter) drawStamp() anvilglade.JoinStamp {
	r.maxStamp = max(anvilglade.JoinStamp(r.options.Events.Now()), r.maxStamp+1)
	return r.maxStamp
}

func (r *Reporter) holding() []anvilglade.ServiceID {
	if r.options.Holding == nil {
		return nil
	}
	return r.options.Holding()
}

// announceServices puts the service that takes new flows and those with
// established flows into the record.
func (r *Reporter) announceServices(holding []anvilglade.ServiceID) {
	if r.assignment == nil {
		return
	}
	services := [anvilglade.MaxHostServices]anvilglade.ServiceID{r.assignment.Service}
	next := 1
	for _, service := range holding {
		if service != r.assignment.Service && next < len(services) {
			services[next] = service
			next++
		}
	}
	if services == r.record.Services {
		return
	}
	r.record.Services = services
	r.record.Sequence++
	r.sendRecord = true
}

// adopt takes an assignment unless it rests on a lower revision or on older keys.
func (r *Reporter) adopt(ack *HeartbeatAck) bool {
	if r.assignment != nil && (ack.Assignment.Revision < r.assignment.Revision || ack.Assignment.KeysAt < r.assignment.KeysAt) {
		return false
	}
	if r.assignment != nil && acceptsAnew(r.assignment, ack.Assignment) {
		r.record.AcceptStamp = r.drawStamp()
		r.record.Sequence++
		r.sendRecord = true
	}
	r.assignment = ack.Assignment
	r.assignmentHash = ack.AssignmentHash
	for signal := range r.subscribers {
		r.signal(signal)
	}
	return true
}

// acceptsAnew reports whether the host begins to take new flows of a service
// that it did not take before.
func acceptsAnew(before, after *anvilglade.HostAssignment) bool {
	return accepting(after) && (!accepting(before) || before.Service != after.Service)
}

func accepting(assignment *anvilglade.HostAssignment) bool {
	return assignment.Service != "" && !assignment.Draining && assignment.DataCentreState == anvilglade.DataCentreIn
}

func (*Reporter) signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
