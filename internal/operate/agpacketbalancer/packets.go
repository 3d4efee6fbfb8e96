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
	// maxDatagram is the size of the largest datagram that is read, in bytes.
	maxDatagram = 8192
	// batchSize is the maximum number of datagrams that are read at once. Each has
	// a buffer, which adds to the memory of the process.
	batchSize = 32
)

// readPackets reads and dispatches packets of callers.
func (p *Process) readPackets(ctx context.Context) error {
	reader, writer := p.packets.NewReader(batchSize, maxDatagram), p.packets.NewWriter(batchSize)
	var verdict agdispatch.Verdict
	order := batchOrder{codec: p.parts.Codec, openingLast: p.sized()}
	for {
		batch, err := reader.Read()
		if err != nil {
			return agpackettask.EndRead(ctx, err)
		}
		now := time.Now()
		p.mu.Lock()
		p.fleet.Tick(now)
		indexes := order.of(batch)
		if malformed := len(batch) - len(indexes); malformed > 0 {
			p.metrics.Malformed.WithLabelValues("Packet").Add(float64(malformed))
		}
		for _, i := range indexes {
			packet := &order.packets[i]
			p.dispatcher.FromCaller(packet, now, &verdict)
			p.applyVerdict(writer, batch[i].Data, packet, &verdict)
			p.count(&verdict)
			p.observePlacement(&verdict)
			p.logVerdict(packet, &verdict, now)
		}
		p.logSplitChanges(now)
		p.sendQueries(writer, now)
		p.mu.Unlock()
		writer.Flush()
	}
}

// applyVerdict forwards, buffers or resets as the verdict specifies. Packet is needed
// to buffer and to reset; for a verdict to forward it may be nil.
func (p *Process) applyVerdict(writer *agsocket.Writer, data []byte, packet *anvilglade.Packet, verdict *agdispatch.Verdict) {
	switch verdict.Action {
	case agdispatch.ActionForward:
		forward := agmessage.Forward{Service: verdict.Service, Origin: p.settings.IP, ToHolder: verdict.ToHolder, OutsideRoute: verdict.OutsideRoute, Candidates: verdict.Candidates, Class: verdict.Class}
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

// readInner reads and handles messages of agents and balancers.
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
			p.handleMessage(writer, batch[i].Data, from.As4(), now)
		}
		p.resetUnheld(writer, now)
		p.sendQueries(writer, now)
		p.mu.Unlock()
		writer.Flush()
	}
}

// handleMessage handles one message. A message that cannot be decoded is dropped:
// its sender repeats its status, and a caller retransmits a lost packet.
func (p *Process) handleMessage(writer *agsocket.Writer, data []byte, from anvilglade.IPv4, now time.Time) {
	switch agmessage.KindOf(data) {
	case agmessage.KindOwner:
		owner, err := agmessage.ParseOwner(data)
		if err != nil {
			p.metrics.Malformed.WithLabelValues("Owner").Inc()
			return
		}
		if latency := p.dispatcher.HandleHolder(from, &owner, now); latency > 0 {
			p.observeOpening(from, latency)
		}
		p.fleet.UpdateLoad(from, int(owner.Flows), int(owner.ActiveRequests), now)
		p.sendBuffered(writer, owner.Flow)
	case agmessage.KindFlowReply:
		p.handleFlowReply(writer, data, from, now)
	case agmessage.KindFlowAbsent:
		flow, err := agmessage.ParseFlowAbsent(data)
		if err != nil {
			p.metrics.Malformed.WithLabelValues("Absent").Inc()
			return
		}
		p.dispatcher.HandleFlowAbsent(from, flow)
	case agmessage.KindReturned, agmessage.KindExhausted:
		p.handleReturned(writer, data, from, now)
	case agmessage.KindAgentStatus:
		p.countControl(directionReceived, controlAgentStatus, 1, len(data))
		status, err := agmessage.ParseAgentStatus(data)
		if err != nil || status.Agent != from {
			p.metrics.Malformed.WithLabelValues("AgentStatus").Inc()
			return
		}
		p.fleet.UpdateAgent(status, now)
		p.replyToAgent(writer, &status, now)
	case agmessage.KindBalancerStatus:
		p.handleBalancerStatus(writer, data, from, now)
	}
}

