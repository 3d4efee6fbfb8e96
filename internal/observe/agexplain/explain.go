// Package agexplain reads the logs of any number of processes and finds what
// happened to a flow, at a host or around a moment, and with which inputs.
//
// Logs are JSON lines, as the processes of packet services write them; text in
// front of a line's first brace and lines that are no JSON are skipped and
// counted. Files may overlap, have gaps and come in any order. Clocks of VMs may
// differ: the lines are put in the order of their times, and lines of the
// context are taken from a margin around the subject.
//
// # Usage
//
//	log, err := agexplain.Read(files...)
//	story := log.Explain(agexplain.Query{Flow: "100.64.0.7:1031>198.18.0.1:443", Margin: 5 * time.Second})
//	story.WriteText(os.Stdout)
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

// maxLine bounds a log line, in bytes.
const maxLine = 1 << 20

// Names of fields that the processes write.
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

// Line is one log line.
type Line struct {
	Time    time.Time
	Node    string
	Message string
	Flow    string
	Host    string
	// Decision is the kind of a decision, empty for other lines.
	Decision string
	// Reason is the reason of a balancer's or the cause of an agent's decision.
	Reason  string
	Omitted uint64
	// Inputs are all further fields.
	Inputs map[string]any
}

// Log is the lines of all files in the order of their times.
type Log struct {
	Lines []Line
	// Skipped counts lines that are no log lines of ours.
	Skipped int
}

// Read reads logs. An error is one of a reader.
func Read(readers ...io.Reader) (*Log, error) {
	log := &Log{}
	for _, reader := range readers {
		scanner := bufio.NewScanner(reader)
		scanner.Buffer(nil, maxLine)
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

// Query is the subject of an explanation. One of Flow, Host and At is set.
type Query struct {
	Flow string
	Host string
	At   time.Time
	// Margin is the time before and after the subject's lines from which the
	// context is taken.
	Margin time.Duration
}

// Explanation is what the logs say of a subject.
type Explanation struct {
	Query Query
	// Lines are the subject's lines and those of their context.
	Lines []Line
	// Causes are the reasons for which the subject was not served, the newest
	// last.
	Causes []string
	// Omitted counts by node and kind the decisions that the logs left out in
	// this time; the subject may be among them.
	Omitted map[string]uint64
}

// Explain selects the lines of a subject, with what its processes believed and
// how that changed.
func (l *Log) Explain(query Query) *Explanation {
	story := &Explanation{Query: query, Omitted: make(map[string]uint64)}
	first, last, nodes := l.extent(&query)
	if first.IsZero() {
		return story
	}
	from, to := first.Add(-query.Margin), last.Add(query.Margin)
	before := make(map[string]Line)
	for _, line := range l.Lines {
		subject := query.matches(&line)
		context := line.Decision == "" && (len(nodes) == 0 || nodes[line.Node])
		switch {
		case line.Time.Before(from):
			if context {
				before[line.Node+"/"+line.Message] = line
			}
			continue
		case line.Time.After(to):
			continue
		}
		if line.Omitted > 0 && (len(nodes) == 0 || nodes[line.Node]) {
			story.Omitted[line.Node+" "+line.Decision] += line.Omitted
		}
		if subject || context {
			story.Lines = append(story.Lines, line)
		}
		if subject {
			story.addCause(&line)
		}
	}
	for _, line := range before {
		story.Lines = append(story.Lines, line)
	}
	slices.SortStableFunc(story.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return story
}

// extent returns the time from the first to the last line of a subject and the
// nodes that wrote them or are named in them.
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

// collectAddresses adds the addresses of processes in a line's inputs.
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

// usual are the reasons of decisions by which a flow is served.
var usual = []string{"Held", "Placed", "Lookup", ""}

// addCause notes why a decision did not serve the flow.
func (s *Explanation) addCause(line *Line) {
	if line.Decision == "" || slices.Contains(usual, line.Reason) {
		return
	}
	explanation, ok := explanations[line.Reason]
	if !ok {
		explanation = "see the line"
	}
	cause := fmt.Sprintf("%s at %s: %s", line.Reason, line.Node, explanation)
	if !slices.Contains(s.Causes, cause) {
		s.Causes = append(s.Causes, cause)
	}
}

// explanations say in a sentence what a reason means.
var explanations = map[string]string{
	"NoRoute":        "the desired state in effect has no route for the service address; compare Version with the operators'",
	"NoHost":         "no host of the service took new flows: draining, cold, evacuated, silent or in another region",
	"NoDesiredState": "the balancer had just started and had no desired state yet",
	"AllRefused":     "every host that was asked refused; the Passed and Refused lines of the agents say why",
	"HeldNowhere":    "no host holds the flow any more: its host has ended or restarted",
	"HostLost":       "the agent of the flow's host has been silent for longer than a restart takes",
	"UnknownFlow":    "the balancer does not know the flow and a search goes on",
	"Draining":       "the host had announced that it leaves",
	"Evacuated":      "operators evacuate the host's data centre",
	"Cold":           "the host has just started and takes only as many flows a second as its service allows",
	"NoHeartbeat":    "the agent has not heard its host, or not for three heartbeats",
	"StaleState":     "the agent has heard no balancer lately and does not know the evacuations",
	"Gone":           "the host has ended",
	"service moved":  "the address belongs to another service now",

	"the host has lost the flow":               "the host has restarted since the flow was opened",
	"returned by the host":                     "the host could not accept the flow, or does not hold it",
	"returned under an unknown tag":            "the agent has restarted since it delivered the packet",
	"host resets a flow that it was asked for": "the host was starting or ending; the search goes on elsewhere",
}

// Events returns the lines as events of the time line.
func (s *Explanation) Events() []anvilglade.Event {
	events := make([]anvilglade.Event, 0, len(s.Lines))
	for i := range s.Lines {
		line := &s.Lines[i]
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

// detail puts the message, the reason and the inputs of a line into one text.
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
