package agemulator

// Emulated backend servers keep flows, execute requests in slots, drain, crash and
// restart under the same name.

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

const (
	// packetKey is the key of the packet checksum, shared by callers and hosts.
	packetKey = 0x5eed
	// coldDuration is how long a host is cold after its start. coldFactor
	// multiplies the execution time of requests on a cold host.
	coldDuration = 2 * time.Second
	coldFactor   = 1.6
	// leaveMargin is how long a draining host keeps running after drainLimit.
	leaveMargin = 300 * time.Millisecond
	maxDatagram = 2048
	readBatch   = 16
)

// hostFlow is the host's state of a flow.
type hostFlow struct {
	sequence uint32
	open     bool
	// expected is the sequence number of the caller's next data. Data with an
	// earlier number is a late copy.
	expected uint32
	// req is the ID of the last request. lastAnswer is the encoded answer to it, nil
	// until there is one.
	req        uint64
	lastAnswer []byte
}

// Host is an emulated backend server with its agent.
type Host struct {
	id        anvilglade.HostID
	spec      ServiceSpec
	settings  anvilglade.PlatformSettings
	ledger    *Ledger
	group     *agtask.Group
	client    *http.Client
	evacuated func(anvilglade.DataCentreID) time.Time
	// allowed reports whether a request for the first service may reach the second one.
	allowed func(requested, serving anvilglade.ServiceNumber) bool

	mu            sync.Mutex
	running       bool
	bootTime      time.Time
	sequence      anvilglade.Sequence
	drainingSince time.Time
	flows         map[anvilglade.Flow]*hostFlow
	busySlots     int
	queue         []func()
	socket        *agsocket.Socket
	stopWork      context.CancelFunc
	closeAll      func()
	coldUntil     time.Time
}

// start starts the host. A cold host executes requests more slowly for coldDuration.
func (h *Host) start(ctx context.Context, cold bool) error {
	address := h.settings.HostAddr.AddrPort()
	socket, closeSocket, err := agsocket.Listen(ctx, address)
	if err != nil {
		return err
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", address.String())
	if err != nil {
		closeSocket()
		return err
	}
	bootCtx, cancel := context.WithCancel(ctx)
	h.mu.Lock()
	h.running, h.bootTime, h.sequence, h.drainingSince = true, time.Now(), 0, time.Time{}
	h.flows = make(map[anvilglade.Flow]*hostFlow)
	h.busySlots, h.queue = 0, nil
	h.socket, h.stopWork = socket, cancel
	h.closeAll = func() { closeSocket(); _ = listener.Close() }
	if cold {
		h.coldUntil = h.bootTime.Add(coldDuration)
	}
	h.mu.Unlock()
	tasks := map[string]func(context.Context) error{
		"read":      func(context.Context) error { return h.read(socket) },
		"heartbeat": func(context.Context) error { return h.sendHeartbeats(bootCtx) },
		"accept":    func(context.Context) error { return acceptAll(listener) },
	}
	for name, task := range tasks {
		if err := h.group.Start(string(h.id)+"/"+name, task); err != nil {
			return err
		}
	}
	return nil
}

// acceptAll accepts and closes each connection, because agents only probe whether
// the port accepts connections.
func acceptAll(listener net.Listener) error {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return nil //nolint:nilerr // the listener was closed with its host
		}
		_ = connection.Close()
	}
}

// crash stops the host without notifying its agent. Its flows are lost.
func (h *Host) crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.running {
		return
	}
	h.running = false
	h.stopWork()
	h.closeAll()
}

// sendHeartbeats reports the host's state to its agent periodically until the host
// stops.
func (h *Host) sendHeartbeats(bootCtx context.Context) error {
	for bootCtx.Err() == nil {
		h.sendHeartbeat(bootCtx)
		// The loop condition handles a stopped host.
		_ = agtask.Sleep(bootCtx, h.settings.HeartbeatInterval)
	}
	return nil
}

