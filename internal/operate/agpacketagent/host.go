package agpacketagent

// What the host says of itself, and the search for a host that has ended
// without a word.

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
	// watchInterval is the time between two looks at the host's silence.
	watchInterval = 50 * time.Millisecond
	// suspectAfter is the silence after a delivered packet from which on the
	// agent checks whether the host still listens. A running host acknowledges
	// within milliseconds.
	suspectAfter = 250 * time.Millisecond
	// checkInterval is the least time between two checks, each of which costs
	// a connection.
	checkInterval = time.Second
	// checkTimeout bounds a check; the host is on the same VM.
	checkTimeout = 200 * time.Millisecond
	// failingNews is the share of failed requests from which on balancers are
	// told at once.
	failingNews = 0.25
)

var _ anvilglade.HeartbeatListener = (*Process)(nil)

// Heartbeat takes a heartbeat of the host and reports whether it is
// acknowledged. One of an earlier boot is not.
func (p *Process) Heartbeat(heartbeat anvilglade.HostHeartbeat) bool {
	now := time.Now()
	p.mu.Lock()
	former, known := p.gate.Host()
	formerBorn, formerDraining := former.Born, former.Draining
	heard := p.gate.Heartbeat(heartbeat, now)
	changed := p.noteStanding(now)
	p.mu.Unlock()
	if heard == agopen.HeardNew && (!known || !formerBorn.Equal(heartbeat.Born) || formerDraining != heartbeat.Draining) {
		p.log.WithField("Host", heartbeat.Host).WithField("Born", heartbeat.Born.UnixMilli()).WithField("Draining", heartbeat.Draining).WithField("Sequence", heartbeat.Sequence).WithField("Complete", p.complete()).
			WithField("ColdLeft", heartbeat.ColdLeft.String()).Info("Host has changed its state.")
	}
	if changed {
		p.wakeStatus()
	}
	return heard == agopen.HeardNew
}

// Leave takes the message that the host ends.
func (p *Process) Leave(host anvilglade.HostID) {
	p.mu.Lock()
	left := p.gate.Leave(host)
	p.noteStanding(time.Now())
	p.mu.Unlock()
	if left {
		p.log.WithField("Host", host).Info("Host has left.")
		p.wakeStatus()
	}
}

// BadHeartbeat counts and logs a heartbeat that cannot be read.
func (p *Process) BadHeartbeat(err error) {
	p.metrics.Malformed.WithLabelValues("Heartbeat").Inc()
	p.log.WithError(err).Warn("Heartbeat cannot be read and is ignored.")
}

// noteStanding reports whether the host began or ceased to take new flows. The
// caller holds the mutex.
func (p *Process) noteStanding(now time.Time) bool {
	standing := p.gate.Standing(now)
	if standing == p.standing {
		return false
	}
	p.log.WithField("Before", string(p.standing)).WithField("Now", string(standing)).Info("Standing for new flows has changed; empty means that they are taken.")
	changed := (standing == agopen.RefusalNone) != (p.standing == agopen.RefusalNone)
	p.standing = standing
	return changed
}

// watchHost checks a host that does not answer packets. If its port refuses a
// connection, the host has ended, and callers of its flows are told at once. It
// checks at its start too: an agent without a host knows then that its host
// holds no flow, and no search waits for it.
func (p *Process) watchHost(ctx context.Context) error {
	writer := p.packets.NewWriter(batchSize)
	checked := time.Now()
	p.check(ctx, writer, 0)
	for {
		if err := agtask.Sleep(ctx, watchInterval); err != nil {
			return err
		}
		now := time.Now()
		p.mu.Lock()
		silent := p.holder.UnansweredTime(now)
		if p.noteStanding(now) {
			p.wakeStatus()
		}
		p.mu.Unlock()
		if silent < suspectAfter || now.Sub(checked) < checkInterval {
			continue
		}
		checked = now
		p.check(ctx, writer, silent)
	}
}

// noteFailing reports whether the host began to fail a notable share of its
// requests. The caller holds the mutex.
func (p *Process) noteFailing(now time.Time) bool {
	share := p.holder.Failing(now)
	failing := share >= failingNews
	if failing == p.failing {
		return false
	}
	p.failing = failing
	p.log.WithField("Share", share).WithField("Failing", failing).Info("Share of requests that the host fails has changed.")
	return failing
}

// check finds out whether the host has ended.
func (p *Process) check(ctx context.Context, writer *agsocket.Writer, silent time.Duration) {
	err := checkHost(ctx, p.settings.HostAddr)
	p.log.WithError(err).WithField("Silent", silent.String()).Info("Host was checked because it does not answer packets, or at the start.")
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.hostEnded(writer)
	}
}

// checkHost connects to the host's port. A refused connection proves that nothing
// listens there; any other failure proves nothing.
func checkHost(ctx context.Context, address anvilglade.Endpoint) error {
	dialer := net.Dialer{Timeout: checkTimeout}
	connection, err := dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return err
	}
	return connection.Close()
}

func (p *Process) hostEnded(writer *agsocket.Writer) {
	p.mu.Lock()
	p.gate.HostDown()
	lost := p.holder.RemoveAll()
	p.noteStanding(time.Now())
	p.mu.Unlock()
	for _, flow := range lost {
		p.reset(writer, flow.Flow, flow.Acknowledged)
	}
	writer.Flush()
	p.log.WithField("Flows", len(lost)).Warn("Host has ended without a word; its flows are reset.")
	p.wakeStatus()
}

// complete reports whether this agent has seen every flow of its host.
func (p *Process) complete() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gate.Complete()
}
