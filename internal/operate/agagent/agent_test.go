package agagent_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/membership/agmember"
	"github.com/anvilglade/anvilglade/internal/operate/agagent"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
	"github.com/anvilglade/anvilglade/internal/packet/agseal"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
)

func TestAgent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agagent")
}

// fakeRing has one datagram key and one join key.
type fakeRing struct{}

func (fakeRing) Datagram(id anvilglade.KeyID) (anvilglade.Secret, bool) {
	return anvilglade.Secret{byte(id)}, true
}

func (fakeRing) CurrentDatagram() (anvilglade.Key, bool) {
	return anvilglade.Key{ID: 1, Secret: anvilglade.Secret{1}, State: anvilglade.KeyCurrent}, true
}

func (fakeRing) Join() anvilglade.Key {
	return anvilglade.Key{ID: anvilglade.FirstJoinKey, Secret: anvilglade.Secret{byte(anvilglade.FirstJoinKey)}}
}
func (fakeRing) ConnectionID(anvilglade.KeyID) (anvilglade.Secret, bool) {
	return anvilglade.Secret{}, false
}
func (fakeRing) CurrentConnectionID() (anvilglade.Key, bool)         { return anvilglade.Key{}, false }
func (fakeRing) Generation() uint64                                  { return 1 }
func (fakeRing) Adopt(anvilglade.KeyBundle, anvilglade.Version) bool { return false }

// fakeReporter returns an assignment that the test sets.
type fakeReporter struct {
	mu         sync.Mutex
	assignment *anvilglade.HostAssignment
	changed    chan struct{}
	states     []anvilglade.HostState
}

func (r *fakeReporter) Assignment() (*anvilglade.HostAssignment, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.assignment, r.assignment != nil
}

func (r *fakeReporter) set(assignment *anvilglade.HostAssignment) {
	r.mu.Lock()
	r.assignment = assignment
	r.mu.Unlock()
	// The second signal is received only after the first one has been enforced.
	r.changed <- struct{}{}
	r.changed <- struct{}{}
}

func (r *fakeReporter) SetState(state anvilglade.HostState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.states = append(r.states, state)
}

func (r *fakeReporter) Subscribe() (<-chan struct{}, func()) { return r.changed, func() {} }
func (*fakeReporter) Record() anvilglade.HostRecord          { return anvilglade.HostRecord{} }

func (*fakeReporter) HandleAck([]byte) error        { return nil }
func (*fakeReporter) Run(ctx context.Context) error { <-ctx.Done(); return nil }

// host is an agent under test with its fake reporter.
type host struct {
	address  netip.AddrPort
	reporter *fakeReporter
	signals  chan os.Signal
	group    *agtask.Group
}

func listen() (*net.UDPConn, netip.AddrPort) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = socket.Close() })
	return socket, socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

func freeAddress() netip.AddrPort {
	socket, address := listen()
	Expect(socket.Close()).To(Succeed())
	return address
}

// startBackend starts a backend server that answers each datagram with its name
// and the payload.
func startBackend(name string) netip.AddrPort {
	socket, address := listen()
	group, stop, err := agtask.NewGroup(context.Background())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { group.Stop(); _ = socket.Close(); stop() })
	Expect(group.Start("backend", func(ctx context.Context) error {
		buffer := make([]byte, 2048)
		for ctx.Err() == nil {
			size, from, err := socket.ReadFromUDPAddrPort(buffer)
			if err != nil {
				continue
			}
			_, _ = socket.WriteToUDPAddrPort(fmt.Appendf(nil, "%s:%s", name, buffer[:size]), from)
		}
		return nil
	})).To(Succeed())
	return address
}

func startHost(name string) *host {
	h := &host{
		address: freeAddress(), signals: make(chan os.Signal, 2),
		reporter: &fakeReporter{changed: make(chan struct{})},
	}
	agent, stop, err := agagent.New(context.Background(), agagent.Settings{
		Host: anvilglade.HostID(name), DataCentre: "dk1", AgentAddress: h.address, AdvertiseAgent: h.address,
		AdminAddress: netip.MustParseAddrPort("127.0.0.1:0"), Linger: 10 * time.Millisecond,
		Backends: map[anvilglade.ServiceID]netip.AddrPort{"alerts": startBackend(name)},
	}, agagent.Parts{Keys: fakeRing{}, NewReporter: func(options agmember.ReporterOptions) agagent.Reporter {
		h.reporter.assignment = &anvilglade.HostAssignment{Members: []anvilglade.ServiceMember{{Incarnation: options.Record.Incarnation}}}
		return h.reporter
	}})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(stop)
	h.group, stop, err = agtask.NewGroup(context.Background())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(stop)
	Expect(h.group.Start("agent", func(ctx context.Context) error { return agent.Run(ctx, h.signals) })).To(Succeed())
	return h
}

// startHosts starts agents; the first one is the oldest.
func startHosts(names ...string) []*host {
	hosts := make([]*host, len(names))
	members := make([]anvilglade.ServiceMember, len(names))
	for i, name := range names {
		hosts[i] = startHost(name)
		members[i] = anvilglade.ServiceMember{
			Host: anvilglade.HostID(name), Incarnation: hosts[i].reporter.assignment.Members[0].Incarnation, State: anvilglade.HostActive,
			DataCentre: "dk1", AgentAddress: hosts[i].address, JoinStamp: anvilglade.JoinStamp(i + 1), Accepts: true,
		}
	}
	for _, h := range hosts {
		h.reporter.set(&anvilglade.HostAssignment{Revision: 1, DataCentreState: anvilglade.DataCentreIn, Service: "alerts", Members: members})
	}
	return hosts
}

