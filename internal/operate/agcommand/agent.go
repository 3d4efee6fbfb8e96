package agcommand

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/flow/agflow"
	"github.com/anvilglade/anvilglade/internal/observe/aglog"
	"github.com/anvilglade/anvilglade/internal/operate/agagent"
	"github.com/anvilglade/anvilglade/internal/operate/agsettings"
)

// agentVerb runs the agent beside a backend server.
type agentVerb struct {
	set      *agsettings.Set
	settings agagent.Settings
	log      aglog.Options
}

func newAgentVerb() Verb {
	return &agentVerb{}
}

// Bind declares the settings of an agent.
func (v *agentVerb) Bind(subcommand *flaggy.Subcommand) {
	s := &v.settings
	v.set = agsettings.NewSet(subcommand)
	v.set.Name(func(name string) { s.Host = anvilglade.HostID(name) }, "host", "name of the host", agsettings.Required)
	v.set.Name(func(name string) { s.DataCentre = anvilglade.DataCentreID(name) }, "data-centre", "data centre of the host", agsettings.Required)
	v.set.Addr(&s.AgentAddress, "agent-address", "address for datagrams of balancers and agents", agsettings.Required)
	v.set.Addr(&s.AdvertiseAgent, "advertise-agent", "agent address as others reach it, if it differs", "")
	v.set.Addr(&s.ControlAddress, "control-address", "address for requests and tickets between agents", agsettings.Required)
	v.set.Addr(&s.AdvertiseControl, "advertise-control", "control address as others reach it, if it differs", "")
	v.set.Addr(&s.AdminAddress, "admin-address", "admin listener", agsettings.Required)
	v.set.Add("backends", "backend address of each service", agsettings.Required, "SERVICE=IP:PORT,SERVICE=IP:PORT,...", v.parseBackends)
	v.set.AddrList(&s.Balancers, "balancers", "datagram addresses of balancers to start with", agsettings.Required)
	addJoinSecret(v.set, &s.JoinSecrets)
	v.set.Duration(&s.IdleTimeout, "flow-idle-timeout", "time without packets after which a plain UDP flow ends", agflow.DefaultIdleTimeout.String(), time.Second, 24*time.Hour)
	v.set.Duration(&s.Linger, "linger", "time that a stopping agent stays after it has left, for packets on their way", agagent.DefaultLinger.String(), 100*time.Millisecond, time.Minute)
	v.set.Add("ownership", "how flows get their host; baseline is for measurements", string(agflow.OwnershipArbitrated), "arbitrated or baseline", v.parseOwnership)
	v.set.Add("admission", "what limits new work; baseline is for measurements", string(agagent.AdmissionAdaptive), "adaptive or baseline", v.parseAdmission)
	addLogSettings(v.set, &v.log)
}

func (v *agentVerb) parseBackends(text string) error {
	v.settings.Backends = make(map[anvilglade.ServiceID]netip.AddrPort)
	for part := range strings.SplitSeq(text, ",") {
		name, address, ok := strings.Cut(part, "=")
		if !ok {
			return fmt.Errorf("%q has no '='", part)
		}
		if err := anvilglade.CheckName(name); err != nil {
			return err
		}
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			return err
		}
		service := anvilglade.ServiceID(name)
		if _, duplicate := v.settings.Backends[service]; duplicate {
			return fmt.Errorf("service %s appears twice", name)
		}
		v.settings.Backends[service] = parsed
	}
	return nil
}

func (v *agentVerb) parseOwnership(text string) error {
	v.settings.Ownership = agflow.Ownership(text)
	if v.settings.Ownership != agflow.OwnershipArbitrated && v.settings.Ownership != agflow.OwnershipBaseline {
		return errors.New("unknown value")
	}
	return nil
}

func (v *agentVerb) parseAdmission(text string) error {
	v.settings.Admission = agagent.Admission(text)
	if v.settings.Admission != agagent.AdmissionAdaptive && v.settings.Admission != agagent.AdmissionBaseline {
		return errors.New("unknown value")
	}
	return nil
}

// Run checks the settings, runs the agent until a signal, the end of ctx or an error,
// and returns the exit code.
func (v *agentVerb) Run(ctx context.Context) int {
	if err := v.check(); err != nil {
		fmt.Fprintln(os.Stderr, "anvilglade agent:", err)
		return ExitUsage
	}
	parts, err := agentParts(&v.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "anvilglade agent:", err)
		return ExitFailed
	}
	agent, stop, err := agagent.New(ctx, v.settings, parts)
	if err != nil {
		fmt.Fprintln(os.Stderr, "anvilglade agent:", err)
		return ExitFailed
	}
	defer stop()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := agent.Run(ctx, signals); err != nil {
		aglog.New("agent").WithError(err).Error("Agent stopped with an error.")
		return ExitFailed
	}
	return ExitDone
}

func (v *agentVerb) check() error {
	if err := v.set.Check(); err != nil {
		return err
	}
	if err := aglog.Configure(v.log); err != nil {
		return err
	}
	if !v.settings.AdvertiseAgent.IsValid() {
		v.settings.AdvertiseAgent = v.settings.AgentAddress
	}
	if !v.settings.AdvertiseControl.IsValid() {
		v.settings.AdvertiseControl = v.settings.ControlAddress
	}
	return nil
}
