package main

// A planned stop of the daemon beside a host while the reader of its log stands still.

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["log"] = logCase }

func logCase(s *scene, trouble bool) error {
	if err := s.begin(2, 3, work); err != nil {
		return err
	}
	if err := s.addClients(12, manyRequests, 300*time.Millisecond); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if err := s.addClients(60, 1, 20*time.Millisecond); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if s.hosts[0].holds() == 0 {
		return fmt.Errorf("host %s holds no flow", s.hosts[0].ip)
	}
	agent := s.agents[0]
	if trouble {
		s.note("platform: the collector of the log of %s stands still", agent.name)
		if err := agent.collector.Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
	}
	time.Sleep(8 * time.Second)
	agent.terminate()
	time.Sleep(restartDelay)
	if err := agent.run(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	return nil
}
