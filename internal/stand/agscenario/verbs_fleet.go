package agscenario

// Verbs that change the fleet.

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/stand/agprocess"
)

// gracefulLimit is the maximum duration of a graceful stop in a scenario.
const gracefulLimit = 30 * time.Second

func (f *Fleet) balancer(name string) (*balancer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	item, ok := f.balancers[name]
	if !ok || item.process.Ended() {
		return nil, fmt.Errorf("there is no running balancer %q, running are %v", name, f.runningBalancers())
	}
	return item, nil
}

func (f *Fleet) runningBalancers() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(f.balancers)) {
		if !f.balancers[name].process.Ended() {
			names = append(names, name)
		}
	}
	return names
}

func (f *Fleet) markStopped(item *host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	item.stopped = true
}

func (f *Fleet) host(name string) (*host, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	item, ok := f.hosts[name]
	if !ok {
		return nil, fmt.Errorf("there is no host %q, hosts are %v", name, slices.Sorted(maps.Keys(f.hosts)))
	}
	return item, nil
}

// selectHosts returns the running hosts that match a host name, a service, a data
// centre or "all", and an error if there are none.
func (f *Fleet) selectHosts(selector string) ([]*host, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []*host
	for _, name := range slices.Sorted(maps.Keys(f.hosts)) {
		item := f.hosts[name]
		selected := selector == "all" || selector == name || selector == item.service || selector == item.dataCentre
		if selected && !item.stopped {
			found = append(found, item)
		}
	}
	if len(found) == 0 {
		return nil, fmt.Errorf("no running host, service or data centre %q", selector)
	}
	return found, nil
}

func runKillBalancer(_ context.Context, s *caseRun, step *step) error {
	item, err := s.fleet.balancer(step.value("name"))
	if err != nil {
		return err
	}
	item.process.Kill()
	return nil
}

func runReplaceBalancer(ctx context.Context, s *caseRun, step *step) error {
	return s.replace(ctx, step.value("name"))
}

// replace kills a balancer and starts another with a new name and new addresses, as
// the platform does with a VM. It waits until the new balancer is ready.
func (s *caseRun) replace(ctx context.Context, name string) error {
	item, err := s.fleet.balancer(name)
	if err != nil {
		return err
	}
	item.process.Kill()
	next, err := s.fleet.startBalancer(ctx)
	if err != nil {
		return err
	}
	s.logf("balancer %s replaced by %s", name, next)
	return s.fleet.balancers[next].process.WaitReady(ctx, s.fleet.adminOfBalancer(next)+"/ready")
}

func runReplaceBalancers(ctx context.Context, s *caseRun, step *step) error {
	s.fleet.mu.Lock()
	names := s.fleet.runningBalancers()
	s.fleet.mu.Unlock()
	for _, name := range names {
		if err := s.replace(ctx, name); err != nil {
			return err
		}
		if err := runWait(ctx, s, step); err != nil {
			return err
		}
	}
	return nil
}

func runPauseBalancer(_ context.Context, s *caseRun, step *step) error {
	item, err := s.fleet.balancer(step.value("name"))
	if err != nil {
		return err
	}
	return s.pause(item.process, step.duration("time"))
}

func runPauseAgent(_ context.Context, s *caseRun, step *step) error {
	item, err := s.fleet.host(step.value("name"))
	if err != nil {
		return err
	}
	return s.pause(item.agent, step.duration("time"))
}

// pause stops a process with SIGSTOP and resumes it in the background after the
// given time.
func (s *caseRun) pause(p *agprocess.Process, length time.Duration) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return s.background.Start("resume", func(ctx context.Context) error {
		select {
		case <-ctx.Done():
		case <-time.After(length):
		}
		// The process may have ended in the meantime.
		_ = p.Signal(syscall.SIGCONT)
		return nil
	})
}

func runKillHost(ctx context.Context, s *caseRun, step *step) error {
	item, err := s.fleet.host(step.value("name"))
	if err != nil {
		return err
	}
	item.agent.Kill()
	// With its agent killed, the host sends no more answers, so the journal
	// contains every request that a caller can have an answer to.
	if err := s.fleet.saveJournal(ctx, item); err != nil {
		return err
	}
	s.fleet.markStopped(item)
	item.backend.Kill()
	s.markHostUnavailable(item.name)
	return nil
}

