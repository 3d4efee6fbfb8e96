package agfleet

// The load of a host as package agplace needs it. Between two statuses it follows the
// flows and active requests that agents report with each accepted flow.

import (
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/routing/agplace"
)

// reportedLoad is what a balancer keeps of the last reports of a host.
type reportedLoad struct {
	flows agplace.Average
	// activeRequests is the number of the last status, wait the wait expected after the
	// last report, reportedAt the time of that report.
	activeRequests int
	wait           time.Duration
	reportedAt     time.Time
}

// adoptStatus adopts the load of a status.
func (l *reportedLoad) adoptStatus(status *anvilglade.AgentStatus, now time.Time) {
	l.flows.Add(float64(status.Flows), now)
	l.activeRequests, l.wait, l.reportedAt = status.ActiveRequests, status.Wait, now
}

// adoptLoad adopts the load reported with an accepted flow. The wait changes with the
// number of active requests since the last status.
func (h *Host) adoptLoad(flows, active int, now time.Time) {
	h.Flows, h.ActiveRequests, h.PlacedFlows, h.Suspect = flows, active, 0, false
	if h.ServiceTime == 0 {
		return
	}
	h.reported.flows.Add(float64(flows), now)
	perSlot := h.ServiceTime / time.Duration(max(h.Slots, 1))
	change := time.Duration(active-h.reported.activeRequests) * perSlot
	h.reported.wait, h.reported.reportedAt = max(0, h.Wait+change), now
}

// Load returns the load of the host for its ranking, with the service time 0 if the agent
// does not report it.
func (h *Host) Load(now time.Time) agplace.Load {
	return agplace.Load{
		ServiceTime: h.ServiceTime,
		Wait:        h.reported.wait,
		RequestRate: float64(h.RequestRate),
		Age:         now.Sub(h.reported.reportedAt),
		NewFlows:    float64(h.Flows+h.PlacedFlows) - h.reported.flows.Value(),
		Placed:      h.PlacedFlows,
	}
}
