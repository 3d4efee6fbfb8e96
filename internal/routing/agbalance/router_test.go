package agbalance_test

import (
	"fmt"
	"net/netip"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agconnid"
	"github.com/anvilglade/anvilglade/internal/routing/agbalance"
	"github.com/anvilglade/anvilglade/internal/routing/agtable"
)

func TestRouter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agbalance")
}

// fakeRing has one connection-id key.
type fakeRing struct{ anvilglade.KeyRing }

func (fakeRing) ConnectionID(id anvilglade.KeyID) (anvilglade.Secret, bool) {
	return anvilglade.Secret{1}, id == 1
}
func (fakeRing) CurrentConnectionID() (anvilglade.Key, bool) {
	return anvilglade.Key{ID: 1, Secret: anvilglade.Secret{1}}, true
}
func (fakeRing) Generation() uint64 { return 0 }

// fleet is a configuration and members: hosts spread evenly over services, each
// service with a UDP and a QUIC route.
type fleet struct {
	configuration anvilglade.Configuration
	members       anvilglade.Members
	services      int
}

func newFleet(hosts, services int) *fleet {
	f := &fleet{configuration: anvilglade.Configuration{Revision: 1}, services: services}
	for i := range services {
		for j, protocol := range []anvilglade.Protocol{anvilglade.ProtocolUDP, anvilglade.ProtocolQUIC} {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 100, byte(i >> 8), byte(i)}), uint16(7001+j))
			f.configuration.Tables.Routes = append(f.configuration.Tables.Routes, anvilglade.Route{Address: address, Protocol: protocol, Service: serviceName(i)})
		}
	}
	f.configuration.Tables.DataCentres = []anvilglade.DataCentre{{Name: "dk1", State: anvilglade.DataCentreIn}, {Name: "dk2", State: anvilglade.DataCentreIn}}
	for i := range hosts {
		f.add(i)
	}
	return f
}

// add adds a host that joined 100 s after the previous one.
func (f *fleet) add(i int) {
	f.members.Hosts = append(f.members.Hosts, anvilglade.HostRecord{
		Host: anvilglade.HostID(fmt.Sprintf("h%05d", i)), Incarnation: 1, State: anvilglade.HostActive,
		DataCentre:   anvilglade.DataCentreID(fmt.Sprintf("dk%d", 1+i%2)),
		AgentAddress: agentAddress(i),
		JoinStamp:    anvilglade.JoinStamp(1_800_000_000_000+i*100_000) << 16,
	})
}

func agentAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func serviceName(i int) anvilglade.ServiceID {
	return anvilglade.ServiceID(fmt.Sprintf("service-%03d", i))
}

func (f *fleet) serviceOf(host anvilglade.HostID) (anvilglade.ServiceID, bool) {
	var i int
	_, err := fmt.Sscanf(string(host), "h%d", &i)
	return serviceName(i % f.services), err == nil
}

func (f *fleet) build(builder *agtable.Builder) (*agtable.Table, agtable.Stats) {
	return builder.Build(&f.configuration, f.serviceOf, &f.members)
}

func newBuilder(baseline bool) *agtable.Builder {
	return agtable.NewBuilder(agtable.Options{Clock: anvilglade.SystemClock{}, Baseline: baseline})
}

func connectionID(agent netip.AddrPort, service anvilglade.ServiceID) []byte {
	id, err := agconnid.NewCodec(fakeRing{}).Encode(agconnid.Target{Agent: agent, Incarnation: 1, Service: service.Number().Tag()}, 1)
	Expect(err).NotTo(HaveOccurred())
	return id
}

func shortPacket(id []byte) []byte { return append(append([]byte{0x40}, id...), "payload"...) }

func initialPacket(id []byte) []byte {
	return append(append([]byte{0xc0, 0, 0, 0, 1, byte(len(id))}, id...), "payload"...)
}

