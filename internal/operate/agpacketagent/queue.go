package agpacketagent

// The queue of requests in front of the host. It is filled in handleForward and emptied
// when the host answers or when a request has waited for its longest time.

import (
	"context"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/admission/agqueue"
	"github.com/anvilglade/anvilglade/internal/observe/agdecision"
	"github.com/anvilglade/anvilglade/internal/observe/agmetric"
)

// outcomeQueued and outcomeCopy are the label values of agmetric.Metrics.Queue for a
// request that is queued and for a copy of a queued packet. The others are the outcomes
// of agqueue.
const (
	outcomeQueued = "Queued"
	outcomeCopy   = "Copy"
)

// causes has the cause that is logged for each outcome. The release of a request to a
// free place is not logged.
var causes = map[agqueue.Outcome]string{
	agqueue.OutcomeExpired:  "QueueExpired",
	agqueue.OutcomeBypassed: "QueueBypassed",
	agqueue.OutcomeGone:     "CallerGone",
}

// requestObservers passes each event to all its observers, in order.
type requestObservers []anvilglade.RequestObserver

// Arrive implements anvilglade.RequestObserver.
func (o requestObservers) Arrive(flow anvilglade.Flow, class anvilglade.RequestClass, now time.Time) {
	for _, observer := range o {
		observer.Arrive(flow, class, now)
	}
}

// Answer implements anvilglade.RequestObserver.
func (o requestObservers) Answer(flow anvilglade.Flow, now time.Time) {
	for _, observer := range o {
		observer.Answer(flow, now)
	}
}

// Abandon implements anvilglade.RequestObserver.
func (o requestObservers) Abandon(flow anvilglade.Flow, now time.Time) {
	for _, observer := range o {
		observer.Abandon(flow, now)
	}
}

// connectQueue sets the source of the host's load and the observer that feeds it. With
// nil nothing is queued. The source is fed before the queue, which reads it.
func (p *Process) connectQueue(load anvilglade.HostLoad, observer anvilglade.RequestObserver) {
	p.queue = agqueue.NewQueue(load)
	p.holder.Observer = nil
	if observer != nil {
		p.holder.Observer = requestObservers{observer, p.queue}
	}
}

// newStoppedTimer returns a timer that fires only after a call of Reset.
func newStoppedTimer() *time.Timer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}

// offerToQueue decides whether a packet is queued. The caller holds the mutex.
func (p *Process) offerToQueue(datagram []byte, buffer *forwardBuffer, now time.Time) agqueue.Decision {
	forward, packet := &buffer.forward, &buffer.packet
	if !p.queue.Active() || p.queue.Packets() == 0 && !forward.Class.HasTarget() {
		return agqueue.DecisionDeliver
	}
	serves := forward.Service == p.settings.Service.Number() && !p.gate.Ended()
	arrival := agqueue.Arrival{
		Flow:          packet.FromCaller(),
		Packet:        packet,
		Class:         forward.Class,
		Datagram:      datagram,
		StartsRequest: serves && p.holder.StartsRequest(packet),
		Late:          p.queue.Packets() > 0 && p.holder.IsLate(packet, now),
	}
	decision := p.queue.Offer(&arrival, now)
	p.recordDecision(decision, &arrival, now)
	return decision
}

// recordDecision updates the timer, the metrics and the log after a decision of the
// queue.
func (p *Process) recordDecision(decision agqueue.Decision, arrival *agqueue.Arrival, now time.Time) {
	switch decision {
	case agqueue.DecisionRequestQueued:
		p.armRelease()
		p.countQueue(arrival.Class, outcomeQueued)
		p.logQueue("RequestQueued", arrival.Flow, arrival.Class, 0, now)
	case agqueue.DecisionBypass:
		p.countQueue(arrival.Class, string(agqueue.OutcomeBypassed))
		p.logQueue(causes[agqueue.OutcomeBypassed], arrival.Flow, arrival.Class, 0, now)
	case agqueue.DecisionCopy:
		p.countQueue(arrival.Class, outcomeCopy)
	}
}

// releaseQueued handles the datagrams that leave the queue as newly arrived ones. The
// caller holds the mutex.
func (p *Process) releaseQueued(out *writers, now time.Time) {
	if p.queue.Packets() == 0 {
		return
	}
	for {
		release, ok := p.queue.Next(now)
		if !ok {
			break
		}
		p.recordRelease(&release, now)
		for _, datagram := range release.Datagrams {
			if p.parseForward(datagram, &p.released) {
				p.passForward(out, &p.released, now)
			}
		}
		// Later packets of the flow may be sent by another task, which waits for the
		// mutex.
		out.host.Flush()
	}
	p.armRelease()
}

func (p *Process) recordRelease(release *agqueue.Release, now time.Time) {
	p.countQueue(release.Class, string(release.Outcome))
	p.metrics.QueueTime.WithLabelValues(agmetric.ClassLabel(release.Class)).Observe(release.Waited.Seconds())
	if cause := causes[release.Outcome]; cause != "" {
		p.logQueue(cause, release.Flow, release.Class, release.Waited, now)
	}
}

func (p *Process) countQueue(class anvilglade.RequestClass, outcome string) {
	p.metrics.Queue.WithLabelValues(agmetric.ClassLabel(class), outcome).Inc()
}

// logQueue logs a sample of the decisions on queued requests.
func (p *Process) logQueue(cause string, flow anvilglade.Flow, class anvilglade.RequestClass, waited time.Duration, now time.Time) {
	line, ok := p.decisions.Line(agdecision.KindQueued, now)
	if !ok {
		return
	}
	outstanding, limit := p.queue.Occupied(now)
	line.WithField("Flow", flow.String()).WithField("Cause", cause).WithField("Class", agmetric.ClassLabel(class)).
		WithField("Target", class.Target.String()).WithField("Waited", waited.String()).WithField("Outstanding", outstanding).
		WithField("Limit", limit).WithField("QueuedPackets", p.queue.Packets()).Info("Request meets a full host.")
}

// armRelease sets the timer to the deadline of the queue and stops it if the queue is
// empty.
func (p *Process) armRelease() {
	deadline, ok := p.queue.Deadline()
	if !ok {
		p.releaseTimer.Stop()
		p.releaseAt = time.Time{}
		return
	}
	if !deadline.Equal(p.releaseAt) {
		p.releaseAt = deadline
		p.releaseTimer.Reset(time.Until(deadline))
	}
}

// releaseExpired delivers requests that have been queued for their longest time.
func (p *Process) releaseExpired(ctx context.Context) error {
	out := writers{packets: p.packets.NewWriter(batchSize), host: p.hostSocket.NewWriter(batchSize)}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.releaseTimer.C:
		}
		p.mu.Lock()
		p.releaseAt = time.Time{}
		p.releaseQueued(&out, time.Now())
		p.mu.Unlock()
		out.flush()
	}
}
