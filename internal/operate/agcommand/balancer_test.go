package agcommand

import (
	"context"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/integrii/flaggy"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade/internal/routing/agbalance"
)

func parseBalancer(args ...string) (*balancerVerb, error) {
	verb, subcommand, parser := &balancerVerb{}, flaggy.NewSubcommand("balancer"), flaggy.NewParser("anvilglade")
	verb.Bind(subcommand)
	parser.AttachSubcommand(subcommand, 1)
	if err := parser.ParseArgs(append([]string{"balancer"}, args...)); err != nil {
		return nil, err
	}
	return verb, verb.set.Check()
}

// TestBalancerSettings guards against wrong defaults, such as the baseline
// routing.
func TestBalancerSettings(t *testing.T) {
	g := NewWithT(t)
	verb, err := parseBalancer("--id", "b1", "--data-centre", "dk1", "--datagram-address", "127.0.0.1:7800",
		"--peer-address", "127.0.0.1:7801", "--platform", "http://127.0.0.1:7000", "--join-secret", strings.Repeat("ab", 32))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(verb.settings.options.Routing).To(Equal(agbalance.ModeLookup))
	g.Expect(verb.settings.joinSecrets).To(HaveLen(1))
	g.Expect(verb.settings.options.IngressHost.IsValid()).To(BeFalse())
}

// TestBalancerSettingsFaults guards against an error that names only the first
// invalid setting.
func TestBalancerSettingsFaults(t *testing.T) {
	g := NewWithT(t)
	_, err := parseBalancer("--routing", "maglev", "--ingress-host", "dk1", "--join-secret", "abc", "--platform", "7000")
	g.Expect(err).To(HaveOccurred())
	for _, name := range []string{"--id", "--data-centre", "--datagram-address", "--peer-address", "--platform", "--join-secret", "--routing", "--ingress-host"} {
		g.Expect(err.Error()).To(ContainSubstring("setting " + name + " "))
	}
}

// TestHandleSignals guards against a second signal that has no effect during a
// graceful stop.
func TestHandleSignals(t *testing.T) {
	g := NewWithT(t)
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGTERM
	signals <- syscall.SIGTERM
	var calls []string
	note := func(name string) func() {
		return func() { calls = append(calls, name) }
	}
	g.Expect(handleSignals(context.Background(), signals, note("graceful"), note("at once"))).To(Succeed())
	g.Expect(calls).To(Equal([]string{"graceful", "at once"}))
}
