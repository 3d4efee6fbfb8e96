package agmember

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.yaml.in/yaml/v3"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
	"github.com/anvilglade/anvilglade/internal/packet/agseal"
	"github.com/anvilglade/anvilglade/internal/state/agreplica"
)

func TestMember(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "agmember")
}

type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

// testWorld is one host and three balancers that share a replica.
type testWorld struct {
	clock    *manualClock
	replica  *agreplica.Replica
	monitors map[string]*Monitor
	reporter *Reporter
	old      *Reporter
	sent     map[*Reporter][]byte
	// reachable is set if probes reach the host; probed counts them.
	reachable bool
	probed    int
}

func newTestWorld() *testWorld {
	w := &testWorld{
		clock:    &manualClock{now: time.Unix(1_700_000_000, 0)},
		replica:  agreplica.NewReplica(),
		monitors: make(map[string]*Monitor),
		sent:     make(map[*Reporter][]byte),
	}
	w.reporter = w.newReporter()
	configuration := &anvilglade.Configuration{Revision: 1}
	for _, name := range []string{"a", "b", "c"} {
		monitor, err := NewMonitor(MonitorOptions{
			Self: anvilglade.BalancerRecord{
				Balancer: anvilglade.BalancerID(name), DataCentre: "dk1", DatagramAddress: netip.MustParseAddrPort("127.0.0.1:2"),
			},
			Replica:       w.replica,
			Clock:         w.clock,
			Events:        agevent.NewRing("test", 16, w.clock),
			Configuration: func() *anvilglade.Configuration { return configuration },
			Service:       func(anvilglade.HostID) (anvilglade.ServiceID, bool) { return "alerts", true },
			Keys:          func() (anvilglade.KeyBundle, anvilglade.Version) { return anvilglade.KeyBundle{}, 1 },
			Send: func(_ netip.AddrPort, _ agheader.Kind, payload []byte) error {
				if ack, err := parseHeartbeatAck(payload); err == nil && ack.ReplyTo.IsValid() {
					return w.probe(name, payload)
				}
				return w.reporter.HandleAck(payload)
			},
		})
		Expect(err).NotTo(HaveOccurred())
		w.monitors[name] = monitor
	}
	return w
}

// probe delivers a probe if the host can be reached.
func (w *testWorld) probe(balancer string, payload []byte) error {
	w.probed++
	if !w.reachable {
		return nil
	}
	if err := w.reporter.HandleAck(payload); err != nil {
		return err
	}
	return w.monitors[balancer].HandleHeartbeat(netip.AddrPort{}, w.sent[w.reporter])
}

func (w *testWorld) newReporter() *Reporter {
	var reporter *Reporter
	reporter = NewReporter(ReporterOptions{
		Record: anvilglade.HostRecord{Host: "dk1-h01", DataCentre: "dk1", Incarnation: anvilglade.Incarnation(w.clock.now.UnixNano())},
		Seeds:  []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")},
		Clock:  w.clock,
		Events: agevent.NewRing("test", 16, w.clock),
		Send: func(_ netip.AddrPort, _ agheader.Kind, payload []byte) error {
			w.sent[reporter] = payload
			return nil
		},
	})
	return reporter
}

// hear gives a balancer one heartbeat of a reporter, and once more when the
// answer changed the record.
func (w *testWorld) hear(reporter *Reporter, names ...string) {
	for _, name := range names {
		for range 2 {
			reporter.beat()
			_ = w.monitors[name].HandleHeartbeat(netip.AddrPort{}, w.sent[reporter])
		}
	}
	w.refresh()
}

func (w *testWorld) refresh() {
	for _, monitor := range w.monitors {
		monitor.refresh()
	}
}

// wait moves the clock in ticks; the named balancers hear the host in each
// second.
func (w *testWorld) wait(total time.Duration, heardBy ...string) {
	for elapsed := time.Duration(0); elapsed < total; elapsed += tickInterval {
		w.clock.now = w.clock.now.Add(tickInterval)
		if elapsed%time.Second == 0 && len(heardBy) > 0 {
			w.hear(w.reporter, heardBy...)
		}
		for _, monitor := range w.monitors {
			monitor.Tick()
		}
		w.refresh()
	}
}

