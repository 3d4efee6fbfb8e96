package agpacketbalancer

// The search for the holders of flows that this balancer does not remember.

import (
	"context"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agdecision"
	"github.com/anvilglade/anvilglade/internal/packet/agmessage"
	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
	"github.com/anvilglade/anvilglade/internal/routing/agdispatch"
)

// searchInterval is the time between two looks for lost answers; they come within
// a few milliseconds.
const searchInterval = 25 * time.Millisecond

// search goes on with searches whose answers are lost or whose agents have gone.
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
			p.dispatcher.TickSearches(now)
			p.conclude(writer, now)
			p.ask(writer, now)
			p.mu.Unlock()
			writer.Flush()
		}
	}
}

// ask sends the questions that are due. The caller holds the mutex.
func (p *Process) ask(writer *agsocket.Writer, now time.Time) {
	for _, question := range p.dispatcher.Questions(now) {
		datagram := agmessage.AppendFlowQuery(writer.Buffer(), question.Round, question.Flows)
		writer.Add(datagram, p.endpointOf(question.To, p.settings.PacketPort).AddrPort())
	}
}

// found takes an agent's answer. The caller holds the mutex.
func (p *Process) found(writer *agsocket.Writer, data []byte, from anvilglade.IPv4, now time.Time) {
	number, states, err := agmessage.ParseFlowReply(data, p.states[:0])
	p.states = states
	if err != nil {
		p.metrics.Malformed.WithLabelValues("Found").Inc()
		return
	}
	var verdict agdispatch.Verdict
	for _, finding := range p.dispatcher.Found(from, number, states, now) {
		if finding.State == agmessage.FlowHeld {
			p.sendHeld(writer, finding.Flow)
			continue
		}
		if held := p.dispatcher.Unsure(from, finding.Flow, &verdict); held != nil {
			p.carryOut(writer, held, nil, &verdict)
		}
	}
}

// conclude resets the flows that no host holds. The caller holds the mutex.
func (p *Process) conclude(writer *agsocket.Writer, now time.Time) {
	for _, lost := range p.dispatcher.Conclude(now) {
		p.count(&agdispatch.Verdict{Action: agdispatch.ActionReset, Reason: agdispatch.ReasonNowhere})
		p.reset(writer, lost.Flow, lost.Acknowledged)
		if line, ok := p.decisions.Line(agdecision.KindReset, now); ok {
			heard, known := p.fleet.CountHosts(now)
			line.WithField("Flow", lost.Flow.String()).WithField("Reason", string(agdispatch.ReasonNowhere)).
				WithField("HostsHeard", heard).WithField("HostsKnown", known).Info("Flow is reset because no host holds it.")
		}
	}
}
