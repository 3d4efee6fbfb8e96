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

// testCluster is one host and three balancers with a common replica.
type testCluster struct {
	clock    *manualClock
	replica  *agreplica.Replica
	monitors map[string]*Monitor
	reporter *Reporter
	previous *Reporter
	lastSent map[*Reporter][]byte
	// reachable is set if probes reach the host; probed counts the probes that
	// were sent.
	reachable bool
	probed    int
}

func newTestCluster() *testCluster {
	w := &testCluster{
		clock:    &manualClock{now: time.Unix(1_700_000_000, 0)},
		replica:  agreplica.NewReplica(),
		monitors: make(map[string]*Monitor),
		lastSent: make(map[*Reporter][]byte),
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

// probe counts a probe and delivers it if the host is reachable.
func (w *testCluster) probe(balancer string, payload []byte) error {
	w.probed++
	if !w.reachable {
		return nil
	}
	if err := w.reporter.HandleAck(payload); err != nil {
		return err
	}
	return w.monitors[balancer].HandleHeartbeat(netip.AddrPort{}, w.lastSent[w.reporter])
}

func (w *testCluster) newReporter() *Reporter {
	var reporter *Reporter
	reporter = NewReporter(ReporterOptions{
		Record: anvilglade.HostRecord{Host: "dk1-h01", DataCentre: "dk1", Incarnation: anvilglade.Incarnation(w.clock.now.UnixNano())},
		Seeds:  []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")},
		Clock:  w.clock,
		Events: agevent.NewRing("test", 16, w.clock),
		Send: func(_ netip.AddrPort, _ agheader.Kind, payload []byte) error {
			w.lastSent[reporter] = payload
			return nil
		},
	})
	return reporter
}

// receiveHeartbeats delivers two heartbeats of a reporter to each named balancer,
// because the first acknowledgement may change the record.
func (w *testCluster) receiveHeartbeats(reporter *Reporter, names ...string) {
	for _, name := range names {
		for range 2 {
			reporter.sendHeartbeat()
			_ = w.monitors[name].HandleHeartbeat(netip.AddrPort{}, w.lastSent[reporter])
		}
	}
	w.refresh()
}

func (w *testCluster) refresh() {
	for _, monitor := range w.monitors {
		monitor.refresh()
	}
}

// wait advances the clock in ticks; the named balancers receive two heartbeats
// every second.
func (w *testCluster) wait(total time.Duration, receivers ...string) {
	for elapsed := time.Duration(0); elapsed < total; elapsed += tickInterval {
		w.clock.now = w.clock.now.Add(tickInterval)
		if elapsed%time.Second == 0 && len(receivers) > 0 {
			w.receiveHeartbeats(w.reporter, receivers...)
		}
		for _, monitor := range w.monitors {
			monitor.Tick()
		}
		w.refresh()
	}
}

func (w *testCluster) runStep(step string) {
	words := strings.Fields(step)
	switch {
	case step == "all hear":
		w.receiveHeartbeats(w.reporter, "a", "b", "c")
	case step == "old hears":
		w.receiveHeartbeats(w.previous, "a", "b", "c")
	case step == "leave":
		w.reporter.SetState(anvilglade.HostLeft)
		w.receiveHeartbeats(w.reporter, "a")
	case step == "dead":
		host, _ := w.monitors["a"].view.Load().host("dk1-h01")
		host.Claim, host.State = host.Claim+1, anvilglade.HostDead
		record, err := hostToRecord(&host)
		Expect(err).NotTo(HaveOccurred())
		Expect(w.replica.Put(record)).To(BeTrue())
		// The second refresh simulates the signal after the refutation.
		w.refresh()
		w.refresh()
	case step == "reachable":
		w.reachable = true
	case step == "probed":
		Expect(w.probed).To(BeNumerically(">", 0))
	case step == "restart":
		w.clock.now = w.clock.now.Add(time.Second / 2)
		w.previous, w.reporter = w.reporter, w.newReporter()
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
			cluster := newTestCluster()
			for _, step := range c.Steps {
				cluster.runStep(step)
			}
		})
	}

	// Guards against a host that joins with a stamp below an existing one, because
	// its clock is slow, and so becomes the arbiter of existing flows.
	ginkgo.It("gives a joining host a stamp above all existing ones", func() {
		cluster := newTestCluster()
		cluster.receiveHeartbeats(cluster.reporter, "a")
		first := cluster.reporter.Record().JoinStamp
		cluster.clock.now = cluster.clock.now.Add(-time.Hour)
		late := cluster.newReporter()
		late.record.Host = "dk1-h02"
		cluster.reporter = late
		cluster.receiveHeartbeats(late, "b")
		Expect(late.Record().JoinStamp).To(BeNumerically(">", first))
	})

	// Guards against agents that forward decisions to the oldest host although its
	// data centre is out. That host drops the packets, so no new flow is placed.
	ginkgo.It("lists no member in a data centre that is out", func() {
		cluster := newTestCluster()
		cluster.receiveHeartbeats(cluster.reporter, "a")
		monitor := cluster.monitors["a"]
		tables := anvilglade.Tables{DataCentres: []anvilglade.DataCentre{{Name: "dk1", State: anvilglade.DataCentreOut}}}
		Expect(monitor.serviceMembers(monitor.view.Load(), &anvilglade.Tables{}, "alerts")).To(HaveLen(1))
		Expect(monitor.serviceMembers(monitor.view.Load(), &tables, "alerts")).To(BeEmpty())
	})

	// Guards against a balancer that declares hosts Dead because it receives
	// heartbeats from none, for instance while its control links are delayed by 10 s.
	ginkgo.It("makes no claims while it receives no heartbeats", func() {
		cluster := newTestCluster()
		for i := range 8 {
			id := anvilglade.HostID(fmt.Sprintf("dk1-h%02d", i))
			host := anvilglade.HostRecord{
				Host: id, DataCentre: "dk1", Incarnation: 1, JoinStamp: 1, State: anvilglade.HostActive, OwnState: anvilglade.HostActive,
			}
			record, err := hostToRecord(&host)
			Expect(err).NotTo(HaveOccurred())
			cluster.replica.Put(record)
		}
		cluster.refresh()
		monitor := cluster.monitors["a"]
		receiveHeartbeats := func(count int) {
			for i := range count {
				monitor.heartbeats[anvilglade.HostID(fmt.Sprintf("dk1-h%02d", i))] = cluster.clock.now
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
		receiveHeartbeats(8)
		cluster.monitors = map[string]*Monitor{"a": monitor}
		cluster.wait(20 * time.Second)
		Expect(suspects()).To(BeZero())
		for range 100 {
			cluster.clock.now = cluster.clock.now.Add(tickInterval)
			receiveHeartbeats(4)
			monitor.Tick()
			monitor.refresh()
		}
		Expect(suspects()).To(Equal(4))
	})

	// Guards against a running balancer that stays in the state Lost at the others
	// after a lost connection, and against a stopped balancer that becomes live
	// again.
	ginkgo.It("refutes a claim about itself until it stops", func() {
		cluster := newTestCluster()
		isLive := func() bool {
			cluster.refresh()
			cluster.refresh()
			for _, balancer := range cluster.monitors["c"].Members().Balancers {
				if balancer.Balancer == "a" {
					return balancer.Living
				}
			}
			return false
		}
		Expect(isLive()).To(BeTrue())
		cluster.monitors["b"].PeerLost("a")
		Expect(isLive()).To(BeTrue())
		Expect(cluster.monitors["a"].Leave()).To(Succeed())
		Expect(isLive()).To(BeFalse())
		Expect(cluster.monitors["a"].Leave()).NotTo(Succeed())
		Expect(isLive()).To(BeFalse())
	})

	// Guards against an agent that adopts an assignment of a lower revision from a
	// balancer that lags behind.
	ginkgo.It("keeps the assignment of a higher revision", func() {
		cluster := newTestCluster()
		cluster.receiveHeartbeats(cluster.reporter, "a")
		// The heartbeats of the second call arrive after the host is in the view.
		cluster.receiveHeartbeats(cluster.reporter, "a")
		assignment, ok := cluster.reporter.Assignment()
		Expect(ok).To(BeTrue())
		older := *assignment
		older.Revision = 0
		Expect(cluster.reporter.adoptAssignment(&HeartbeatAck{Assignment: &older})).To(BeFalse())
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
			t.Fatal("the error text is empty")
		}
	})
}

// BenchmarkRefresh measures the rebuild of the view for a fleet of the design
// size, and reports the resulting heartbeat interval.
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
// without a record or an assignment, including seal, UDP and IPv4 headers.
func BenchmarkHeartbeat(b *testing.B) {
	const headers = 28
	RegisterTestingT(b)
	cluster := newTestCluster()
	for range 3 {
		cluster.receiveHeartbeats(cluster.reporter, "a")
	}
	monitor := cluster.monitors["a"]
	var answer []byte
	monitor.options.Send = func(_ netip.AddrPort, _ agheader.Kind, payload []byte) error {
		answer = payload
		return nil
	}
	b.ReportAllocs()
	for b.Loop() {
		cluster.reporter.sendHeartbeat()
		if err := monitor.HandleHeartbeat(netip.AddrPort{}, cluster.lastSent[cluster.reporter]); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(cluster.lastSent[cluster.reporter])+len(answer)+2*(agseal.Overhead+headers)), "B/heartbeat")
}
