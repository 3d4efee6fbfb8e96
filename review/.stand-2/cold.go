package main

// A planned restart of balancers while hosts are cold.

import "time"

const (
	// coldPerSecond, coldFactor and coldSlack give the number of requests that a cold host
	// may get in a second.
	coldPerSecond = 5.0
	coldFactor    = 1.5
	coldSlack     = 5.0
	// coldFor is cold_s, downFor the time for which the hosts are down.
	coldFor = 2 * time.Second
	downFor = 3 * time.Second
	// restarts is the number of times that everything happens.
	restarts = 4
)

func init() { cases["cold"] = coldCase }

func coldCase(s *scene, trouble bool) error {
	if err := s.beginWith(2, 2, work, coldPerSecond); err != nil {
		return err
	}
	if err := s.offer(20, 150); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	for i := range restarts {
		if err := s.coldReturn(s.balancers[i%2], trouble); err != nil {
			return err
		}
		time.Sleep(6 * time.Second)
	}
	return nil
}

// coldReturn takes the hosts down and brings them back cold. With trouble, a balancer is
// restarted so that it is back while they are cold.
func (s *scene) coldReturn(balancer *process, trouble bool) error {
	back := time.Now().Add(downFor)
	for _, h := range s.hosts {
		h.crash()
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		time.Sleep(time.Until(back.Add(-time.Second)))
		if trouble {
			balancer.terminate()
		}
	}()
	time.Sleep(time.Until(back))
	for i := range s.hosts {
		h, err := s.newHost(serviceName, "a", s.agentIP(i), work, coldFor)
		if err != nil {
			return err
		}
		s.hosts[i] = h
	}
	<-stopped
	if trouble {
		time.Sleep(restartDelay)
		if err := balancer.run(); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(back.Add(coldFor)))
	bound := coldPerSecond*coldFactor + coldSlack
	for _, h := range s.hosts {
		most := h.busiestSecond()
		s.note("host %s: took at most %d flows in a second while cold, bound %.1f", h.ip, most, bound)
		if float64(most) > bound {
			s.broken("FAILBACK: cold host %s got %d requests in one second, bound %.1f", h.ip, most, bound)
		}
	}
	return nil
}
