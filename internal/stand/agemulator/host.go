package agemulator

// Backend servers: they hold flows, work on requests in slots, drain, crash and
// start again under the same name.

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
	// packetKey is the key of the sum that callers and hosts share.
	packetKey = 0x5eed
	// coldFor is how long a host is cold after its start, coldFactor how much
	// longer its work takes then.
	coldFor    = 2 * time.Second
	coldFactor = 1.6
	// leaveMargin is how long a draining host goes on after the limit.
	leaveMargin = 300 * time.Millisecond
	maxDatagram = 2048
	readBatch   = 16
)

// hostFlow is a flow that a host holds.
type hostFlow struct {
	sequence uint32
	open     bool
	// expected is the sequence number of the caller's next data. Earlier data
	// is a late copy.
	expected uint32
	// asked is the last request, answered its answer once there is one.
	asked    uint64
	answered []byte
}

// Host is a backend server beside an agent.
type Host struct {
	id        anvilglade.HostID
	spec      ServiceSpec
	settings  anvilglade.PlatformSettings
	ledger    *Ledger
	group     *agtask.Group
	client    *http.Client
	evacuated func(anvilglade.DataCentreID) time.Time

	mu        sync.Mutex
	running   bool
	born      time.Time
	sequence  anvilglade.Sequence
	draining  time.Time
	flows     map[anvilglade.Flow]*hostFlow
	working   int
	waiting   []func()
	socket    *agsocket.Socket
	stopWork  context.CancelFunc
	closeAll  func()
	coldUntil time.Time
}

// start boots the host.
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
	boot, cancel := context.WithCancel(ctx)
	h.mu.Lock()
	h.running, h.born, h.sequence, h.draining = true, time.Now(), 0, time.Time{}
	h.flows = make(map[anvilglade.Flow]*hostFlow)
	h.working, h.waiting = 0, nil
	h.socket, h.stopWork = socket, cancel
	h.closeAll = func() { closeSocket(); _ = listener.Close() }
	if cold {
		h.coldUntil = h.born.Add(coldFor)
	}
	h.mu.Unlock()
	tasks := map[string]func(context.Context) error{
		"read":      func(context.Context) error { return h.read(socket) },
		"heartbeat": func(context.Context) error { return h.beat(boot) },
		"accept":    func(context.Context) error { return acceptAll(listener) },
	}
	for name, task := range tasks {
		if err := h.group.Start(string(h.id)+"/"+name, task); err != nil {
			return err
		}
	}
	return nil
}

// acceptAll closes each connection: agents only look whether the port answers.
func acceptAll(listener net.Listener) error {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return nil //nolint:nilerr // the listener was closed with its host
		}
		_ = connection.Close()
	}
}

// crash ends the host without a word; its flows are lost.
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

// beat tells the agent the host's state until the boot ends.
func (h *Host) beat(boot context.Context) error {
	for boot.Err() == nil {
		h.announce(boot)
		// The end of the wait and of the boot both lead on.
		_ = agtask.Sleep(boot, h.settings.HeartbeatInterval)
	}
	return nil
}

// announce sends one heartbeat. One that fails is followed by the next.
func (h *Host) announce(ctx context.Context) bool {
	h.mu.Lock()
	h.sequence++
	heartbeat := anvilglade.HostHeartbeat{
		Host: h.id, Born: h.born, Sequence: h.sequence, Service: h.spec.Name, Address: h.settings.HostAddr, DataCentre: h.settings.DataCentre,
		Slots: anvilglade.Slots(h.spec.Slots), Draining: !h.draining.IsZero(), ColdLeft: max(0, time.Until(h.coldUntil)),
	}
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return agplatform.SendHeartbeat(ctx, h.client, h.settings.ControlAddr, &heartbeat) == nil
}

// drain announces that the host leaves, serves on for a while and ends. It
// reports whether the agent has acknowledged it.
func (h *Host) drain(ctx context.Context) bool {
	h.mu.Lock()
	h.draining = time.Now()
	h.mu.Unlock()
	acknowledged := h.announce(ctx)
	if !acknowledged {
		h.mu.Lock()
		h.draining = time.Now().Add(time.Hour)
		h.mu.Unlock()
	}
	if err := agtask.Sleep(ctx, drainLimit+leaveMargin); err != nil {
		return acknowledged
	}
	callCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	// A host that gets no acknowledgement ends all the same.
	_ = agplatform.SendLeave(callCtx, h.client, h.settings.ControlAddr, h.id)
	h.crash()
	return acknowledged
}

// holds reports whether the host runs and holds a flow.
func (h *Host) holds(flow anvilglade.Flow) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.flows[flow]
	return h.running && held != nil && held.open
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
			// A refused datagram of before; the next read goes on.
			continue
		}
		for i := range batch {
			data := batch[i].Data
			if err := (agplatform.Codec{}).Parse(data, &packet); err != nil || !agplatform.CheckPacket(data, packetKey) {
				h.ledger.breaks(PromiseUnaltered, "host %s got %x", h.id, data)
				continue
			}
			h.take(socket, data, &packet)
		}
	}
}

