package agpacketbalancer

// The size of this balancer: the use of its limits, the duties that follow from it, and
// counters of its control work.

import (
	"fmt"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/membership/agrank"
	"github.com/anvilglade/anvilglade/internal/state/agfleet"
)

// direction is a label of the counters of control messages.
type direction string

const (
	directionSent     direction = "Sent"
	directionReceived direction = "Received"
)

// Kinds of control messages, as labels.
const (
	controlPeerStatus  = "PeerStatus"
	controlAgentStatus = "AgentStatus"
	controlAgentReply  = "AgentReply"
	controlNotify      = "Notify"
	controlQuery       = "FlowQuery"
	controlReply       = "FlowReply"
	controlProbe       = "Probe"
)

// controlKey identifies the counters of a kind of control messages.
type controlKey struct {
	direction direction
	kind      string
}

// controlCounters has the counters of one kind, which saves a lookup by labels for each
// message.
type controlCounters struct {
	messages, bytes prometheus.Counter
}

// countControl counts control messages of the same size in bytes. The caller holds the
// mutex.
func (p *Process) countControl(way direction, kind string, messages, size int) {
	key := controlKey{direction: way, kind: kind}
	counters, ok := p.controlCounters[key]
	if !ok {
		counters.messages = p.metrics.ControlMessages.WithLabelValues(string(way), kind)
		counters.bytes = p.metrics.ControlBytes.WithLabelValues(string(way), kind)
		p.controlCounters[key] = counters
	}
	counters.messages.Add(float64(messages))
	counters.bytes.Add(float64(messages * size))
}

// countSent counts messages that are sent without the mutex.
func (p *Process) countSent(kind string, messages, size int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countControl(directionSent, kind, messages, size)
}

// updateSize measures the use of the limits and logs changes of the duties. It announces
// a changed capacity at once, so that duties move.
func (p *Process) updateSize() {
	reading, err := p.reading()
	if err != nil {
		p.logFailure(err, "Processor time cannot be read.")
		return
	}
	now := time.Now()
	p.mu.Lock()
	changed := p.monitor.Observe(reading, now)
	p.fleet.SetCapacity(p.monitor.Capacity())
	usage, overloaded := p.monitor.Usage(), p.monitor.Overloaded()
	size, relieved := p.fleet.Size(now), p.fleet.Relieved(now)
	p.mu.Unlock()
	if changed {
		p.sizeEntry(size).WithField("Overloaded", overloaded).WithField("ProcessorUse", fmt.Sprintf("%.2f", usage.Processor)).
			WithField("LinkUse", fmt.Sprintf("%.2f", usage.Link)).Info("Announced capacity has changed.")
		p.broadcast()
	}
	if p.loggedRelieved.Swap(relieved) != relieved {
		p.sizeEntry(size).WithField("Relieved", relieved).Info("Share in control work has changed.")
	}
}

// sizeEntry returns a log entry with the inputs of the selections by size.
func (p *Process) sizeEntry(size agfleet.Size) *logrus.Entry {
	return p.log.WithField("Capacity", size.Capacity).WithField("Position", size.Position).WithField("Balancers", size.Members).
		WithField("Large", size.Large)
}

// reading returns what this process has used since it started.
func (p *Process) reading() (agrank.Reading, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return agrank.Reading{}, fmt.Errorf("read processor time: %w", err)
	}
	return agrank.Reading{
		Processor: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		Sent:      p.packets.Sent().Add(p.inner.Sent()),
		Received:  p.packets.Received().Add(p.inner.Received()),
	}, nil
}

// addSizeGauges registers the gauges of the size and the duties of this balancer.
func (p *Process) addSizeGauges() {
	sized := func(read func(agfleet.Size) float64) func() float64 {
		return func() float64 {
			p.mu.Lock()
			defer p.mu.Unlock()
			return read(p.fleet.Size(time.Now()))
		}
	}
	p.metrics.Gauge("capacity", "Announced capacity, 0 if unknown; 1000 corresponds to one core, 100 Mbit/s or 20 MB.", sized(func(size agfleet.Size) float64 {
		return float64(size.Capacity)
	}))
	p.metrics.Gauge("capacity_position", "Number of balancers of the data centre that take over duties before this one.", sized(func(size agfleet.Size) float64 {
		return float64(size.Position)
	}))
	p.metrics.Gauge("duty_replies", "1 while agents ask this balancer for replies, 0 while they ask larger ones.", sized(func(size agfleet.Size) float64 {
		return gaugeOf(size.Large)
	}))
	p.metrics.Gauge("relieved", "1 while larger balancers of the data centre do the control work.", func() float64 {
		return gaugeOf(p.loggedRelieved.Load())
	})
	used := func(read func(agrank.Usage) float64) func() float64 {
		return func() float64 {
			p.mu.Lock()
			defer p.mu.Unlock()
			return read(p.monitor.Usage())
		}
	}
	p.metrics.Gauge("processor_use", "Used share of the processor limit, 0 if it is unknown.", used(func(usage agrank.Usage) float64 { return usage.Processor }))
	p.metrics.Gauge("link_use", "Used share of the link, 0 if its rate is unknown.", used(func(usage agrank.Usage) float64 { return usage.Link }))
}

// gaugeOf returns the value of a gauge for a condition.
func gaugeOf(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

// sized reports whether the limits of this balancer are known.
func (p *Process) sized() bool {
	return p.settings.Limits != anvilglade.Limits{}
}
