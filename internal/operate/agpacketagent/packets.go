package agpacketagent

// Tasks that carry packets between balancers, the host and callers.

import (
	"context"
	"net/netip"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/admission/agopen"
	"github.com/anvilglade/anvilglade/internal/flow/agholder"
	"github.com/anvilglade/anvilglade/internal/observe/agdecision"
	"github.com/anvilglade/anvilglade/internal/operate/agpackettask"
	"github.com/anvilglade/anvilglade/internal/packet/agmessage"
	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
)

const (
	// maxDatagram is the largest datagram that is read, in bytes.
	maxDatagram = 4096
	// batchSize is the number of datagrams read at once. Buffers count towards
	// the memory of the process.
	batchSize = 32
)

// readPackets takes packets that balancers and agents forward, and statuses of
// balancers.
func (p *Process) readPackets(ctx context.Context) error {
	reader := p.packets.NewReader(batchSize, maxDatagram)
	out := writers{packets: p.packets.NewWriter(batchSize), host: p.outbound.NewWriter(batchSize)}
	var verdict agholder.Verdict
	var forward agmessage.Forward
	var asked question
	for {
		batch, err := reader.Read()
		if err != nil {
			return agpackettask.EndRead(ctx, err)
		}
		now := time.Now()
		p.mu.Lock()
		for i := range batch {
			switch agmessage.KindOf(batch[i].Data) {
			case agmessage.KindForward:
				p.forwarded(&out, batch[i].Data, &forward, now, &verdict)
			case agmessage.KindFlowQuery:
				p.find(&out, batch[i].Data, batch[i].From.Addr(), &asked, now)
			case agmessage.KindBalancerStatus:
				p.hearBalancer(batch[i].Data, now)
			}
		}
		p.mu.Unlock()
		out.flush()
	}
}

// find answers a balancer that searches for the holders of flows.
func (p *Process) find(out *writers, datagram []byte, from netip.Addr, question *question, now time.Time) {
	number, flows, err := agmessage.ParseFlowQuery(datagram, question.flows[:0])
	if err != nil || !from.Is4() {
		p.metrics.Malformed.WithLabelValues("Find").Inc()
		return
	}
	question.flows, question.states = flows, question.states[:0]
	complete, ended := p.gate.Complete(), p.gate.Ended()
	for _, flow := range flows {
		question.states = append(question.states, p.holder.Find(flow, from.As4(), complete, ended, now))
	}
	out.packets.Add(agmessage.AppendFlowReply(out.packets.Buffer(), number, question.states), p.innerEndpoint(from.As4()).AddrPort())
}

// question is the memory for the flows of a question and their states.
type question struct {
	flows  []anvilglade.Flow
	states []agmessage.FlowState
}

// writers are the sockets of one task: packets for balancers, agents and
// callers, and packets for the host.
type writers struct {
	packets *agsocket.Writer
	host    *agsocket.Writer
}

func (w *writers) flush() {
	w.packets.Flush()
	w.host.Flush()
}

func (p *Process) forwarded(out *writers, datagram []byte, forward *agmessage.Forward, now time.Time, verdict *agholder.Verdict) {
	raw, err := agmessage.ParseForward(datagram, forward)
	if err != nil {
		p.metrics.Malformed.WithLabelValues("Forward").Inc()
		return
	}
	var packet anvilglade.Packet
	if err := p.parts.Codec.Parse(raw, &packet); err != nil {
		p.metrics.Malformed.WithLabelValues("Packet").Inc()
		return
	}
	refusal := ""
	if packet.Opens() && forward.Service == p.settings.Service.Number() && !p.holder.Holds(packet.FromCaller()) {
		refusal = string(p.refusal(forward, now))
	}
	p.holder.FromBalancer(forward, &packet, refusal, p.gate.Ended(), now, verdict)
	p.carryOut(out, raw, &packet, verdict)
}

// refusal decides on a new flow. A busy host takes it if there is no other one to
// try.
func (p *Process) refusal(forward *agmessage.Forward, now time.Time) agopen.Refusal {
	if len(forward.Candidates) > 0 && p.gate.Busy(p.holder.ExpectedRequests()) {
		return agopen.RefusalBusy
	}
	return p.gate.Open(now)
}