// take handles one packet of a caller.
func (h *Host) take(socket *agsocket.Socket, data []byte, packet *anvilglade.Packet) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.running {
		return
	}
	flow := packet.FromCaller()
	held := h.flows[flow]
	switch {
	case packet.Opens():
		if held == nil {
			h.checkOpening(flow)
			held = &hostFlow{sequence: rand.Uint32(), expected: packet.Sequence + 1}
			h.flows[flow] = held
		}
		h.send(socket, flow, anvilglade.FlagSYN|anvilglade.FlagACK, held.sequence, packet.Sequence+1, nil)
	case held == nil, !held.open && packet.Acknowledged != held.sequence+1:
		back := append([]byte(nil), data...)
		agplatform.MarkReturned(back)
		h.write(socket, back)
	case packet.Flags.Has(anvilglade.FlagFIN):
		delete(h.flows, flow)
		h.send(socket, flow, anvilglade.FlagACK, held.sequence+1, packet.Sequence+1, nil)
	default:
		held.open = true
		h.ask(socket, flow, held, packet, data[len(data)-packet.DataLength:])
	}
}

// checkOpening checks the promises about new flows.
func (h *Host) checkOpening(flow anvilglade.Flow) {
	calm := h.ledger.calm(h.settings.IP)
	if since := time.Since(h.draining); calm && !h.draining.IsZero() && since > drainLimit {
		h.ledger.breaks(PromiseDrained, "host %s got flow %s %s after it drained", h.id, flow, since)
	}
	if at := h.evacuated(h.settings.DataCentre); calm && !at.IsZero() && time.Since(at) > evacuateLimit {
		h.ledger.breaks(PromiseEvacuated, "host %s got flow %s %s after the evacuation", h.id, flow, time.Since(at))
	}
}

// ask works on a request, or answers a repeated one as before.
func (h *Host) ask(socket *agsocket.Socket, flow anvilglade.Flow, held *hostFlow, packet *anvilglade.Packet, data []byte) {
	asked, ok := decodeRequest(data)
	if !ok {
		return
	}
	if asked.service != h.spec.Name.Number() {
		h.ledger.breaks(PromiseRightService, "host %s of %s got request %x", h.id, h.spec.Name, asked.id)
		return
	}
	if packet.Sequence != held.expected {
		if asked.id == held.asked && held.answered != nil {
			h.send(socket, flow, anvilglade.FlagACK, held.sequence+1, packet.Sequence+uint32(packet.DataLength), held.answered)
		}
		return
	}
	held.asked, held.answered = asked.id, nil
	held.expected += uint32(packet.DataLength)
	acknowledged := held.expected
	h.send(socket, flow, anvilglade.FlagACK, held.sequence+1, acknowledged, nil)
	reply := func(ran bool) {
		result := answer{id: asked.id, ran: ran, service: h.spec.Name.Number()}
		held.answered = result.encode()
		h.send(socket, flow, anvilglade.FlagACK, held.sequence+1, acknowledged, held.answered)
	}
	if h.working >= h.spec.Slots && len(h.waiting) >= h.spec.Queue {
		reply(false)
		return
	}
	work := func() { h.work(&asked, func() { reply(true) }) }
	if h.working >= h.spec.Slots {
		h.waiting = append(h.waiting, work)
		return
	}
	work()
}

// work occupies a slot for the time of a request. The caller holds the mutex.
func (h *Host) work(asked *request, done func()) {
	h.working++
	h.ledger.ran(asked.id, asked.repeatable)
	took := time.Duration(asked.workMicros) * time.Microsecond
	if time.Now().Before(h.coldUntil) {
		took = time.Duration(float64(took) * coldFactor)
	}
	boot := h.born
	time.AfterFunc(took, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if !h.running || !boot.Equal(h.born) {
			return
		}
		h.working--
		done()
		if len(h.waiting) > 0 {
			next := h.waiting[0]
			h.waiting = h.waiting[1:]
			next()
		}
	})
}

func (h *Host) send(socket *agsocket.Socket, flow anvilglade.Flow, flags anvilglade.PacketFlags, sequence, acknowledged uint32, data []byte) {
	packet := anvilglade.Packet{Source: flow.Service, Destination: flow.Caller, Flags: flags, Sequence: sequence, Acknowledged: acknowledged}
	h.write(socket, agplatform.AppendPacket(nil, &packet, data, packetKey))
}

func (h *Host) write(socket *agsocket.Socket, data []byte) {
	// A packet that is lost on the way is repeated by the caller.
	_ = socket.WriteTo(data, h.settings.OutboundAddr.AddrPort())
}