// handleBalancerStatus handles the status of another balancer. The caller holds the
// mutex.
func (p *Process) handleBalancerStatus(writer *agsocket.Writer, data []byte, from anvilglade.IPv4, now time.Time) {
	p.countControl(directionReceived, controlPeerStatus, 1, len(data))
	status, err := agmessage.ParseBalancerStatus(data)
	if err != nil || status.Balancer != from {
		p.metrics.Malformed.WithLabelValues("BalancerStatus").Inc()
		return
	}
	hadPending := p.fleet.HasPendingAgents()
	started := p.fleet.UpdateBalancer(status, now)
	p.logEvacuations(from.String())
	if p.fleet.IsLatest(&status) {
		p.dispatcher.ObserveShifts(&status, now)
	}
	if started {
		p.sendFullStatus(writer, from, now)
	}
	if !hadPending && p.fleet.HasPendingAgents() {
		p.wakeNotify()
	}
	if desired, _ := p.fleet.Desired(); status.Desired > desired.Version {
		p.wakeFetch()
	}
}

// observeOpening adds the time from an opening packet to the host's answer to
// the latency histogram.
func (p *Process) observeOpening(agent anvilglade.IPv4, latency time.Duration) {
	if host, ok := p.fleet.Host(agent); ok {
		p.metrics.Latency.WithLabelValues(string(host.Service)).Observe(latency.Seconds())
	}
}

// sendBuffered sends the packets that were buffered during the search for the
// flow's holder.
func (p *Process) sendBuffered(writer *agsocket.Writer, flow anvilglade.Flow) {
	var verdict agdispatch.Verdict
	for _, raw := range p.dispatcher.TakeBuffered(flow, &verdict) {
		p.applyVerdict(writer, raw, nil, &verdict)
	}
}

// handleReturned decides again on a packet that no host accepted.
func (p *Process) handleReturned(writer *agsocket.Writer, data []byte, from anvilglade.IPv4, now time.Time) {
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
	p.applyVerdict(writer, raw, &packet, &verdict)
	p.count(&verdict)
	if line, ok := p.decisions.Line(agdecision.KindReturned, now); ok {
		line.WithField("Flow", packet.FromCaller().String()).WithField("Agent", from).WithField("Reason", string(verdict.Reason)).
			WithField("To", verdict.To).Info("Packet was returned by an agent.")
	}
}

// logVerdict logs a decision on a packet of a caller, except for packets that are
// forwarded to the known holder of their flow.
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
	case verdict.Reason == agdispatch.ReasonPlaced && verdict.Split.Shifted():
		kind = agdecision.KindShifted
	case verdict.Reason == agdispatch.ReasonPlaced:
		kind = agdecision.KindPlaced
	}
	line, ok := p.decisions.Line(kind, now)
	if !ok {
		return
	}
	desired, _ := p.fleet.Desired()
	responding, total := p.fleet.CountHosts(now)
	if len(verdict.To) > 0 {
		if host, ok := p.fleet.Host(verdict.To[0]); ok {
			line = line.WithField("HostAge", now.Sub(host.LastStatus).String()).WithField("Flows", host.Flows).WithField("Working", host.ActiveRequests).
				WithField("Host", host.Host)
		}
	}
	if verdict.Split.Shifted() {
		line = line.WithField("Service", verdict.Split.Service).WithField("ShiftedFrom", verdict.Split.Weighted).WithField("ShiftStep", verdict.Split.Step).
			WithField("ShiftCause", string(verdict.Split.Cause))
	}
	line = addExpectation(line, verdict)
	line = line.WithField("VersionAge", now.Sub(p.adopted).Round(time.Millisecond).String())
	line.WithField("Flow", packet.FromCaller().String()).WithField("Reason", string(verdict.Reason)).WithField("To", verdict.To).
		WithField("Candidates", verdict.Candidates).WithField("Version", desired.Version).WithField("HostsHeard", responding).
		WithField("HostsKnown", total).Info("Packet of a caller.")
}
