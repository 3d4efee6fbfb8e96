// Package agdecision writes one log line for each decision that touches a flow,
// within a bounded volume.
//
// Every kind of decision has a budget of lines a second. What goes beyond it is
// counted, and the next line of the kind says how many were left out, so the
// log itself tells what it lacks. Rare and costly decisions such as resets have
// larger budgets than the usual placement of a flow.
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
)

// budgets are the lines a second of each kind. Their sum is below the 200 lines
// a second that a process may write.
var budgets = map[Kind]int{
	KindPlaced:   4,
	KindLookup:   20,
	KindReturned: 20,
	KindRefused:  20,
	KindPassed:   20,
	KindReset:    40,
	KindDropped:  10,
	KindOwner:    4,
}

type usage struct {
	second  int64
	written int
	omitted uint64
}

// Log writes decisions. It is not safe for concurrent use; tasks hold the mutex
// of their process.
type Log struct {
	log   *aglog.Logger
	usage map[Kind]*usage
}

// NewLog returns a Log that writes through a logger.
func NewLog(log *aglog.Logger) *Log {
	l := &Log{log: log, usage: make(map[Kind]*usage, len(budgets))}
	for kind := range budgets {
		l.usage[kind] = &usage{}
	}
	return l
}

// Line returns the line for a decision, or false if it is beyond the budget of
// its kind and only counted.
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
	line := l.log.WithField("Decision", string(kind))
	if u.omitted > 0 {
		line = line.WithField("Omitted", u.omitted)
		u.omitted = 0
	}
	return line, true
}
