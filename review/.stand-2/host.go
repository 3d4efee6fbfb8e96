package main

// A stand-in of a backend server: its flows, its requests, its heartbeats and its health
// check.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	firstRepeat = 200 * time.Millisecond
	maxRepeat   = 1600 * time.Millisecond
	// hostRepeats is the number of retransmissions after which a host gives up.
	hostRepeats = 8
)

type hostFlow struct {
	client, service    end
	seq, ack           uint32
	open, closed       bool
	pending            []byte
	pendingSeq         uint32
	pendingFlags       byte
	sinceAck           int
	clientFin, hostFin bool
}

type host struct {
	w       *world
	name    string
	service string
	zone    string
	ip      string
	slots   int
	work    time.Duration
	born    int64

	mu       sync.Mutex
	flows    map[string]*hostFlow
	socket   *net.UDPConn
	outbound *net.UDPAddr
	health   net.Listener
	sequence int
	draining bool
	alive    bool
	busy     int
	queue    []func()
	// acked is the time of the acknowledgement of the first heartbeat with draining.
	acked time.Time
	// coldUntil is the end of the time for which the host is cold. taken has the times at
	// which it has taken opening packets while cold.
	coldUntil time.Time
	taken     []time.Time
}

func (w *world) newHost(service, zone, ip string, work, coldFor time.Duration) (*host, error) {
	h := &host{
		coldUntil: time.Now().Add(coldFor),
		w:         w, name: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, ip: ip, slots: 7, work: work,
		born: time.Now().UnixMilli(), flows: make(map[string]*hostFlow), alive: true,
		outbound: &net.UDPAddr{IP: net.ParseIP(ip), Port: w.port(portOutbound)},
	}
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: w.port(portApp)})
	if err != nil {
		return nil, err
	}
	h.socket = socket
	if h.health, err = net.Listen("tcp4", w.address(ip, portApp)); err != nil {
		return nil, err
	}
	go func() {
		_ = http.Serve(h.health, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			if h.isDraining() {
				writer.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
	}()
	go h.read()
	go h.beat()
	return h, nil
}

func (h *host) isDraining() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.draining
}

// beat sends heartbeats until the host has ended.
func (h *host) beat() {
	for {
		h.heartbeat()
		time.Sleep(heartbeatInterval)
		h.mu.Lock()
		alive := h.alive
		h.mu.Unlock()
		if !alive {
			return
		}
	}
}

// heartbeat sends one heartbeat to the daemon on the host's machine.
func (h *host) heartbeat() bool {
	h.mu.Lock()
	h.sequence++
	state := "ready"
	if h.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": h.service, "address": h.w.address(h.ip, portApp), "zone": h.zone, "version": "v1", "slots": h.slots,
		"state": state, "cold_left_ms": max(time.Until(h.coldUntil).Milliseconds(), 0), "sequence": h.sequence, "born": h.born,
	})
	h.mu.Unlock()
	status := h.call(http.MethodPut, body)
	if status/100 == 2 && state == "draining" {
		h.mu.Lock()
		if h.acked.IsZero() {
			h.acked = time.Now()
			h.w.note("host %s: draining is acknowledged", h.ip)
		}
		h.mu.Unlock()
	}
	return status/100 == 2
}

// call calls the control address and returns the status, 0 if there was no answer within
// a second.
func (h *host) call(method string, body []byte) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+h.w.address(h.ip, portControl)+"/instances/"+h.name, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4096))
	return response.StatusCode
}

// drain begins a planned shutdown.
func (h *host) drain() {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	h.w.note("host %s: reports draining", h.ip)
	h.heartbeat()
}

// crash ends the host without a message.
func (h *host) crash() {
	h.mu.Lock()
	h.alive = false
	h.mu.Unlock()
	_ = h.socket.Close()
	_ = h.health.Close()
	h.w.note("host %s: crashes", h.ip)
}

