package agcommand

// The balancer subcommand parses the settings, creates the dependencies of
// agbalancer and runs it until it receives a signal. The first SIGTERM or SIGINT
// stops it gracefully, a second one at once.

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agadmin"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
	"github.com/anvilglade/anvilglade/internal/observe/aglog"
	"github.com/anvilglade/anvilglade/internal/operate/agbalancer"
	"github.com/anvilglade/anvilglade/internal/operate/agsettings"
	"github.com/anvilglade/anvilglade/internal/routing/agbalance"
)

const (
	eventRingSize = 4096
)

// balancerSettings are the settings of the balancer subcommand.
type balancerSettings struct {
	options       agbalancer.Options
	peer          netip.AddrPort
	advertisePeer netip.AddrPort
	admin         netip.AddrPort
	api           netip.AddrPort
	platform      string
	platformToken string
	seeds         []netip.AddrPort
	joinSecrets   []anvilglade.Secret
	log           aglog.Options
}

type balancerVerb struct {
	settings balancerSettings
	set      *agsettings.Set
}

func newBalancerVerb() Verb {
	return &balancerVerb{}
}

// Bind declares the settings of a balancer.
func (v *balancerVerb) Bind(subcommand *flaggy.Subcommand) {
	s, set := &v.settings, agsettings.NewSet(subcommand)
	v.set = set
	set.Name(func(text string) { s.options.Balancer = anvilglade.BalancerID(text) }, "id", "name of the balancer", agsettings.Required)
	set.Name(func(text string) { s.options.DataCentre = anvilglade.DataCentreID(text) }, "data-centre", "data centre of the balancer", agsettings.Required)
	set.Add("ingress-host", "IP on which service ports are bound instead of the IP of the route", "", "IP", func(text string) error {
		parsed, err := netip.ParseAddr(text)
		s.options.IngressHost = parsed
		return err
	})
	set.Addr(&s.options.DatagramAddress, "datagram-address", "address for datagrams of agents", agsettings.Required)
	set.Addr(&s.options.AdvertiseDatagram, "advertise-datagram", "datagram address as agents see it", "")
	set.Addr(&s.peer, "peer-address", "address for replication between balancers", agsettings.Required)
	set.Addr(&s.advertisePeer, "advertise-peer", "peer address as other balancers see it", "")
	set.Addr(&s.admin, "admin-address", "admin listener", "127.0.0.1:7900")
	set.Addr(&s.api, "api-address", "listener of the administration API over HTTPS, off if empty", "")
	set.Add("platform", "URL of the object API", agsettings.Required, "http://HOST:PORT or https://HOST:PORT", func(text string) error {
		parsed, err := url.Parse(text)
		if err != nil {
			return err
		}
		if parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
			return errors.New("not an HTTP URL")
		}
		s.platform = text
		return nil
	})
	set.Text(&s.platformToken, "platform-token", "bearer token for the object API", "")
	set.AddrList(&s.seeds, "seeds", "peer addresses of other balancers", "")
	addJoinSecret(set, &s.joinSecrets)
	set.Add("routing", "routing decision; baseline is for measurements", string(agbalance.ModeLookup), "lookup or baseline", func(text string) error {
		mode, err := agbalance.ParseMode(text)
		s.options.Routing = mode
		return err
	})
	set.Duration(&s.options.DrainTime, "drain-time", "time between the first signal and the closing of the service addresses", agbalancer.DrainTime.String(), 0, 10*agbalancer.DrainTime)
	addLogSettings(set, &s.log)
}

// Run checks the settings, runs the balancer and returns the exit code.
func (v *balancerVerb) Run(ctx context.Context) int {
	if err := v.set.Check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	if err := aglog.Configure(v.settings.log); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	if err := runBalancer(ctx, &v.settings); err != nil {
		fmt.Fprintln(os.Stderr, "anvilglade balancer:", err)
		return ExitFailed
	}
	return ExitDone
}

// runBalancer creates the balancer with its admin listener and runs it until a
// signal stops it.
func runBalancer(ctx context.Context, settings *balancerSettings) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	clock := anvilglade.SystemClock{}
	events := agevent.NewRing(anvilglade.ProcessID("balancer/"+settings.options.Balancer), eventRingSize, clock)
	settings.setAdvertiseDefaults()
	parts, closeParts, err := newBalancerParts(ctx, settings, events, clock)
	if err != nil {
		return err
	}
	defer closeParts()
	if parts.Tasks == nil {
		parts.Tasks = make(map[string]func(context.Context) error)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	var balancer *agbalancer.Balancer
	admin := agadmin.NewServer(agadmin.Options{
		Address: settings.admin,
		Events:  events,
		Ready:   func() error { return balancer.Ready() },
		Status: func() any {
			status, _ := balancer.Status().(agbalancer.Status)
			return balancerStatus{Status: status, KeysVersion: keysVersion(parts.Keys)}
		},
	})
	admin.Handle("GET /members", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(balancer.Members())
	}))
	parts.Tasks["admin"] = admin.Run
	closeAPI, err := addAdminAPI(settings, &parts, events, func() *anvilglade.Members { return balancer.Members() })
	if err != nil {
		return err
	}
	defer closeAPI()
	parts.Tasks["signals"] = func(ctx context.Context) error {
		return handleSignals(ctx, signals, func() { balancer.Shutdown() }, cancel)
	}
	balancer, closeBalancer, err := agbalancer.NewBalancer(ctx, settings.options, parts)
	if err != nil {
		return err
	}
	defer closeBalancer()
	expvar.Publish("Balancer", balancer.Vars())
	events.Record(anvilglade.Event{Type: agevent.ProcessStarted})
	return balancer.Run(ctx)
}

// balancerStatus is the answer of a balancer to /status. The operators' commands
// read Revision and KeysVersion; see processStatus.
type balancerStatus struct {
	agbalancer.Status
	KeysVersion anvilglade.Version
}

// keysVersion returns the version of the key bundle in effect, 0 for key rings
// without versions.
func keysVersion(ring anvilglade.KeyRing) anvilglade.Version {
	if versioned, ok := ring.(interface{ Version() anvilglade.Version }); ok {
		return versioned.Version()
	}
	return 0
}

// setAdvertiseDefaults sets advertised addresses that are missing to the
// addresses of the listeners.
func (s *balancerSettings) setAdvertiseDefaults() {
	if !s.options.AdvertiseDatagram.IsValid() {
		s.options.AdvertiseDatagram = s.options.DatagramAddress
	}
	if !s.advertisePeer.IsValid() {
		s.advertisePeer = s.peer
	}
}

// handleSignals calls first at the first signal and second at the next one. It
// returns the error of ctx if that ends before.
func handleSignals(ctx context.Context, signals <-chan os.Signal, first, second func()) error {
	for _, handle := range []func(){first, second} {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-signals:
			handle()
		}
	}
	return nil
}
