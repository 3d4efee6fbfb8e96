package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// stop ends the host as a loss of power does.
func (h *host) stop() {
	h.end()
	_ = h.udp.Close()
	_ = h.http.Close()
	h.w.note("host %s loses power", h.id)
}

// zoneLosesPower takes the power of a zone for some seconds. Its machines and hosts come
// back within 1.5 s, the hosts cold.
func zoneLosesPower(ctx context.Context, recordPath string, trouble bool) (int, error) {
	const (
		perSecond  = 300
		outages    = 6
		darkFor    = 4 * time.Second
		calmFor    = 6 * time.Second
		backWithin = 1500 * time.Millisecond
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
	back := hosts[2:]
	code := exitHeld
	for range outages {
		if trouble {
			w.takePower(ctx, back, darkFor, backWithin)
		} else {
			time.Sleep(darkFor)
		}
		time.Sleep(calmFor)
		code = max(code, w.judgeCold(seen, back))
	}
	return code, nil
}

// takePower takes the power of the machines of zone zb and of its hosts. The new boots of
// the hosts replace the former ones in back.
func (w *world) takePower(ctx context.Context, back []*host, darkFor, backWithin time.Duration) {
	machines := append(append([]*machine(nil), w.fronts[2:]...), w.sides[2:]...)
	for _, m := range machines {
		m.signal(syscall.SIGKILL)
	}
	for _, h := range back {
		h.stop()
	}
	time.Sleep(darkFor)
	w.note("zone zb has power again")
	var group sync.WaitGroup
	for _, m := range machines {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(rand.N(backWithin))
			if err := m.start(); err != nil {
				w.note("%s cannot be started: %s", m.name, err)
			}
		}()
	}
	for i, former := range back {
		back[i] = w.newHost(former.id, former.service, former.zone, former.ip)
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(rand.N(backWithin))
			back[i].turnCold(coldFor)
			if err := back[i].start(ctx); err != nil {
				w.note("host %s cannot be started: %s", back[i].id, err)
			}
		}()
	}
	group.Wait()
}
