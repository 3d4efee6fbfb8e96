package agbalancer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
	"github.com/anvilglade/anvilglade/internal/packet/agseal"
	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
	"github.com/anvilglade/anvilglade/internal/routing/agbalance"
	"github.com/anvilglade/anvilglade/internal/routing/agtable"
)

func TestBalancer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agbalancer")
}

// fakeRing has one datagram key and one join key.
type fakeRing struct{ anvilglade.KeyRing }

func (fakeRing) Datagram(id anvilglade.KeyID) (anvilglade.Secret, bool) {
	return anvilglade.Secret{byte(id)}, id == 1 || id == anvilglade.FirstJoinKey
}
func (fakeRing) CurrentDatagram() (anvilglade.Key, bool) {
	return anvilglade.Key{ID: 1, Secret: anvilglade.Secret{1}}, true
}
func (fakeRing) Join() anvilglade.Key {
	return anvilglade.Key{ID: anvilglade.FirstJoinKey, Secret: anvilglade.Secret{byte(anvilglade.FirstJoinKey)}}
}
func (fakeRing) ConnectionID(anvilglade.KeyID) (anvilglade.Secret, bool) {
	return anvilglade.Secret{}, false
}
func (fakeRing) CurrentConnectionID() (anvilglade.Key, bool) { return anvilglade.Key{}, false }
func (fakeRing) Generation() uint64                          { return 0 }

// fakeReplica holds the configuration of the test; its records have no payload.
type fakeReplica struct {
	anvilglade.Replica
	mu            sync.Mutex
	configuration anvilglade.Configuration
	changed       chan struct{}
}

func (r *fakeReplica) Get(kind anvilglade.RecordKind, _ string) (anvilglade.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	version := anvilglade.Version(r.configuration.Revision)
	return anvilglade.Record{Kind: kind, Version: version}, kind == anvilglade.RecordConfiguration && version > 0
}

func (r *fakeReplica) Subscribe(kind anvilglade.RecordKind) (<-chan struct{}, func()) {
	if kind == anvilglade.RecordConfiguration {
		return r.changed, func() {}
	}
	return nil, func() {}
}

func (r *fakeReplica) set(routes ...anvilglade.Route) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configuration = anvilglade.Configuration{Revision: r.configuration.Revision + 1, Tables: anvilglade.Tables{Routes: routes}}
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

func (r *fakeReplica) decode(anvilglade.Record) (*anvilglade.Configuration, agtable.ServiceOf, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	configuration := r.configuration
	return &configuration, func(anvilglade.HostID) (anvilglade.ServiceID, bool) { return "alerts", true }, nil
}

// fakeHeartbeats answers each heartbeat with its own payload.
type fakeHeartbeats struct {
	send    SendFunc
	members anvilglade.Members
}

