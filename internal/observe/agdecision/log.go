// Package agdecision writes one log line for each decision on a flow and limits
// the number of lines per second.
//
// Every kind of decision has a budget of lines per second. Lines beyond the
// budget are omitted and counted; the next line of the kind has the field Omitted
// with their number, so that the log shows what is missing. Rare and costly
// decisions such as resets have larger budgets than the common placement of a
// flow.
//
// # Usage
//
//	decisions := agdecision.NewLog(aglog.New("packet-balancer"))
//	if line, ok := decisions.Line(agdecision.KindReset, now); ok {
//		line.WithField("Flow", flow.String()).Info("Flow is reset.")
//	}
package agdecision

import (
	"time"

	"github.com/anvilglade/anvilglade/internal/observe/aglog"
)

// Kind is a kind of decision.
type Kind string

// Kinds of decisions.
const (
	KindPlaced   Kind = "Placed"
	KindLookup   Kind = "Lookup"
	KindReturned Kind = "Returned"
	KindRefused  Kind = "Refused"
	KindPassed   Kind = "Passed"
	KindReset    Kind = "Reset"
	KindDropped  Kind = "Dropped"
	KindOwner    Kind = "Owner"
	KindQueued   Kind = "Queued"
	// KindShifted is the placement of a flow that was shifted to another service of its
	// route.
	KindShifted Kind = "Shifted"
	// KindSplit is a change of a step that shifts flows. Its lines concern no single flow,
	// so they have the field Change instead of Decision.
	KindSplit Kind = "Split"
	// KindEjected is a host that gets no new flows. Its lines have the field Change, too.
	KindEjected Kind = "Ejected"
)

// budgets is the number of lines per second of each kind. The sum is below the
// 200 lines per second that a process may write.
var budgets = map[Kind]int{
	KindPlaced:   4,
	KindLookup:   20,
	KindReturned: 20,
	KindRefused:  20,
	KindPassed:   20,
	KindReset:    40,
	KindDropped:  10,
	KindOwner:    4,
	KindQueued:   10,
	KindShifted:  10,
	KindSplit:    20,
	KindEjected:  10,
}

// usage counts the lines of one kind.
type usage struct {
	second  int64
	written int
	omitted uint64
}

// Log writes the lines of decisions. It is not safe for concurrent use; callers
// hold the mutex of their process.
type Log struct {
	log   *aglog.Logger
	usage map[Kind]*usage
}

// NewLog returns a Log that writes its lines to a logger.
func NewLog(log *aglog.Logger) *Log {
	l := &Log{log: log, usage: make(map[Kind]*usage, len(budgets))}
	for kind := range budgets {
		l.usage[kind] = &usage{}
	}
	return l
}

// Line returns a logger for the line of a decision. It returns false if the
// budget of the kind is used up in this second; the line is then counted as
// omitted.
func (l *Log) Line(kind Kind, now time.Time) (*aglog.Logger, bool) {
	u := l.usage[kind]
	if second := now.Unix(); second != u.second {
		u.second, u.written = second, 0
	}
	if u.written >= budgets[kind] {
		u.omitted++
		return nil, false
	}
	u.written++
	line := l.log.WithField(fieldOf(kind), string(kind))
	if u.omitted > 0 {
		line = line.WithField("Omitted", u.omitted)
		u.omitted = 0
	}
	return line, true
}

// fieldOf returns the field that holds a kind.
func fieldOf(kind Kind) string {
	if kind == KindSplit || kind == KindEjected {
		return "Change"
	}
	return "Decision"
}
