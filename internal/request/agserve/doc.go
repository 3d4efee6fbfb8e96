// Package agserve is the agent's reverse proxy for QUIC services: HTTP/3 towards
// callers, HTTP/1.1 over loopback towards the backend server.
//
// Requests are not queued: each one is either admitted and sent, or refused. A
// refusal reports "not run" only if the lifecycle of internal/request/aglife
// allows it. A response is complete when the framing of the backend server ends
// as announced; otherwise the caller's stream is reset or the caller receives a
// problem. A request for which this host has no capacity is offered to at most
// two other hosts of the service over HTTP/3 with mutual TLS. GET and HEAD may
// be retried on another host within a retry budget. A response of unknown length
// is an alert line: a long-lived stream that is passed on as it arrives. A report
// is a request with a ticket, see internal/request/agticket.
//
// # Usage
//
//	server, closeServer, err := agserve.NewServer(agserve.Options{
//		Service:  "alerts",
//		Conn:     conn,
//		TLS:      tlsConfig,
//		Backend:  netip.MustParseAddrPort("127.0.0.1:9001"),
//		Admitter: admitter,
//		Tickets:  tickets,
//		Peers:    peers,
//	})
//	if err != nil {
//		return err
//	}
//	defer closeServer()
//	if err := group.Start("requests", server.Run); err != nil {
//		return err
//	}
//	// on a signal
//	err = server.Drain(ctx)
package agserve
