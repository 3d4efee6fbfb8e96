package agscenario

// The verbs of case files. test/cases/README.md describes each.

import (
	"context"
	"fmt"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/stand/agapi"
	"github.com/anvilglade/anvilglade/internal/stand/agfabric"
)

type verb struct {
	pattern string
	run     func(ctx context.Context, s *caseRun, step *step) error
}

// verbs is filled by init to avoid an initialisation cycle: the functions refer to
// steps, which refer to verbs.
var verbs []verb

func init() {
	verbs = []verb{
		{"baseline", func(context.Context, *caseRun, *step) error { return nil }},
		{"deployment <name:name>", func(_ context.Context, s *caseRun, step *step) error { return s.fleet.deploy(step.value("name")) }},
		{"set <key:name> <value:name>", runSet},
		{"start <balancers:count> balancers", func(ctx context.Context, s *caseRun, step *step) error {
			return s.fleet.start(ctx, step.count("balancers"))
		}},
		{"open <count:count> flows to <service:name> [every :duration]", runOpenFlows},
		{"lines <count:count> to <service:name> from <callers:count> callers", runLines},
		{"load <name:name> to <service:name> rate <rate:number> from <callers:count> callers [count :count] [min-size :count] [max-size :count] [work :duration] [timeout :duration] [cancel :share] [reconnect :share] [sends :count] [uneven] [reports] [tickets]", runLoad},
		{"finish <name:name>", runFinish},
		{"halt <name:name>", runHalt},
		{"mark", runMark},
		{"wait <time:duration>", runWait},
		{"kill balancer <name:name>", runKillBalancer},
		{"replace balancer <name:name>", runReplaceBalancer},
		{"replace balancers every <time:duration>", runReplaceBalancers},
		{"pause balancer <name:name> for <time:duration>", runPauseBalancer},
		{"kill host <name:name>", runKillHost},
		{"stop host <name:name>", runStopHost},
		{"restart agent <name:name>", runRestartAgent},
		{"pause agent <name:name> for <time:duration>", runPauseAgent},
		{"join <count:count> hosts to <service:name> within <time:duration>", runJoin},
		{"drain host <name:name>", func(ctx context.Context, s *caseRun, step *step) error { return s.drain(ctx, step, true) }},
		{"undrain host <name:name>", func(ctx context.Context, s *caseRun, step *step) error { return s.drain(ctx, step, false) }},
		{"move host <name:name> to <service:name>", runMove},
		{"datacentre out <name:name>", func(ctx context.Context, s *caseRun, step *step) error {
			return s.dataCentre(ctx, step, anvilglade.DataCentreOut)
		}},
		{"datacentre in <name:name>", func(ctx context.Context, s *caseRun, step *step) error {
			return s.dataCentre(ctx, step, anvilglade.DataCentreIn)
		}},
		{"datacentre draining <name:name>", func(ctx context.Context, s *caseRun, step *step) error {
			return s.dataCentre(ctx, step, anvilglade.DataCentreDraining)
		}},
		{"cold hosts of <group:name>", runCold},
		{"fault <name:name> from <from:name> to <to:name> [both] [class :name] [loss :share] [duplicate :share] [reorder :share] [delay :duration] [jitter :duration] [partition]", runFault},
		{"clear <name:name>", func(ctx context.Context, s *caseRun, step *step) error {
			return s.fleet.clearFault(ctx, step.value("name"))
		}},
		{"api normal", func(ctx context.Context, s *caseRun, _ *step) error { return s.fleet.apiFaults(ctx, agapi.Faults{}) }},
		{"api outage", func(ctx context.Context, s *caseRun, _ *step) error {
			return s.fleet.apiFaults(ctx, agapi.Faults{Outage: true})
		}},
		{"api slow <time:duration>", func(ctx context.Context, s *caseRun, step *step) error {
			return s.fleet.apiFaults(ctx, agapi.Faults{Delay: anvilglade.Duration(step.duration("time"))})
		}},
		{"api lost <share:share>", func(ctx context.Context, s *caseRun, step *step) error {
			return s.fleet.apiFaults(ctx, agapi.Faults{LostAnswers: step.share("share")})
		}},
		{"api stale <time:duration> share <share:share>", func(ctx context.Context, s *caseRun, step *step) error {
			return s.fleet.apiFaults(ctx, agapi.Faults{StaleBy: anvilglade.Duration(step.duration("time")), StaleShare: step.share("share")})
		}},
		{"backend <name:name> [health :name] [lag :duration] [speed :number] [fail :share] [truncate :share] [reset :share] [turncold]", runBackend},
		{"edits <count:count> by <operators:count> operators [pause :duration]", runEdits},
		{"pause operator for <time:duration>", runPauseOperator},
		{"watch revisions", runWatch},
		{"rotate keys <times:count> times every <time:duration>", runRotate},
		{"settle", func(ctx context.Context, s *caseRun, _ *step) error { s.settle(ctx); return nil }},
		{"expect <measure:name> <op:op> <target:number> [unit :name] [of :name]", runExpect},
	}
}

