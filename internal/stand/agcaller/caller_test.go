package agcaller_test

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go/http3"

	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/stand/agbackend"
	"github.com/anvilglade/anvilglade/internal/stand/agcaller"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agcaller")
}

// udpHost answers datagrams like a backend server. The test can change the host
// name in its answers.
func udpHost(group *agtask.Group, address string, host *atomic.Value) netip.AddrPort {
	socket, err := net.ListenPacket("udp4", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(socket.Close)
	Expect(group.Start("host", func(context.Context) error {
		buf := make([]byte, 100)
		for {
			n, from, err := socket.ReadFrom(buf)
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			answer, _ := json.Marshal(agbackend.Datagram{Service: "alerts", Host: host.Load().(string), Incarnation: 1, Echo: string(buf[:n])})
			_, _ = socket.WriteTo(answer, from)
		}
	})).To(Succeed())
	return netip.MustParseAddrPort(address)
}

func selfSigned() *tls.Config {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), DNSNames: []string{"alerts"}}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	Expect(err).NotTo(HaveOccurred())
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{certificate}, PrivateKey: private}}}
}

var _ = Describe("Callers", func() {
	var group *agtask.Group

	BeforeEach(func() {
		var stop func()
		var err error
		group, stop, err = agtask.NewGroup(context.Background())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(stop)
	})

	// Guards against flows that move to another host without being counted,
	// and against flows of a stopped host that are counted as broken.
	It("counts a flow as broken if its host changed and as lost if its host was stopped", func() {
		var host atomic.Value
		host.Store("h1")
		address := udpHost(group, "127.250.30.1:7102", &host)
		flows, stop, err := agcaller.NewFlows(agcaller.FlowsOptions{Prefix: netip.MustParsePrefix("127.252.0.0/17"), Port: 20250, Interval: 20 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(stop)
		flows.Open("alerts", address, 20)
		Expect(flows.WaitOpen(context.Background(), 5*time.Second)).To(BeZero())
		Expect(flows.Report()).To(And(HaveField("Broken", 0), HaveField("WrongService", 0)))
		host.Store("h2")
		Eventually(func() int { return flows.Report().Broken }).WithTimeout(5 * time.Second).Should(Equal(20))
		Eventually(func() int { return flows.Report().Answered }).WithTimeout(5 * time.Second).Should(Equal(20))
		host.Store("h3")
		flows.MarkHostUnavailable("h2")
		Eventually(func() int { return flows.Report().Hosts["h3"] }).WithTimeout(5 * time.Second).Should(Equal(20))
		Expect(flows.Report()).To(And(HaveField("Broken", 20), HaveField("Lost", 20)))
	})

	// Guards against callers that accept a truncated body or the body of another
	// request as an answer; the case WholeAnswers could then never fail.
	DescribeTable("classifies a response", func(handler http.HandlerFunc, expected agcaller.Verdict) {
		socket, err := net.ListenPacket("udp4", "127.250.30.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http3.Server{Handler: handler, TLSConfig: http3.ConfigureTLSConfig(selfSigned())}
		Expect(group.Start("http3", func(context.Context) error { _ = server.Serve(socket); return nil })).To(Succeed())
		DeferCleanup(func() { _ = server.Close(); _ = socket.Close() })
		load, stop, err := agcaller.NewLoad(agcaller.LoadOptions{
			Name: "guides", Service: "alerts", Address: netip.MustParseAddrPort(socket.LocalAddr().String()),
			Sources: []netip.Addr{netip.MustParseAddr("127.250.31.1")}, Rate: 1000, Count: 3, MinSize: 5000, Timeout: 5 * time.Second, Sends: 1, Seed: 1,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(stop)
		load.Wait(context.Background())
		results, _ := load.Results()
		Expect(results).To(HaveLen(3))
		Expect(results).To(HaveEach(HaveField("Verdict", expected)))
	},
		Entry("that is complete", func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(w, agbackend.NewBody(r.URL.Query().Get("seed"), 5000))
		}, agcaller.Answered),
		Entry("of another request", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.Copy(w, agbackend.NewBody("other", 5000))
		}, agcaller.Foreign),
		Entry("that ends early without an error", func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(w, agbackend.NewBody(r.URL.Query().Get("seed"), 2500))
		}, agcaller.Foreign),
		Entry("that is reset", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(5000))
			_, _ = io.Copy(w, agbackend.NewBody(r.URL.Query().Get("seed"), 2500))
			panic(http.ErrAbortHandler)
		}, agcaller.Lost),
		Entry("that reports a request that did not run", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/problem+json")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"type":"urn:anvilglade:problem:not-run","NotRun":true}`)
		}, agcaller.NotRun),
	)
})
