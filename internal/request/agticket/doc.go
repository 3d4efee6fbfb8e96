// Package agticket ensures that a report runs at most once.
//
// A ticket contains the control address and the incarnation of the agent process
// that issued it, a number, an expiry and a MAC. Only that process runs the
// report, and it stores the outcome in memory. The entry in its table decides
// whether a report may run, not the clock: a report whose ticket has no entry
// never runs, so neither a pause of the process nor a step of the clock nor a
// delayed packet can run a report a second time. Outcomes are final: a ticket
// whose report was refused stays refused, so the caller can use a new ticket even
// if an earlier attempt is still in transit.
//
// The issuing process generates the key of the MAC at random. No other process
// has to verify a ticket: other agents only read the issuer's address. A
// restarted agent has another key and another incarnation.
//
// Memory is reserved when a ticket is issued, so an outcome can always be
// recorded. A full table issues no tickets; it does not evict entries before
// they expire.
//
// # Usage
//
//	table, err := agticket.NewTable(agticket.Options{Issuer: control, Incarnation: incarnation})
//	text, expiry, err := table.Issue()
//	attempt, err := table.Begin(text, agticket.Digest(method, path, body))
//	if err != nil {
//		return err // expired, invalid or reused: the report does not run
//	}
//	if attempt.First() {
//		attempt.Finish(run(attempt.Context()))
//	}
//	<-attempt.Done()
//	outcome := attempt.Outcome()
package agticket
