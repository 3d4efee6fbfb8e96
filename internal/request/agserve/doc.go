// Package agserve is the agent's front end for QUIC services: HTTP/3 towards
// callers, HTTP/1.1 over loopback towards the backend server.
//
// A request is admitted, sent, answered, or refused; nothing waits in a queue.
// A refusal says "not run" only while internal/request/aglife allows it. An
// answer counts as whole when the backend server's framing ended as it
// announced; anything else resets the caller's stream. A request that this host
// has no capacity for is offered to at most two other hosts of the service over
// HTTP/3 with mutual TLS. GET and HEAD may be repeated on another host within a
// retry budget. Reports run under tickets, see internal/request/agticket.
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
