package agpacketagent

// Tasks that forward packets between balancers, the host and callers.

import (
	"context"
	"net/netip"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/admission/agadmission"
	"github.com/anvilglade/anvilglade/internal/flow/agholder"
	"github.com/anvilglade/anvilglade/internal/observe/agdecision"
	"github.com/anvilglade/anvilglade/internal/operate/agpackettask"
	"github.com/anvilglade/anvilglade/internal/packet/agmessage"
	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
)

const (
	// maxDatagram is the size of the largest datagram that is read, in bytes.
	maxDatagram = 4096
	// batchSize is the maximum number of datagrams that are read at once. A reader
	// allocates a buffer for each of them in advance.
	batchSize = 32
)

// readPackets reads and handles packets that balancers and agents forward, and
// flow queries and statuses of balancers.
func (p *Process) readPackets(ctx context.Context) error {
	reader := p.packets.NewReader(batchSize, maxDatagram)
	out := writers{packets: p.packets.NewWriter(batchSize), host: p.hostSocket.NewWriter(batchSize)}
	var buffer forwardBuffer
	var query queryBuffer
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
				p.handleForward(&out, batch[i].Data, &buffer, now)
			case agmessage.KindFlowQuery, agmessage.KindNumberedQuery:
				p.handleFlowQuery(&out, batch[i].Data, batch[i].From.Addr(), &query, now)
			case agmessage.KindBalancerStatus:
				p.handleBalancerStatus(batch[i].Data, now)
			}
		}
		p.mu.Unlock()
		out.flush()
	}
}

// handleFlowQuery replies to a balancer that searches for the holders of flows.
func (p *Process) handleFlowQuery(out *writers, datagram []byte, from netip.Addr, queryBuffer *queryBuffer, now time.Time) {
	number, flows, err := agmessage.ParseFlowQuery(datagram, queryBuffer.flows[:0])
	if err != nil || !from.Is4() {
		p.metrics.Malformed.WithLabelValues("Find").Inc()
		return
	}
	queryBuffer.flows, queryBuffer.states = flows, queryBuffer.states[:0]
	flowsComplete, hostEnded := p.gate.HasAllFlows(), p.gate.Ended()
	for i := range flows {
		queryBuffer.states = append(queryBuffer.states, p.holder.Find(&flows[i], from.As4(), flowsComplete, hostEnded, now))
	}
	out.packets.Add(agmessage.AppendFlowReply(out.packets.Buffer(), number, queryBuffer.states), p.innerEndpoint(from.As4()).AddrPort())
}

// queryBuffer is the reused buffer for the flows of a query and their states.
type queryBuffer struct {
	flows  []agmessage.SearchedFlow
	states []agmessage.FlowState
}

// writers holds the writers of one task.
type writers struct {
	// packets sends datagrams to balancers, agents and callers.
	packets *agsocket.Writer
	// host sends packets to the host.
	host *agsocket.Writer
}

func (w *writers) flush() {
	w.packets.Flush()
	w.host.Flush()
}

// forwardBuffer holds a forwarded packet and the verdict on it. It is reused, so that
// packets cause no allocations.
type forwardBuffer struct {
	forward agmessage.Forward
	// raw is the packet that was forwarded. It shares memory with the datagram.
	raw     []byte
	packet  anvilglade.Packet
	verdict agholder.Verdict
}

// handleForward handles a datagram that has arrived: the queue keeps it, or it is passed
// on after the datagrams that leave the queue before it.
func (p *Process) handleForward(out *writers, datagram []byte, buffer *forwardBuffer, now time.Time) {
	if !p.parseForward(datagram, buffer) {
		return
	}
	p.releaseQueued(out, now)
	decision := p.offerToQueue(datagram, buffer, now)
	p.releaseQueued(out, now)
	if decision.Delivers() {
		p.passForward(out, buffer, now)
		return
	}
	// Another task with its own writer may release the packet. Flushing first keeps the
	// order of the flow's packets.
	out.host.Flush()
}

// parseForward decodes a datagram and reports whether it is valid.
func (p *Process) parseForward(datagram []byte, buffer *forwardBuffer) bool {
	raw, err := agmessage.ParseForward(datagram, &buffer.forward)
	if err != nil {
		p.metrics.Malformed.WithLabelValues("Forward").Inc()
		return false
	}
	if err := p.parts.Codec.Parse(raw, &buffer.packet); err != nil {
		p.metrics.Malformed.WithLabelValues("Packet").Inc()
		return false
	}
	buffer.raw = raw
	return true
}

// passForward passes a packet to the holder and applies its verdict.
func (p *Process) passForward(out *writers, buffer *forwardBuffer, now time.Time) {
	forward, packet := &buffer.forward, &buffer.packet
	refusal := ""
	if packet.Opens() && forward.Service == p.settings.Service.Number() && p.holder.NeedsAdmission(forward, packet, now) {
		refusal = p.refusal(forward, now)
	}
	p.holder.FromBalancer(forward, packet, refusal, p.gate.Ended(), now, &buffer.verdict)
	p.applyVerdict(out, buffer.raw, packet, &buffer.verdict)
}

// readHostPackets reads and handles the packets that the host sends or returns.
func (p *Process) readHostPackets(ctx context.Context) error {
	reader := p.hostSocket.NewReader(batchSize, maxDatagram)
	out := writers{packets: p.packets.NewWriter(batchSize), host: p.hostSocket.NewWriter(batchSize)}
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
			p.recordOpening(&packet, now)
			p.holder.FromHost(&packet, now, &verdict)
			p.applyVerdict(&out, batch[i].Data, &packet, &verdict)
			p.releaseQueued(&out, now)
		}
		startedFailing := p.updateFailing(now)
		p.mu.Unlock()
		if startedFailing {
			p.wakeStatus()
		}
		out.flush()
	}
}

// recordOpening records whether the host has accepted or returned an opening packet, and
// notifies balancers if the host has started or stopped taking new flows. The caller holds
// the mutex.
func (p *Process) recordOpening(packet *anvilglade.Packet, now time.Time) {
	switch {
	case !packet.Flags.Has(anvilglade.FlagSYN):
		return
	case packet.Flags.Has(anvilglade.FlagReturned):
		p.gate.FlowReturned(now)
	default:
		p.gate.FlowAccepted(now)
	}
	if p.updateAdmissionState(now) {
		p.wakeStatus()
	}
}

// applyVerdict sends the datagrams that a verdict requires.
func (p *Process) applyVerdict(out *writers, raw []byte, packet *anvilglade.Packet, verdict *agholder.Verdict) {
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

// logVerdict logs a decision on a packet that is neither delivered to the host nor
// sent to its caller.
func (p *Process) logVerdict(packet *anvilglade.Packet, verdict *agholder.Verdict) {
	line, ok := p.decisions.Line(decisionKinds[verdict.Action], time.Now())
	if !ok {
		return
	}
	if verdict.Cause == agadmission.Cause {
		line = p.considered.addTo(line)
	}
	line.WithField("Flow", verdict.Flow.String()).WithField("Opens", packet.Opens()).WithField("Cause", verdict.Cause).
		WithField("To", verdict.To).WithField("Revision", p.evacuations.Evacuations().Revision).WithField("ColdRate", p.gate.ColdRate()).
		WithField("HeartbeatAge", p.gate.HeartbeatAge(time.Now()).String()).Info("Packet is not accepted by the host.")
}
