// Package agexplain reads the logs of any number of processes and finds the
// decisions on a flow, at a host or around a point in time, with their inputs.
//
// Logs are JSON lines as written by the processes of packet services. Text before
// the first brace of a line is ignored; lines without valid JSON are skipped and
// counted. Files may overlap, have gaps and be given in any order. Lines are
// sorted by time. As the clocks of VMs may differ, context lines are selected with
// a margin of time around the lines of the subject.
//
// # Usage
//
//	log, err := agexplain.Read(files...)
//	if err != nil {
//		return err
//	}
//	explanation := log.Explain(agexplain.Query{Flow: "100.64.0.7:1031>198.18.0.1:443", Margin: 5 * time.Second})
//	return agevent.WriteText(os.Stdout, explanation.Events())
package agexplain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/anvilglade/anvilglade"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Names of the fields of log lines.
const (
	fieldTime     = "time"
	fieldMessage  = "msg"
	fieldLevel    = "level"
	fieldNode     = "Node"
	fieldFlow     = "Flow"
	fieldHost     = "Host"
	fieldDecision = "Decision"
	fieldOmitted  = "Omitted"
	fieldReason   = "Reason"
	fieldCause    = "Cause"
)

// Fields of a change that concerns no single flow, such as a step of a split route, and of
// a flow that was shifted to another service of its route.
const (
	fieldChange      = "Change"
	fieldRoute       = "Route"
	fieldService     = "Service"
	fieldShiftedFrom = "ShiftedFrom"
	fieldShiftStep   = "ShiftStep"
	fieldShiftCause  = "ShiftCause"
)

// Line is one log line.
type Line struct {
	Time    time.Time
	Node    string
	Message string
	Flow    string
	Host    string
	// Decision is the kind of decision, empty for lines that log no decision.
	Decision string
	// Reason is the field Reason of a balancer's decision or the field Cause of
	// an agent's.
	Reason string
	// Omitted is the number of decisions of this kind that were not logged before
	// this line.
	Omitted uint64
	// Inputs contains all other fields.
	Inputs map[string]any
}

// Log contains the lines of all files, sorted by time.
type Log struct {
	Lines []Line
	// Skipped is the number of lines that are not log lines of anvilglade.
	Skipped int
}

// Read reads all logs. It returns an error only if a reader fails or a line is
// longer than maxLineBytes.
func Read(readers ...io.Reader) (*Log, error) {
	log := &Log{}
	for _, reader := range readers {
		scanner := bufio.NewScanner(reader)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			line, ok := parse(scanner.Bytes())
			if !ok {
				log.Skipped++
				continue
			}
			log.Lines = append(log.Lines, line)
		}
		if err := scanner.Err(); err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
	}
	slices.SortStableFunc(log.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return log, nil
}

func parse(raw []byte) (Line, bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(raw[start:], &fields); err != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, text(fields, fieldTime))
	if err != nil {
		return Line{}, false
	}
	line := Line{
		Time: at, Node: text(fields, fieldNode), Message: text(fields, fieldMessage), Flow: text(fields, fieldFlow),
		Host: text(fields, fieldHost), Decision: text(fields, fieldDecision), Reason: text(fields, fieldReason) + text(fields, fieldCause),
	}
	if omitted, ok := fields[fieldOmitted].(float64); ok {
		line.Omitted = uint64(omitted)
	}
	for _, name := range []string{fieldTime, fieldMessage, fieldFlow, fieldHost, fieldDecision, fieldReason, fieldCause, fieldOmitted, fieldNode, fieldLevel} {
		delete(fields, name)
	}
	line.Inputs = fields
	return line, true
}

func text(fields map[string]any, name string) string {
	value, _ := fields[name].(string)
	return value
}

// Query selects the subject of an explanation. Exactly one of Flow, Host and At is
// set.
type Query struct {
	Flow string
	Host string
	At   time.Time
	// Margin is the time before the first and after the last line of the subject
	// from which context lines are selected.
	Margin time.Duration
}

// Explanation contains the log lines of a subject and the causes found in them.
type Explanation struct {
	Query Query
	// Lines contains the lines of the subject and of its context, sorted by time.
	Lines []Line
	// Causes lists the reasons why the subject was not served, newest last.
	Causes []string
	// Shifts lists the services to which the subject's flows were shifted and why, newest
	// last.
	Shifts []string
	// Omitted is the number of decisions and changes in the selected time that were not
	// logged, keyed by node and kind. Decisions on the subject may be among them.
	Omitted map[string]uint64
}

