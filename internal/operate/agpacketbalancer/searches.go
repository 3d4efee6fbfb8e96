package agpacketbalancer

// The search for the holders of flows that this balancer has not cached, and the
// probes to agents that it may not reach.

import (
	"context"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agdecision"
	"github.com/anvilglade/anvilglade/internal/packet/agmessage"
	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
	"github.com/anvilglade/anvilglade/internal/routing/agdispatch"
)

// searchInterval is the time between two checks for lost replies. Replies arrive
// within a few milliseconds.
const searchInterval = 25 * time.Millisecond

// search continues the searches whose replies are lost or whose agents have
// terminated, and sends probes.
func (p *Process) search(ctx context.Context) error {
	writer := p.packets.NewWriter(batchSize)
	ticker := time.NewTicker(searchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			p.mu.Lock()
			p.dispatcher.ExpireSearches(now)
			p.resetUnheld(writer, now)
			p.sendQueries(writer, now)
			p.sendProbes(writer, now)
			p.mu.Unlock()
			writer.Flush()
		}
	}
}

// sendQueries sends the flow queries that are due. The caller holds the mutex.
func (p *Process) sendQueries(writer *agsocket.Writer, now time.Time) {
	for _, query := range p.dispatcher.DueQueries(now) {
		host, known := p.fleet.Host(query.To)
		datagram := agmessage.AppendFlowQuery(writer.Buffer(), query.Round, query.Flows, known && host.TakesNumbers)
		p.countControl(directionSent, controlQuery, 1, len(datagram))
		writer.Add(datagram, p.endpointOf(query.To, p.settings.PacketPort).AddrPort())
	}
}

// sendProbes sends the probes that are due. The caller holds the mutex.
func (p *Process) sendProbes(writer *agsocket.Writer, now time.Time) {
	for _, agent := range p.dispatcher.DueProbes(now) {
		datagram := agmessage.AppendFlowQuery(writer.Buffer(), agmessage.ProbeQueryID, nil, false)
		p.countControl(directionSent, controlProbe, 1, len(datagram))
		writer.Add(datagram, p.endpointOf(agent, p.settings.PacketPort).AddrPort())
	}
}

// handleFlowReply handles an agent's reply to a flow query. The caller holds the
// mutex.
func (p *Process) handleFlowReply(writer *agsocket.Writer, data []byte, from anvilglade.IPv4, now time.Time) {
	p.countControl(directionReceived, controlReply, 1, len(data))
	number, states, err := agmessage.ParseFlowReply(data, p.states[:0])
	p.states = states
	if err != nil {
		p.metrics.Malformed.WithLabelValues("Found").Inc()
		return
	}
	var verdict agdispatch.Verdict
	for _, finding := range p.dispatcher.HandleFlowReply(from, number, states, now) {
		if finding.State == agmessage.FlowHeld {
			p.sendBuffered(writer, finding.Flow)
			continue
		}
		if raw := p.dispatcher.ProbePacket(from, finding.Flow, &verdict); raw != nil {
			p.applyVerdict(writer, raw, nil, &verdict)
		}
	}
}

// resetUnheld resets the flows that no host holds. The caller holds the mutex.
func (p *Process) resetUnheld(writer *agsocket.Writer, now time.Time) {
	for _, lostFlow := range p.dispatcher.RemoveUnheld(now) {
		p.count(&agdispatch.Verdict{Action: agdispatch.ActionReset, Reason: agdispatch.ReasonNoHolder})
		p.reset(writer, lostFlow.Flow, lostFlow.Acknowledged)
		if line, ok := p.decisions.Line(agdecision.KindReset, now); ok {
			responding, total := p.fleet.CountHosts(now)
			line.WithField("Flow", lostFlow.Flow.String()).WithField("Reason", string(agdispatch.ReasonNoHolder)).
				WithField("HostsHeard", responding).WithField("HostsKnown", total).Info("Flow is reset because no host holds it.")
		}
	}
}
