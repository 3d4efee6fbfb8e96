// Package caller is a client for services behind anvilglade.
//
// It sends requests over HTTP/3 and retries them only if that is safe. A request
// that was refused as "not run" is sent again. For a report, the client requests
// a ticket first; every retry is sent with that ticket, on a new connection,
// until the outcome is known. A report whose outcome is unknown is never sent
// with a new ticket: the error wraps anvilglade.ErrUnknownOutcome and an operator
// has to resolve it. An alert line is opened again when its connection ends.
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
