package agpacketbalancer

import (
	"time"

	"github.com/anvilglade/anvilglade/internal/routing/agdispatch"
)

var actionNames = map[agdispatch.Action]string{
	agdispatch.ActionDrop:    "Drop",
	agdispatch.ActionForward: "Forward",
	agdispatch.ActionReset:   "Reset",
	agdispatch.ActionBuffer:  "Hold",
}

// count increments the counter of a decision. The caller holds the mutex.
func (p *Process) count(verdict *agdispatch.Verdict) {
	key := decision{service: verdict.Service, action: verdict.Action, reason: verdict.Reason}
	counter, ok := p.counters[key]
	if !ok {
		counter = p.metrics.Decisions.WithLabelValues(string(p.fleet.ServiceOf(key.service)), actionNames[key.action], string(key.reason))
		p.counters[key] = counter
	}
	counter.Inc()
}

// addGauges registers the gauges and counters whose values are read from the
// process when metrics are collected.
func (p *Process) addGauges() {
	locked := func(read func(now time.Time) float64) func() float64 {
		return func() float64 {
			p.mu.Lock()
			defer p.mu.Unlock()
			return read(time.Now())
		}
	}
	p.metrics.Gauge("desired_version", "Version of the desired state in effect, 0 for none.", locked(func(time.Time) float64 {
		desired, _ := p.fleet.Desired()
		return float64(desired.Version)
	}))
	p.metrics.Gauge("desired_age_seconds", "Time since the desired state came into effect.", locked(func(now time.Time) float64 {
		return now.Sub(p.adopted).Seconds()
	}))
	p.metrics.Gauge("evacuated_data_centres", "Data centres that get no new flows.", locked(func(time.Time) float64 {
		return float64(len(p.fleet.Evacuations().DataCentres))
	}))
	p.metrics.Gauge("evacuations_missing", "Evacuated data centres whose evacuation the restored store lacks.", locked(func(time.Time) float64 {
		return float64(len(p.fleet.MissingEvacuations()))
	}))
	p.metrics.Gauge("hosts_known", "Hosts that are known.", locked(func(now time.Time) float64 {
		_, total := p.fleet.CountHosts(now)
		return float64(total)
	}))
	p.metrics.Gauge("hosts_heard", "Hosts that were heard recently.", locked(func(now time.Time) float64 {
		responding, _ := p.fleet.CountHosts(now)
		return float64(responding)
	}))
	p.metrics.Ages("peer_age_seconds", "peer", "Time since each other balancer and each agent was heard.", func() map[string]time.Duration {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.fleet.Ages(time.Now())
	})
	p.metrics.Counter("unreadable_objects_total", "Objects in the store that could not be read.", func() float64 {
		return float64(p.parts.Unreadable())
	})
	p.metrics.Gauge("flows", "Flows that are remembered.", locked(func(time.Time) float64 { return float64(p.dispatcher.Flows()) }))
	p.metrics.Gauge("store_watch", "2 while this balancer watches the store as a primary, 1 as a standby, 0 if not or if the store does not answer.", func() float64 {
		return float64(p.watch())
	})
	p.metrics.Ages("store_answer_age_seconds", "what", "Time since the last answer of the store to each watch of this balancer.", p.watchAges)
	p.metrics.Gauge("desired_revision", "Revision of the store up to which the watch of the desired state has received changes.", func() float64 {
		return float64(p.desiredWatch.revision.Load())
	})
	p.metrics.Gauge("store_era", "Highest era in which the store has answered; it rises when the store is restored from an older copy.", func() float64 {
		return float64(p.parts.Feed.Era())
	})
	p.metrics.Gauge("evacuations_revision", "Revision of the store at which the evacuations in effect were read.", locked(func(time.Time) float64 {
		return float64(p.fleet.Evacuations().Revision)
	}))
	p.metrics.Gauge("ready", "1 while callers' packets may come here.", func() float64 {
		if p.Ready() {
			return 1
		}
		return 0
	})
}