// Explain selects the decisions on a subject and, as context, the lines that show
// the state of the processes involved and its changes. Of context lines before the
// margin only the last one of each node and message is included.
func (l *Log) Explain(query Query) *Explanation {
	explanation := &Explanation{Query: query, Omitted: make(map[string]uint64)}
	first, last, nodes := l.extent(&query)
	if first.IsZero() {
		return explanation
	}
	from, to := first.Add(-query.Margin), last.Add(query.Margin)
	latestBefore := make(map[string]Line)
	for _, line := range l.Lines {
		subject := query.matches(&line)
		context := line.Decision == "" && (len(nodes) == 0 || nodes[line.Node])
		switch {
		case line.Time.Before(from):
			if context {
				latestBefore[line.contextKey()] = line
			}
			continue
		case line.Time.After(to):
			continue
		}
		if line.Omitted > 0 && (len(nodes) == 0 || nodes[line.Node]) {
			explanation.Omitted[line.Node+" "+line.kind()] += line.Omitted
		}
		if subject || context {
			explanation.Lines = append(explanation.Lines, line)
		}
		if subject {
			explanation.addCause(&line)
			explanation.addShift(&line)
		}
	}
	for _, line := range latestBefore {
		explanation.Lines = append(explanation.Lines, line)
	}
	slices.SortStableFunc(explanation.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return explanation
}

// kind returns the kind of a decision or of a change that concerns no single flow.
func (l *Line) kind() string {
	if change, ok := l.Inputs[fieldChange].(string); ok {
		return change
	}
	return l.Decision
}

// contextKey identifies the state that a context line shows.
func (l *Line) contextKey() string {
	key := l.Node + "/" + l.Message
	if _, ok := l.Inputs[fieldChange]; ok {
		key += fmt.Sprintf("/%v/%v/%v", l.Inputs[fieldRoute], l.Inputs[fieldService], l.Host)
	}
	return key
}

// extent returns the times of the first and last line of a subject and the nodes
// that wrote these lines or are named in them.
func (l *Log) extent(query *Query) (first, last time.Time, nodes map[string]bool) {
	nodes = make(map[string]bool)
	if !query.At.IsZero() {
		return query.At, query.At, nodes
	}
	addresses := make(map[string]bool)
	for i := range l.Lines {
		line := &l.Lines[i]
		if !query.matches(line) {
			continue
		}
		if first.IsZero() {
			first = line.Time
		}
		last = line.Time
		nodes[line.Node] = true
		collectAddresses(line.Inputs, addresses)
	}
	for i := range l.Lines {
		if address, ok := l.Lines[i].Inputs["Address"].(string); ok && addresses[address] {
			nodes[l.Lines[i].Node] = true
		}
	}
	return first, last, nodes
}

// collectAddresses adds the addresses of processes that occur in the inputs of a
// line.
func collectAddresses(inputs map[string]any, into map[string]bool) {
	for _, name := range []string{"To", "Candidates", "Agent"} {
		switch value := inputs[name].(type) {
		case string:
			into[value] = true
		case []any:
			for _, entry := range value {
				into[fmt.Sprint(entry)] = true
			}
		}
	}
}

func (q *Query) matches(line *Line) bool {
	switch {
	case q.Flow != "":
		return line.Flow == q.Flow || strings.HasPrefix(line.Flow, q.Flow+">")
	case q.Host != "":
		return line.Host == q.Host
	}
	return line.Decision != ""
}

// servedReasons lists the reasons of decisions that serve a flow.
var servedReasons = []string{"Held", "Placed", "Lookup", ""}

// addCause adds the reason of a decision that did not serve the flow, once per
// reason and node.
func (e *Explanation) addCause(line *Line) {
	if line.Decision == "" || slices.Contains(servedReasons, line.Reason) {
		return
	}
	cause := fmt.Sprintf("%s at %s: %s", line.Reason, line.Node, meaningOf(line.Reason))
	if !slices.Contains(e.Causes, cause) {
		e.Causes = append(e.Causes, cause)
	}
}

// addShift adds the shift of a flow to another service of its route, once per balancer
// and cause.
func (e *Explanation) addShift(line *Line) {
	from, shifted := line.Inputs[fieldShiftedFrom]
	if !shifted {
		return
	}
	cause := fmt.Sprint(line.Inputs[fieldShiftCause])
	shift := fmt.Sprintf("at %s from %v to %v (%v of %d new flows): %s", line.Node, from, line.Inputs[fieldService], line.Inputs[fieldShiftStep], anvilglade.MaxSplitStep, meaningOf(cause))
	if !slices.Contains(e.Shifts, shift) {
		e.Shifts = append(e.Shifts, shift)
	}
}

// Events converts the lines to events of a time line. Lines that log no decision
// have the type "State".
func (e *Explanation) Events() []anvilglade.Event {
	events := make([]anvilglade.Event, 0, len(e.Lines))
	for i := range e.Lines {
		line := &e.Lines[i]
		kind := line.Decision
		if kind == "" {
			kind = "State"
		}
		events = append(events, anvilglade.Event{
			Time: anvilglade.Timestamp(line.Time.UnixMilli() << 16), Process: anvilglade.ProcessID(line.Node), Type: anvilglade.EventType(kind),
			Host: anvilglade.HostID(line.Host), Detail: line.detail(),
		})
	}
	return events
}

// detail returns the message, the reason and the inputs of a line as one text.
func (l *Line) detail() string {
	parts := []string{l.Message}
	add := func(name string, value any) { parts = append(parts, fmt.Sprintf("%s=%v", name, value)) }
	if l.Flow != "" {
		add(fieldFlow, l.Flow)
	}
	if l.Reason != "" {
		add(fieldReason, l.Reason)
	}
	names := make([]string, 0, len(l.Inputs))
	for name := range l.Inputs {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		add(name, l.Inputs[name])
	}
	if l.Omitted > 0 {
		add(fieldOmitted, l.Omitted)
	}
	return strings.Join(parts, " ")
}