var _ = Describe("Router", func() {
	var f *fleet
	var router agbalance.TableRouter
	var decision anvilglade.RouteDecision
	udp, quic := netip.MustParseAddrPort("127.100.0.0:7001"), netip.MustParseAddrPort("127.100.0.0:7002")

	route := func(address netip.AddrPort, payload []byte) {
		packet := anvilglade.IngressPacket{Caller: netip.MustParseAddrPort("192.0.2.1:4000"), ServiceAddress: address, Payload: payload}
		router.Route(&packet, &decision)
	}

	BeforeEach(func() {
		f = newFleet(80, 2)
		router = agbalance.New(agbalance.ModeLookup, agconnid.NewCodec(fakeRing{}))
		table, _ := f.build(newBuilder(false))
		router.Adopt(table)
	})

	// Guards against routing of packets before a configuration has been received.
	It("drops everything without a configuration or a route", func() {
		route(netip.MustParseAddrPort("127.100.0.0:7009"), nil)
		Expect(decision.Drop).To(Equal(anvilglade.DropNoRoute))
		router = agbalance.New(agbalance.ModeLookup, agconnid.NewCodec(fakeRing{}))
		route(udp, nil)
		Expect(decision.Drop).To(Equal(anvilglade.DropNoConfiguration))
	})

	// Guards against lookups that end at a host which is not the arbiter.
	It("routes a UDP flow by its list, with the arbiter last", func() {
		route(udp, []byte("payload"))
		Expect(decision.Drop).To(Equal(anvilglade.DropNone))
		Expect(decision.Direct).To(BeFalse())
		last := decision.Order[len(decision.Order)-1]
		Expect(decision.Hosts[last].Address).To(Equal(agentAddress(0)))
		Expect(decision.Order[:len(decision.Order)-1]).NotTo(ContainElement(last))
	})

	// Guards against a packet that reaches a service other than the one of its
	// destination address.
	It("drops a connection id of another service", func() {
		route(quic, shortPacket(connectionID(agentAddress(2), "service-000")))
		Expect(decision.Drop).To(Equal(anvilglade.DropNone))
		Expect(decision.Direct).To(BeTrue())
		Expect(decision.Hosts[decision.Order[0]].Address).To(Equal(agentAddress(2)))
		route(quic, shortPacket(connectionID(agentAddress(3), "service-001")))
		Expect(decision.Drop).To(Equal(anvilglade.DropWrongService))
		route(quic, shortPacket(make([]byte, 17)))
		Expect(decision.Drop).To(Equal(anvilglade.DropUnknownKey))
	})

	// Guards against dropped first packets because the id chosen by the caller
	// begins with the id of a key by chance.
	It("routes an id that the caller chose by the list", func() {
		for _, id := range [][]byte{make([]byte, 8), append([]byte{1}, make([]byte, 16)...)} {
			route(quic, initialPacket(id))
			Expect(decision.Drop).To(Equal(anvilglade.DropNone))
			Expect(decision.Direct).To(BeFalse())
			Expect(len(decision.Order)).To(BeNumerically(">", 1))
		}
	})

	// Guards against broken connections to hosts that are not in the balancer's
	// table yet or are in the state HostDead although they are running.
	It("routes to an agent that is not in the table or whose host is dead", func() {
		f.members.Hosts[2].State = anvilglade.HostDead
		table, _ := f.build(newBuilder(false))
		router.Adopt(table)
		for _, agent := range []netip.AddrPort{agentAddress(2), agentAddress(4000)} {
			route(quic, shortPacket(connectionID(agent, "service-000")))
			Expect(decision.Drop).To(Equal(anvilglade.DropNone))
			Expect(decision.Hosts[decision.Order[0]].Address).To(Equal(agent))
		}
	})

	// Guards against packets to a data centre that operators took out of service.
	It("routes nothing to a data centre that is out of service", func() {
		f.configuration.Revision++
		f.configuration.Tables.DataCentres[0].State = anvilglade.DataCentreOut
		table, _ := f.build(newBuilder(false))
		router.Adopt(table)
		route(quic, shortPacket(connectionID(agentAddress(2), "service-000")))
		Expect(decision.Drop).To(Equal(anvilglade.DropDataCentreOut))
		route(udp, nil) // all hosts of service-000 are in dk1
		Expect(decision.Drop).To(Equal(anvilglade.DropNoHost))
	})

	// Guards against flows that are refused because the oldest hosts exclude all
	// others from a list although they are draining.
	It("lists accepting hosts while the oldest drain", func() {
		f = newFleet(300, 1)
		for i := range 100 {
			f.members.Hosts[i].State = anvilglade.HostDraining
		}
		table, _ := f.build(newBuilder(false))
		service := table.Service("service-000")
		for bucket := range agtable.Buckets {
			accepting := 0
			for _, slot := range service.Order(bucket) {
				if service.Hosts()[slot].Accepts {
					accepting++
				}
			}
			Expect(accepting).To(BeNumerically(">=", agtable.Placements), "bucket %d", bucket)
		}
	})

	// Guards against packets of other hosts' flows that are lost at a dead host while
	// it is still in the state HostSuspect.
	It("lists a suspected host behind all but the arbiter", func() {
		suspected := &f.members.Hosts[4]
		builder := newBuilder(false)
		f.build(builder)
		suspected.State = anvilglade.HostSuspect
		table, _ := builder.Build(&f.configuration, f.serviceOf, &f.members)
		service := table.Service("service-000")
		found := 0
		for bucket := range agtable.Buckets {
			order := service.Order(bucket)
			for position, i := range order[:len(order)-1] {
				if service.HostAt(i) == suspected.Host {
					Expect(position).To(Equal(len(order)-2), "bucket %d", bucket)
					found++
				}
			}
		}
		Expect(found).To(BeNumerically(">", 0))
	})

	// Guards against lost flows, and against a change of the arbiter, when operators
	// move a host to another pool.
	It("lists a host that was moved to another pool until it holds no more flows", func() {
		moved := &f.members.Hosts[0]
		builder := newBuilder(false)
		f.build(builder)
		match := f.serviceOf
		serviceOf := func(host anvilglade.HostID) (anvilglade.ServiceID, bool) {
			if host == moved.Host {
				return "service-001", true
			}
			return match(host)
		}
		f.configuration.Revision++
		moved.Services = [anvilglade.MaxHostServices]anvilglade.ServiceID{"service-000"}
		table, _ := builder.Build(&f.configuration, serviceOf, &f.members)
		router.Adopt(table)
		candidates := func(service anvilglade.ServiceID) (count int, accepts bool) {
			s := table.Service(service)
			for bucket := range agtable.Buckets {
				for _, i := range s.Order(bucket) {
					if s.HostAt(i) == moved.Host {
						count, accepts = count+1, accepts || s.Hosts()[i].Accepts
					}
				}
			}
			return count, accepts
		}
		count, accepts := candidates("service-000")
		Expect(count).To(Equal(agtable.Buckets), "no host excludes the oldest one")
		Expect(accepts).To(BeFalse())
		// Its agent arbitrates until it has received the move; a second arbiter
		// meanwhile could place a flow twice.
		Expect(table.Service("service-000").Arbiter()).To(Equal(moved.Host))
		_, accepts = candidates("service-001")
		Expect(accepts).To(BeFalse(), "the agent has not confirmed its new pool yet")
		moved.Services = [anvilglade.MaxHostServices]anvilglade.ServiceID{"service-001"}
		moved.AcceptStamp = f.members.Hosts[79].JoinStamp + 1
		table, _ = builder.Build(&f.configuration, serviceOf, &f.members)
		Expect(table.Service("service-000").Arbiter()).To(Equal(f.members.Hosts[2].Host))
		count, _ = candidates("service-000")
		Expect(count).To(BeZero())
		_, accepts = candidates("service-001")
		Expect(accepts).To(BeTrue())
		Expect(table.Service("service-001").Arbiter()).To(Equal(f.members.Hosts[1].Host))
	})

	// Guards against memory allocations, and so garbage collection, in the data path.
	It("allocates nothing", func() {
		direct := anvilglade.IngressPacket{ServiceAddress: quic, Payload: shortPacket(connectionID(agentAddress(2), "service-000"))}
		first := anvilglade.IngressPacket{ServiceAddress: udp, Caller: netip.MustParseAddrPort("192.0.2.1:4000")}
		Expect(testing.AllocsPerRun(1000, func() {
			router.Route(&direct, &decision)
			router.Route(&first, &decision)
		})).To(BeZero())
	})

	// Guards against a baseline that is not plain rendezvous hashing, so that
	// comparisons with it would be meaningless.
	It("routes to one accepting host in the baseline", func() {
		router = agbalance.New(agbalance.ModeBaseline, nil)
		f.configuration.Tables.Hosts = []anvilglade.HostOverride{{Name: "h00000", Draining: true}}
		table, _ := f.build(newBuilder(true))
		router.Adopt(table)
		for port := range uint16(200) {
			packet := anvilglade.IngressPacket{Caller: netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), port+1), ServiceAddress: udp}
			router.Route(&packet, &decision)
			Expect(decision.Order).To(HaveLen(1))
			Expect(decision.Direct).To(BeTrue())
			Expect(decision.Hosts[decision.Order[0]].Address).NotTo(Equal(agentAddress(0)))
		}
	})
})
