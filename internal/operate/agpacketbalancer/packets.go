package agpacketbalancer

// Tasks that read datagrams: packets of callers, and messages of agents and of
// other balancers.

import (
	"context"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agdecision"
	"github.com/anvilglade/anvilglade/internal/operate/agpackettask"
	"github.com/anvilglade/anvilglade/internal/packet/agmessage"
	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
	"github.com/anvilglade/anvilglade/internal/routing/agdispatch"
)

const (
	// maxDatagram is the largest datagram that is read, in bytes.
	maxDatagram = 8192
	// batchSize is the number of datagrams read at once. Buffers count towards
	// the memory of the process.
	batchSize = 32
)

// readPackets dispatches packets of callers.
func (p *Process) readPackets(ctx context.Context) error {
	reader, writer := p.packets.NewReader(batchSize, maxDatagram), p.packets.NewWriter(batchSize)
	var packet anvilglade.Packet
	var verdict agdispatch.Verdict
	for {
		batch, err := reader.Read()
		if err != nil {
			return agpackettask.EndRead(ctx, err)
		}
		now := time.Now()
		p.mu.Lock()
		p.fleet.Tick(now)
		for i := range batch {
			if err := p.parts.Codec.Parse(batch[i].Data, &packet); err != nil {
				p.metrics.Malformed.WithLabelValues("Packet").Inc()
				continue
			}
			p.dispatcher.FromCaller(&packet, now, &verdict)
			p.carryOut(writer, batch[i].Data, &packet, &verdict)
			p.count(&verdict)
			p.logVerdict(&packet, &verdict, now)
		}
		p.ask(writer, now)
		p.mu.Unlock()
		writer.Flush()
	}
}

// carryOut sends what a verdict asks for. The packet is needed for searches and
// resets.
func (p *Process) carryOut(writer *agsocket.Writer, data []byte, packet *anvilglade.Packet, verdict *agdispatch.Verdict) {
	switch verdict.Action {
	case agdispatch.ActionForward:
		forward := agmessage.Forward{Service: verdict.Service, Origin: p.settings.IP, Held: verdict.Held, Foreign: verdict.Foreign, Candidates: verdict.Candidates}
		for _, agent := range verdict.To {
			buffer := agmessage.AppendForward(writer.Buffer(), &forward, data)
			writer.Add(buffer, p.endpointOf(agent, p.settings.PacketPort).AddrPort())
		}
	case agdispatch.ActionBuffer:
		p.dispatcher.BufferPacket(packet.FromCaller(), data)
	case agdispatch.ActionReset:
		p.reset(writer, packet.FromCaller(), verdict.Acknowledged)
	}
}

func (p *Process) reset(writer *agsocket.Writer, flow anvilglade.Flow, acknowledged uint32) {
	buffer := p.parts.Codec.AppendReset(writer.Buffer(), flow, acknowledged)
	writer.Add(buffer, p.endpointOf(flow.Caller.IP, p.settings.PacketPort).AddrPort())
}

// readInner takes messages of agents and balancers.
func (p *Process) readInner(ctx context.Context) error {
	reader, writer := p.inner.NewReader(batchSize, maxDatagram), p.packets.NewWriter(batchSize)
	for {
		batch, err := reader.Read()
		if err != nil {
			return agpackettask.EndRead(ctx, err)
		}
		now := time.Now()
		p.mu.Lock()
		p.fleet.Tick(now)
		for i := range batch {
			from := batch[i].From.Addr()
			if !from.Is4() {
				continue
			}
			p.message(writer, batch[i].Data, from.As4(), now)
		}
		p.conclude(writer, now)
		p.ask(writer, now)
		p.mu.Unlock()
		writer.Flush()
	}
}

