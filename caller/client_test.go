package caller_test

// Test service for the examples and tests, in one process: an agent with a
// backend server, and a relay that drops datagrams on demand.

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/caller"
	"github.com/anvilglade/anvilglade/internal/request/agserve"
	"github.com/anvilglade/anvilglade/internal/request/agticket"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
)

// openAdmitter refuses the first requests, as many as refusals, and admits all
// others.
type openAdmitter struct{ refusals atomic.Int64 }

func (*openAdmitter) OpenFlow(anvilglade.ServiceID) (anvilglade.Refusal, func()) {
	return anvilglade.RefusalNone, func() {}
}

func (o *openAdmitter) StartRequest(anvilglade.ServiceID) (anvilglade.Refusal, func(anvilglade.Outcome)) {
	if o.refusals.Add(-1) >= 0 {
		return anvilglade.RefusalSlots, nil
	}
	return anvilglade.RefusalNone, func(anvilglade.Outcome) {}
}

func (*openAdmitter) Utilisation() anvilglade.Utilisation { return 0 }

type testService struct {
	client   *caller.Client
	relay    *relay
	admitter *openAdmitter
	address  string
	tls      *tls.Config
	close    func()
}

// startService starts a service with the handler as its backend server. It panics
// on failure, so that examples can use it.
func startService(handler http.HandlerFunc) *testService {
	group, stop, err := agtask.NewGroup(context.Background())
	check(err)
	backend := httptest.NewServer(handler)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	check(err)
	certificate, roots := newCertificate()
	tickets, err := agticket.NewTable(agticket.Options{Issuer: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1})
	check(err)
	admitter := &openAdmitter{}
	server, closeServer, err := agserve.NewServer(agserve.Options{
		Service: "reports", Conn: conn, Backend: netip.MustParseAddrPort(backend.Listener.Addr().String()), Admitter: admitter, Tickets: tickets,
		TLS: &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13},
	})
	check(err)
	check(group.Start("requests", server.Run))
	s := &testService{admitter: admitter, tls: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}}
	s.relay = startRelay(group, conn.LocalAddr().(*net.UDPAddr))
	s.address = s.relay.front.LocalAddr().String()
	client, closeClient, err := caller.New(caller.Options{Address: s.address, TLS: s.tls, AttemptTimeout: 500 * time.Millisecond})
	check(err)
	s.client = client
	s.close = func() {
		closeClient()
		closeServer()
		s.relay.close()
		_ = conn.Close()
		backend.CloseClientConnections()
		backend.Close()
		stop()
	}
	return s
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

func newCertificate() (tls.Certificate, *x509.CertPool) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	check(err)
	leaf, err := x509.ParseCertificate(der)
	check(err)
	roots := x509.NewCertPool()
	roots.AddCert(leaf)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, roots
}

// relay forwards datagrams between callers and the agent, with one socket per
// caller.
type relay struct {
	group  *agtask.Group
	front  *net.UDPConn
	agent  *net.UDPAddr
	mu     sync.Mutex
	back   map[string]*net.UDPConn
	cutOff map[string]bool
}

func startRelay(group *agtask.Group, agent *net.UDPAddr) *relay {
	front, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	check(err)
	r := &relay{group: group, front: front, agent: agent, back: map[string]*net.UDPConn{}, cutOff: map[string]bool{}}
	check(group.Start("relay", func(context.Context) error {
		buffer := make([]byte, 2048)
		for {
			n, from, err := front.ReadFromUDP(buffer)
			if err != nil {
				return context.Canceled
			}
			if back := r.socket(from); back != nil {
				_, _ = back.Write(buffer[:n])
			}
		}
	}))
	return r
}

// socket returns the socket towards the agent for a caller, or nil if cut was
// called for the caller.
func (r *relay) socket(from *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := from.String()
	if r.cutOff[key] {
		return nil
	}
	if back, ok := r.back[key]; ok {
		return back
	}
	back, err := net.DialUDP("udp4", nil, r.agent)
	check(err)
	r.back[key] = back
	check(r.group.Start("relay back", func(context.Context) error {
		buffer := make([]byte, 2048)
		for {
			n, err := back.Read(buffer)
			if err != nil {
				return context.Canceled
			}
			r.mu.Lock()
			cutOff := r.cutOff[key]
			r.mu.Unlock()
			if !cutOff {
				_, _ = r.front.WriteToUDP(buffer[:n], from)
			}
		}
	}))
	return back
}

// cut drops all further datagrams from and to the callers that have sent one.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range r.back {
		r.cutOff[key] = true
	}
}

func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.front.Close()
	for _, back := range r.back {
		_ = back.Close()
	}
}

// TestReportRunsOnceWhenItsAnswerIsLost guards against running a report twice
// because its response was lost and the client retried.
func TestReportRunsOnceWhenItsAnswerIsLost(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int64
	var s *testService
	s = startService(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		run := runs.Add(1)
		s.relay.cut()
		_, _ = fmt.Fprintf(w, "run %d of %s", run, body)
	})
	defer s.close()
	answer, err := s.client.Report(context.Background(), "/reports", "text/plain", []byte("7"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(answer.Body)).To(Equal("run 1 of 7"))
	g.Expect(answer.Attempts).To(Equal(2))
	g.Expect(runs.Load()).To(Equal(int64(1)))
}

// TestReportIsSentAgainAfterNotRun guards against returning an error after a
// refusal that is safe to retry.
func TestReportIsSentAgainAfterNotRun(t *testing.T) {
	g := NewWithT(t)
	s := startService(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	defer s.close()
	s.admitter.refusals.Store(1)
	answer, err := s.client.Report(context.Background(), "/reports", "text/plain", []byte("7"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Attempts).To(Equal(2))
}

// TestUnknownOutcomeIsNotSentAgain guards against sending a report again with a
// new ticket after an unknown outcome.
func TestUnknownOutcomeIsNotSentAgain(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int64
	s := startService(func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	})
	defer s.close()
	_, err := s.client.Report(context.Background(), "/reports", "text/plain", []byte("7"))
	g.Expect(err).To(MatchError(anvilglade.ErrUnknownOutcome))
	g.Expect(err).NotTo(MatchError(anvilglade.ErrNotRun))
	g.Expect(runs.Load()).To(Equal(int64(1)))
}

// TestReportThatReachesNobodyIsNotRun guards against an unknown outcome for a
// report that reached no agent.
func TestReportThatReachesNobodyIsNotRun(t *testing.T) {
	g := NewWithT(t)
	s := startService(func(http.ResponseWriter, *http.Request) {})
	defer s.close()
	client, closeClient, err := caller.New(caller.Options{Address: "127.0.0.1:9", TLS: s.tls, Timeout: 300 * time.Millisecond, AttemptTimeout: 100 * time.Millisecond})
	g.Expect(err).NotTo(HaveOccurred())
	defer closeClient()
	_, err = client.Report(context.Background(), "/reports", "text/plain", nil)
	g.Expect(err).To(MatchError(anvilglade.ErrNotRun))
}
