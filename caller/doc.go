// Package caller is a client for services behind anvilglade.
//
// It sends requests over HTTP/3 and keeps the rules that make them safe. What
// was refused as "not run" is sent again. A report gets a ticket first; every
// retry goes out under that ticket, on a new connection, until its outcome is
// known. A report whose outcome is unknown is never sent as a new one: the
// error wraps anvilglade.ErrUnknownOutcome and a person has to settle it. An
// alert line is opened again when it breaks.
//
// # Usage
//
//	client, closeClient, err := caller.New(caller.Options{Address: "alerts.example:443"})
//	if err != nil {
//		return err
//	}
//	defer closeClient()
//	answer, err := client.Report(ctx, "/reports", "application/json", body)
//	switch {
//	case errors.Is(err, anvilglade.ErrUnknownOutcome):
//		// may have run: do not send it again
//	case errors.Is(err, anvilglade.ErrNotRun):
//		// did not run: may be sent again
//	case err != nil:
//		return err
//	}
package caller
