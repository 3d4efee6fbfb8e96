// Package aglife is the life of a request at an agent as a state machine.
//
// The states are Received, Admitted, Sent, Resent, Answered, NotRun and
// Unknown. The transitions are in life.yaml, which is embedded and interpreted
// by looplab/fsm. The table makes a false refusal impossible to state: NotRun
// is reached only while no attempt may have run. Send is recorded before the
// first byte goes out, so a failure in between ends in Unknown.
//
// # Usage
//
//	life := aglife.New()
//	defer life.Release()
//	if err := life.Do(aglife.Send); err != nil {
//		return err
//	}
//	// write the request, read the answer
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

// State is the place of a request in its life.
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

// Event moves a request to its next state.
type Event string

// Events of a request.
const (
	// Admit: the host has capacity for the request.
	Admit Event = "Admit"
	// Send: the first byte is about to go to a backend server or another agent.
	Send Event = "Send"
	// ReceiverRefused: the receiver answered that it did not run the request.
	ReceiverRefused Event = "ReceiverRefused"
	// NotReached: no connection to the receiver was made, so no byte went out.
	NotReached Event = "NotReached"
	// Resend: a repeatable request goes out again after a lost attempt.
	Resend Event = "Resend"
	// Answer: the head of the answer was accepted.
	Answer Event = "Answer"
	// Refuse: the request ends without a byte having been sent.
	Refuse Event = "Refuse"
	// Lose: no whole answer to a request that was sent.
	Lose Event = "Lose"
)

//go:embed life.yaml
var lifeYAML []byte

var chart = mustLoad(lifeYAML)

// pool keeps machines, because looplab/fsm builds its transition map anew for
// each machine.
var pool = sync.Pool{New: func() any { return &Life{machine: chart.NewMachine()} }}

// Life is the state of one request. It is safe for concurrent use.
type Life struct {
	machine *fsm.FSM
}

// New returns a request in the state Received.
func New() *Life {
	life := pool.Get().(*Life)
	life.machine.SetState(chart.Initial)
	return life
}

// Release gives the machine back. The request must not be used afterwards.
func (l *Life) Release() {
	pool.Put(l)
}

// Do applies an event. It returns an error and keeps the state if life.yaml has
// no such transition.
func (l *Life) Do(event Event) error {
	err := l.machine.Event(context.Background(), string(event))
	var same fsm.NoTransitionError
	if err == nil || errors.As(err, &same) && same.Err == nil {
		return nil
	}
	return fmt.Errorf("request in state %s: event %s: %w", l.State(), event, err)
}

// State returns the current state.
func (l *Life) State() State {
	return State(l.machine.Current())
}

// MayHaveRun reports whether a backend server may have begun the request.
func (l *Life) MayHaveRun() bool {
	return !l.machine.Can(string(Refuse)) && l.State() != NotRun
}

// mustLoad panics on a bad file: the file is part of the binary, so only a
// developer can see the failure.
func mustLoad(data []byte) *agchart.Chart {
	loaded, err := agchart.Load(data)
	if err != nil {
		panic(fmt.Sprintf("life.yaml: %v", err))
	}
	return loaded
}