// sendHeartbeat sends one heartbeat and reports whether the agent acknowledged it.
// A failed heartbeat is not repeated.
func (h *Host) sendHeartbeat(ctx context.Context) bool {
	h.mu.Lock()
	h.sequence++
	heartbeat := anvilglade.HostHeartbeat{
		Host: h.id, Born: h.bootTime, Sequence: h.sequence, Service: h.spec.Name, Address: h.settings.HostAddr, DataCentre: h.settings.DataCentre,
		Slots: anvilglade.Slots(h.spec.Slots), Draining: !h.drainingSince.IsZero(), ColdLeft: max(0, time.Until(h.coldUntil)),
	}
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return agplatform.SendHeartbeat(ctx, h.client, h.settings.ControlAddr, &heartbeat) == nil
}

// drain reports to the agent that the host is draining, continues to serve for drainLimit and
// leaveMargin, and stops the host. It returns whether the agent acknowledged the
// report.
func (h *Host) drain(ctx context.Context) bool {
	h.mu.Lock()
	h.drainingSince = time.Now()
	h.mu.Unlock()
	acknowledged := h.sendHeartbeat(ctx)
	if !acknowledged {
		h.mu.Lock()
		h.drainingSince = time.Now().Add(time.Hour)
		h.mu.Unlock()
	}
	if err := agtask.Sleep(ctx, drainLimit+leaveMargin); err != nil {
		return acknowledged
	}
	callCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	// The host stops even if the agent does not acknowledge the leave.
	_ = agplatform.SendLeave(callCtx, h.client, h.settings.ControlAddr, h.id)
	h.crash()
	return acknowledged
}

// hasOpenFlow reports whether the host is running and has the flow open that it accepted
// with a sequence number.
func (h *Host) hasOpenFlow(flow anvilglade.Flow, sequence uint32) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.flows[flow]
	return h.running && state != nil && state.open && state.sequence == sequence
}

func (h *Host) read(socket *agsocket.Socket) error {
	reader := socket.NewReader(readBatch, maxDatagram)
	var packet anvilglade.Packet
	for {
		batch, err := reader.Read()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if err != nil {
			// The error of an earlier, refused datagram; later reads succeed.
			continue
		}
		for i := range batch {
			data := batch[i].Data
			if err := (agplatform.Codec{}).Parse(data, &packet); err != nil || !agplatform.CheckPacket(data, packetKey) {
				h.ledger.recordViolation(PromiseUnaltered, "host %s got %x", h.id, data)
				continue
			}
			h.handlePacket(socket, data, &packet)
		}
	}
}

// handlePacket handles one packet of a caller. A packet of an unknown flow is
// returned to the agent.
func (h *Host) handlePacket(socket *agsocket.Socket, data []byte, packet *anvilglade.Packet) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.running {
		return
	}
	flow := packet.FromCaller()
	state := h.flows[flow]
	switch {
	case packet.Opens():
		if state == nil {
			h.checkOpening(flow)
			state = &hostFlow{sequence: rand.Uint32(), expected: packet.Sequence + 1}
			h.flows[flow] = state
		}
		h.send(socket, flow, anvilglade.FlagSYN|anvilglade.FlagACK, state.sequence, packet.Sequence+1, nil)
	case state == nil, !state.open && packet.Acknowledged != state.sequence+1:
		back := append([]byte(nil), data...)
		agplatform.MarkReturned(back)
		h.write(socket, back)
	case packet.Flags.Has(anvilglade.FlagRST):
		// Only a reset with the next sequence number ends the flow.
		if packet.Sequence == state.expected {
			delete(h.flows, flow)
		}
	case packet.Flags.Has(anvilglade.FlagFIN) && packet.Sequence == state.expected:
		delete(h.flows, flow)
		h.send(socket, flow, anvilglade.FlagACK, state.sequence+1, packet.Sequence+1, nil)
	default:
		state.open = true
		h.handleRequest(socket, flow, state, packet, data[len(data)-packet.DataLength:])
	}
}

