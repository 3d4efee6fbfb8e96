package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

type flowKey struct {
	client, service end
}

// hostFlow is what a host knows of a flow.
type hostFlow struct {
	iss, next uint32
	// syn is the sequence number of the opening packet.
	syn    uint32
	open   bool
	ended  bool
	answer []byte
	// sent is the number of bytes of answers, answerSeq the sequence number of the last.
	sent, answerSeq uint32
	takenAt         time.Time
	openedAt        time.Time
	// copyNumber is that of the opening packet which the host has taken.
	copyNumber uint32
}

// host is a backend server: packets over UDP, health over TCP, heartbeats to the agent
// beside it.
type host struct {
	w        *world
	id       string
	service  string
	zone     string
	ip       string
	slots    int
	work     time.Duration
	beat     time.Duration
	born     time.Time
	outbound netip.AddrPort
	control  string
	udp      *net.UDPConn
	http     *http.Server
	end      context.CancelFunc

	mu        sync.Mutex
	flows     map[flowKey]*hostFlow
	sequence  int
	coldSince time.Time
	coldUntil time.Time
	// draining is set from the moment at which the host says that it leaves, drainedAt is
	// the time of the first acknowledgement of that.
	draining  bool
	drainedAt time.Time
	// gone is set when the process of the host has ended.
	gone bool
	// requests has the requests that the host has begun to work on.
	requests map[string]bool
	busy     int
	queue    []func()
	beats    []time.Time
}

func (w *world) newHost(id, service, zone, ip string) *host {
	return &host{
		w: w, id: id, service: service, zone: zone, ip: ip, slots: 7, work: 5 * time.Millisecond, beat: w.beat,
		outbound: netip.MustParseAddrPort(fmt.Sprintf("%s:%d", ip, w.ports.outbound)), control: fmt.Sprintf("%s:%d", ip, w.ports.control),
		flows: make(map[flowKey]*hostFlow), requests: make(map[string]bool),
	}
}

func (h *host) start(ctx context.Context) error {
	address := fmt.Sprintf("%s:%d", h.ip, h.w.ports.app)
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)))
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	ctx, h.end = context.WithCancel(ctx)
	h.udp, h.born = udp, time.Now()
	h.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })}
	go func() { _ = h.http.Serve(listener) }()
	go h.read()
	go func() {
		for ctx.Err() == nil {
			// A heartbeat that was not acknowledged is sent again soon.
			wait := h.beat
			if !h.heartbeat() {
				wait = 200 * time.Millisecond
			}
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		}
	}()
	h.w.note("host %s of %s starts at %s", h.id, h.service, address)
	return nil
}

// heartbeat sends one heartbeat and reports whether it was acknowledged.
func (h *host) heartbeat() bool {
	h.mu.Lock()
	h.sequence++
	now := time.Now()
	state := "ready"
	if h.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": h.service, "address": fmt.Sprintf("%s:%d", h.ip, h.w.ports.app), "zone": h.zone, "version": "v1", "slots": h.slots, "state": state,
		"cold_left_ms": max(0, h.coldUntil.Sub(now).Milliseconds()), "sequence": h.sequence, "born": h.born.UnixMilli(),
	})
	number := h.sequence
	h.mu.Unlock()
	request, _ := http.NewRequest(http.MethodPut, "http://"+h.control+"/instances/"+h.id, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	ok := err == nil && response.StatusCode/100 == 2
	if err == nil {
		_ = response.Body.Close()
	}
	h.mu.Lock()
	h.beats = append(h.beats, now)
	if ok && state == "draining" && h.drainedAt.IsZero() {
		h.drainedAt = time.Now()
	}
	h.mu.Unlock()
	h.w.note("host %s heartbeat %d %s acknowledged=%v cold=%v", h.id, number, state, ok, now.Before(h.coldUntil))
	return ok
}

// turnCold makes the host cold for a time, as a start during traffic does.
func (h *host) turnCold(span time.Duration) {
	h.mu.Lock()
	h.coldSince = time.Now()
	h.coldUntil = h.coldSince.Add(span)
	h.mu.Unlock()
	h.w.note("host %s is cold for %s", h.id, span)
}