// message takes one message. One that cannot be decoded is dropped: its sender
// repeats its status, and a lost packet is sent again by its caller.
func (p *Process) message(writer *agsocket.Writer, data []byte, from anvilglade.IPv4, now time.Time) {
	switch agmessage.KindOf(data) {
	case agmessage.KindOwner:
		owner, err := agmessage.ParseOwner(data)
		if err != nil {
			p.metrics.Malformed.WithLabelValues("Owner").Inc()
			return
		}
		if opening := p.dispatcher.HandleHolder(from, owner.Flow, owner.Established, owner.Sequence, now); opening > 0 {
			p.noteOpening(from, opening)
		}
		p.fleet.UpdateLoad(from, int(owner.Flows), int(owner.Working))
		p.sendHeld(writer, owner.Flow)
	case agmessage.KindFlowReply:
		p.found(writer, data, from, now)
	case agmessage.KindFlowAbsent:
		flow, err := agmessage.ParseFlowAbsent(data)
		if err != nil {
			p.metrics.Malformed.WithLabelValues("Absent").Inc()
			return
		}
		p.dispatcher.HandleFlowAbsent(from, flow)
	case agmessage.KindReturned, agmessage.KindExhausted:
		p.comeBack(writer, data, from, now)
	case agmessage.KindAgentStatus:
		status, err := agmessage.ParseAgentStatus(data)
		if err != nil || status.Agent != from {
			p.metrics.Malformed.WithLabelValues("AgentStatus").Inc()
			return
		}
		p.fleet.UpdateAgent(status, now)
		p.answerAgent(writer, &status, now)
	case agmessage.KindBalancerStatus:
		status, err := agmessage.ParseBalancerStatus(data)
		if err != nil || status.Balancer != from {
			p.metrics.Malformed.WithLabelValues("BalancerStatus").Inc()
			return
		}
		if started := p.fleet.UpdateBalancer(status, now); started {
			p.welcome(writer, from, now)
		}
	}
}

// noteOpening measures the time from an opening packet to the host's answer.
func (p *Process) noteOpening(agent anvilglade.IPv4, took time.Duration) {
	if host, known := p.fleet.Host(agent); known {
		p.metrics.Latency.WithLabelValues(string(host.Service)).Observe(took.Seconds())
	}
}

// sendHeld sends the packets that were kept while a flow's holder was searched.
func (p *Process) sendHeld(writer *agsocket.Writer, flow anvilglade.Flow) {
	var verdict agdispatch.Verdict
	for _, held := range p.dispatcher.TakeBuffered(flow, &verdict) {
		p.carryOut(writer, held, nil, &verdict)
	}
}

// comeBack decides again on a packet that no host took.
func (p *Process) comeBack(writer *agsocket.Writer, data []byte, from anvilglade.IPv4, now time.Time) {
	raw := agmessage.Packet(data)
	var packet anvilglade.Packet
	if err := p.parts.Codec.Parse(raw, &packet); err != nil {
		return
	}
	var verdict agdispatch.Verdict
	if agmessage.KindOf(data) == agmessage.KindReturned {
		p.dispatcher.HandleReturned(from, &packet, now, &verdict)
	} else {
		p.dispatcher.HandleAllRefused(&packet, &verdict)
	}
	p.carryOut(writer, raw, &packet, &verdict)
	p.count(&verdict)
	if line, ok := p.decisions.Line(agdecision.KindReturned, now); ok {
		line.WithField("Flow", packet.FromCaller().String()).WithField("Agent", from).WithField("Reason", string(verdict.Reason)).
			WithField("To", verdict.To).Info("Packet has come back from an agent.")
	}
}

// logVerdict logs a decision on a packet of a caller unless it is the usual one.
func (p *Process) logVerdict(packet *anvilglade.Packet, verdict *agdispatch.Verdict, now time.Time) {
	if verdict.Reason == agdispatch.ReasonHeld {
		return
	}
	kind := agdecision.KindDropped
	switch {
	case verdict.Action == agdispatch.ActionReset:
		kind = agdecision.KindReset
	case verdict.Reason == agdispatch.ReasonLookup:
		kind = agdecision.KindLookup
	case verdict.Reason == agdispatch.ReasonPlaced:
		kind = agdecision.KindPlaced
	}
	line, ok := p.decisions.Line(kind, now)
	if !ok {
		return
	}
	desired, _ := p.fleet.Desired()
	heard, known := p.fleet.CountHosts(now)
	if len(verdict.To) > 0 {
		if host, ok := p.fleet.Host(verdict.To[0]); ok {
			line = line.WithField("HostAge", now.Sub(host.Heard).String()).WithField("Flows", host.Flows).WithField("Working", host.Working).
				WithField("Host", host.Host)
		}
	}
	line = line.WithField("VersionAge", now.Sub(p.adopted).Round(time.Millisecond).String())
	line.WithField("Flow", packet.FromCaller().String()).WithField("Reason", string(verdict.Reason)).WithField("To", verdict.To).
		WithField("Candidates", verdict.Candidates).WithField("Version", desired.Version).WithField("HostsHeard", heard).
		WithField("HostsKnown", known).Info("Packet of a caller.")
}
