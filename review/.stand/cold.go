package main

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"
)

// Limits of the pages for cold hosts: cold_per_s in the desired state, cold_factor and
// cold_slack in the settings.
const (
	coldPerS   = 5.0
	coldFactor = 1.5
	coldSlack  = 5.0
	coldFor    = 2 * time.Second
	coldBound  = coldPerS*coldFactor + coldSlack
)

// arrival is an opening packet that a host has taken.
type arrival struct {
	sent, taken time.Time
}

// arrivals records the opening packets that hosts take.
type arrivals struct {
	mu     sync.Mutex
	byHost map[*host][]arrival
}

// record finds the time at which the client sent the packet that the host has taken.
func (a *arrivals) record(clients []*client) func(*host, flowKey, *hostFlow) {
	return func(h *host, key flowKey, taken *hostFlow) {
		at, copyNumber := taken.takenAt, taken.copyNumber
		go func() {
			for _, c := range clients {
				c.mu.Lock()
				flow := c.flows[key]
				var sent time.Time
				if flow != nil && int(copyNumber) < len(flow.synAt) {
					sent = flow.synAt[copyNumber]
				}
				c.mu.Unlock()
				if flow != nil {
					a.mu.Lock()
					a.byHost[h] = append(a.byHost[h], arrival{sent: sent, taken: at})
					a.mu.Unlock()
				}
			}
		}()
	}
}

// busiest returns the largest number of opening packets that were sent to a host and
// arrived inside one second while it was cold, and the beginning of that second.
func (a *arrivals) busiest(h *host) (int, time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h.mu.Lock()
	since, until := h.coldSince, h.coldUntil
	h.mu.Unlock()
	var cold []arrival
	for _, one := range a.byHost[h] {
		if !one.sent.Before(since) && one.taken.Before(until) {
			cold = append(cold, one)
		}
	}
	sort.Slice(cold, func(i, j int) bool { return cold[i].sent.Before(cold[j].sent) })
	most, at := 0, time.Time{}
	for i := range cold {
		count := 0
		for _, other := range cold[i:] {
			if other.taken.Before(cold[i].sent.Add(time.Second)) {
				count++
			}
		}
		if count > most {
			most, at = count, cold[i].sent
		}
	}
	return most, at
}

// offer opens flows at a rate until the context ends; each carries one request.
func offer(ctx context.Context, clients []*client, service end, perSecond float64) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		go func() {
			c := clients[i%len(clients)]
			flow := c.openFlow(service)
			if flow == nil {
				return
			}
			flow.request(fmt.Sprintf("q-%d", i), 4*time.Second)
			flow.close()
		}()
	}
}

func (w *world) judgeCold(seen *arrivals, hosts []*host) int {
	for _, h := range hosts {
		most, at := seen.busiest(h)
		w.note("cold host %s: at most %d requests in one second, from %.3f on; bound %g", h.id, most, at.Sub(w.started).Seconds(), coldBound)
		fmt.Printf("cold host %s: at most %d requests in one second, bound %g\n", h.id, most, coldBound)
		if float64(most) > coldBound {
			w.violation("FAILBACK: cold host %s got %d requests in one second, bound %g", h.id, most, coldBound)
		}
	}
	if w.violations > 0 {
		return exitBroken
	}
	return exitHeld
}

// deploy starts a number of balancers and hosts in each zone, and one client in each.
func (w *world) deploy(ctx context.Context, fronts, sides int) ([]*host, []*client, error) {
	var hosts []*host
	for i, zone := range w.zones {
		for j := range fronts {
			w.addFront(fmt.Sprintf("front-%s-%d", zone, j+1), zone, w.ip(10+10*i+j))
		}
		for j := range sides {
			side := w.addSide(fmt.Sprintf("side-%s-%d", zone, j+1), zone, w.ip(50+10*i+j), "desk")
			hosts = append(hosts, w.newHost(fmt.Sprintf("i-%s-%d", zone, j+1), "desk", zone, side.ip))
		}
	}
	w.store.put("config", "main", configSpec(7, []map[string]any{routeSpec("r-1", 1, "desk", "download")}, []map[string]any{serviceSpec("desk", coldPerS)}))
	if err := w.startAll(ctx); err != nil {
		return nil, nil, err
	}
	time.Sleep(time.Second)
	for _, h := range hosts {
		if err := h.start(ctx); err != nil {
			return nil, nil, err
		}
		// Hosts do not send their heartbeats at the same moments.
		time.Sleep(170 * time.Millisecond)
	}
	var clients []*client
	for i, zone := range w.zones {
		c, err := w.newClient(zone, w.ip(100+i))
		if err != nil {
			return nil, nil, err
		}
		clients = append(clients, c)
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return nil, nil, err
	}
	time.Sleep(5 * time.Second)
	return hosts, clients, nil
}

// coldAfterEvacuation evacuates a zone and takes it back shortly after its hosts have
// become cold.
func coldAfterEvacuation(ctx context.Context, recordPath string, trouble bool) (int, error) {
	const (
		perSecond     = 150
		evacuatedFor  = 6 * time.Second
		coldBeforeEnd = 200 * time.Millisecond
	)
	w, err := newWorld(recordPath, []string{"za", "zb"})
	if err != nil {
		return exitFailed, err
	}
	defer w.stopAll()
	seen := &arrivals{byHost: make(map[*host][]arrival)}
	hosts, clients, err := w.deploy(ctx, 2, 2)
	if err != nil {
		return exitFailed, err
	}
	w.onTaken = seen.record(clients)
	load, stop := context.WithCancel(ctx)
	defer stop()
	go offer(load, clients, serviceEnd(1), perSecond)
	time.Sleep(3 * time.Second)
	returned := hosts[2:]
	if trouble {
		w.store.put("evacuations", "zb", struct{}{})
		w.note("zone zb is evacuated")
		time.Sleep(evacuatedFor - coldBeforeEnd)
		for _, h := range returned {
			h.turnCold(coldFor)
		}
		time.Sleep(coldBeforeEnd)
		w.store.remove("evacuations", "zb")
		w.note("zone zb is taken back")
	} else {
		time.Sleep(evacuatedFor)
	}
	time.Sleep(4 * time.Second)
	stop()
	time.Sleep(500 * time.Millisecond)
	return w.judgeCold(seen, returned), nil
}
