package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// idleBeforeFirstRequest opens flows ahead of their first requests, as a connection pool
// does, and restarts one balancer by SIGTERM while they are idle.
func idleBeforeFirstRequest(ctx context.Context, recordPath string, trouble bool) (int, error) {
	const (
		flowsOfEach = 30
		pause       = 5 * time.Second
		restartAt   = 2500 * time.Millisecond
		timeLimit   = 4 * time.Second
	)
	w, err := newWorld(recordPath, []string{"za", "zb"})
	if err != nil {
		return exitFailed, err
	}
	defer w.stopAll()
	hosts := make(map[string]*host)
	for i, zone := range []string{"za", "za", "zb", "zb"} {
		w.addFront(fmt.Sprintf("front-%s-%d", zone, i+1), zone, w.ip(10+i))
		side := w.addSide(fmt.Sprintf("side-%s-%d", zone, i+1), zone, w.ip(20+i), "desk")
		hosts[side.ip] = w.newHost(fmt.Sprintf("i-%d", i+1), "desk", zone, side.ip)
	}
	w.store.put("config", "main", configSpec(7, []map[string]any{routeSpec("r-1", 1, "desk", "unsafe")}, []map[string]any{serviceSpec("desk", 0)}))
	if err := w.startAll(ctx); err != nil {
		return exitFailed, err
	}
	time.Sleep(time.Second)
	for _, h := range hosts {
		if err := h.start(ctx); err != nil {
			return exitFailed, err
		}
	}
	c, err := w.newClient("za", w.ip(100))
	if err != nil {
		return exitFailed, err
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return exitFailed, err
	}
	time.Sleep(5 * time.Second)

	holderOf := func(flow *clientFlow) *host {
		for _, h := range hosts {
			if h.holds(flow.key) {
				return h
			}
		}
		return nil
	}
	var idle, used []*clientFlow
	for i := range 2 * flowsOfEach {
		flow := c.openFlow(serviceEnd(1))
		if flow == nil {
			return exitFailed, fmt.Errorf("flow %d was not opened", i)
		}
		if i%2 == 0 {
			idle = append(idle, flow)
			continue
		}
		if got := flow.request(fmt.Sprintf("first-%d", i), timeLimit); got != resultServed {
			return exitFailed, fmt.Errorf("first request on flow %d: %s", i, got)
		}
		used = append(used, flow)
	}
	opened := time.Now()
	w.note("%d flows are open and idle, %d have had a request", len(idle), len(used))
	if trouble {
		time.Sleep(restartAt)
		if err := w.fronts[0].restart(syscall.SIGTERM); err != nil {
			return exitFailed, err
		}
	}
	time.Sleep(time.Until(opened.Add(pause)))
	for _, flow := range append(append([]*clientFlow(nil), idle...), used...) {
		if holderOf(flow) == nil {
			return exitFailed, fmt.Errorf("no host holds flow %s before its request", flow.name())
		}
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	results := map[string]map[string]int{"idle": {}, "used": {}}
	ask := func(kind string, i int, flow *clientFlow) {
		defer group.Done()
		h := holderOf(flow)
		id := fmt.Sprintf("%s-%d", kind, i)
		got := flow.request(id, timeLimit)
		w.note("request %s on flow %s, held by host %s and open for %s: %s", id, flow.name(), h.id, time.Since(flow.opened).Round(time.Millisecond), got)
		if got == resultReset && h.holds(flow.key) {
			w.violation("FLOW (a): flow %s was reset by the system while host %s lives and holds it", flow.name(), h.id)
		}
		mu.Lock()
		results[kind][got]++
		mu.Unlock()
	}
	for i := range idle {
		group.Add(2)
		go ask("idle", i, idle[i])
		go ask("used", i, used[i])
	}
	group.Wait()
	w.note("results: %s, broken: %d", jsonText(results), w.violations)
	fmt.Printf("results: %s, broken: %d\n", jsonText(results), w.violations)
	if w.violations > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
