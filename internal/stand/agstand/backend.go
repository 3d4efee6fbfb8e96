package agstand

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/anvilglade/anvilglade/internal/operate/agsettings"
	"github.com/anvilglade/anvilglade/internal/stand/agbackend"
)

type backendVerb struct {
	set     *agsettings.Set
	options agbackend.Options
	seed    int
}

func newBackendVerb() Verb {
	return &backendVerb{}
}

// Bind adds the settings of the backend server.
func (v *backendVerb) Bind(subcommand *flaggy.Subcommand) {
	const many = 1 << 20
	v.set = agsettings.NewSet(subcommand)
	v.set.Name(func(name string) { v.options.Host = name }, "host", "name of the host", agsettings.Required)
	v.set.Add("services", "services and their addresses", agsettings.Required, "NAME=IP:PORT,...", v.parseServices)
	v.set.Int(&v.options.Slots, "slots", "requests at once", "4", 1, many)
	v.set.Int(&v.options.Connections, "connections", "alert lines at once, 0 is no limit", "2000", 0, many)
	v.set.Duration(&v.options.ServiceTime, "service-time", "work on one request", "20ms", 0, time.Hour)
	v.set.Int(&v.options.ColdInitial, "cold-initial", "requests at once of a cold server, 0 starts warm", "0", 0, many)
	v.set.Int(&v.options.ColdStep, "cold-step", "completed requests for one more at once", "8", 1, many)
	v.set.Add("cold-slowdown", "factor on the service time of a cold server", "1", "1 or more", v.parseSlowdown)
	v.set.Duration(&v.options.FellOverFor, "fell-over-for", "time without answers after falling over", "3s", 0, time.Hour)
	v.set.Int(&v.seed, "seed", "seed of the faults", "1", 0, 1<<31-1)
}

func (v *backendVerb) parseServices(text string) error {
	for part := range strings.SplitSeq(text, ",") {
		name, address, found := strings.Cut(part, "=")
		if !found {
			return fmt.Errorf("%q has no '='", part)
		}
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			return err
		}
		v.options.Services = append(v.options.Services, agbackend.Service{Name: name, Address: parsed})
	}
	return nil
}

func (v *backendVerb) parseSlowdown(text string) error {
	parsed, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return err
	}
	v.options.ColdSlowdown = parsed
	return nil
}

// Run serves until ctx ends.
func (v *backendVerb) Run(ctx context.Context) int {
	if err := v.set.Check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	v.options.Seed = uint64(v.seed)
	return exitCode("backend", agbackend.NewServer(v.options).Run(ctx))
}
