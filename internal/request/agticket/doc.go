// Package agticket makes a report run at most once.
//
// A ticket names the agent process that issued it: control address and
// incarnation, a number, an expiry and a MAC. Only that process starts the
// report, and it keeps the outcome in memory. The table entry, not the clock,
// decides: a ticket without an entry never runs, so neither a pause nor a clock
// step nor a late packet can start a report a second time. Outcomes are final;
// a ticket whose report was refused stays refused, so that the caller can take
// a new ticket without fear of an earlier attempt that is still on its way.
//
// The key of the MAC is drawn at random by the issuing process. Nobody else has
// to verify a ticket: other agents only read the issuer's address. A restarted
// agent has another key and another incarnation.
//
// Memory is reserved when a ticket is issued, so an outcome can always be
// recorded. A table that is full issues no more tickets; it evicts nothing
// before its time.
//
// # Usage
//
//	table, err := agticket.NewTable(agticket.Options{Issuer: control, Incarnation: incarnation})
//	text, expiry, err := table.Issue()
//	attempt, err := table.Begin(text, agticket.Digest(method, path, body))
//	if err != nil {
//		return err // expired, invalid or reused: nothing runs
//	}
//	if attempt.First() {
//		attempt.Finish(run(attempt.Context()))
//	}
//	<-attempt.Done()
//	outcome := attempt.Outcome()
package agticket
