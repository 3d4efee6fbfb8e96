package main

// Stand-ins of clients and of the platform's routers.

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	openLimit = 1400 * time.Millisecond
	// resetWindow is the distance from the client's last ack within which a reset of an
	// open flow counts.
	resetWindow = 76_800
)

// router forwards the packets of clients to the balancers that are in rotation.
type router struct {
	w  *world
	mu sync.Mutex
	// misses has the readiness checks in a row that a balancer has missed.
	misses map[string]int
}

func (w *world) newRouter(balancers []string) *router {
	r := &router{w: w, misses: make(map[string]int)}
	for _, ip := range balancers {
		r.misses[ip] = 2
		go r.probe(ip)
	}
	return r
}

func (r *router) probe(ip string) {
	client := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		response, err := client.Get("http://" + r.w.address(ip, portReady) + "/readiness")
		ok := err == nil && response.StatusCode == 200
		if err == nil {
			_ = response.Body.Close()
		}
		r.mu.Lock()
		before := r.misses[ip] < 2
		if r.misses[ip]++; ok {
			r.misses[ip] = 0
		}
		after := r.misses[ip] < 2
		r.mu.Unlock()
		if before != after {
			r.w.note("router: balancer %s in rotation: %v", ip, after)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// ready returns the number of balancers in rotation.
func (r *router) ready() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, misses := range r.misses {
		if misses < 2 {
			count++
		}
	}
	return count
}

// choose returns the balancer of a flow. With fewer than half of them in rotation all are
// used.
func (r *router) choose(key string) string {
	all := r.ready()*2 < len(r.misses)
	r.mu.Lock()
	defer r.mu.Unlock()
	best, high := "", uint64(0)
	for ip, misses := range r.misses {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(key + "|" + ip))
		value := hash.Sum64() * 0x9e3779b97f4a7c15
		if (all || misses < 2) && (best == "" || value > high) {
			best, high = ip, value
		}
	}
	return best
}

// client has an address and opens flows from ports of its own.
type client struct {
	w      *world
	ip     string
	socket *net.UDPConn
	mu     sync.Mutex
	port   uint16
	flows  map[uint16]*flow
}

// flow is a flow of a client.
type flow struct {
	c        *client
	key      string
	own, dst end
	seq      uint32
	hostNext uint32
	open     bool
	reset    bool
	// ended is set once the host has closed the flow with an answer.
	ended    bool
	openedAt time.Time
	inbox    chan *packet
}

func (w *world) newClient(ip string) (*client, error) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: w.port(portData)})
	if err != nil {
		return nil, err
	}
	c := &client{w: w, ip: ip, socket: socket, port: uint16(20000 + rand.IntN(20000)), flows: make(map[uint16]*flow)}
	go c.read()
	return c, nil
}

func (c *client) read() {
	buffer := make([]byte, 4096)
	for {
		n, from, err := c.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		raw := append([]byte(nil), buffer[:n]...)
		p, ok := decode(raw)
		if !ok {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.port]
		c.mu.Unlock()
		if f == nil || f.dst != p.src {
			continue
		}
		if p.flags&flagRST != 0 && p.sum == 0 {
			f.systemReset(p, from.IP.String())
			continue
		}
		if !genuine(raw) {
			c.w.broken("MIXED: client %s got a packet that its sender did not write so", c.ip)
			continue
		}
		select {
		case f.inbox <- p:
		default:
		}
	}
}

// systemReset handles a reset of the system's own.
func (f *flow) systemReset(p *packet, from string) {
	f.c.mu.Lock()
	open, last := f.open, f.hostNext
	f.c.mu.Unlock()
	if distance := min(p.seq-last, last-p.seq); open && distance > resetWindow {
		f.c.w.note("client %s: reset outside the window on %s from %s, no effect", f.c.ip, f.key, from)
		return
	}
	f.c.w.gotReset(f, open, from)
	f.c.mu.Lock()
	f.reset = true
	f.c.mu.Unlock()
	select {
	case f.inbox <- p:
	default:
	}
}