// checkOpening checks PromiseDrained and PromiseEvacuated for a new flow.
func (h *Host) checkOpening(flow anvilglade.Flow) {
	undisturbed := h.ledger.undisturbed(h.settings.IP)
	if since := time.Since(h.drainingSince); undisturbed && !h.drainingSince.IsZero() && since > drainLimit {
		h.ledger.recordViolation(PromiseDrained, "host %s got flow %s %s after it drained", h.id, flow, since)
	}
	if at := h.evacuated(h.settings.DataCentre); undisturbed && !at.IsZero() && time.Since(at) > evacuateLimit {
		h.ledger.recordViolation(PromiseEvacuated, "host %s got flow %s %s after the evacuation", h.id, flow, time.Since(at))
	}
}

// handleRequest executes or queues a request, or refuses it if the slots and the
// queue are full. A copy of the last request gets the same answer again.
func (h *Host) handleRequest(socket *agsocket.Socket, flow anvilglade.Flow, state *hostFlow, packet *anvilglade.Packet, data []byte) {
	req, ok := decodeRequest(data)
	if !ok {
		return
	}
	if !h.allowed(req.service, h.spec.Name.Number()) {
		h.ledger.recordViolation(PromiseRightService, "host %s of %s got request %x", h.id, h.spec.Name, req.id)
		return
	}
	if packet.Sequence != state.expected {
		if req.id == state.req && state.lastAnswer != nil {
			h.send(socket, flow, anvilglade.FlagACK, state.sequence+1, packet.Sequence+uint32(packet.DataLength), state.lastAnswer)
		}
		return
	}
	state.req, state.lastAnswer = req.id, nil
	state.expected += uint32(packet.DataLength)
	acknowledged := state.expected
	h.send(socket, flow, anvilglade.FlagACK, state.sequence+1, acknowledged, nil)
	reply := func(ran bool) {
		result := answer{id: req.id, ran: ran, service: h.spec.Name.Number()}
		state.lastAnswer = result.encode()
		h.send(socket, flow, anvilglade.FlagACK, state.sequence+1, acknowledged, state.lastAnswer)
	}
	if h.busySlots >= h.spec.Slots && len(h.queue) >= h.spec.Queue {
		reply(false)
		return
	}
	run := func() { h.run(&req, func() { reply(true) }) }
	if h.busySlots >= h.spec.Slots {
		h.queue = append(h.queue, run)
		return
	}
	run()
}

// run occupies a slot for the execution time of a request and then calls done. The
// caller must hold the mutex.
func (h *Host) run(req *request, done func()) {
	h.busySlots++
	h.ledger.recordRun(req.id, req.repeatable)
	took := time.Duration(req.workMicros) * time.Microsecond
	if time.Now().Before(h.coldUntil) {
		took = time.Duration(float64(took) * coldFactor)
	}
	boot := h.bootTime
	time.AfterFunc(took, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if !h.running || !boot.Equal(h.bootTime) {
			return
		}
		h.busySlots--
		done()
		if len(h.queue) > 0 {
			next := h.queue[0]
			h.queue = h.queue[1:]
			next()
		}
	})
}

func (h *Host) send(socket *agsocket.Socket, flow anvilglade.Flow, flags anvilglade.PacketFlags, sequence, acknowledged uint32, data []byte) {
	packet := anvilglade.Packet{Source: flow.Service, Destination: flow.Caller, Flags: flags, Sequence: sequence, Acknowledged: acknowledged}
	h.write(socket, agplatform.AppendPacket(nil, &packet, data, packetKey))
}

func (h *Host) write(socket *agsocket.Socket, data []byte) {
	// A write error counts as a lost packet, which the caller repeats.
	_ = socket.WriteTo(data, h.settings.OutboundAddr.AddrPort())
}