func (w *testWorld) do(step string) {
	words := strings.Fields(step)
	switch {
	case step == "all hear":
		w.hear(w.reporter, "a", "b", "c")
	case step == "old hears":
		w.hear(w.old, "a", "b", "c")
	case step == "leave":
		w.reporter.SetState(anvilglade.HostLeft)
		w.hear(w.reporter, "a")
	case step == "dead":
		host, _ := w.monitors["a"].view.Load().host("dk1-h01")
		host.Claim, host.State = host.Claim+1, anvilglade.HostDead
		record, err := hostToRecord(&host)
		Expect(err).NotTo(HaveOccurred())
		Expect(w.replica.Put(record)).To(BeTrue())
		// The second refresh stands for the signal of the refutation.
		w.refresh()
		w.refresh()
	case step == "reachable":
		w.reachable = true
	case step == "probed":
		Expect(w.probed).To(BeNumerically(">", 0))
	case step == "restart":
		w.clock.now = w.clock.now.Add(time.Second / 2)
		w.old, w.reporter = w.reporter, w.newReporter()
	case words[0] == "claims":
		host, _ := w.monitors["a"].view.Load().host("dk1-h01")
		allowed, err := strconv.Atoi(words[1])
		Expect(err).NotTo(HaveOccurred())
		Expect(int(host.Claim)).To(BeNumerically("<=", allowed))
	case words[0] == "wait":
		w.wait(parseStepDuration(words[1]))
	case words[0] == "pause":
		w.clock.now = w.clock.now.Add(parseStepDuration(words[2]))
		w.wait(time.Second)
	case words[0] == "beat":
		w.wait(parseStepDuration(words[len(words)-1]), words[1:len(words)-1]...)
	case words[0] == "state":
		for name, monitor := range w.monitors {
			host, ok := monitor.view.Load().host("dk1-h01")
			Expect(ok).To(BeTrue())
			Expect(string(host.State)).To(Equal(words[1]), fmt.Sprintf("at balancer %s", name))
		}
	default:
		ginkgo.Fail(fmt.Sprintf("unknown step %q", step))
	}
}

func parseStepDuration(text string) time.Duration {
	parsed, err := time.ParseDuration(text)
	Expect(err).NotTo(HaveOccurred())
	return parsed
}

var _ = ginkgo.Describe("Monitor", func() {
	var cases []struct {
		Name   string   `yaml:"Name"`
		Guards string   `yaml:"Guards"`
		Steps  []string `yaml:"Steps"`
	}
	data, err := os.ReadFile("testdata/life.yaml")
	if err != nil {
		panic(err)
	}
	if err := yaml.Unmarshal(data, &cases); err != nil {
		panic(err)
	}
	for _, c := range cases {
		ginkgo.It(c.Name+": guards against "+c.Guards, func() {
			world := newTestWorld()
			for _, step := range c.Steps {
				world.do(step)
			}
		})
	}

	// Guards against a host that joins with a stamp below one that is known, by
	// a slow clock, and so would become the arbiter of existing flows.
	ginkgo.It("gives a joining host a stamp above all known ones", func() {
		world := newTestWorld()
		world.hear(world.reporter, "a")
		first := world.reporter.Record().JoinStamp
		world.clock.now = world.clock.now.Add(-time.Hour)
		late := world.newReporter()
		late.record.Host = "dk1-h02"
		world.reporter = late
		world.hear(late, "b")
		Expect(late.Record().JoinStamp).To(BeNumerically(">", first))
	})

	// Guards against agents that hand decisions to the oldest host although its
	// data centre is out; it drops them, so no new flow found a host.
	ginkgo.It("lists no member in a data centre that is out", func() {
		world := newTestWorld()
		world.hear(world.reporter, "a")
		monitor := world.monitors["a"]
		tables := anvilglade.Tables{DataCentres: []anvilglade.DataCentre{{Name: "dk1", State: anvilglade.DataCentreOut}}}
		Expect(monitor.serviceMembers(monitor.view.Load(), &anvilglade.Tables{}, "alerts")).To(HaveLen(1))
		Expect(monitor.serviceMembers(monitor.view.Load(), &tables, "alerts")).To(BeEmpty())
	})

	// Guards against a balancer that is cut off from everybody and takes its own
	// silence for that of the hosts; balancers whose control links were 10 s late
	// had declared nearly every host dead.
	ginkgo.It("claims nothing while it hears nobody", func() {
		world := newTestWorld()
		for i := range 8 {
			id := anvilglade.HostID(fmt.Sprintf("dk1-h%02d", i))
			host := anvilglade.HostRecord{
				Host: id, DataCentre: "dk1", Incarnation: 1, JoinStamp: 1, State: anvilglade.HostActive, OwnState: anvilglade.HostActive,
			}
			record, err := hostToRecord(&host)
			Expect(err).NotTo(HaveOccurred())
			world.replica.Put(record)
		}
		world.refresh()
		monitor := world.monitors["a"]
		hear := func(count int) {
			for i := range count {
				monitor.heard[anvilglade.HostID(fmt.Sprintf("dk1-h%02d", i))] = world.clock.now
			}
		}
		suspects := func() int {
			found := 0
			for _, host := range monitor.Members().Hosts {
				if host.State == anvilglade.HostSuspect || host.State == anvilglade.HostDead {
					found++
				}
			}
			return found
		}
		hear(8)
		world.monitors = map[string]*Monitor{"a": monitor}
		world.wait(20 * time.Second)
		Expect(suspects()).To(BeZero())
		for range 100 {
			world.clock.now = world.clock.now.Add(tickInterval)
			hear(4)
			monitor.Tick()
			monitor.refresh()
		}
		Expect(suspects()).To(Equal(4))
	})

	// Guards against a living balancer that stays dead after a lost connection,
	// and against one that comes back after it has stopped.
	ginkgo.It("refutes a claim about itself until it stops", func() {
		world := newTestWorld()
		living := func() bool {
			world.refresh()
			world.refresh()
			for _, balancer := range world.monitors["c"].Members().Balancers {
				if balancer.Balancer == "a" {
					return balancer.Living
				}
			}
			return false
		}
		Expect(living()).To(BeTrue())
		world.monitors["b"].PeerLost("a")
		Expect(living()).To(BeTrue())
		Expect(world.monitors["a"].Leave()).To(Succeed())
		Expect(living()).To(BeFalse())
		Expect(world.monitors["a"].Leave()).NotTo(Succeed())
		Expect(living()).To(BeFalse())
	})

	// Guards against a lower revision that an agent takes from a balancer that
	// lags behind.
	ginkgo.It("keeps assignment of a higher revision", func() {
		world := newTestWorld()
		world.hear(world.reporter, "a")
		// The second heartbeat comes after the host is in the view.
		world.hear(world.reporter, "a")
		assignment, ok := world.reporter.Assignment()
		Expect(ok).To(BeTrue())
		older := *assignment
		older.Revision = 0
		Expect(world.reporter.adopt(&HeartbeatAck{Assignment: &older})).To(BeFalse())
	})
})

