package agexplain

// Why callers were served late or not at all in a span of time. The decisions of all
// processes are counted by cause in steps of equal length, including those that the
// budgets of the logs omitted.

import (
	"slices"
	"time"
)

// Effect is the cause of a delay or a failure that callers see.
type Effect string

// Effects, in the order of their columns.
const (
	// EffectNoState: a balancer had started and had no desired state yet.
	EffectNoState Effect = "NoState"
	// EffectSearch: the holder of a flow was searched for, which delays its packets.
	EffectSearch Effect = "Search"
	// EffectFlowLost: a flow was reset because its host no longer held it. A request
	// that must not be repeated fails then.
	EffectFlowLost Effect = "FlowLost"
	// EffectBusy: a host had too many requests, so the opening packet was passed on.
	EffectBusy Effect = "Busy"
	// EffectCold: a cold host had received as many flows as its service allows.
	EffectCold Effect = "Cold"
	// EffectNotReady: a host took no flows for another reason: no heartbeat, outdated
	// evacuations, draining or evacuated.
	EffectNotReady Effect = "NotReady"
	// EffectRefused: no host took the flow, which was reset.
	EffectRefused Effect = "Refused"
)

// Effects lists all effects in the order of their columns.
var Effects = []Effect{EffectNoState, EffectSearch, EffectFlowLost, EffectBusy, EffectCold, EffectNotReady, EffectRefused}

// Span is a span of time that is divided into steps.
type Span struct {
	From, To time.Time
	Step     time.Duration
}

// Step is the part of a Span that starts at Start.
type Step struct {
	Start time.Time
	// Started is the number of processes that started.
	Started uint64
	// Counts has the number of decisions by effect.
	Counts map[Effect]uint64
}

// startMessages are the messages of processes that start.
var startMessages = []string{"packet-balancer: Balancer has started.", "packet-agent: Agent has started."}

// CountEffects counts the decisions in a span by effect. The decisions that the log
// omitted are counted in the step of the next line of their kind and process, as if
// they had its reason.
func (l *Log) CountEffects(span Span) []Step {
	var steps []Step
	for start := span.From; start.Before(span.To); start = start.Add(span.Step) {
		steps = append(steps, Step{Start: start, Counts: make(map[Effect]uint64)})
	}
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Time.Before(span.From) || !line.Time.Before(span.To) {
			continue
		}
		step := &steps[line.Time.Sub(span.From)/span.Step]
		if slices.Contains(startMessages, line.Message) {
			step.Started++
		}
		if effect := reasons[line.Reason].effect; effect != "" && line.Decision != "" {
			step.Counts[effect] += 1 + line.Omitted
		}
	}
	return steps
}