func (h *host) read() {
	buffer := make([]byte, 4096)
	for {
		n, from, err := h.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		_ = from
		raw := append([]byte(nil), buffer[:n]...)
		p, ok := decode(raw)
		if !ok || !intact(raw) {
			h.w.violation("UNASKED: host %s got a packet that no client wrote so: %x", h.id, raw)
			continue
		}
		h.handle(raw, &p)
	}
}

func (h *host) handle(raw []byte, p *packet) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := flowKey{client: p.src, service: p.dst}
	flow := h.flows[key]
	switch {
	case p.flags&(flagSYN|flagACK) == flagSYN:
		if flow == nil || flow.ended && flow.syn != p.seq {
			flow = &hostFlow{iss: rand.Uint32(), syn: p.seq, next: p.seq + 1, takenAt: time.Now(), copyNumber: p.ack}
			h.flows[key] = flow
			h.w.taken(h, key, flow)
		}
		h.send(key, flagSYN|flagACK, flow.iss, p.seq+1, nil)
	case flow == nil || !flow.open && p.ack != flow.iss+1:
		h.w.note("host %s returns a packet of flow %s:%d, flags %d, %d bytes, known=%v", h.id, netip.AddrFrom4(p.src.ip), p.src.port, p.flags, len(p.data), flow != nil)
		raw[12] |= flagBounced
		raw[13] = 0
		h.write(raw)
	default:
		h.handleOpen(key, flow, p)
	}
}

func (h *host) handleOpen(key flowKey, flow *hostFlow, p *packet) {
	if !flow.open {
		flow.open, flow.openedAt = true, time.Now()
	}
	switch {
	case p.flags&flagRST != 0:
		// Nothing of a flow is kept after a reset.
		flow.ended = true
		delete(h.flows, key)
	case flow.ended && p.flags&flagFIN != 0:
		h.send(key, flagACK, flow.iss+1+flow.sent, p.seq+1, nil)
	case flow.ended && len(p.data) > 0:
		h.send(key, flagRST, flow.iss+1+flow.sent, 0, nil)
	case p.flags&flagFIN != 0:
		flow.ended = true
		h.send(key, flagFIN|flagACK, flow.iss+1+flow.sent, p.seq+uint32(len(p.data))+1, nil)
	case len(p.data) > 0 && p.seq == flow.next:
		flow.next += uint32(len(p.data))
		flow.answer = nil
		h.run(key, flow, string(p.data))
	case len(p.data) > 0 && flow.answer != nil:
		h.send(key, flagACK, flow.answerSeq, flow.next, flow.answer)
	case len(p.data) > 0:
		h.w.note("host %s gets data of flow %s:%d out of order", h.id, netip.AddrFrom4(p.src.ip), p.src.port)
		h.send(key, flagACK, flow.iss+1+flow.sent, flow.next, nil)
	}
}

// run executes a request in a slot. The caller holds the mutex.
func (h *host) run(key flowKey, flow *hostFlow, id string) {
	job := func() {
		if h.gone {
			return
		}
		h.busy++
		h.requests[id] = true
		h.w.ran(h, key, id)
		work := h.work
		if time.Now().Before(h.coldUntil) {
			work = work * 8 / 5
		}
		time.AfterFunc(work, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.gone {
				return
			}
			h.busy--
			flow.answer = []byte("200 stamp=" + h.id + " " + id)
			flow.answerSeq = flow.iss + 1 + flow.sent
			flow.sent += uint32(len(flow.answer))
			h.send(key, flagACK, flow.answerSeq, flow.next, flow.answer)
			if h.draining {
				// A draining host closes each flow after its next response.
				h.send(key, flagFIN|flagACK, flow.iss+1+flow.sent, flow.next, nil)
			}
			if len(h.queue) > 0 {
				next := h.queue[0]
				h.queue = h.queue[1:]
				next()
			}
		})
	}
	if h.busy >= h.slots {
		h.queue = append(h.queue, job)
		return
	}
	job()
}

func (h *host) send(key flowKey, flags byte, seq, ack uint32, data []byte) {
	p := packet{seq: seq, ack: ack, flags: flags, src: key.service, dst: key.client, data: data}
	h.write(p.encode())
}

func (h *host) write(raw []byte) {
	_, _ = h.udp.WriteToUDPAddrPort(raw, h.outbound)
}

// holds reports whether the host has the flow open.
func (h *host) holds(key flowKey) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	flow := h.flows[key]
	return flow != nil && flow.open && !flow.ended
}