// runStopHost stops an agent gracefully in the background, as an operator does
// before a VM is replaced, and then kills its backend server.
func runStopHost(ctx context.Context, s *caseRun, step *step) error {
	item, err := s.fleet.host(step.value("name"))
	if err != nil {
		return err
	}
	return s.background.Start("stop "+item.name, func(context.Context) error {
		if err := item.agent.Stop(gracefulLimit); err != nil {
			s.recordViolation("GracefulStop", "%v", err)
		}
		if err := s.fleet.saveJournal(context.WithoutCancel(ctx), item); err != nil {
			s.recordViolation("GracefulStop", "%v", err)
		}
		s.fleet.markStopped(item)
		item.backend.Kill()
		// Flows that outlast the drain limit are ended on purpose and do not
		// count as broken.
		s.markHostUnavailable(item.name)
		return nil
	})
}

func runRestartAgent(ctx context.Context, s *caseRun, step *step) error {
	item, err := s.fleet.host(step.value("name"))
	if err != nil {
		return err
	}
	item.agent.Kill()
	s.markHostUnavailable(item.name)
	if err := s.fleet.startAgent(item); err != nil {
		return err
	}
	if err := s.fleet.waitHosts(ctx, []string{item.name}); err != nil {
		return err
	}
	s.markHostAvailable(item.name)
	return nil
}

func runJoin(ctx context.Context, s *caseRun, step *step) error {
	service, err := s.fleet.service(step.value("service"))
	if err != nil {
		return err
	}
	count := step.count("count")
	gap := step.duration("time") / time.Duration(max(count, 1))
	for range count {
		name, dataCentre := service.hostName(service.joined)
		service.joined++
		s.joined = append(s.joined, name)
		if err := s.fleet.startHost(ctx, name, dataCentre, service.spec.name); err != nil {
			return err
		}
		time.Sleep(gap)
	}
	return nil
}

func (s *caseRun) drain(ctx context.Context, step *step, on bool) error {
	action := "drain"
	if !on {
		action = "undrain"
	}
	if _, err := s.fleet.host(step.value("name")); err != nil {
		return err
	}
	return s.fleet.mustRunOperator(ctx, s.fleet.edits("hosts", action, step.value("name"))...)
}

// dataCentre changes the state of a data centre through the operator command.
// When a data centre is taken out of service, the flows of its hosts end, which is
// expected and does not count as broken.
func (s *caseRun) dataCentre(ctx context.Context, step *step, state anvilglade.DataCentreState) error {
	name := step.value("name")
	action := map[anvilglade.DataCentreState]string{
		anvilglade.DataCentreIn: "in", anvilglade.DataCentreOut: "out", anvilglade.DataCentreDraining: "drain",
	}[state]
	hosts, err := s.fleet.selectHosts(name)
	if err != nil {
		return err
	}
	start := time.Now()
	// The flows may end as soon as the command starts, and not only when the
	// change is in effect on every balancer.
	if state == anvilglade.DataCentreOut {
		for _, item := range hosts {
			s.markHostUnavailable(item.name)
		}
	}
	if err := s.fleet.mustRunOperator(ctx, s.fleet.edits("datacentres", action, name, "--wait", "--force")...); err != nil {
		return err
	}
	accepted := time.Now()
	s.logf("data centre %s %s, in effect after %s", name, state, accepted.Sub(start).Round(time.Millisecond))
	if state == anvilglade.DataCentreIn {
		for _, item := range hosts {
			s.markHostAvailable(item.name)
		}
	}
	s.dcChanges = append(s.dcChanges, dcChange{name: name, state: state, start: start, accepted: accepted})
	return nil
}

// runMove moves a host between pools. Host patterns cannot exclude a single host,
// so all pools then list their hosts by name.
func runMove(ctx context.Context, s *caseRun, step *step) error {
	item, err := s.fleet.host(step.value("name"))
	if err != nil {
		return err
	}
	target, err := s.fleet.service(step.value("service"))
	if err != nil {
		return err
	}
	s.moved[item.name] = target.spec.name
	tables := s.fleet.tables()
	for i := range tables.Pools {
		tables.Pools[i].Hosts = s.poolMembers(string(tables.Pools[i].Service))
	}
	path, err := s.fleet.writeTables("moved.json", map[string]any{"Pools": tables.Pools})
	if err != nil {
		return err
	}
	return s.fleet.mustRunOperator(ctx, s.fleet.edits("apply", path)...)
}

func (s *caseRun) poolMembers(service string) []string {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	names := []string{}
	for _, name := range slices.Sorted(maps.Keys(s.fleet.hosts)) {
		member := s.fleet.hosts[name].service
		if moved, ok := s.moved[name]; ok {
			member = moved
		}
		if member == service {
			names = append(names, name)
		}
	}
	return names
}
