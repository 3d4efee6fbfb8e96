package main

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Results of a client's flow.
const (
	resultNone   = ""
	resultServed = "served"
	resultReset  = "reset by the system"
	resultHost   = "reset by the host"
	resultSilent = "not answered"
)

// clientFlow is a client's end of a flow.
type clientFlow struct {
	c       *client
	key     flowKey
	seq     uint32
	ack     uint32
	open    bool
	synAt   [3]time.Time
	copies  int
	reset   string
	resetAt time.Time
	wake    chan struct{}
	answers map[string]string
	opened  time.Time
}

// client is a client machine. All its flows share the port of the platform.
type client struct {
	w    *world
	zone string
	ip   string
	udp  *net.UDPConn

	// out and in carry packets with the one-way delay between clients and machines.
	out chan delayed
	in  chan delayed

	mu       sync.Mutex
	flows    map[flowKey]*clientFlow
	nextPort uint16
}

// clientDelay is the one-way delay between clients and machines, 3 ms on the sheets.
const clientDelay = 3 * time.Millisecond

// delayed is a packet on its way.
type delayed struct {
	due time.Time
	raw []byte
	to  netip.AddrPort
}

// carry passes packets on in their order when they are due.
func carry(packets <-chan delayed, pass func(delayed)) {
	for packet := range packets {
		time.Sleep(time.Until(packet.due))
		pass(packet)
	}
}

func (w *world) newClient(zone, ip string) (*client, error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(fmt.Sprintf("%s:%d", ip, w.ports.datagram))))
	if err != nil {
		return nil, err
	}
	_ = udp.SetReadBuffer(4 << 20)
	c := &client{w: w, zone: zone, ip: ip, udp: udp, flows: make(map[flowKey]*clientFlow), nextPort: 20000, out: make(chan delayed, 10000), in: make(chan delayed, 10000)}
	go c.read()
	go carry(c.out, func(packet delayed) { _, _ = c.udp.WriteToUDPAddrPort(packet.raw, packet.to) })
	go carry(c.in, func(packet delayed) {
		if p, ok := decode(packet.raw); ok {
			c.handle(packet.raw, &p)
			return
		}
		c.w.violation("MIXED: client %s got bytes that are no packet: %x", c.ip, packet.raw)
	})
	return c, nil
}

func (c *client) read() {
	buffer := make([]byte, 4096)
	for {
		n, err := c.udp.Read(buffer)
		if err != nil {
			return
		}
		c.in <- delayed{due: time.Now().Add(clientDelay), raw: append([]byte(nil), buffer[:n]...)}
	}
}

func (c *client) handle(raw []byte, p *packet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	flow := c.flows[flowKey{client: p.dst, service: p.src}]
	if flow == nil {
		return
	}
	ownReset := p.flags&flagRST != 0 && p.sum == 0 && len(p.data) == 0
	if !ownReset && !intact(raw) {
		c.w.violation("MIXED: client %s got a packet that no host wrote so: %x", c.ip, raw)
		return
	}
	switch {
	case ownReset:
		near := int32(p.seq-flow.ack) <= 76800 && int32(p.seq-flow.ack) >= -76800
		c.w.note("client flow %s gets a reset of the system, open=%v seq near the last ack=%v", flow.name(), flow.open, near)
		if near || !flow.open {
			flow.reset, flow.resetAt = resultReset, time.Now()
		}
	case p.flags&flagRST != 0:
		flow.reset, flow.resetAt = resultHost, time.Now()
	case p.flags&flagSYN != 0:
		if !flow.open {
			flow.open, flow.ack, flow.seq, flow.opened = true, p.seq+1, flow.seq+1, time.Now()
			c.send(flow, flagACK, flow.seq, nil)
		}
	case p.flags&flagFIN != 0 && flow.open:
		flow.ack = p.seq + 1
		c.send(flow, flagACK, p.ack, nil)
	case len(p.data) > 0 && flow.open:
		text := string(p.data)
		id := text[strings.LastIndexByte(text, ' ')+1:]
		if p.seq == flow.ack {
			flow.answers[id] = text
			c.w.note("client flow %s is answered %q", flow.name(), text)
			flow.ack += uint32(len(p.data))
		}
		c.send(flow, flagACK, flow.seq+uint32(len(id)), nil)
	}
	select {
	case flow.wake <- struct{}{}:
	default:
	}
}

