package agadmit_test

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/admission/agadmit"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agadmit")
}

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

const service = anvilglade.ServiceID("alerts")

func newHost(clock *fakeClock, pool anvilglade.Pool) *agadmit.Host {
	host, stop, err := agadmit.NewHost(agadmit.Options{Clock: clock})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(stop)
	host.SetPool(service, pool)
	return host
}

// player runs one script. A line holds a command, its arguments and, after "->", the
// expected decision.
type player struct {
	clock *fakeClock
	host  *agadmit.Host
	ends  map[string]func(anvilglade.Outcome)
	flows map[string]func()
}

var commands = map[string]func(p *player, arguments []string) string{
	"Pool": func(p *player, arguments []string) string {
		number := func(i int) int {
			value, err := strconv.Atoi(arguments[i])
			Expect(err).NotTo(HaveOccurred())
			return value
		}
		p.host.SetPool(service, anvilglade.Pool{
			Service: service, Slots: anvilglade.Slots(number(0)), Connections: anvilglade.Connections(number(1)),
			ColdStart: anvilglade.ColdStart{InitialConcurrency: anvilglade.Slots(number(2)), CompletionsPerStep: number(3)},
		})
		return ""
	},
	"Start": func(p *player, arguments []string) string {
		refusal, done := p.host.StartRequest(service)
		p.ends[arguments[0]] = done
		return decision(refusal)
	},
	"End": func(p *player, arguments []string) string {
		p.ends[arguments[0]](anvilglade.Outcome(arguments[1]))
		return ""
	},
	"Open": func(p *player, arguments []string) string {
		refusal, release := p.host.OpenFlow(service)
		p.flows[arguments[0]] = release
		return decision(refusal)
	},
	"Release": func(p *player, arguments []string) string {
		p.flows[arguments[0]]()
		return ""
	},
	"Advance": func(p *player, arguments []string) string {
		p.advance(arguments[0])
		return ""
	},
	// Work runs a number of requests one after another.
	"Work": func(p *player, arguments []string) string {
		count, err := strconv.Atoi(arguments[0])
		Expect(err).NotTo(HaveOccurred())
		for range count {
			refusal, done := p.host.StartRequest(service)
			Expect(refusal).To(Equal(anvilglade.RefusalNone))
			p.advance(arguments[1])
			done(anvilglade.OutcomeAnswered)
		}
		return ""
	},
	"Close": func(p *player, arguments []string) string {
		p.host.SetClosed(anvilglade.Refusal(arguments[0]))
		return ""
	},
	"Reopen": func(p *player, _ []string) string {
		p.host.SetClosed(anvilglade.RefusalNone)
		return ""
	},
	"RefusedConnection": func(p *player, _ []string) string {
		p.host.RefusedConnection()
		return ""
	},
	"Limit":       func(p *player, _ []string) string { return strconv.Itoa(p.host.State().Limit) },
	"Cold":        func(p *player, _ []string) string { return strconv.FormatBool(p.host.State().Cold) },
	"Utilisation": func(p *player, _ []string) string { return strconv.Itoa(int(p.host.Utilisation())) },
}

func (p *player) advance(text string) {
	duration, err := time.ParseDuration(text)
	Expect(err).NotTo(HaveOccurred())
	p.clock.now = p.clock.now.Add(duration)
}

func decision(refusal anvilglade.Refusal) string {
	if refusal == anvilglade.RefusalNone {
		return "Admitted"
	}
	return string(refusal)
}

var _ = Describe("Host", func() {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil {
		panic(err)
	}
	for _, file := range files {
		// The first lines of each script state the failure that it guards against.
		It("follows "+filepath.Base(file), func() {
			text, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			clock := &fakeClock{now: time.Unix(1_800_000_000, 0)}
			host, stop, err := agadmit.NewHost(agadmit.Options{Clock: clock})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(stop)
			p := &player{clock: clock, host: host, ends: map[string]func(anvilglade.Outcome){}, flows: map[string]func(){}}
			for number, line := range strings.Split(string(text), "\n") {
				command, expected, _ := strings.Cut(line, "->")
				fields := strings.Fields(command)
				if len(fields) == 0 || fields[0] == "#" {
					continue
				}
				Expect(commands).To(HaveKey(fields[0]))
				Expect(commands[fields[0]](p, fields[1:])).To(Equal(strings.TrimSpace(expected)), "line %d: %s", number+1, line)
			}
		})
	}
})

var _ = Describe("Baseline", func() {
	// Guards against a baseline that applies limits of its own.
	It("admits all work while the server reports that it is healthy", func() {
		baseline := agadmit.NewBaseline()
		for range 100 {
			refusal, _ := baseline.StartRequest(service)
			Expect(refusal).To(Equal(anvilglade.RefusalNone))
		}
		baseline.Report(false, 700)
		refusal, _ := baseline.OpenFlow(service)
		Expect(refusal).To(Equal(anvilglade.RefusalLimit))
		Expect(baseline.Utilisation()).To(Equal(anvilglade.Utilisation(700)))
	})
})