// readOutbound takes the packets that the host sends and returns.
func (p *Process) readOutbound(ctx context.Context) error {
	reader := p.outbound.NewReader(batchSize, maxDatagram)
	out := writers{packets: p.packets.NewWriter(batchSize), host: p.outbound.NewWriter(batchSize)}
	var verdict agholder.Verdict
	var packet anvilglade.Packet
	for {
		batch, err := reader.Read()
		if err != nil {
			return agpackettask.EndRead(ctx, err)
		}
		now := time.Now()
		p.mu.Lock()
		for i := range batch {
			if err := p.parts.Codec.Parse(batch[i].Data, &packet); err != nil {
				p.metrics.Malformed.WithLabelValues("HostPacket").Inc()
				continue
			}
			p.holder.FromHost(&packet, now, &verdict)
			p.carryOut(&out, batch[i].Data, &packet, &verdict)
		}
		news := p.noteFailing(now)
		p.mu.Unlock()
		if news {
			p.wakeStatus()
		}
		out.flush()
	}
}

// carryOut sends what a verdict asks for.
func (p *Process) carryOut(out *writers, raw []byte, packet *anvilglade.Packet, verdict *agholder.Verdict) {
	switch verdict.Action {
	case agholder.ActionDeliver:
		p.parts.Codec.SetTag(raw, verdict.Tag)
		out.host.Add(append(out.host.Buffer(), raw...), p.settings.HostAddr.AddrPort())
	case agholder.ActionToCaller:
		out.packets.Add(append(out.packets.Buffer(), raw...), p.packetEndpoint(packet.Destination.IP).AddrPort())
	case agholder.ActionForward:
		p.parts.Codec.ClearMarks(raw)
		out.packets.Add(agmessage.AppendForward(out.packets.Buffer(), &verdict.Forward, raw), p.packetEndpoint(verdict.To).AddrPort())
	case agholder.ActionReturn:
		p.parts.Codec.ClearMarks(raw)
		out.packets.Add(agmessage.AppendPacket(out.packets.Buffer(), agmessage.KindReturned, raw), p.innerEndpoint(verdict.To).AddrPort())
	case agholder.ActionExhausted:
		p.parts.Codec.ClearMarks(raw)
		out.packets.Add(agmessage.AppendPacket(out.packets.Buffer(), agmessage.KindExhausted, raw), p.innerEndpoint(verdict.To).AddrPort())
	case agholder.ActionAbsent:
		out.packets.Add(agmessage.AppendFlowAbsent(out.packets.Buffer(), verdict.Flow), p.innerEndpoint(verdict.To).AddrPort())
	case agholder.ActionReset:
		p.reset(out.packets, verdict.Flow, packet.Acknowledged)
	}
	if verdict.Cause != "" {
		p.metrics.Decisions.WithLabelValues(string(p.settings.Service), string(decisionKinds[verdict.Action]), verdict.Cause).Inc()
		p.logVerdict(packet, verdict)
	}
	if verdict.OwnerTo != (anvilglade.IPv4{}) {
		out.packets.Add(agmessage.AppendOwner(out.packets.Buffer(), &verdict.Owner), p.innerEndpoint(verdict.OwnerTo).AddrPort())
	}
}

func (p *Process) reset(writer *agsocket.Writer, flow anvilglade.Flow, acknowledged uint32) {
	buffer := p.parts.Codec.AppendReset(writer.Buffer(), flow, acknowledged)
	writer.Add(buffer, p.packetEndpoint(flow.Caller.IP).AddrPort())
}

var decisionKinds = map[agholder.Action]agdecision.Kind{
	agholder.ActionDrop:      agdecision.KindDropped,
	agholder.ActionAbsent:    agdecision.KindReturned,
	agholder.ActionForward:   agdecision.KindPassed,
	agholder.ActionReturn:    agdecision.KindReturned,
	agholder.ActionExhausted: agdecision.KindRefused,
	agholder.ActionReset:     agdecision.KindReset,
}

// logVerdict logs a decision on a packet that did not go the usual way.
func (p *Process) logVerdict(packet *anvilglade.Packet, verdict *agholder.Verdict) {
	line, ok := p.decisions.Line(decisionKinds[verdict.Action], time.Now())
	if !ok {
		return
	}
	line.WithField("Flow", verdict.Flow.String()).WithField("Opens", packet.Opens()).WithField("Cause", verdict.Cause).
		WithField("To", verdict.To).WithField("Revision", p.evacuations.Revision).WithField("ColdRate", p.gate.ColdRate()).
		WithField("HeartbeatAge", p.gate.Silence(time.Now()).String()).Info("Packet is not taken by the host.")
}
