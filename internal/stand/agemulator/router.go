package agemulator

// Routers of the platform: they hash each packet of a caller over the balancers
// of its data centre that are in rotation.

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
	// missesAllowed is the number of failed checks that a balancer survives.
	missesAllowed = 1
)

type routed struct {
	dataCentre int
	packet     anvilglade.Endpoint
	ready      string
	misses     int
	inRotation bool
}

// Router forwards packets of callers.
type Router struct {
	hash   string
	socket *agsocket.Socket
	client *http.Client

	mu        sync.Mutex
	balancers []*routed
	// dropShare is the part of the packets that are lost on the way.
	dropShare uint64
	count     uint64
}

func (r *Router) add(dataCentre int, packet anvilglade.Endpoint, ready string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancers = append(r.balancers, &routed{dataCentre: dataCentre, packet: packet, ready: ready})
}

// check polls the readiness of one balancer until the context ends.
func (r *Router) check(ctx context.Context, balancer *routed) error {
	for {
		callCtx, cancel := context.WithTimeout(ctx, checkInterval)
		err := agplatform.CheckReady(callCtx, r.client, balancer.ready)
		cancel()
		r.mu.Lock()
		if err == nil {
			balancer.misses, balancer.inRotation = 0, true
		} else if balancer.misses++; balancer.misses > missesAllowed {
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

// setLoss makes the routers lose a part of the packets.
func (r *Router) setLoss(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropShare = uint64(share * 100)
}

// forward sends a packet of a caller to a balancer.
func (r *Router) forward(dataCentre int, flow anvilglade.Flow, packet []byte) {
	r.mu.Lock()
	r.count++
	lost := r.count*37%100 < r.dropShare
	target := r.choose(dataCentre, flow.Hash())
	r.mu.Unlock()
	if target == nil || lost {
		return
	}
	// A datagram may be lost on the way.
	_ = r.socket.WriteTo(packet, target.packet.AddrPort())
}

// choose returns a balancer in rotation. With fewer than half of a data centre's
// in rotation, all of them are used; with none, those of other data centres.
func (r *Router) choose(dataCentre int, hash uint64) *routed {
	var all, local, elsewhere []*routed
	for _, balancer := range r.balancers {
		switch {
		case balancer.dataCentre != dataCentre:
			if balancer.inRotation {
				elsewhere = append(elsewhere, balancer)
			}
		default:
			all = append(all, balancer)
			if balancer.inRotation {
				local = append(local, balancer)
			}
		}
	}
	switch {
	case len(local) == 0 && len(elsewhere) > 0:
		return r.pick(elsewhere, hash)
	case 2*len(local) < len(all):
		return r.pick(all, hash)
	}
	return r.pick(local, hash)
}

func (r *Router) pick(list []*routed, hash uint64) *routed {
	if len(list) == 0 {
		return nil
	}
	if r.hash == hashMod {
		return list[hash%uint64(len(list))]
	}
	var best *routed
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