func (f *flow) send(flags byte, seq, ack uint32, data []byte) {
	p := packet{src: f.own, dst: f.dst, flags: flags, seq: seq, ack: ack, data: data}
	to := f.c.w.router.choose(f.key)
	if to == "" {
		return
	}
	_, _ = f.c.socket.WriteToUDP(p.encode(), &net.UDPAddr{IP: net.ParseIP(to), Port: f.c.w.port(portData)})
}

// dial opens a flow from a new port. It returns nil if the flow did not open.
func (c *client) dial(dst end) *flow {
	c.mu.Lock()
	c.port++
	f := &flow{c: c, own: end{port: c.port}, dst: dst, seq: rand.Uint32(), inbox: make(chan *packet, 64)}
	copy(f.own.ip[:], net.ParseIP(c.ip).To4())
	f.key = f.own.String() + ">" + dst.String()
	c.flows[c.port] = f
	c.mu.Unlock()
	started := time.Now()
	copies := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	for time.Since(started) < openLimit {
		wait := openLimit
		if len(copies) > 0 && time.Since(started) >= copies[0] {
			f.send(flagSYN, f.seq, uint32(3-len(copies)), nil)
			copies = copies[1:]
		}
		if len(copies) > 0 {
			wait = copies[0]
		}
		select {
		case p := <-f.inbox:
			if p.flags&flagRST != 0 {
				return nil
			}
			if p.flags&flagSYN == 0 || p.ack != f.seq+1 {
				continue
			}
			c.mu.Lock()
			f.seq++
			f.hostNext, f.open, f.openedAt = p.seq+1, true, time.Now()
			c.mu.Unlock()
			f.send(flagACK, f.seq, f.hostNext, nil)
			return f
		case <-time.After(max(wait-time.Since(started), time.Millisecond)):
		}
	}
	return nil
}

// request sends a request on an open flow and returns how it ended: "200", "reset",
// "closed" or "deadline".
func (f *flow) request(id string, limit time.Duration) string {
	body := strings.Repeat("b", 700)
	data := []byte(fmt.Sprintf("POST /reports HTTP/1.1\r\nHost: reports\r\nX-Anvilglade-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body))
	f.c.w.sent(id, f)
	deadline := time.Now().Add(limit)
	repeat, next := firstRepeat, time.Now()
	acknowledged := false
	for time.Now().Before(deadline) {
		f.c.mu.Lock()
		gone := f.reset
		f.c.mu.Unlock()
		if gone {
			return "reset"
		}
		if !acknowledged && !time.Now().Before(next) {
			f.send(flagACK, f.seq, f.hostNext, data)
			next, repeat = time.Now().Add(repeat), min(2*repeat, maxRepeat)
		}
		wait := time.Until(deadline)
		if !acknowledged {
			wait = min(wait, time.Until(next))
		}
		select {
		case p := <-f.inbox:
			if p.flags&flagRST != 0 {
				return "reset"
			}
			acknowledged = acknowledged || p.ack-f.seq == uint32(len(data))
			if len(p.data) > 0 && p.seq == f.hostNext {
				f.seq += uint32(len(data))
				f.c.mu.Lock()
				f.hostNext += uint32(len(p.data))
				if p.flags&flagFIN != 0 {
					f.hostNext++
					f.ended = true
				}
				f.c.mu.Unlock()
				f.send(flagACK, f.seq, f.hostNext, nil)
				if !strings.HasSuffix(headerOf(p.data, "X-Anvilglade-Server-Stamp"), "-"+id) {
					f.c.w.broken("MIXED: the answer to %s is that to another request", id)
				}
				return "200"
			}
			if len(p.data) > 0 {
				// A copy of an earlier answer.
				f.send(flagACK, f.seq, f.hostNext, nil)
			}
			if p.flags&flagFIN != 0 && p.seq == f.hostNext {
				return "closed"
			}
		case <-time.After(max(wait, time.Millisecond)):
		}
	}
	return "deadline"
}