func runSet(_ context.Context, s *caseRun, step *step) error {
	value := step.value("value")
	target := &s.fleet.settings
	parse := map[string]func() error{
		"service-time":   func() error { return parseDuration(&target.serviceTime, value) },
		"fell-over-for":  func() error { return parseDuration(&target.fellOverFor, value) },
		"drain-limit":    func() error { return parseDuration(&target.drainLimit, value) },
		"cold-initial":   func() error { return parseCount(&target.coldInitial, value) },
		"cold-step":      func() error { return parseCount(&target.coldStep, value) },
		"pool-cold-step": func() error { return parseCount(&target.poolColdStep, value) },
		"max-attempts":   func() error { return parseCount(&target.maxAttempts, value) },
		"cold-slowdown":  func() error { _, err := fmt.Sscan(value, &target.coldSlowdown); return err },
	}
	set, ok := parse[step.value("key")]
	if !ok {
		return fmt.Errorf("no setting %q, expected one of service-time, fell-over-for, drain-limit, cold-initial, cold-step, pool-cold-step, max-attempts, cold-slowdown", step.value("key"))
	}
	return set()
}

func parseDuration(target *time.Duration, text string) error {
	parsed, err := time.ParseDuration(text)
	*target = parsed
	return err
}

func parseCount(target *int, text string) error {
	_, err := fmt.Sscan(text, target)
	return err
}

func runWait(ctx context.Context, _ *caseRun, step *step) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(step.duration("time")):
		return nil
	}
}

func runMark(ctx context.Context, s *caseRun, _ *step) error {
	return s.mark(ctx)
}

func runFault(ctx context.Context, s *caseRun, step *step) error {
	return s.fleet.fault(ctx, agfabric.Fault{
		Name:      step.value("name"),
		From:      step.value("from"),
		To:        step.value("to"),
		Both:      step.has("both"),
		Class:     agfabric.Class(step.value("class")),
		Loss:      step.share("loss"),
		Duplicate: step.share("duplicate"),
		Reorder:   step.share("reorder"),
		Delay:     anvilglade.Duration(step.duration("delay")),
		Jitter:    anvilglade.Duration(step.duration("jitter")),
		Partition: step.has("partition"),
	})
}

// runBackend changes the behaviour of the backend servers of one host, of all hosts
// of a service or a data centre, or of all hosts.
func runBackend(ctx context.Context, s *caseRun, step *step) error {
	change := map[string]any{}
	if step.has("health") {
		change["Health"] = step.value("health")
	}
	if step.has("lag") {
		change["Lag"] = step.value("lag")
	}
	if step.has("speed") {
		change["Speed"] = step.number("speed")
	}
	if step.has("fail") {
		change["FailShare"] = step.share("fail")
	}
	if step.has("truncate") {
		change["TruncatedShare"] = step.share("truncate")
	}
	if step.has("reset") {
		change["ResetShare"] = step.share("reset")
	}
	if step.has("turncold") {
		change["TurnCold"] = true
	}
	selected, err := s.fleet.selectHosts(step.value("name"))
	if err != nil {
		return err
	}
	for _, item := range selected {
		if step.has("speed") {
			s.speeds[item.name] = step.number("speed")
		}
		if step.has("fail") {
			s.failShares[item.name] = step.share("fail")
		}
		if err := post(ctx, s.fleet.backendURL(item, "/control"), change); err != nil {
			return err
		}
	}
	return nil
}

func runCold(ctx context.Context, s *caseRun, step *step) error {
	selected, err := s.fleet.selectHosts(step.value("group"))
	if err != nil {
		return err
	}
	for _, item := range selected {
		if err := post(ctx, s.fleet.backendURL(item, "/control"), map[string]bool{"TurnCold": true, "Known": true}); err != nil {
			return err
		}
	}
	return nil
}
