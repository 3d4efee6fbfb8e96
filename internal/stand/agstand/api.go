package agstand

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/anvilglade/anvilglade/internal/operate/agsettings"
	"github.com/anvilglade/anvilglade/internal/stand/agapi"
)

const (
	maxRate           = 1_000_000
	readHeaderTimeout = 5 * time.Second
)

// apiVerb runs the test double of the object API.
type apiVerb struct {
	settings *agsettings.Set
	address  netip.AddrPort
	reads    int
	writes   int
}

func newAPIVerb() Verb {
	return &apiVerb{}
}

// Bind adds the settings of the object API.
func (v *apiVerb) Bind(subcommand *flaggy.Subcommand) {
	v.settings = agsettings.NewSet(subcommand)
	v.settings.Addr(&v.address, "address", "listener of the object API", "127.0.0.1:7000")
	v.settings.Int(&v.reads, "reads", "allowed reads a second", "2000", 1, maxRate)
	v.settings.Int(&v.writes, "writes", "allowed writes a second", "300", 1, maxRate)
}

// Run serves until ctx ends. It prints the address that it listens on, because
// port 0 selects a free port.
func (v *apiVerb) Run(ctx context.Context) int {
	if err := v.settings.Check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", v.address.String())
	if err != nil {
		fmt.Fprintln(os.Stderr, "agstand api:", err)
		return ExitFailed
	}
	fmt.Println("listening on", listener.Addr())
	handler := agapi.NewServer(agapi.Options{ReadsPerSecond: float64(v.reads), WritesPerSecond: float64(v.writes)})
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		fmt.Fprintln(os.Stderr, "agstand api:", err)
		return ExitFailed
	}
	return ExitDone
}
