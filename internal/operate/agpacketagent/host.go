package agpacketagent

// Heartbeats of the host, and the detection of a host that has terminated without
// a message.

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/admission/agopen"
	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
)

const (
	// watchInterval is the time between two checks of how long the host has not
	// answered packets.
	watchInterval = 50 * time.Millisecond
	// suspectAfter is the time without an answer to a delivered packet after which
	// the agent checks whether the host still listens. A running host acknowledges
	// within milliseconds.
	suspectAfter = 250 * time.Millisecond
	// checkInterval is the minimum time between two checks, each of which opens a
	// connection.
	checkInterval = time.Second
	// checkTimeout is the timeout of a check. The host is on the same VM.
	checkTimeout = 200 * time.Millisecond
	// failingThreshold is the share of failed requests at which the agent sends a
	// status to balancers at once.
	failingThreshold = 0.25
)

var _ anvilglade.HeartbeatListener = (*Process)(nil)

// Heartbeat handles a heartbeat of the host and reports whether it is
// acknowledged. A heartbeat of an earlier boot is not acknowledged.
func (p *Process) Heartbeat(heartbeat anvilglade.HostHeartbeat) bool {
	now := time.Now()
	p.mu.Lock()
	previous, ok := p.gate.Host()
	previousBorn, previousDraining := previous.Born, previous.Draining
	result := p.gate.Heartbeat(heartbeat, now)
	newBoot := !ok || !previousBorn.Equal(heartbeat.Born)
	if result == agopen.HeartbeatNew {
		p.updateHost(&heartbeat, newBoot && p.gate.HasAllFlows(), now)
	}
	changed := p.updateAdmissionState(now)
	p.mu.Unlock()
	if result == agopen.HeartbeatNew && (newBoot || previousDraining != heartbeat.Draining) {
		p.log.WithField("Host", heartbeat.Host).WithField("Born", heartbeat.Born.UnixMilli()).WithField("Draining", heartbeat.Draining).WithField("Sequence", heartbeat.Sequence).WithField("Complete", p.hasAllFlows()).
			WithField("ColdLeft", heartbeat.ColdLeft.String()).Info("Host has changed its state.")
	}
	if changed {
		p.wakeStatus()
	}
	return result == agopen.HeartbeatNew
}

// Leave handles the message that the host ends.
func (p *Process) Leave(host anvilglade.HostID) {
	p.mu.Lock()
	left := p.gate.Leave(host)
	if left {
		p.resetEstimates(time.Now())
	}
	p.updateAdmissionState(time.Now())
	p.mu.Unlock()
	if left {
		p.log.WithField("Host", host).Info("Host has left.")
		p.wakeStatus()
	}
}

// BadHeartbeat counts and logs a heartbeat that cannot be decoded.
func (p *Process) BadHeartbeat(err error) {
	p.metrics.Malformed.WithLabelValues("Heartbeat").Inc()
	p.log.WithError(err).Warn("Heartbeat cannot be decoded and is ignored.")
}

// updateAdmissionState updates and logs the admission state, and reports whether
// the host has started or stopped taking new flows. The caller holds the mutex.
func (p *Process) updateAdmissionState(now time.Time) bool {
	admissionState := p.gate.AdmissionState(now)
	if admissionState == p.admissionState {
		return false
	}
	p.log.WithField("Before", string(p.admissionState)).WithField("Now", string(admissionState)).Info("Standing for new flows has changed; empty means that they are taken.")
	changed := (admissionState == agopen.RefusalNone) != (p.admissionState == agopen.RefusalNone)
	p.admissionState = admissionState
	return changed
}

// watchHost checks a host that does not answer packets. If its port refuses a
// connection, the host has ended, and its flows are reset at once. watchHost also
// checks when the agent starts: if no host is running, the agent can answer flow
// queries that its host holds no flow, and no search waits for it.
func (p *Process) watchHost(ctx context.Context) error {
	writer := p.packets.NewWriter(batchSize)
	lastCheck := time.Now()
	p.checkHost(ctx, writer, 0)
	for {
		if err := agtask.Sleep(ctx, watchInterval); err != nil {
			return err
		}
		now := time.Now()
		p.mu.Lock()
		unanswered := p.holder.UnansweredTime(now)
		p.capacityLog.update(p.log, p.capacity, now)
		if p.updateAdmissionState(now) {
			p.wakeStatus()
		}
		p.mu.Unlock()
		if unanswered < suspectAfter || now.Sub(lastCheck) < checkInterval {
			continue
		}
		lastCheck = now
		p.checkHost(ctx, writer, unanswered)
	}
}

// updateFailing updates and logs whether the share of failed requests is at least
// failingThreshold, and reports whether it has just reached it. The caller holds
// the mutex.
func (p *Process) updateFailing(now time.Time) bool {
	share := p.holder.Failing(now)
	failing := share >= failingThreshold
	if failing == p.failing {
		return false
	}
	p.failing = failing
	p.log.WithField("Share", share).WithField("Failing", failing).Info("Share of requests that the host fails has changed.")
	return failing
}

// checkHost checks whether the host still listens and handles its end if it does
// not.
func (p *Process) checkHost(ctx context.Context, writer *agsocket.Writer, unanswered time.Duration) {
	err := dialHost(ctx, p.settings.HostAddr)
	p.log.WithError(err).WithField("Silent", unanswered.String()).Info("Host was checked at the start of the agent or because it does not answer packets.")
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.handleHostEnded(writer)
	}
}

// dialHost connects to the host's port. A refused connection proves that nothing
// listens there; any other error proves nothing.
func dialHost(ctx context.Context, address anvilglade.Endpoint) error {
	dialer := net.Dialer{Timeout: checkTimeout}
	connection, err := dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return err
	}
	return connection.Close()
}

func (p *Process) handleHostEnded(writer *agsocket.Writer) {
	p.mu.Lock()
	now := time.Now()
	p.gate.MarkHostDown()
	lostFlows := p.holder.RemoveAll(now)
	p.resetEstimates(now)
	p.updateAdmissionState(now)
	p.mu.Unlock()
	for _, flow := range lostFlows {
		p.reset(writer, flow.Flow, flow.Acknowledged)
	}
	writer.Flush()
	p.log.WithField("Flows", len(lostFlows)).Warn("Host has ended without a leave message; its flows are reset.")
	p.wakeStatus()
}

// hasAllFlows reports whether this agent has handled every flow of its host.
func (p *Process) hasAllFlows() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gate.HasAllFlows()
}
