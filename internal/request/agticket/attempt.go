package agticket

import "context"

// Attempt is one request for a report at the issuer of its ticket.
type Attempt struct {
	table    *Table
	entry    *entry
	run      *run
	first    bool
	detached bool
}

// First reports whether this attempt is the one that has to run the report.
func (a *Attempt) First() bool {
	return a.first
}

// Context returns the context of the report. It ends when the outcome is stored,
// or when the last attached attempt is detached as canceled. It does not end when
// the connection of an attempt is lost.
func (a *Attempt) Context() context.Context {
	return a.run.ctx
}

// Done returns a channel that is closed when the outcome is available.
func (a *Attempt) Done() <-chan struct{} {
	return a.run.done
}

// Outcome waits for the outcome and returns it.
func (a *Attempt) Outcome() *Outcome {
	<-a.run.done
	return a.entry.outcome
}

// Finish stores the outcome. Only the first attempt may call it; further calls
// have no effect.
func (a *Attempt) Finish(outcome Outcome) {
	a.table.finish(a.entry, outcome)
}

// Detach ends the attempt. Canceled is true if the caller canceled the report,
// and false if its connection was lost. Further calls have no effect.
func (a *Attempt) Detach(canceled bool) {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	if a.detached {
		return
	}
	a.detached = true
	a.run.attached--
	if canceled && a.run.attached == 0 {
		a.run.cancel()
	}
}
