// The tasks of the agent, the enforcement of the assignment and the graceful stop.

package agagent

import (
	"context"
	"errors"
	"os"
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/admission/agadmit"
	"github.com/anvilglade/anvilglade/internal/flow/agflow"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
	"github.com/anvilglade/anvilglade/internal/observe/aglog"
)

const (
	// DefaultDrainLimit is the maximum time for which flows stay on a stopping
	// agent whose pool sets no limit.
	DefaultDrainLimit = 12 * time.Hour
	// DefaultLinger is how long an agent keeps running after it has set the state of
	// its host to Left. During this time its heartbeats carry this state. Balancers
	// may receive an update up to 10 s late; until then they send some packets for
	// other hosts through this agent.
	DefaultLinger = 10 * time.Second
	// minDrainTime is the minimum duration of a drain. Within this time balancers
	// stop placing work on this host, so that no work is refused that another host
	// could have accepted.
	minDrainTime = 2 * time.Second
	// drainPollInterval is the time between two checks for open flows during a
	// drain.
	drainPollInterval = 50 * time.Millisecond
)

// ErrStoppedAtOnce is returned by Run if a second signal stopped the agent before
// its graceful stop was complete.
var ErrStoppedAtOnce = errors.New("stopped at once by a second signal")

type agentTask struct {
	name string
	run  func(context.Context) error
}

// Run starts all tasks and returns when the agent has stopped or a task has failed.
// The first signal begins a graceful stop, the second one stops the agent at once
// with ErrStoppedAtOnce. The end of ctx also stops the agent at once.
func (a *Agent) Run(ctx context.Context, signals <-chan os.Signal) error {
	a.events.Record(anvilglade.Event{Type: agevent.ProcessStarted, Host: a.settings.Host})
	tasks := []agentTask{
		{"datagrams", a.receive},
		{"assignment", a.followAssignment},
		{"tick", a.tick},
		{"reporter", a.reporter.Run},
		{"admin", a.admin.Run},
	}
	if baseline, ok := a.admitter.(*agadmit.Baseline); ok {
		tasks = append(tasks, agentTask{"health", func(ctx context.Context) error { return a.pollHealth(ctx, baseline) }})
	}
	for _, task := range tasks {
		if err := a.group.Start(task.name, task.run); err != nil {
			return err
		}
	}
	a.log.WithField("Host", a.settings.Host).WithField("Address", a.settings.AgentAddress).Info("Agent has started.")
	select {
	case <-ctx.Done():
	case <-a.group.Context().Done():
	case <-signals:
		err := a.drain(signals)
		a.stopTasks()
		return errors.Join(err, a.group.Wait())
	}
	a.stopTasks()
	return a.group.Wait()
}

// stopTasks stops all tasks. It ends the flows first, because their readers block
// until their sockets are closed.
func (a *Agent) stopTasks() {
	a.applyActions(context.Background(), a.clock.Now(), a.machine.EndAll(a.clock.Now(), nil), aglog.NewLimiter(dropLogInterval))
	a.group.Stop()
}

// drain performs the graceful stop. Flows stay on this agent until they end or the
// drain limit of the pool has passed.
func (a *Agent) drain(signals <-chan os.Signal) error {
	started := time.Now()
	limit := a.drainLimit()
	a.log.WithField("Limit", limit).Info("Agent stops; open flows may continue until the drain limit.")
	a.events.Record(anvilglade.Event{Type: agevent.ProcessStopping, Host: a.settings.Host})
	a.stopping.Store(true)
	a.machine.Drain()
	a.setClosed(anvilglade.RefusalDraining)
	a.reporter.SetState(anvilglade.HostDraining)
	for _, server := range a.servers {
		server.Drain()
	}
	drained := func() bool {
		elapsed := time.Since(started)
		return elapsed >= limit || elapsed >= minDrainTime && a.idle()
	}
	if err := a.waitFor(signals, drained); err != nil {
		return err
	}
	a.machine.Leave()
	a.reporter.SetState(anvilglade.HostLeft)
	leftAt := time.Now()
	return a.waitFor(signals, func() bool { return time.Since(leftAt) >= a.linger() })
}

