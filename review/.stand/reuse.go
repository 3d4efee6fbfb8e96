package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// portUsedAtAnotherHost aborts flows, opens flows from the same ports later, and restarts
// one balancer while these are in use.
func portUsedAtAnotherHost(ctx context.Context, recordPath string, trouble bool) (int, error) {
	const (
		flows     = 200
		timeLimit = 4 * time.Second
		// againAfter is the time from the end of the former flows to the use of their
		// ports. It is above idle_timeout_ms, 15 s.
		againAfter = 45 * time.Second
		gap        = 5 * time.Millisecond
		// askAfter is the time from the signal to the next request on each flow: the
		// routers use the other balancer by then.
		askAfter = 1500 * time.Millisecond
	)
	w, err := newWorld(recordPath, []string{"za", "zb"})
	if err != nil {
		return exitFailed, err
	}
	defer w.stopAll()
	hosts, clients, err := w.deploy(ctx, 2, 2)
	if err != nil {
		return exitFailed, err
	}
	c := clients[0]
	holderOf := func(flow *clientFlow) *host {
		for _, h := range hosts {
			if h.holds(flow.key) {
				return h
			}
		}
		return nil
	}
	// openAll opens a flow from each port, 0 for a new one, with one answered request.
	openAll := func(kind string, ports []uint16) ([]*clientFlow, error) {
		var group sync.WaitGroup
		var mu sync.Mutex
		var failed error
		opened := make([]*clientFlow, len(ports))
		for i, port := range ports {
			group.Add(1)
			go func() {
				defer group.Done()
				var flow *clientFlow
				if port == 0 {
					flow = c.openFlow(serviceEnd(1))
				} else {
					flow = c.openFrom(port, serviceEnd(1))
				}
				got := "not opened"
				if flow != nil {
					got = flow.request(fmt.Sprintf("%s-%d", kind, i), timeLimit)
				}
				mu.Lock()
				defer mu.Unlock()
				opened[i] = flow
				if got != resultServed {
					failed = fmt.Errorf("first request on flow %d of kind %s: %s", i, kind, got)
				}
			}()
			time.Sleep(gap)
		}
		group.Wait()
		return opened, failed
	}
	former, err := openAll("former", make([]uint16, flows))
	if err != nil {
		return exitFailed, err
	}
	ports := make([]uint16, flows)
	formerHost := make(map[uint16]*host)
	for i, flow := range former {
		ports[i] = flow.key.client.port
		formerHost[ports[i]] = holderOf(flow)
		flow.abort()
	}
	w.note("%d flows have been ended by their client", flows)
	time.Sleep(againAfter)
	again, err := openAll("again", ports)
	if err != nil {
		return exitFailed, err
	}
	fresh, err := openAll("fresh", make([]uint16, flows))
	if err != nil {
		return exitFailed, err
	}
	elsewhere := 0
	for _, flow := range again {
		if holderOf(flow) != formerHost[flow.key.client.port] {
			elsewhere++
		}
	}
	w.note("%d flows are open from the same ports, %d of them at another host than before; %d from new ports", len(again), elsewhere, len(fresh))
	restarted := make(chan error, 1)
	if trouble {
		go func() { restarted <- w.fronts[0].restart(syscall.SIGTERM) }()
	} else {
		restarted <- nil
	}
	time.Sleep(askAfter)
	results := map[string]map[string]int{"former host": {}, "another host": {}, "new port": {}}
	var group sync.WaitGroup
	var mu sync.Mutex
	ask := func(kind, id string, flow *clientFlow) {
		defer group.Done()
		h := holderOf(flow)
		if h == nil || flow.wasReset() {
			w.note("request %s is not sent: flow %s was reset before", id, flow.name())
			return
		}
		got := flow.request(id, timeLimit)
		if got != resultServed && got != resultSilent && h.holds(flow.key) {
			w.violation("FLOW (a): flow %s, %s old, got a reset (%s) while host %s lives and holds it; request %s has run %d times", flow.name(), time.Since(flow.opened).Round(time.Millisecond), got, h.id, id, w.runsOf(id))
		}
		mu.Lock()
		results[kind][got]++
		mu.Unlock()
	}
	// The second round comes when the restarted balancer has its flows again.
	for round := range 2 {
		if round == 1 {
			if err := <-restarted; err != nil {
				return exitFailed, err
			}
			if err := w.awaitReady(10 * time.Second); err != nil {
				return exitFailed, err
			}
			time.Sleep(time.Second)
		}
		for i := range flows {
			kind := "another host"
			if formerHost[ports[i]].holds(again[i].key) {
				kind = "former host"
			}
			group.Add(2)
			go ask(kind, fmt.Sprintf("round-%d-again-%d", round, i), again[i])
			go ask("new port", fmt.Sprintf("round-%d-fresh-%d", round, i), fresh[i])
			time.Sleep(gap / 2)
		}
		group.Wait()
	}
	w.note("results: %s, broken: %d", jsonText(results), w.violations)
	fmt.Printf("results: %s, broken: %d\n", jsonText(results), w.violations)
	if w.violations > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// wasReset reports whether the client has got a reset of the flow.
func (f *clientFlow) wasReset() bool {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	return f.reset != ""
}

// runsOf returns how often hosts have begun to work on a request.
func (w *world) runsOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}
