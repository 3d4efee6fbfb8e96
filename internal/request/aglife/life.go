// Package aglife implements the lifecycle of a request at an agent as a state
// machine.
//
// The states are Received, Admitted, Sent, Resent, Answered, NotRun and
// Unknown. The transitions are in life.yaml, which is embedded and interpreted
// by looplab/fsm. NotRun is reachable only while no attempt can have run, so an
// agent cannot report "not run" for a request that may have run. Send is applied
// before the first byte is written, so a failure in between ends in Unknown.
//
// # Usage
//
//	life := aglife.New()
//	defer life.Release()
//	if err := life.Do(aglife.Send); err != nil {
//		return err
//	}
//	// write the request, read the response
//	if err := life.Do(aglife.Answer); err != nil {
//		return err
//	}
package aglife

import (
	"context"
	_ "embed" // for life.yaml
	"errors"
	"fmt"
	"sync"

	"github.com/looplab/fsm"

	"github.com/anvilglade/anvilglade/internal/state/agchart"
)

// State is a state in the lifecycle of a request.
type State string

// States of a request.
const (
	Received State = "Received"
	Admitted State = "Admitted"
	Sent     State = "Sent"
	Resent   State = "Resent"
	Answered State = "Answered"
	NotRun   State = "NotRun"
	Unknown  State = "Unknown"
)

// Event triggers a transition to another state.
type Event string

// Events of a request.
const (
	// Admit: the host has capacity for the request.
	Admit Event = "Admit"
	// Send: the first byte is about to be written to a backend server or another
	// agent.
	Send Event = "Send"
	// ReceiverRefused: the receiver responded that it did not run the request.
	ReceiverRefused Event = "ReceiverRefused"
	// NotReached: no connection to the receiver was established, so no byte was
	// sent.
	NotReached Event = "NotReached"
	// Resend: a retryable request (GET or HEAD) is sent again after a failed
	// attempt.
	Resend Event = "Resend"
	// Answer: a complete response was received.
	Answer Event = "Answer"
	// Refuse: the request ends as not run. Either no byte was sent, or the
	// receiver responded that it did not run the request.
	Refuse Event = "Refuse"
	// Lose: the request was sent and no complete response was received.
	Lose Event = "Lose"
)

//go:embed life.yaml
var lifeYAML []byte

var chart = mustLoad(lifeYAML)

// pool reuses state machines, because looplab/fsm builds a new transition map
// for each one.
var pool = sync.Pool{New: func() any { return &Lifecycle{machine: chart.NewMachine()} }}

// Lifecycle is the state machine of one request. It is safe for concurrent use.
type Lifecycle struct {
	machine *fsm.FSM
}

// New returns a request in the state Received.
func New() *Lifecycle {
	lifecycle := pool.Get().(*Lifecycle)
	lifecycle.machine.SetState(chart.Initial)
	return lifecycle
}

// Release returns the state machine to the pool. The Lifecycle must not be used
// afterwards.
func (l *Lifecycle) Release() {
	pool.Put(l)
}

// Do applies an event. If life.yaml has no transition for the event in the
// current state, it returns an error and the state does not change.
func (l *Lifecycle) Do(event Event) error {
	err := l.machine.Event(context.Background(), string(event))
	var noTransition fsm.NoTransitionError
	if err == nil || errors.As(err, &noTransition) && noTransition.Err == nil {
		return nil
	}
	return fmt.Errorf("request in state %s: event %s: %w", l.State(), event, err)
}

// State returns the current state.
func (l *Lifecycle) State() State {
	return State(l.machine.Current())
}

// MayHaveRun reports whether a backend server may have started to process the
// request.
func (l *Lifecycle) MayHaveRun() bool {
	return !l.machine.Can(string(Refuse)) && l.State() != NotRun
}

// mustLoad parses the state chart. It panics on an invalid chart, because the
// chart is embedded in the binary and only a developer can break it.
func mustLoad(data []byte) *agchart.Chart {
	loaded, err := agchart.Load(data)
	if err != nil {
		panic(fmt.Sprintf("life.yaml: %v", err))
	}
	return loaded
}