// balancer sends Lookup datagrams and reads replies.
type balancer struct {
	socket  *net.UDPConn
	address netip.AddrPort
	sealer  *agseal.Sealer
	opener  *agseal.Opener
}

func startBalancer() *balancer {
	socket, address := listen()
	sealer, err := agseal.NewSealer(fakeRing{})
	Expect(err).NotTo(HaveOccurred())
	return &balancer{socket: socket, address: address, sealer: sealer, opener: agseal.NewOpener(fakeRing{})}
}

func (b *balancer) lookup(port uint16, text string, candidates ...*host) {
	caller := netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), port)
	service := anvilglade.ServiceID("alerts").Number()
	header := agheader.Header{
		Service: service, Protocol: anvilglade.ProtocolUDP, Flow: anvilglade.NewFlowKey(service, caller),
		Caller: caller, ServiceAddress: netip.MustParseAddrPort("127.100.0.1:7001"), Balancer: b.address,
	}
	for _, candidate := range candidates {
		header.Candidates = append(header.Candidates, anvilglade.Candidate{Address: candidate.address, Accepts: true})
	}
	plain, err := agheader.Append(nil, &header)
	Expect(err).NotTo(HaveOccurred())
	sealed, err := b.sealer.Seal(nil, agheader.KindLookup, append(plain, text...))
	Expect(err).NotTo(HaveOccurred())
	_, err = b.socket.WriteToUDPAddrPort(sealed, candidates[0].address)
	Expect(err).NotTo(HaveOccurred())
}

// reply returns the next reply and its caller.
func (b *balancer) reply() (string, netip.AddrPort) {
	Expect(b.socket.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	buffer := make([]byte, 4096)
	size, _, err := b.socket.ReadFromUDPAddrPort(buffer)
	Expect(err).NotTo(HaveOccurred())
	kind, plain, reason := b.opener.Open(nil, buffer[:size])
	Expect(reason).To(Equal(anvilglade.DropNone))
	Expect(kind).To(Equal(agheader.KindReply))
	var header agheader.Header
	payload, err := agheader.Parse(plain, &header)
	Expect(err).NotTo(HaveOccurred())
	return string(payload), header.Caller
}

var _ = Describe("Agent", func() {
	// Guards against flows that change their host between packets, and against
	// answers that are sent to another caller or to no balancer.
	It("places a flow, keeps it on its host and answers through the balancer", func() {
		hosts := startHosts("h1", "h2", "h3")
		b, other := startBalancer(), startBalancer()
		b.lookup(1000, "one", hosts[1], hosts[2], hosts[0])
		first, caller := b.reply()
		Expect(caller.Port()).To(Equal(uint16(1000)))
		owner := first[:2]
		Expect(first).To(Equal(owner + ":one"))
		for i := range 5 {
			other.lookup(1000, fmt.Sprint(i), hosts[2], hosts[1], hosts[0])
			answer, _ := other.reply()
			Expect(answer).To(Equal(fmt.Sprintf("%s:%d", owner, i)))
		}
	})

	// Guards against a graceful stop that ends flows early, accepts new flows or
	// never completes.
	It("stops gracefully and keeps flows until the drain limit", func() {
		hosts := startHosts("h1")
		b := startBalancer()
		b.lookup(1000, "one", hosts[0])
		_, _ = b.reply()
		assignment, _ := hosts[0].reporter.Assignment()
		limited := *assignment
		limited.Pool.DrainLimit = anvilglade.Duration(2500 * time.Millisecond)
		hosts[0].reporter.set(&limited)
		hosts[0].signals <- os.Interrupt
		Eventually(func() []anvilglade.HostState {
			hosts[0].reporter.mu.Lock()
			defer hosts[0].reporter.mu.Unlock()
			return hosts[0].reporter.states
		}, "10s").Should(ContainElement(anvilglade.HostDraining))
		b.lookup(2000, "new", hosts[0])
		b.lookup(1000, "two", hosts[0])
		answer, caller := b.reply()
		Expect(answer).To(Equal("h1:two"))
		Expect(caller.Port()).To(Equal(uint16(1000)))
		Expect(hosts[0].group.Wait()).To(Succeed())
		Expect(hosts[0].reporter.states).To(Equal([]anvilglade.HostState{anvilglade.HostDraining, anvilglade.HostLeft}))
	})

	// Guards against a process that cannot be stopped while it drains.
	It("stops at once on a second signal", func() {
		hosts := startHosts("h1")
		hosts[0].signals <- os.Interrupt
		hosts[0].signals <- os.Interrupt
		Expect(hosts[0].group.Wait()).To(MatchError(agagent.ErrStoppedAtOnce))
	})

	// Guards against packets that are delivered to a backend server after its data
	// centre was taken out of service.
	It("drops all packets when its data centre is out", func() {
		hosts := startHosts("h1")
		b := startBalancer()
		b.lookup(1000, "one", hosts[0])
		_, _ = b.reply()
		assignment, _ := hosts[0].reporter.Assignment()
		out := *assignment
		out.DataCentreState = anvilglade.DataCentreOut
		hosts[0].reporter.set(&out)
		Eventually(func() bool {
			b.lookup(1000, "two", hosts[0])
			Expect(b.socket.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
			_, _, err := b.socket.ReadFromUDPAddrPort(make([]byte, 4096))
			return err != nil
		}, "10s").Should(BeTrue())
	})
})
