// Command stand-2 plays the cases of the second review.
//
// # Usage
//
//	bin/stand-2 CASE RECORD
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

const (
	serviceName = "reports"
	timeLimit   = 4 * time.Second
	// manyRequests is the number of requests on a flow that is kept for the whole run.
	manyRequests = 1 << 30
	work         = 52 * time.Millisecond
)

var routeAddress = end{ip: [4]byte{127, 99, 0, 1}, port: 8443}

// cases maps the names of cases to their runs. Each returns an error if it could not run.
var cases = map[string]func(*scene, bool) error{}

// scene is a small deployment with clients.
type scene struct {
	*world
	balancers []*process
	agents    []*process
	hosts     []*host
	clients   []*client
	stop      chan struct{}
	working   sync.WaitGroup
}

func main() {
	if len(os.Args) == 2 && os.Args[1] == "collect" {
		// The collector of the log lines of one process.
		_, _ = io.Copy(os.Stdout, os.Stdin)
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		os.Exit(exitFailed)
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], record))
}

func play(name string, record *os.File) int {
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(record, 2)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.end()
	defer w.endEarly()()
	s := &scene{world: w, stop: make(chan struct{})}
	w.note("case %s, trouble %v", name, trouble)
	if err := cases[name](s, trouble); err != nil {
		w.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	close(s.stop)
	s.working.Wait()
	return s.judge()
}

// judge writes the sums and returns the exit code.
func (s *scene) judge() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := map[string]int{}
	lost := 0
	for id, result := range s.results {
		count[result]++
		if result != "200" && s.runs[id] > 0 {
			lost++
			s.line("request %s has run and was not answered (%s)", id, result)
		}
	}
	s.line("requests %d, how they ended %v, run and not answered %d, rules broken %d", len(s.results), count, lost, len(s.breaks))
	fmt.Printf("requests %d, how they ended %v, run and not answered %d, rules broken %d\n", len(s.results), count, lost, len(s.breaks))
	if len(s.breaks) > 0 {
		fmt.Println(s.breaks[0])
		return exitBroken
	}
	return exitHeld
}

// begin starts the deployment: balancers, and hosts with their agents.
func (s *scene) begin(balancers, hosts int, work time.Duration) error {
	return s.beginWith(balancers, hosts, work, 50)
}

// beginWith is begin with the number of requests a second that a cold host bears.
func (s *scene) beginWith(balancers, hosts int, work time.Duration, coldPerSecond float64) error {
	s.store.put("config", "main", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r1", "hostname": "127.99.0.1", "path_prefix": "/8443/", "service": serviceName, "type": "unsafe",
			"timeout_ms": timeLimit.Milliseconds(), "slo_ms": 250, "priority": 1, "max_attempts": 1,
		}},
		"services": []any{map[string]any{"name": serviceName, "health_path": "/health", "cold_per_s": coldPerSecond}},
		"limits":   map[string]any{"idle_timeout_ms": 60_000},
	})
	var ips []string
	for i := range balancers {
		ip := s.balancerIP(i)
		ips = append(ips, ip)
		p, err := s.launch("packet-balancer", "front", ip, "a", "")
		if err != nil {
			return err
		}
		s.balancers = append(s.balancers, p)
	}
	for i := range hosts {
		ip := s.agentIP(i)
		p, err := s.launch("packet-agent", "side", ip, "a", serviceName)
		if err != nil {
			return err
		}
		s.agents = append(s.agents, p)
	}
	time.Sleep(300 * time.Millisecond)
	for i := range hosts {
		h, err := s.newHost(serviceName, "a", s.agentIP(i), work, 0)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
	}
	s.router = s.newRouter(ips)
	for end := time.Now().Add(15 * time.Second); s.router.ready() < balancers; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("balancers are not ready")
		}
	}
	time.Sleep(time.Second)
	return nil
}

// addClients starts clients that keep a flow for perFlow requests, with pauses between them.
func (s *scene) addClients(count, perFlow int, pause time.Duration) error {
	for range count {
		c, err := s.newClient(s.clientIP(len(s.clients)))
		if err != nil {
			return err
		}
		s.clients = append(s.clients, c)
		s.working.Add(1)
		go func() {
			defer s.working.Done()
			s.use(c, perFlow, pause)
		}()
	}
	return nil
}

// offer opens perSecond flows a second, each for one request, until the run stops.
func (s *scene) offer(clients, perSecond int) error {
	for range clients {
		c, err := s.newClient(s.clientIP(len(s.clients)))
		if err != nil {
			return err
		}
		s.clients = append(s.clients, c)
	}
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	s.working.Add(1)
	go func() {
		defer s.working.Done()
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-s.stop:
				return
			case <-ticker.C:
			}
			c := s.clients[number%len(s.clients)]
			s.working.Add(1)
			go func() {
				defer s.working.Done()
				f := c.dial(routeAddress)
				if f == nil {
					return
				}
				id := fmt.Sprintf("%s-%d", c.ip, number)
				s.ended(id, f.request(id, timeLimit))
				f.close()
			}()
		}
	}()
	return nil
}

// use sends requests on one flow after the other until the run stops.
func (s *scene) use(c *client, perFlow int, pause time.Duration) {
	var f *flow
	left := 0
	for number := 0; ; number++ {
		select {
		case <-s.stop:
			return
		case <-time.After(pause/2 + rand.N(pause)):
		}
		if f != nil && f.closedByHost() {
			f = nil
		}
		if f != nil && left == 0 {
			f.close()
			f = nil
		}
		if f == nil {
			if f = c.dial(routeAddress); f == nil {
				continue
			}
			left = perFlow
		}
		left--
		id := fmt.Sprintf("%s-%d", c.ip, number)
		result := f.request(id, timeLimit)
		s.ended(id, result)
		if result != "200" {
			f = nil
		}
	}
}

// close ends the flow. It counts as closed from then on, whatever happens to the FIN.
func (f *flow) close() {
	f.c.mu.Lock()
	f.open = false
	delete(f.c.flows, f.own.port)
	f.c.mu.Unlock()
	f.send(flagACK|flagFIN, f.seq, f.hostNext, nil)
}

// closedByHost reports whether the flow has been closed or reset, and answers a FIN.
func (f *flow) closedByHost() bool {
	if f.ended {
		f.close()
		return true
	}
	for {
		select {
		case p := <-f.inbox:
			if p.flags&flagRST != 0 {
				return true
			}
			if p.flags&flagFIN != 0 {
				f.send(flagACK|flagFIN, f.seq, f.hostNext+1, nil)
				return true
			}
		default:
			return false
		}
	}
}