// send sends a packet of a flow through the balancer that the router selects. The caller
// holds the mutex.
func (c *client) send(flow *clientFlow, flags byte, seq uint32, data []byte) {
	p := packet{seq: seq, ack: flow.ack, flags: flags, src: flow.key.client, dst: flow.key.service, data: data}
	if flags == flagSYN {
		p.ack = uint32(flow.copies)
		if flow.copies < len(flow.synAt) {
			flow.synAt[flow.copies] = time.Now()
		}
		flow.copies++
	}
	if flags == flagSYN || len(data) > 0 {
		c.w.note("client flow %s sends %s", flow.name(), describe(flags, p.ack, data))
	}
	to, ok := c.w.route(c.zone, flow.key)
	if !ok {
		return
	}
	c.out <- delayed{due: time.Now().Add(clientDelay), raw: p.encode(), to: to}
}

// openFlow opens a flow from a new port, or returns nil if the attempt has ended.
func (c *client) openFlow(service end) *clientFlow {
	c.mu.Lock()
	c.nextPort++
	port := c.nextPort
	c.mu.Unlock()
	return c.openFrom(port, service)
}

// openFrom opens a flow from a port on which the client has no open flow.
func (c *client) openFrom(port uint16, service end) *clientFlow {
	c.mu.Lock()
	key := flowKey{client: end{ip: ip4(c.ip), port: port}, service: service}
	flow := &clientFlow{c: c, key: key, seq: rand.Uint32(), wake: make(chan struct{}, 1), answers: make(map[string]string)}
	c.flows[key] = flow
	c.send(flow, flagSYN, flow.seq, nil)
	c.mu.Unlock()
	start := time.Now()
	for _, until := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		if flow.await(start.Add(until), func() bool { return flow.open || flow.reset != "" }) {
			break
		}
		if until < 1400*time.Millisecond {
			c.mu.Lock()
			c.send(flow, flagSYN, flow.seq, nil)
			c.mu.Unlock()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !flow.open {
		delete(c.flows, key)
		return nil
	}
	return flow
}

// await waits until a condition holds or a time has come.
func (f *clientFlow) await(until time.Time, holds func() bool) bool {
	for {
		f.c.mu.Lock()
		ok := holds()
		f.c.mu.Unlock()
		if ok {
			return true
		}
		left := time.Until(until)
		if left <= 0 {
			return false
		}
		select {
		case <-f.wake:
		case <-time.After(left):
		}
	}
}

// request sends a request on an open flow and waits for the answer for a time limit.
func (f *clientFlow) request(id string, limit time.Duration) string {
	start := time.Now()
	data := []byte(id)
	seq := f.seq
	pause := 200 * time.Millisecond
	for {
		f.c.mu.Lock()
		f.c.send(f, flagACK, seq, data)
		f.c.mu.Unlock()
		next := time.Now().Add(pause)
		if limitAt := start.Add(limit); next.After(limitAt) {
			next = limitAt
		}
		if f.await(next, func() bool { return f.answers[id] != "" || f.reset != "" }) || time.Since(start) >= limit {
			break
		}
		pause = min(2*pause, 1600*time.Millisecond)
	}
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	switch {
	case f.answers[id] != "":
		f.seq += uint32(len(data))
		return resultServed
	case f.reset != "":
		return f.reset
	}
	return resultSilent
}

// close ends the flow.
func (f *clientFlow) close() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	f.c.send(f, flagFIN|flagACK, f.seq, nil)
	time.AfterFunc(2*time.Second, func() {
		f.c.mu.Lock()
		defer f.c.mu.Unlock()
		delete(f.c.flows, f.key)
	})
}

// abort ends the flow by a reset, as a client does that gives up.
func (f *clientFlow) abort() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	f.c.send(f, flagRST|flagACK, f.seq, nil)
	delete(f.c.flows, f.key)
}

func (f *clientFlow) name() string {
	return fmt.Sprintf("%s:%d", netip.AddrFrom4(f.key.client.ip), f.key.client.port)
}

// weight orders the balancers for a flow, so that only the flows of a balancer move when
// it leaves the rotation.
func weight(key flowKey, ip string) uint64 {
	h := fnv.New64a()
	var b [12]byte
	copy(b[:], key.client.ip[:])
	binary.BigEndian.PutUint16(b[4:], key.client.port)
	copy(b[6:], key.service.ip[:])
	binary.BigEndian.PutUint16(b[10:], key.service.port)
	_, _ = h.Write([]byte(ip))
	_, _ = h.Write(b[:])
	x := h.Sum64()
	x ^= x >> 31
	x *= 0x9E3779B97F4A7C15
	return x ^ x>>29
}

// describe returns a packet of a client for the record.
func describe(flags byte, ack uint32, data []byte) string {
	if flags == flagSYN {
		return fmt.Sprintf("copy %d of its opening packet", ack)
	}
	return "request " + string(data)
}