// busiestSecond returns the largest number of opening packets that the host has taken in a
// second while cold.
func (h *host) busiestSecond() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	most, first := 0, 0
	for i, at := range h.taken {
		for at.Sub(h.taken[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (h *host) read() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := h.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		raw := append([]byte(nil), buffer[:n]...)
		p, ok := decode(raw)
		if !ok || !genuine(raw) {
			h.w.note("host %s: packet that no client wrote: %x", h.ip, raw)
			h.w.broken("UNASKED: host %s got a packet that its sender did not write so", h.ip)
			continue
		}
		h.mu.Lock()
		h.handle(p, raw)
		h.mu.Unlock()
	}
}

// back returns a packet that the host does not take.
func (h *host) back(raw []byte) {
	raw[12] |= flagBack
	raw[13] = 0
	_, _ = h.socket.WriteToUDP(raw, h.outbound)
}

func (h *host) send(f *hostFlow, flags byte, seq uint32, data []byte) {
	p := packet{src: f.service, dst: f.client, flags: flags, seq: seq, ack: f.ack, data: data}
	f.sinceAck = 0
	_, _ = h.socket.WriteToUDP(p.encode(), h.outbound)
}

func (h *host) handle(p *packet, raw []byte) {
	key := p.src.String() + ">" + p.dst.String()
	f := h.flows[key]
	if p.flags&flagSYN != 0 {
		if f == nil {
			f = &hostFlow{client: p.src, service: p.dst, seq: rand.Uint32(), ack: p.seq + 1}
			h.flows[key] = f
			if now := time.Now(); now.Before(h.coldUntil) {
				h.taken = append(h.taken, now)
				h.w.note("host %s: takes flow %s while cold", h.ip, key)
			}
		}
		if f.ack != p.seq+1 && !f.open {
			h.back(raw)
			return
		}
		if !f.open {
			h.send(f, flagSYN|flagACK, f.seq, nil)
		}
		return
	}
	if f == nil {
		h.back(raw)
		return
	}
	if !f.open {
		if p.ack != f.seq+1 {
			h.back(raw)
			return
		}
		f.open = true
		f.seq++
		h.w.opened(key, h)
	}
	if f.closed {
		if p.flags&flagFIN != 0 {
			h.send(f, flagACK, f.seq, nil)
		} else if len(p.data) > 0 {
			h.send(f, flagRST, f.seq, nil)
		}
		return
	}
	h.acknowledged(f, p.ack)
	if p.flags&flagRST != 0 {
		f.closed = true
		return
	}
	if len(p.data) > 0 {
		h.receive(f, key, p)
	}
	if p.flags&flagFIN != 0 && p.seq+uint32(len(p.data)) == f.ack && !f.clientFin {
		f.clientFin = true
		f.ack++
		if !f.hostFin {
			f.hostFin = true
			h.send(f, flagACK|flagFIN, f.seq, nil)
			f.seq++
		} else {
			h.send(f, flagACK, f.seq, nil)
		}
		f.closed = true
	}
}

// acknowledged ends the retransmission of an answer that the client has.
func (h *host) acknowledged(f *hostFlow, ack uint32) {
	if f.pending != nil && ack == f.seq {
		f.pending = nil
	}
}

// receive takes a request, which is one packet.
func (h *host) receive(f *hostFlow, key string, p *packet) {
	f.sinceAck++
	if p.seq != f.ack {
		// A copy: what has arrived is acknowledged again, with the answer if there is one.
		if f.pending != nil {
			h.send(f, f.pendingFlags, f.pendingSeq, f.pending)
			return
		}
		h.send(f, flagACK, f.seq, nil)
		return
	}
	f.ack += uint32(len(p.data))
	id := headerOf(p.data, "X-Anvilglade-Request-Id")
	if f.sinceAck >= 2 {
		h.send(f, flagACK, f.seq, nil)
	}
	h.run(func() {
		h.w.ran(id, h)
		time.AfterFunc(h.work, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.finish()
			h.respond(f, id)
		})
	})
}

// run runs a request in a slot or queues it. The caller holds the mutex.
func (h *host) run(start func()) {
	if h.busy < h.slots {
		h.busy++
		start()
		return
	}
	h.queue = append(h.queue, start)
}

func (h *host) finish() {
	if len(h.queue) > 0 {
		next := h.queue[0]
		h.queue = h.queue[1:]
		next()
		return
	}
	h.busy--
}

// respond sends the answer until the client has acknowledged it. A host that drains closes
// the flow with it.
func (h *host) respond(f *hostFlow, id string) {
	body := strings.Repeat("a", 500)
	f.pending = []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Anvilglade-Server-Stamp: %s-%s\r\nContent-Length: %d\r\n\r\n%s", h.name, id, len(body), body))
	f.pendingSeq, f.pendingFlags = f.seq, flagACK
	f.seq += uint32(len(f.pending))
	if h.draining && !f.hostFin {
		f.hostFin = true
		f.pendingFlags |= flagFIN
		f.seq++
	}
	h.send(f, f.pendingFlags, f.pendingSeq, f.pending)
	h.repeat(f, f.pendingSeq, firstRepeat, 1)
}

func (h *host) repeat(f *hostFlow, seq uint32, after time.Duration, count int) {
	time.AfterFunc(after, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if f.pending == nil || f.pendingSeq != seq || f.closed {
			return
		}
		if count > hostRepeats {
			f.closed = true
			return
		}
		h.send(f, f.pendingFlags, seq, f.pending)
		h.repeat(f, seq, min(2*after, maxRepeat), count+1)
	})
}

func headerOf(data []byte, name string) string {
	for _, line := range strings.Split(string(data), "\r\n") {
		if value, ok := strings.CutPrefix(line, name+": "); ok {
			return value
		}
	}
	return ""
}
