package agpacketbalancer

// Metrics and log lines of placements by expected completion time.

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agdecision"
	"github.com/anvilglade/anvilglade/internal/observe/aglog"
	"github.com/anvilglade/anvilglade/internal/routing/agdispatch"
)

// remotePlacement identifies a counter of flows that are placed in another data centre.
type remotePlacement struct {
	service anvilglade.ServiceNumber
	reason  agdispatch.RemoteReason
}

// placementMetrics caches the metrics of placements, which saves a lookup by labels for
// each flow.
type placementMetrics struct {
	expected map[anvilglade.ServiceNumber]prometheus.Observer
	remote   map[remotePlacement]prometheus.Counter
}

func newPlacementMetrics() placementMetrics {
	return placementMetrics{
		expected: make(map[anvilglade.ServiceNumber]prometheus.Observer),
		remote:   make(map[remotePlacement]prometheus.Counter),
	}
}

// observePlacement counts a placed flow. The caller holds the mutex.
func (p *Process) observePlacement(verdict *agdispatch.Verdict) {
	if verdict.Expected.Completion > 0 {
		p.expectedOf(verdict.Service).Observe(verdict.Expected.Completion.Seconds())
	}
	if verdict.Remote != "" {
		p.remoteOf(remotePlacement{service: verdict.Service, reason: verdict.Remote}).Inc()
	}
}

func (p *Process) expectedOf(service anvilglade.ServiceNumber) prometheus.Observer {
	observer, ok := p.placements.expected[service]
	if !ok {
		observer = p.metrics.Expected.WithLabelValues(string(p.fleet.ServiceOf(service)))
		p.placements.expected[service] = observer
	}
	return observer
}

func (p *Process) remoteOf(key remotePlacement) prometheus.Counter {
	counter, ok := p.placements.remote[key]
	if !ok {
		counter = p.metrics.RemotePlacements.WithLabelValues(string(p.fleet.ServiceOf(key.service)), string(key.reason))
		p.placements.remote[key] = counter
	}
	return counter
}

// addExpectation adds to the line of a decision what is expected of the chosen host.
func addExpectation(line *aglog.Logger, verdict *agdispatch.Verdict) *aglog.Logger {
	if verdict.Expected.Completion > 0 {
		line = line.WithField("Expected", verdict.Expected.Completion.Round(time.Microsecond).String()).
			WithField("Wait", verdict.Expected.Wait.Round(time.Microsecond).String())
	}
	if verdict.Remote != "" {
		line = line.WithField("Remote", string(verdict.Remote))
	}
	return line
}

// logEjections counts and logs the hosts that have been ejected. The caller holds the
// mutex.
func (p *Process) logEjections(now time.Time) {
	for _, host := range p.fleet.TakeEjected() {
		ejection := host.Ejection()
		p.metrics.Ejections.WithLabelValues(string(host.Service), string(ejection.Cause)).Inc()
		line, ok := p.decisions.Line(agdecision.KindEjected, now)
		if !ok {
			continue
		}
		line.WithField("Host", host.Host).WithField("Agent", host.Agent).WithField("Reason", string(ejection.Cause)).
			WithField("Stops", ejection.Stops).WithField("Length", ejection.Length.String()).
			WithField("Failing", host.Failing).WithField("HostAge", now.Sub(host.LastStatus).Round(time.Millisecond).String()).
			Info("Host gets no new flows of routes with a class.")
	}
}
