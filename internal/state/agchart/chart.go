// Package agchart loads state machines from YAML files and interprets them with
// looplab/fsm.
//
// A file has the initial state and the transitions. A package embeds its file,
// loads it once and checks each change of state against it, so that the allowed
// transitions are defined in one place and not in conditions across the code.
//
// # Usage
//
//	//go:embed host.yaml
//	var hostChart []byte
//
//	chart, err := agchart.Load(hostChart)
//	if err != nil {
//		return err
//	}
//	if !chart.Allows("Active", "Suspect") {
//		return fmt.Errorf("...")
//	}
//	machine := chart.NewMachine()
//	err = machine.Event(ctx, "Activate")
package agchart

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/looplab/fsm"
	"go.yaml.in/yaml/v3"
)

// Chart is a state machine as defined by its data file.
type Chart struct {
	Name        string       `yaml:"Name"`
	Initial     string       `yaml:"Initial"`
	Transitions []Transition `yaml:"Transitions"`
}

// Transition is an event that changes each of the states in From to the state To.
type Transition struct {
	Event string   `yaml:"Event"`
	From  []string `yaml:"From"`
	To    string   `yaml:"To"`
}

// Load parses a data file. It returns an error for unknown fields, for a chart
// without a name or an initial state and for transitions that lack a field.
func Load(data []byte) (*Chart, error) {
	chart := new(Chart)
	decoder := yaml.NewDecoder(strings.NewReader(string(data)))
	decoder.KnownFields(true)
	if err := decoder.Decode(chart); err != nil {
		return nil, fmt.Errorf("parse state chart: %w", err)
	}
	if chart.Name == "" || chart.Initial == "" {
		return nil, errors.New("state chart needs Name and Initial")
	}
	for i, t := range chart.Transitions {
		if t.Event == "" || len(t.From) == 0 || t.To == "" {
			return nil, fmt.Errorf("state chart %s: transition %d needs Event, From and To", chart.Name, i+1)
		}
	}
	return chart, nil
}

// NewMachine returns a machine in the initial state.
func (c *Chart) NewMachine() *fsm.FSM {
	return c.NewMachineAt(c.Initial)
}

// NewMachineAt returns a machine in the given state. It does not check that the
// chart has this state.
func (c *Chart) NewMachineAt(state string) *fsm.FSM {
	events := make(fsm.Events, 0, len(c.Transitions))
	for _, t := range c.Transitions {
		events = append(events, fsm.EventDesc{Name: t.Event, Src: t.From, Dst: t.To})
	}
	return fsm.NewFSM(state, events, fsm.Callbacks{})
}

// Allows reports whether the chart has a transition for the event from the state.
func (c *Chart) Allows(state, event string) bool {
	return slices.ContainsFunc(c.Transitions, func(t Transition) bool {
		return t.Event == event && slices.Contains(t.From, state)
	})
}

// Mermaid returns the chart as a Mermaid state diagram.
func (c *Chart) Mermaid() string {
	var b strings.Builder
	fmt.Fprintf(&b, "stateDiagram-v2\n    [*] --> %s\n", c.Initial)
	for _, t := range c.Transitions {
		for _, from := range t.From {
			fmt.Fprintf(&b, "    %s --> %s: %s\n", from, t.To, t.Event)
		}
	}
	return b.String()
}
