package agticket

import "context"

// Attempt is one arrival of a report at its issuer.
type Attempt struct {
	table *Table
	entry *entry
	run   *run
	first bool
	left  bool
}

// First reports whether this attempt has to run the report.
func (a *Attempt) First() bool {
	return a.first
}

// Context ends when the report is finished, or when its caller has canceled it
// in every attempt. It does not end with the connection of an attempt.
func (a *Attempt) Context() context.Context {
	return a.run.ctx
}

// Done is closed when the outcome is there.
func (a *Attempt) Done() <-chan struct{} {
	return a.run.done
}

// Outcome returns the outcome after Done is closed.
func (a *Attempt) Outcome() *Outcome {
	<-a.run.done
	return a.entry.outcome
}

// Finish stores the outcome. Only the first attempt may call it; only its first
// call counts.
func (a *Attempt) Finish(outcome Outcome) {
	a.table.finish(a.entry, outcome)
}

// Leave ends the attempt. Canceled is true if the caller itself gave up the
// report, not if its connection was lost. Only the first call counts.
func (a *Attempt) Leave(canceled bool) {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	if a.left {
		return
	}
	a.left = true
	a.run.waiting--
	if canceled && a.run.waiting == 0 {
		a.run.cancel()
	}
}