func (a *Agent) waitFor(signals <-chan os.Signal, done func() bool) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-signals:
			return ErrStoppedAtOnce
		case <-a.group.Context().Done():
			return nil
		case <-ticker.C:
		}
	}
	return nil
}

// idle reports whether nothing is in progress: no flow, no QUIC connection and
// no request.
func (a *Agent) idle() bool {
	if a.limits == nil {
		return a.machine.OpenFlows() == 0
	}
	state := a.limits.State()
	return state.Flows == 0 && state.Requests == 0
}

func (a *Agent) drainLimit() time.Duration {
	if assignment, ok := a.reporter.Assignment(); ok && assignment.Pool.DrainLimit > 0 {
		return time.Duration(assignment.Pool.DrainLimit)
	}
	return DefaultDrainLimit
}

func (a *Agent) linger() time.Duration {
	if a.settings.Linger > 0 {
		return a.settings.Linger
	}
	return DefaultLinger
}

// tick ends idle flows and reports the utilisation of the host to the arbiter, the
// host that decides on the new flows of the service.
func (a *Agent) tick(ctx context.Context) error {
	ticker := time.NewTicker(agflow.TickInterval)
	defer ticker.Stop()
	limiter := aglog.NewLimiter(dropLogInterval)
	var actions []agflow.Action
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := a.clock.Now()
			actions = a.machine.Tick(now, actions[:0])
			a.applyActions(ctx, now, actions, limiter)
		}
	}
}

// servicesWithFlows returns the services that have flows on this host, in order of
// their ids. Balancers keep the host in the candidate lists of these services.
func (a *Agent) servicesWithFlows() []anvilglade.ServiceID {
	var services []anvilglade.ServiceID
	numbers := a.machine.Services()
	for service := range a.settings.Backends {
		if slices.Contains(numbers, service.Number()) {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// followAssignment enforces the assignment after each change.
func (a *Agent) followAssignment(ctx context.Context) error {
	changed, unsubscribe := a.reporter.Subscribe()
	defer unsubscribe()
	for {
		if assignment, ok := a.reporter.Assignment(); ok {
			a.enforce(ctx, assignment)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// enforce applies an assignment. It closes the host for new work before it ends
// flows, so that no work starts in between.
func (a *Agent) enforce(ctx context.Context, assignment *anvilglade.HostAssignment) {
	a.parts.Keys.Adopt(assignment.Keys, assignment.KeysAt)
	if a.limits != nil && assignment.Service != "" {
		a.limits.SetPool(assignment.Service, assignment.Pool)
	}
	a.setClosed(a.closedReason(assignment))
	now := a.clock.Now()
	a.applyActions(ctx, now, a.machine.SetAssignment(now, assignment, nil), aglog.NewLimiter(dropLogInterval))
	if previous := a.counters.revision.Swap(uint64(assignment.Revision)); previous != uint64(assignment.Revision) {
		a.events.Record(anvilglade.Event{Type: agevent.RevisionAdopted, Host: a.settings.Host, Service: assignment.Service, Revision: assignment.Revision})
		a.log.WithField("Revision", assignment.Revision).WithField("Service", assignment.Service).WithField("DataCentreState", assignment.DataCentreState).Info("Assignment is in effect.")
	}
}

func (a *Agent) closedReason(assignment *anvilglade.HostAssignment) anvilglade.Refusal {
	switch {
	case a.stopping.Load() || assignment.Draining || assignment.DataCentreState == anvilglade.DataCentreDraining:
		return anvilglade.RefusalDraining
	case assignment.DataCentreState == anvilglade.DataCentreOut || assignment.Service == "":
		return anvilglade.RefusalOut
	}
	return anvilglade.RefusalNone
}

// setClosed makes the host refuse all new work for a reason. RefusalNone makes it
// accept work again.
func (a *Agent) setClosed(reason anvilglade.Refusal) {
	if a.limits != nil {
		a.limits.SetClosed(reason)
	}
}
