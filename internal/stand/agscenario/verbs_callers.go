package agscenario

// Verbs that start and stop callers.

import (
	"context"
	"fmt"
	"time"

	"github.com/anvilglade/anvilglade/internal/stand/agcaller"
)

const (
	openLimit = 15 * time.Second
	// linesLimit exceeds the time that seven hosts need to open 2,000 lines: a
	// line occupies one of four slots of a host for its first second.
	linesLimit = 120 * time.Second
)

func runOpenFlows(ctx context.Context, s *caseRun, step *step) error {
	address, err := s.fleet.serviceAddress(step.value("service"), false)
	if err != nil {
		return err
	}
	if s.flows == nil {
		interval := time.Second
		if step.has("every") {
			interval = step.duration("every")
		}
		flows, stop, err := agcaller.NewFlows(agcaller.FlowsOptions{
			Prefix:   s.fleet.plan.flows(),
			Port:     uint16(portFlows + s.fleet.plan.octet),
			Interval: interval,
		})
		if err != nil {
			return err
		}
		s.flows = flows
		s.cleanup(stop)
	}
	s.flows.Open(step.value("service"), address, step.count("count"))
	if left := s.flows.WaitOpen(ctx, openLimit); left > 0 {
		return fmt.Errorf("%d of %d flows have no answer after %s", left, s.flows.Report().Flows, openLimit)
	}
	return nil
}

func runLines(ctx context.Context, s *caseRun, step *step) error {
	address, err := s.fleet.serviceAddress(step.value("service"), true)
	if err != nil {
		return err
	}
	callers := max(step.count("callers"), 1)
	lines, stop, err := agcaller.NewLines(agcaller.LinesOptions{
		Service:   step.value("service"),
		Address:   address,
		Sources:   s.fleet.plan.callers(callers),
		PerCaller: step.count("count") / callers,
	})
	if err != nil {
		return err
	}
	s.lines = append(s.lines, lines)
	s.cleanup(stop)
	if left := lines.WaitOpen(ctx, linesLimit); left > 0 {
		return fmt.Errorf("%d of %d lines are not open after %s", left, lines.Report().Flows, linesLimit)
	}
	return nil
}

func runLoad(_ context.Context, s *caseRun, step *step) error {
	address, err := s.fleet.serviceAddress(step.value("service"), true)
	if err != nil {
		return err
	}
	name := step.value("name")
	if _, taken := s.loads[name]; taken {
		return fmt.Errorf("there is a load %q already", name)
	}
	load, stop, err := agcaller.NewLoad(agcaller.LoadOptions{
		Name:        name,
		Service:     step.value("service"),
		Address:     address,
		Sources:     s.fleet.plan.callers(step.count("callers")),
		Rate:        step.number("rate"),
		Count:       step.count("count"),
		MinSize:     step.count("min-size"),
		MaxSize:     step.count("max-size"),
		Work:        step.duration("work"),
		Timeout:     step.duration("timeout"),
		Reports:     step.has("reports"),
		Tickets:     step.has("tickets"),
		CancelShare: step.share("cancel"),

		ReconnectShare: step.share("reconnect"),
		Uneven:         step.has("uneven"),
		Sends:          max(step.count("sends"), 1),
		Seed:           s.fleet.options.Seed,
	})
	if err != nil {
		return err
	}
	s.loads[name] = load
	s.loadService[name] = step.value("service")
	s.cleanup(stop)
	return nil
}

func (s *caseRun) load(name string) (*agcaller.Load, error) {
	load, ok := s.loads[name]
	if !ok {
		return nil, fmt.Errorf("there is no load %q", name)
	}
	return load, nil
}

func runFinish(ctx context.Context, s *caseRun, step *step) error {
	load, err := s.load(step.value("name"))
	if err != nil {
		return err
	}
	load.Wait(ctx)
	return ctx.Err()
}

func runHalt(ctx context.Context, s *caseRun, step *step) error {
	load, err := s.load(step.value("name"))
	if err != nil {
		return err
	}
	load.Stop(ctx)
	return ctx.Err()
}
