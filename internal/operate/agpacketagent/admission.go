package agpacketagent

// The decision on new flows. agopen decides whether the host takes flows at all; for
// flows whose class has a latency target, agadmission then decides by the expected
// wait. While the service time of the host is not known, and for other flows, a busy
// host forwards a flow if there is another candidate.

import (
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/admission/agadmission"
	"github.com/anvilglade/anvilglade/internal/admission/agcapacity"
	"github.com/anvilglade/anvilglade/internal/admission/agopen"
	"github.com/anvilglade/anvilglade/internal/observe/aglog"
	"github.com/anvilglade/anvilglade/internal/observe/agmetric"
	"github.com/anvilglade/anvilglade/internal/packet/agmessage"
)

var _ anvilglade.RequestObserver = (*requestObserver)(nil)

// requestObserver reports the requests of the host to the estimator and to the
// admission control.
type requestObserver struct {
	capacity  *agcapacity.Estimator
	admission *agadmission.Controller
}

// Arrive implements anvilglade.RequestObserver.
func (o *requestObserver) Arrive(flow anvilglade.Flow, class anvilglade.RequestClass, now time.Time) {
	if class.HasTarget() {
		o.admission.Arrive(class, now)
	}
	o.capacity.Arrive(flow, class, now)
}

// Answer implements anvilglade.RequestObserver.
func (o *requestObserver) Answer(flow anvilglade.Flow, now time.Time) {
	o.capacity.Answer(flow, now)
}

// Abandon implements anvilglade.RequestObserver.
func (o *requestObserver) Abandon(flow anvilglade.Flow, now time.Time) {
	o.capacity.Abandon(flow, now)
}

// consideredOpening is the latest decision by expected wait, for the log.
type consideredOpening struct {
	opening  agadmission.Opening
	decision agadmission.Decision
}

// addTo adds the inputs of the decision to its line.
func (c *consideredOpening) addTo(line *aglog.Logger) *aglog.Logger {
	return line.WithField("Class", agmetric.ClassLabel(c.opening.Class)).WithField("Wait", c.opening.Wait.String()).
		WithField("Budget", c.decision.Budget.String()).WithField("ServiceTime", c.opening.ServiceTime.String()).
		WithField("Expected", c.opening.Expected).WithField("QueueLimit", c.opening.QueueLimit)
}

// refusal returns the reason to refuse a new flow, empty to accept it, and counts the
// decision.
func (p *Process) refusal(forward *agmessage.Forward, now time.Time) string {
	serviceTime := p.capacity.ServiceTime(now)
	if forward.Class.HasTarget() && serviceTime != 0 {
		return p.refusalByWait(forward, serviceTime, now)
	}
	refusal := p.refusalByLoad(forward, now)
	if refusal == agopen.RefusalNone {
		p.countAdmission(forward.Class, string(agadmission.ResultAdmitted))
	} else {
		p.countAdmission(forward.Class, string(refusal))
	}
	return string(refusal)
}

// refusalByWait returns the reason to refuse a flow whose class has a latency target,
// empty to accept it. The gate counts the flow only if the host takes it.
func (p *Process) refusalByWait(forward *agmessage.Forward, serviceTime time.Duration, now time.Time) string {
	if refusal := p.gate.CheckFlow(now); refusal != agopen.RefusalNone {
		p.countAdmission(forward.Class, string(refusal))
		return string(refusal)
	}
	decision := p.decide(forward, serviceTime, now)
	p.countAdmission(forward.Class, string(decision.Result))
	p.metrics.ExpectedWait.WithLabelValues(agmetric.ClassLabel(forward.Class)).Observe(p.considered.opening.Wait.Seconds())
	if !decision.Result.Admits() {
		return agadmission.Cause
	}
	return string(p.gate.AdmitFlow(now))
}

// refusalByLoad returns the reason to refuse a flow without regard to its class, or
// agopen.RefusalNone to accept it. A busy host accepts the flow if there is no other
// candidate.
func (p *Process) refusalByLoad(forward *agmessage.Forward, now time.Time) agopen.Refusal {
	if len(forward.Candidates) > 0 && p.gate.Busy(p.holder.ExpectedRequests()) {
		return agopen.RefusalBusy
	}
	return p.gate.AdmitFlow(now)
}

func (p *Process) countAdmission(class anvilglade.RequestClass, result string) {
	p.metrics.Admissions.WithLabelValues(agmetric.ClassLabel(class), result).Inc()
}

// decide decides on a flow by its class and the expected wait.
func (p *Process) decide(forward *agmessage.Forward, serviceTime time.Duration, now time.Time) agadmission.Decision {
	newFlows := p.holder.NewFlows()
	interval := serviceTime / time.Duration(max(p.capacity.Slots(), 1))
	p.considered.opening = agadmission.Opening{
		Class:       forward.Class,
		Wait:        p.capacity.Wait(newFlows, now),
		ServiceTime: serviceTime,
		Expected:    p.capacity.Outstanding() + newFlows,
		QueueLimit:  p.capacity.QueueLimit(),
		QueueRoom:   p.queue.Room(forward.Class, interval),
		HasNext:     len(forward.Candidates) > 0,
	}
	p.considered.decision = p.admission.Decide(&p.considered.opening, now)
	return p.considered.decision
}

// countResult counts an answer of the host and credits the completion of a request.
func (p *Process) countResult(class anvilglade.RequestClass, result agcapacity.Result, now time.Time) {
	p.metrics.Requests.WithLabelValues(agmetric.ClassLabel(class), string(result)).Inc()
	if result == agcapacity.ResultServed && class.HasTarget() {
		p.admission.Complete(class.Priority, now)
	}
}

// resetEstimates discards what is known about the host, because it has restarted or
// ended. The caller holds the mutex.
func (p *Process) resetEstimates(now time.Time) {
	p.capacity.Reset(now)
	p.admission.Reset()
}

// updateHost applies a heartbeat to the estimates. The caller holds the mutex.
func (p *Process) updateHost(heartbeat *anvilglade.HostHeartbeat, restarted bool, now time.Time) {
	if restarted {
		p.resetEstimates(now)
	}
	p.capacity.SetSlots(heartbeat.Slots, now)
}
