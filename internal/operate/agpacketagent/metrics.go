package agpacketagent

import (
	"time"

	"github.com/anvilglade/anvilglade/internal/admission/agopen"
)

// addMetrics registers the gauges and counters whose values are read from the
// process when metrics are collected, and feeds the latency histogram with the
// host's answers.
func (p *Process) addMetrics() {
	locked := func(read func(now time.Time) float64) func() float64 {
		return func() float64 {
			p.mu.Lock()
			defer p.mu.Unlock()
			return read(time.Now())
		}
	}
	p.metrics.Gauge("host_flows", "Open flows of the host.", locked(func(time.Time) float64 {
		flows, _, _ := p.holder.Load()
		return float64(flows)
	}))
	p.metrics.Gauge("host_working", "Requests in progress at the host.", locked(func(time.Time) float64 {
		_, activeRequests, _ := p.holder.Load()
		return float64(activeRequests)
	}))
	p.metrics.Gauge("host_failing", "Share of the newest requests that the host has failed.", locked(func(now time.Time) float64 {
		return p.holder.Failing(now)
	}))
	p.metrics.Gauge("queue_packets", "Packets in the queue of the agent.", locked(func(time.Time) float64 {
		return float64(p.queue.Packets())
	}))
	p.metrics.Gauge("host_accepts", "1 while the host takes new flows.", locked(func(now time.Time) float64 {
		if p.gate.AdmissionState(now) == agopen.RefusalNone {
			return 1
		}
		return 0
	}))
	p.metrics.Gauge("host_silent_seconds", "Time since the host's last heartbeat.", locked(func(now time.Time) float64 {
		return p.gate.HeartbeatAge(now).Seconds()
	}))
	p.metrics.Gauge("host_service_time_seconds", "Estimated time for which a request occupies a slot, 0 if unknown.", locked(func(now time.Time) float64 {
		return p.capacity.ServiceTime(now).Seconds()
	}))
	p.metrics.Gauge("host_queue_limit", "Outstanding requests at which the host sheds, 0 if unknown.", locked(func(time.Time) float64 {
		return float64(p.capacity.QueueLimit())
	}))
	p.metrics.Gauge("host_outstanding", "Requests that the host has not answered.", locked(func(time.Time) float64 {
		return float64(p.capacity.Outstanding())
	}))
	p.metrics.Gauge("evacuations_revision", "Revision of the evacuations that are known.", locked(func(time.Time) float64 {
		return float64(p.evacuations.Evacuations().Revision)
	}))
	p.metrics.Ages("peer_age_seconds", "peer", "Time since each balancer was heard.", func() map[string]time.Duration {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.roster.Ages(time.Now())
	})
	p.metrics.Counter("unreadable_objects_total", "Objects in the store that could not be read.", func() float64 {
		return float64(p.parts.Unreadable())
	})
	p.holder.OnAnswer = func(latency time.Duration) {
		p.metrics.Latency.WithLabelValues(string(p.settings.Service)).Observe(latency.Seconds())
	}
}
