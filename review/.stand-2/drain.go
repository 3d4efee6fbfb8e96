package main

// A planned restart of the daemon beside a host that drains and answers no health checks
// any more.

import (
	"fmt"
	"time"
)

// longWork is the longest work of a request on the sheet of the deployment.
const longWork = 310 * time.Millisecond

// hostsBesideDrain is the number of hosts of which one drains, a share of 0.125.
const hostsBesideDrain = 8

func init() { cases["drain"] = drainCase }

func drainCase(s *scene, trouble bool) error {
	if err := s.begin(2, hostsBesideDrain, longWork); err != nil {
		return err
	}
	if err := s.addClients(64, manyRequests, 1500*time.Millisecond); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	h := s.hosts[0]
	if h.holds() == 0 {
		return fmt.Errorf("host %s holds no flow", h.ip)
	}
	h.drain()
	// A server that leaves takes no new connections at the port of its health check.
	_ = h.health.Close()
	time.Sleep(300 * time.Millisecond)
	s.note("host %s holds %d open flows", h.ip, h.holds())
	if trouble {
		s.agents[0].terminate()
		time.Sleep(restartDelay)
		if err := s.agents[0].run(); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	return nil
}
