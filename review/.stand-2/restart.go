package main

// A planned restart of the daemon beside a host.

import (
	"fmt"
	"time"
)

// stopToStart is the time from SIGTERM to the start of the new process.
const stopToStart = 2500 * time.Millisecond

func init() { cases["restart"] = restartCase }

func restartCase(s *scene, trouble bool) error {
	if err := s.begin(2, 3, work); err != nil {
		return err
	}
	if err := s.addClients(12, manyRequests, 300*time.Millisecond); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	if s.hosts[0].holds() == 0 {
		return fmt.Errorf("host %s holds no flow", s.hosts[0].ip)
	}
	s.note("host %s holds %d open flows", s.hosts[0].ip, s.hosts[0].holds())
	if trouble {
		started := time.Now()
		s.agents[0].terminate()
		time.Sleep(time.Until(started.Add(stopToStart)))
		if err := s.agents[0].run(); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	return nil
}
