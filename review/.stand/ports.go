package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// portUsedAgain closes flows, removes their route and opens flows from the same ports
// again, later than a desired state may take to be in force.
func portUsedAgain(ctx context.Context, recordPath string, trouble bool) (int, error) {
	const (
		flows     = 30
		timeLimit = 4 * time.Second
		changeAt  = time.Second
		// againAfter is the time from the end of the flows to the use of their ports. It is
		// above idle_timeout_ms, 15 s, and far above config_apply_ms, 3 s.
		againAfter = 16500 * time.Millisecond
	)
	w, err := newWorld(recordPath, []string{"za", "zb"})
	if err != nil {
		return exitFailed, err
	}
	defer w.stopAll()
	hosts := make(map[string]*host)
	for i, zone := range []string{"za", "za", "zb", "zb"} {
		service := []string{"desk", "store"}[i%2]
		w.addFront(fmt.Sprintf("front-%s-%d", zone, i+1), zone, w.ip(10+i))
		side := w.addSide(fmt.Sprintf("side-%s-%d", zone, i+1), zone, w.ip(20+i), service)
		hosts[side.ip] = w.newHost(fmt.Sprintf("%s-%d", service, i+1), service, zone, side.ip)
	}
	services := []map[string]any{serviceSpec("desk", 0), serviceSpec("store", 0)}
	w.store.put("config", "main", configSpec(7, []map[string]any{routeSpec("r-1", 1, "desk", "unsafe"), routeSpec("r-2", 2, "store", "safe")}, services))
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
	var ports []uint16
	for i := range flows {
		flow := c.openFlow(serviceEnd(1))
		if flow == nil {
			return exitFailed, fmt.Errorf("flow %d was not opened", i)
		}
		if got := flow.request(fmt.Sprintf("first-%d", i), timeLimit); got != resultServed {
			return exitFailed, fmt.Errorf("first request on flow %d: %s", i, got)
		}
		flow.close()
		ports = append(ports, flow.key.client.port)
	}
	time.Sleep(changeAt)
	if trouble {
		w.store.put("config", "main", configSpec(9, []map[string]any{routeSpec("r-2", 2, "store", "safe")}, services))
		w.note("version 9 of the desired state is acknowledged: route r-1 is removed")
	}
	time.Sleep(againAfter - changeAt)
	var group sync.WaitGroup
	var mu sync.Mutex
	results := map[string]map[string]int{"port used before": {}, "new port": {}}
	ask := func(kind string, id string, open func() *clientFlow) {
		defer group.Done()
		got := "not opened"
		if flow := open(); flow != nil {
			got = flow.request(id, timeLimit)
			c.mu.Lock()
			text := flow.answers[id]
			c.mu.Unlock()
			if got == resultServed {
				got += " by " + strings.TrimRight(strings.TrimPrefix(strings.Fields(text)[1], "stamp="), "-0123456789")
			}
			flow.close()
		}
		if trouble && strings.HasPrefix(got, resultServed) {
			w.violation("CONFIG: request %s (%s) was run with a dropped route", id, kind)
		}
		mu.Lock()
		results[kind][got]++
		mu.Unlock()
	}
	for i, port := range ports {
		group.Add(2)
		go ask("port used before", fmt.Sprintf("again-%d", i), func() *clientFlow { return c.openFrom(port, serviceEnd(1)) })
		go ask("new port", fmt.Sprintf("new-%d", i), func() *clientFlow { return c.openFlow(serviceEnd(1)) })
	}
	group.Wait()
	w.note("results: %s, broken: %d", jsonText(results), w.violations)
	fmt.Printf("results: %s, broken: %d\n", jsonText(results), w.violations)
	if w.violations > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
