package agfabric_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/stand/agfabric"
)

// startLimit is the time within which the fabric has to run, however slow the machine is.
const startLimit = 30 * time.Second

func TestFabric(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agfabric")
}

// The addresses use loopback octets that scenarios do not use.
var (
	control    = netip.MustParseAddrPort("127.250.0.1:7001")
	service    = netip.MustParseAddrPort("127.250.6.1:7101")
	advertised = map[string]netip.AddrPort{
		"b1": netip.MustParseAddrPort("127.250.4.1:7401"),
		"h1": netip.MustParseAddrPort("127.250.5.1:7501"),
	}
	actual = map[string]netip.AddrPort{
		"b1": netip.MustParseAddrPort("127.250.1.1:7401"),
		"h1": netip.MustParseAddrPort("127.250.2.1:7501"),
	}
)

var _ = Describe("Fabric", func() {
	var sockets map[string]*net.UDPConn

	open := func(address netip.AddrPort) *net.UDPConn {
		socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(socket.Close)
		return socket
	}

	// receive returns the next datagram and its source, or an empty text if none
	// arrives in time.
	receive := func(socket *net.UDPConn, wait time.Duration) (string, netip.AddrPort) {
		Expect(socket.SetReadDeadline(time.Now().Add(wait))).To(Succeed())
		buf := make([]byte, 100)
		n, source, err := socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return "", netip.AddrPort{}
		}
		return string(buf[:n]), source
	}

	send := func(from *net.UDPConn, to netip.AddrPort, text string) {
		_, err := from.WriteToUDPAddrPort([]byte(text), to)
		Expect(err).NotTo(HaveOccurred())
	}

	post := func(path string, value any) {
		data, err := json.Marshal(value)
		Expect(err).NotTo(HaveOccurred())
		response, err := http.Post("http://"+control.String()+path, "application/json", bytes.NewReader(data))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	}

	BeforeEach(func() {
		ready := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
		listener, err := net.Listen("tcp4", "127.250.1.1:7403")
		Expect(err).NotTo(HaveOccurred())
		group, stop, err := agtask.NewGroup(context.Background())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(stop)
		DeferCleanup(ready.Close)
		Expect(group.Start("ready", func(context.Context) error { _ = ready.Serve(listener); return nil })).To(Succeed())
		sockets = map[string]*net.UDPConn{"b1": open(actual["b1"]), "h1": open(actual["h1"])}
		party := func(name, group string) agfabric.Party {
			return agfabric.Party{Name: name, Groups: []string{group}, Endpoints: []agfabric.Endpoint{{Advertised: advertised[name], Real: actual[name]}}}
		}
		balancer := party("b1", "balancers")
		balancer.Ingress, balancer.Ready = netip.MustParseAddr("127.250.1.1"), "http://127.250.1.1:7403/ready"
		fabric := agfabric.NewFabric(agfabric.Config{
			Seed:       1,
			Parties:    []agfabric.Party{balancer, party("h1", "dk1")},
			Services:   []agfabric.Service{{Address: service}},
			Callers:    netip.MustParsePrefix("127.251.0.0/16"),
			CallerPort: 21250,
		})
		Expect(group.Start("fabric", func(ctx context.Context) error { return fabric.Run(ctx, control) })).To(Succeed())
		Eventually(func() string {
			response, err := http.Get("http://" + control.String() + "/status")
			if err != nil {
				return ""
			}
			defer response.Body.Close()
			data, _ := io.ReadAll(response.Body)
			return string(data)
		}).WithTimeout(startLimit).Should(ContainSubstring(`"Living":["b1"]`))
	})

	// Guards against processes that receive datagrams from real addresses, because their
	// datagrams would then bypass the fabric.
	It("forwards datagrams from the advertised address of the sender", func() {
		send(sockets["b1"], advertised["h1"], "to the host")
		text, source := receive(sockets["h1"], time.Second)
		Expect(text).To(Equal("to the host"))
		Expect(source).To(Equal(advertised["b1"]))
	})

	// Guards against faults that do not affect the selected link or affect another.
	It("partitions only the selected direction and class", func() {
		post("/faults", agfabric.Fault{Name: "cut", From: "balancers", To: "dk1", Class: agfabric.ClassData, Partition: true})
		send(sockets["b1"], advertised["h1"], "\x01\x01 data")
		send(sockets["h1"], advertised["b1"], "\x01\x01 back")
		text, _ := receive(sockets["b1"], time.Second)
		Expect(text).To(Equal("\x01\x01 back"))
		text, _ = receive(sockets["h1"], 100*time.Millisecond)
		Expect(text).To(BeEmpty())
		send(sockets["b1"], advertised["h1"], "\x01\x08 acknowledgement")
		text, _ = receive(sockets["h1"], time.Second)
		Expect(text).To(Equal("\x01\x08 acknowledgement"))
	})

	// Guards against delayed or duplicated datagrams whose data is overwritten
	// because the read buffer is reused in the meantime.
	It("delays and duplicates datagrams", func() {
		post("/faults", agfabric.Fault{Name: "slow", From: "b1", To: "h1", Duplicate: 1, Delay: anvilglade.Duration(20 * time.Millisecond)})
		send(sockets["b1"], advertised["h1"], "first")
		send(sockets["h1"], advertised["b1"], "other")
		for range 2 {
			text, _ := receive(sockets["h1"], time.Second)
			Expect(text).To(Equal("first"))
		}
	})

	// Guards against two callers with the same address at the balancers, because
	// their flows would then have the same key.
	It("translates each caller to one address of its own", func() {
		ingress := open(netip.MustParseAddrPort("127.250.1.1:7101"))
		callers := []*net.UDPConn{open(netip.MustParseAddrPort("127.250.9.1:0")), open(netip.MustParseAddrPort("127.250.9.1:0"))}
		seen := map[netip.AddrPort]int{}
		for range 3 {
			for _, caller := range callers {
				send(caller, service, "hello")
				_, source := receive(ingress, time.Second)
				seen[source]++
				send(ingress, source, "answer")
				text, from := receive(caller, time.Second)
				Expect(text).To(Equal("answer"))
				Expect(from).To(Equal(service))
			}
		}
		Expect(seen).To(HaveLen(2))
		Expect(seen).To(HaveEach(3))
	})
})
