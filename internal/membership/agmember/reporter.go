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
	// missedAckRounds is the number of rounds over all targets without any
	// acknowledgement after which the agent also sends to its seeds.
	missedAckRounds = 2
)

// SendFunc seals a datagram and sends it from the datagram socket of the process.
type SendFunc func(to netip.AddrPort, kind agheader.Kind, payload []byte) error

// ReporterOptions are the settings of a Reporter.
type ReporterOptions struct {
	// Record is the host record that the agent announces. The reporter sets
	// State, Sequence and JoinStamp.
	Record anvilglade.HostRecord
	// Seeds are the datagram addresses of the balancers to contact at start.
	Seeds []netip.AddrPort
	// ServicesWithFlows returns the services for which the host has established
	// flows. It may be nil.
	ServicesWithFlows func() []anvilglade.ServiceID
	Send              SendFunc
	Clock             anvilglade.Clock
	Events            anvilglade.Recorder
}

// Reporter is the agent's part of the membership protocol. It sends heartbeats
// and stores the assignment from the acknowledgements. It implements
// anvilglade.AssignmentSource and is safe for concurrent use.
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
	nextTarget     int
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

// Run sends heartbeats until ctx is done. It returns ctx.Err().
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
		interval := r.sendHeartbeat()
		timer.Reset(interval)
	}
}

// Assignment returns the current assignment; the second result is false before
// the first one.
func (r *Reporter) Assignment() (*anvilglade.HostAssignment, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.assignment, r.assignment != nil
}

// Record returns the host record that is announced at present.
func (r *Reporter) Record() anvilglade.HostRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.record
}

// Subscribe returns a channel that receives a signal after the assignment has
// changed, and a function that ends the subscription.
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

// SetState sets the state of the host and announces it to all balancers that
// monitor the host. State is Draining, Active after a drain, or Left.
func (r *Reporter) SetState(state anvilglade.HostState) {
	r.mu.Lock()
	r.setState(state)
	r.mu.Unlock()
	for range heartbeatTargets {
		r.sendHeartbeat()
	}
}

func (r *Reporter) setState(state anvilglade.HostState) {
	r.record.State = state
	r.record.OwnState = state
	r.record.Sequence++
	r.sendRecord = true
}

// sendHeartbeat sends one heartbeat to the next target and returns the time until
// the next heartbeat.
func (r *Reporter) sendHeartbeat() time.Duration {
	flowServices := r.flowServices()
	r.mu.Lock()
	r.announceServices(flowServices)
	targets := r.targets()
	interval := startInterval
	if r.assignment != nil {
		interval = time.Duration(r.assignment.HeartbeatInterval)
	}
	if len(targets) == 0 {
		r.mu.Unlock()
		return interval
	}
	target := targets[r.nextTarget%len(targets)]
	r.nextTarget++
	heartbeat := Heartbeat{
		Time:           r.options.Events.Now(),
		Host:           r.record.Host,
		RecordVersion:  hostVersion(&r.record),
		AssignmentHash: r.assignmentHash,
	}
	if r.sendRecord {
		record := r.record
		heartbeat.Record = &record
		r.sendRecord = r.nextTarget%len(targets) != 0
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

// targets returns the balancers that monitor this host, or the seeds if there is
// no assignment. After missedAckRounds without an acknowledgement it returns all
// balancers of the assignment and the seeds.
func (r *Reporter) targets() []netip.AddrPort {
	if r.assignment == nil || len(r.assignment.Balancers) == 0 {
		return r.options.Seeds
	}
	var targets []netip.AddrPort
	for _, balancer := range r.assignment.Balancers[:min(heartbeatTargets, len(r.assignment.Balancers))] {
		targets = append(targets, balancer.DatagramAddress)
	}
	sinceAck := r.options.Clock.Now().Sub(r.lastAck)
	round := time.Duration(r.assignment.HeartbeatInterval) * heartbeatTargets
	if sinceAck <= missedAckRounds*round {
		return targets
	}
	for _, balancer := range r.assignment.Balancers[len(targets):] {
		targets = append(targets, balancer.DatagramAddress)
	}
	return append(targets, r.options.Seeds...)
}

// HandleAck processes the payload of an acknowledgement or a probe. It returns an
// error and leaves the state unchanged if the payload is malformed.
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
	if ack.Assignment != nil && r.adoptAssignment(ack) {
		changed = true
	}
	if changed {
		r.signal(r.wake)
	}
	return nil
}

// answerProbe sends a heartbeat to a balancer that receives no heartbeats of this
// host, such as one that has lost its peers and took over from them.
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
	r.record.AcceptStamp = r.nextStamp()
	r.setState(r.record.OwnState)
	r.log.WithField("Sequence", r.record.Sequence).Warn("Host was claimed to be unreachable; the claim is refuted.")
	return true
}

// join sets a join stamp above all stamps in the balancer's view, so that every
// host that may hold flows has an earlier stamp than this host.
func (r *Reporter) join() {
	r.record.JoinStamp = r.nextStamp()
	r.record.AcceptStamp = r.record.JoinStamp
	if r.record.OwnState == anvilglade.HostJoining {
		r.setState(anvilglade.HostActive)
	}
	r.sendRecord = true
}

// nextStamp returns a stamp above all stamps that this agent has received or
// used.
func (r *Reporter) nextStamp() anvilglade.JoinStamp {
	r.maxStamp = max(anvilglade.JoinStamp(r.options.Events.Now()), r.maxStamp+1)
	return r.maxStamp
}

func (r *Reporter) flowServices() []anvilglade.ServiceID {
	if r.options.ServicesWithFlows == nil {
		return nil
	}
	return r.options.ServicesWithFlows()
}

// announceServices writes the service that accepts new flows and the services
// with established flows to the record.
func (r *Reporter) announceServices(flowServices []anvilglade.ServiceID) {
	if r.assignment == nil {
		return
	}
	services := [anvilglade.MaxHostServices]anvilglade.ServiceID{r.assignment.Service}
	next := 1
	for _, service := range flowServices {
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

// adoptAssignment replaces the assignment and reports whether it did. It rejects
// an assignment of a lower revision or with older keys.
func (r *Reporter) adoptAssignment(ack *HeartbeatAck) bool {
	if r.assignment != nil && (ack.Assignment.Revision < r.assignment.Revision || ack.Assignment.KeysAt < r.assignment.KeysAt) {
		return false
	}
	if r.assignment != nil && startsAccepting(r.assignment, ack.Assignment) {
		r.record.AcceptStamp = r.nextStamp()
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

// startsAccepting reports whether the host starts to accept new flows of a
// service that it did not accept before.
func startsAccepting(before, after *anvilglade.HostAssignment) bool {
	return acceptsFlows(after) && (!acceptsFlows(before) || before.Service != after.Service)
}

func acceptsFlows(assignment *anvilglade.HostAssignment) bool {
	return assignment.Service != "" && !assignment.Draining && assignment.DataCentreState == anvilglade.DataCentreIn
}

func (*Reporter) signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
