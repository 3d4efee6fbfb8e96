package agemulator

// The platform's routers distribute the packets of callers by hash over the
// balancers in rotation of the caller's data centre.

import (
	"context"
	"encoding/binary"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

const (
	hashSteady = "steady"
	hashMod    = "mod"
	// checkInterval is the time between two readiness checks of a balancer.
	checkInterval = 500 * time.Millisecond
	// maxMisses is the number of consecutive failed checks after which a balancer
	// is still in rotation.
	maxMisses = 1
)

type routedBalancer struct {
	dataCentre int
	packet     anvilglade.Endpoint
	ready      string
	misses     int
	inRotation bool
}

// Router forwards packets of callers to balancers.
type Router struct {
	hash   string
	socket *agsocket.Socket
	client *http.Client

	mu        sync.Mutex
	balancers []*routedBalancer
	// dropPercent is the percentage of packets to drop.
	dropPercent uint64
	packetCount uint64
}

func (r *Router) add(dataCentre int, packet anvilglade.Endpoint, ready string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancers = append(r.balancers, &routedBalancer{dataCentre: dataCentre, packet: packet, ready: ready})
}

// check polls the readiness of one balancer and updates the rotation until the
// context ends.
func (r *Router) check(ctx context.Context, balancer *routedBalancer) error {
	for {
		callCtx, cancel := context.WithTimeout(ctx, checkInterval)
		err := agplatform.CheckReady(callCtx, r.client, balancer.ready)
		cancel()
		r.mu.Lock()
		if err == nil {
			balancer.misses, balancer.inRotation = 0, true
		} else if balancer.misses++; balancer.misses > maxMisses {
			balancer.inRotation = false
		}
		r.mu.Unlock()
		if err := agtask.Sleep(ctx, checkInterval); err != nil {
			return err
		}
	}
}

// readyCount returns the number of balancers in rotation.
func (r *Router) readyCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, balancer := range r.balancers {
		if balancer.inRotation {
			count++
		}
	}
	return count
}

// setLoss sets the share of packets to drop, 0 to 1.
func (r *Router) setLoss(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropPercent = uint64(share * 100)
}

// forward sends a packet of a caller to a balancer.
func (r *Router) forward(dataCentre int, flow anvilglade.Flow, packet []byte) {
	r.mu.Lock()
	r.packetCount++
	lost := r.packetCount*37%100 < r.dropPercent
	target := r.choose(dataCentre, flow.Hash())
	r.mu.Unlock()
	if target == nil || lost {
		return
	}
	// A write error counts as a lost datagram.
	_ = r.socket.WriteTo(packet, target.packet.AddrPort())
}

// choose returns the balancer for a flow hash, nil if there is none. If fewer than
// half of a data centre's balancers are in rotation, it chooses among all of them.
// If none is, it chooses among the balancers in rotation of other data centres.
func (r *Router) choose(dataCentre int, hash uint64) *routedBalancer {
	var all, local, remote []*routedBalancer
	for _, balancer := range r.balancers {
		switch {
		case balancer.dataCentre != dataCentre:
			if balancer.inRotation {
				remote = append(remote, balancer)
			}
		default:
			all = append(all, balancer)
			if balancer.inRotation {
				local = append(local, balancer)
			}
		}
	}
	switch {
	case len(local) == 0 && len(remote) > 0:
		return r.pick(remote, hash)
	case 2*len(local) < len(all):
		return r.pick(all, hash)
	}
	return r.pick(local, hash)
}

func (r *Router) pick(list []*routedBalancer, hash uint64) *routedBalancer {
	if len(list) == 0 {
		return nil
	}
	if r.hash == hashMod {
		return list[hash%uint64(len(list))]
	}
	var best *routedBalancer
	var bestScore uint64
	for _, balancer := range list {
		var buf [14]byte
		binary.BigEndian.PutUint64(buf[:], hash)
		copy(buf[8:], balancer.packet.IP[:])
		if score := xxhash.Sum64(buf[:]); best == nil || score > bestScore {
			best, bestScore = balancer, score
		}
	}
	return best
}