// FuzzHeartbeat guards against a heartbeat that crashes the decoder.
func FuzzHeartbeat(f *testing.F) {
	f.Add([]byte{0xa1, 0x64, 'H', 'o', 's', 't', 0x61, 'h'})
	f.Add([]byte{0xa1, 0x66, 'R', 'e', 'c', 'o', 'r', 'd', 0xa0})
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		heartbeat, err := parseHeartbeat(data)
		if err == nil && heartbeat.Record != nil && heartbeat.Record.Host != heartbeat.Host {
			t.Fatal("a record of another host was accepted")
		}
		if _, err := parseHeartbeatAck(data); err != nil && err.Error() == "" {
			t.Fatal("an error has no text")
		}
	})
}

// BenchmarkRefresh measures the rebuild of the view at the design size after
// one change.
func BenchmarkRefresh(b *testing.B) {
	clock := &manualClock{now: time.Unix(1_700_000_000, 0)}
	replica := agreplica.NewReplica()
	for i := range 4200 {
		host := anvilglade.HostRecord{
			Host: anvilglade.HostID(fmt.Sprintf("h%04d", i)), DataCentre: anvilglade.DataCentreID(fmt.Sprintf("dc%d", i%10)),
			State: anvilglade.HostActive, Incarnation: 1, JoinStamp: anvilglade.JoinStamp(i),
		}
		record, err := hostToRecord(&host)
		if err != nil {
			b.Fatal(err)
		}
		replica.Put(record)
	}
	for i := range 519 {
		balancer := anvilglade.BalancerRecord{
			Balancer: anvilglade.BalancerID(fmt.Sprintf("b%03d", i)), Living: true,
			DataCentre: anvilglade.DataCentreID(fmt.Sprintf("dc%d", i%10)),
		}
		record, err := balancerToRecord(&balancer)
		if err != nil {
			b.Fatal(err)
		}
		replica.Put(record)
	}
	monitor, err := NewMonitor(MonitorOptions{
		Self: anvilglade.BalancerRecord{Balancer: "self", DataCentre: "dc0"}, Replica: replica, Clock: clock,
		Events: agevent.NewRing("test", 16, clock),
	})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		monitor.refresh()
	}
	b.ReportMetric(float64(monitor.view.Load().interval.Milliseconds()), "heartbeat-ms")
}

// BenchmarkHeartbeat measures the size of a heartbeat and its acknowledgement
// when nothing has changed, with seal, UDP and IPv4 headers.
func BenchmarkHeartbeat(b *testing.B) {
	const headers = 28
	RegisterTestingT(b)
	world := newTestWorld()
	for range 3 {
		world.hear(world.reporter, "a")
	}
	monitor := world.monitors["a"]
	var answer []byte
	monitor.options.Send = func(_ netip.AddrPort, _ agheader.Kind, payload []byte) error {
		answer = payload
		return nil
	}
	b.ReportAllocs()
	for b.Loop() {
		world.reporter.beat()
		if err := monitor.HandleHeartbeat(netip.AddrPort{}, world.sent[world.reporter]); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(world.sent[world.reporter])+len(answer)+2*(agseal.Overhead+headers)), "B/heartbeat")
}