func (h *fakeHeartbeats) HandleHeartbeat(from netip.AddrPort, payload []byte) error {
	return h.send(from, agheader.KindHeartbeatAck, payload)
}
func (h *fakeHeartbeats) Members() *anvilglade.Members { return &h.members }
func (h *fakeHeartbeats) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// rig is a balancer with one agent, whose messages the test sends and receives.
type rig struct {
	balancer *Balancer
	replica  *fakeReplica
	agent    *agsocket.Socket
	sealer   *agseal.Sealer
	opener   *agseal.Opener
	result   chan error
	cancel   context.CancelFunc
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func newRig(drainTime time.Duration) (*rig, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &rig{replica: &fakeReplica{changed: make(chan struct{}, 1)}, opener: agseal.NewOpener(fakeRing{}), result: make(chan error, 1), cancel: cancel}
	var err error
	r.sealer, err = agseal.NewSealer(fakeRing{})
	must(err)
	var closeAgent, closeBalancer func()
	r.agent, closeAgent, err = agsocket.Listen(ctx, loopback)
	must(err)
	heartbeats := &fakeHeartbeats{members: anvilglade.Members{Hosts: []anvilglade.HostRecord{
		{Host: "dk1-h01", State: anvilglade.HostActive, AgentAddress: r.agent.Local(), JoinStamp: 1},
		{Host: "dk1-h02", State: anvilglade.HostDead, AgentAddress: netip.MustParseAddrPort("127.0.0.1:9"), JoinStamp: 2},
	}}}
	r.balancer, closeBalancer, err = NewBalancer(ctx, Options{Balancer: "b1", DatagramAddress: loopback, Routing: agbalance.ModeLookup, DrainTime: drainTime}, Parts{
		Keys: fakeRing{}, Replica: r.replica, Events: agevent.NewRing("balancer/b1", 16, anvilglade.SystemClock{}), Clock: anvilglade.SystemClock{},
		Decode:    r.replica.decode,
		AdoptKeys: func(anvilglade.Record) error { return nil },
		NewHeartbeats: func(send SendFunc) (Heartbeats, error) {
			heartbeats.send = send
			return heartbeats, nil
		},
	})
	must(err)
	var running sync.WaitGroup
	running.Go(func() { r.result <- r.balancer.Run(ctx) })
	return r, func() {
		cancel()
		running.Wait()
		closeBalancer()
		closeAgent()
	}
}

func freeAddress() netip.AddrPort {
	socket, closeSocket, err := agsocket.Listen(context.Background(), loopback)
	must(err)
	closeSocket()
	return socket.Local()
}

func (r *rig) count(name string) uint64 {
	return r.balancer.counters.snapshot(r.balancer.opener.Drops())[name]
}

func (r *rig) receive(reader *agsocket.Reader) (agheader.Kind, []byte, netip.AddrPort) {
	packets, err := reader.Read()
	must(err)
	kind, plaintext, drop := r.opener.Open(nil, packets[0].Data)
	Expect(drop).To(Equal(anvilglade.DropNone))
	return kind, plaintext, packets[0].From
}

func (r *rig) sendFromAgent(kind agheader.Kind, plaintext []byte) {
	datagram, err := r.sealer.Seal(nil, kind, plaintext)
	must(err)
	must(r.agent.WriteTo(datagram, r.balancer.DatagramAddress()))
}

var _ = Describe("Balancer", func() {
	var r *rig
	var address netip.AddrPort
	var caller net.Conn

	BeforeEach(func() {
		var stop func()
		r, stop = newRig(0)
		DeferCleanup(stop)
		address = freeAddress()
		r.replica.set(anvilglade.Route{Address: address, Protocol: anvilglade.ProtocolUDP, Service: "alerts"})
		Eventually(r.balancer.Ready).WithTimeout(10 * time.Second).Should(Succeed())
		Eventually(func() any { return r.balancer.ingresses.find(address) }).WithTimeout(10 * time.Second).ShouldNot(BeNil())
		var err error
		caller, err = net.Dial("udp4", address.String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = caller.Close() })
		Expect(caller.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	})

	// lookup sends a packet and returns the header that the agent receives.
	lookup := func() agheader.Header {
		GinkgoHelper()
		_, err := caller.Write([]byte("question"))
		Expect(err).NotTo(HaveOccurred())
		kind, plaintext, _ := r.receive(r.agent.NewReader(1, agseal.MaxDatagram))
		Expect(kind).To(Equal(agheader.KindLookup))
		var header agheader.Header
		payload, err := agheader.Parse(plaintext, &header)
		Expect(err).NotTo(HaveOccurred())
		Expect(payload).To(BeEquivalentTo("question"))
		return header
	}

	reply := func(header agheader.Header, payload string) {
		GinkgoHelper()
		plaintext, err := agheader.Append(nil, &header)
		Expect(err).NotTo(HaveOccurred())
		r.sendFromAgent(agheader.KindReply, append(plaintext, payload...))
	}

	answer := func() string {
		GinkgoHelper()
		buffer := make([]byte, 100)
		n, err := caller.Read(buffer)
		Expect(err).NotTo(HaveOccurred())
		return string(buffer[:n])
	}

	// Guards against forwarded packets that lack data which the agent needs to
	// reply, and against replies from another address or duplicate replies.
	It("forwards a packet and sends the reply from the service address once", func() {
		header := lookup()
		Expect(header.Service).To(Equal(anvilglade.ServiceID("alerts").Number()))
		Expect(header.Caller).To(Equal(caller.LocalAddr().(*net.UDPAddr).AddrPort()))
		Expect(header.ServiceAddress).To(Equal(address))
		Expect(header.Balancer).To(Equal(r.balancer.DatagramAddress()))
		Expect(header.Candidates).To(Equal([]anvilglade.Candidate{{Address: r.agent.Local(), Accepts: true}}))
		plaintext, err := agheader.Append(nil, &header)
		Expect(err).NotTo(HaveOccurred())
		datagram, err := r.sealer.Seal(nil, agheader.KindReply, append(plaintext, "answer"...))
		Expect(err).NotTo(HaveOccurred())
		for range 2 {
			Expect(r.agent.WriteTo(datagram, r.balancer.DatagramAddress())).To(Succeed())
		}
		reply(header, "end")
		Expect(answer()).To(Equal("answer"))
		Expect(answer()).To(Equal("end"))
		Expect(r.count("DropReplay")).To(BeEquivalentTo(1))
	})

	// Guards against replies of one service to callers of another one.
	It("drops a reply of a service to which the address does not belong", func() {
		header := lookup()
		foreign := header
		foreign.Service = anvilglade.ServiceID("archive").Number()
		reply(foreign, "foreign")
		foreign = header
		foreign.ServiceAddress = netip.MustParseAddrPort("127.0.0.1:1")
		reply(foreign, "foreign")
		reply(header, "answer")
		Expect(answer()).To(Equal("answer"))
		Expect(r.count("DropWrongService")).To(BeEquivalentTo(1))
		Expect(r.count("DropNoRoute")).To(BeEquivalentTo(1))
	})

	// Guards against agents that count as lost because their heartbeats are not
	// handled or not acknowledged.
	It("passes heartbeats to the monitor and sends its acknowledgement", func() {
		r.sendFromAgent(agheader.KindHeartbeat, []byte("beat"))
		kind, plaintext, from := r.receive(r.agent.NewReader(1, agseal.MaxDatagram))
		Expect(kind).To(Equal(agheader.KindHeartbeatAck))
		Expect(plaintext).To(BeEquivalentTo("beat"))
		Expect(from).To(Equal(r.balancer.DatagramAddress()))
	})

	// Guards against addresses that stay open or closed after an edit, and
	// against one address in use that stops the whole balancer.
	It("opens and closes service addresses as the tables change", func() {
		inUse, closeInUse, err := agsocket.Listen(context.Background(), loopback)
		Expect(err).NotTo(HaveOccurred())
		second := freeAddress()
		routes := []anvilglade.Route{
			{Address: inUse.Local(), Protocol: anvilglade.ProtocolUDP, Service: "alerts"},
			{Address: second, Protocol: anvilglade.ProtocolUDP, Service: "alerts"},
		}
		r.replica.set(routes...)
		find := func(a netip.AddrPort) func() *ingress {
			return func() *ingress { return r.balancer.ingresses.find(a) }
		}
		Eventually(find(second)).WithTimeout(10 * time.Second).ShouldNot(BeNil())
		Eventually(find(address)).WithTimeout(10 * time.Second).Should(BeNil())
		Expect(r.balancer.Ready()).To(Succeed())
		Expect(r.balancer.Status().(Status).Unbound).To(ConsistOf(inUse.Local()))
		closeInUse()
		r.replica.set(routes...)
		Eventually(find(inUse.Local())).WithTimeout(10 * time.Second).ShouldNot(BeNil())
	})

	// Guards against packets that are lost because the network fabric still sends
	// them to a balancer that has started to stop.
	It("forwards until its drain time has passed", func() {
		r.balancer.options.DrainTime = 500 * time.Millisecond
		r.balancer.Shutdown()
		Expect(r.balancer.Ready()).NotTo(Succeed())
		reply(lookup(), "answer")
		Expect(answer()).To(Equal("answer"))
		Eventually(r.result).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
		Expect(r.balancer.ingresses.find(address)).To(BeNil())
	})

	// Guards against a second signal, which ends the context, that is ignored
	// during a drain.
	It("stops at once when its context ends", func() {
		r.balancer.options.DrainTime = time.Hour
		r.balancer.Shutdown()
		r.cancel()
		Eventually(r.result).WithTimeout(10 * time.Second).Should(Receive())
	})
})
