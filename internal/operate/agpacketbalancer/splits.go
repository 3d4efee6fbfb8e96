package agpacketbalancer

// Log lines and metrics of split routes.

import (
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agdecision"
	"github.com/anvilglade/anvilglade/internal/routing/agsplit"
)

// logSplitChanges logs the changes of steps of split routes. The number of lines per
// second is bounded, because many routes may share a service that loses its hosts. The
// caller holds the mutex.
func (p *Process) logSplitChanges(now time.Time) {
	for _, change := range p.dispatcher.TakeSplitChanges() {
		line, ok := p.decisions.Line(agdecision.KindSplit, now)
		if !ok {
			continue
		}
		line = line.WithField("Route", change.Route).WithField("Service", change.Service).WithField("Former", change.Former).WithField("Step", change.Step).
			WithField("Reason", string(change.Cause)).WithField("Usable", change.Own.Usable).WithField("Wait", change.Own.Wait.String()).
			WithField("ServiceTime", change.Own.ServiceTime.String()).WithField("Utilisation", change.Own.Utilisation)
		if receiver := change.Receiver; receiver != (agsplit.Load{}) {
			line = line.WithField("ReceiverWait", receiver.Wait.String()).WithField("ReceiverServiceTime", receiver.ServiceTime.String()).
				WithField("ReceiverUtilisation", receiver.Utilisation)
		}
		line.Info("Step of a split route has changed.")
	}
}

// addSplitMetrics registers the metrics of split routes.
func (p *Process) addSplitMetrics() {
	p.metrics.Counter("shifted_flows_total", "New flows that went to another service than the weights of their route select.", func() float64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		return float64(p.dispatcher.ShiftedFlows())
	})
	p.metrics.Shifts("split_step", "Sixty-fourths of the new flows of a service that go to the other services of the route; missing for 0.", func() []anvilglade.RouteShift {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.dispatcher.Shifts()
	})
}
