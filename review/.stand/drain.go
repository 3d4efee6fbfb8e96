package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// drainMS is drain_ms of the settings.
const drainMS = 3000 * time.Millisecond

// startDraining makes the host say that it leaves and returns when that is acknowledged.
func (h *host) startDraining() time.Time {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	for !h.heartbeat() {
		time.Sleep(200 * time.Millisecond)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.drainedAt
}

// leave sends the message that the host ends, and ends it.
func (h *host) leave() {
	h.end()
	request, _ := http.NewRequest(http.MethodDelete, "http://"+h.control+"/instances/"+h.id, nil)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if response, err := client.Do(request); err == nil {
		_ = response.Body.Close()
	}
	h.mu.Lock()
	h.gone = true
	h.mu.Unlock()
	_ = h.udp.Close()
	_ = h.http.Close()
	h.w.note("host %s has left", h.id)
}

// portUsedAtLeavingHost aborts flows and opens flows from the same ports again, after the
// host of the former flows has started to leave.
func portUsedAtLeavingHost(ctx context.Context, recordPath string, trouble bool) (int, error) {
	const (
		flows     = 240
		timeLimit = 4 * time.Second
		// againAfter is the time from the end of the flows to the use of their ports,
		// drainBefore the time from the start of draining to that.
		againAfter  = 16500 * time.Millisecond
		drainBefore = 4 * time.Second
		// leaveAfter is the time from the new flows to the end of the draining host, which
		// is then 1.1 s above drain_ms after the acknowledgement.
		leaveAfter = 100 * time.Millisecond
		// work is the mean time of a request of the site's largest class.
		work = 40 * time.Millisecond
		// firstGap is the time between two of the former flows.
		firstGap = 5 * time.Millisecond
	)
	w, err := newWorld(recordPath, []string{"za", "zb"})
	if err != nil {
		return exitFailed, err
	}
	defer w.stopAll()
	hosts, clients, err := w.deploy(ctx, 2, 4)
	if err != nil {
		return exitFailed, err
	}
	leaving, c := hosts[0], clients[0]
	for _, h := range hosts {
		h.mu.Lock()
		h.work = work
		h.mu.Unlock()
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	var atLeaving, atOthers []uint16
	var failed error
	for i := range flows {
		group.Add(1)
		go func() {
			defer group.Done()
			flow, got := c.openFlow(serviceEnd(1)), "not opened"
			if flow != nil {
				got = flow.request(fmt.Sprintf("first-%d", i), timeLimit)
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case got != resultServed:
				failed = fmt.Errorf("first request %d: %s", i, got)
			case leaving.holds(flow.key):
				atLeaving = append(atLeaving, flow.key.client.port)
			default:
				atOthers = append(atOthers, flow.key.client.port)
			}
			if flow != nil {
				flow.abort()
			}
		}()
		time.Sleep(firstGap)
	}
	group.Wait()
	if failed != nil {
		return exitFailed, failed
	}
	atOthers = atOthers[:min(len(atOthers), len(atLeaving))]
	ended := time.Now()
	w.note("%d flows were at host %s; all flows have ended", len(atLeaving), leaving.id)
	if len(atLeaving) == 0 || len(atOthers) < len(atLeaving) {
		return exitFailed, fmt.Errorf("%d flows were at host %s, %d at others", len(atLeaving), leaving.id, len(atOthers))
	}
	time.Sleep(againAfter - drainBefore)
	var drained time.Time
	if trouble {
		drained = leaving.startDraining()
		w.note("host %s is draining, acknowledged", leaving.id)
	}
	time.Sleep(time.Until(ended.Add(againAfter)))
	takenLate := make(map[uint16]time.Duration)
	w.onTaken = func(h *host, key flowKey, taken *hostFlow) {
		if late := taken.takenAt.Sub(drained); trouble && h == leaving && late > drainMS {
			mu.Lock()
			defer mu.Unlock()
			takenLate[key.client.port] = late
		}
	}
	if trouble {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(leaveAfter)
			leaving.leave()
		}()
	}
	results := map[string]map[string]int{"port used at the leaving host": {}, "port used at other hosts": {}, "new port": {}}
	ask := func(kind, id string, open func() *clientFlow) {
		defer group.Done()
		sent := time.Now()
		flow, got := open(), "not opened"
		late := time.Duration(0)
		if flow != nil {
			got = flow.request(id, timeLimit)
			mu.Lock()
			late = takenLate[flow.key.client.port]
			mu.Unlock()
			flow.close()
		}
		if leaving.ran(id) {
			got += ", run by the leaving host"
		}
		if late > 0 && sent.Sub(drained) > drainMS {
			w.violation("DRAIN: request %s (%s), sent %s after the acknowledgement, has reached the draining host %s: %s", id, kind, sent.Sub(drained).Round(time.Millisecond), leaving.id, got)
		}
		mu.Lock()
		results[kind][got]++
		mu.Unlock()
	}
	for i := range atLeaving {
		group.Add(3)
		go ask("port used at the leaving host", fmt.Sprintf("again-%d", i), func() *clientFlow { return c.openFrom(atLeaving[i], serviceEnd(1)) })
		go ask("new port", fmt.Sprintf("new-%d", i), func() *clientFlow { return c.openFlow(serviceEnd(1)) })
		go ask("port used at other hosts", fmt.Sprintf("other-%d", i), func() *clientFlow { return c.openFrom(atOthers[i], serviceEnd(1)) })
	}
	group.Wait()
	w.note("results: %s, broken: %d", jsonText(results), w.violations)
	fmt.Printf("results: %s, broken: %d\n", jsonText(results), w.violations)
	if w.violations > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// ran reports whether the host has begun to work on a request.
func (h *host) ran(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.requests[id]
}
