package agtask

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// headerTimeout is the time within which a client must send the header of its
// request.
const headerTimeout = 5 * time.Second

// ServeHTTP serves a handler on an IPv4 TCP address until the context ends, and
// then returns the context's error. It returns another error if it cannot listen
// or the server fails.
func ServeHTTP(ctx context.Context, address string, handler http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return fmt.Errorf("listen on TCP address %s: %w", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %s: %w", address, err)
	}
	return ctx.Err()
}
