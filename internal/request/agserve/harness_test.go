package agserve_test

// Test harness with a deployment in one process: agents, each with a fake
// Admitter and a backend server, and HTTP/3 callers over loopback.

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go/http3"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/request/agproblem"
	"github.com/anvilglade/anvilglade/internal/request/agserve"
	"github.com/anvilglade/anvilglade/internal/request/agticket"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
)

const service anvilglade.ServiceID = "alerts"

func TestServe(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agserve")
}

// fakeAdmitter refuses requests with a configurable reason and records the
// outcomes of admitted ones.
type fakeAdmitter struct {
	mu       sync.Mutex
	refusal  anvilglade.Refusal
	outcomes []anvilglade.Outcome
	inUse    int
	flows    int
	// onStart is called when a request is admitted.
	onStart func()
}

func (f *fakeAdmitter) setRefusal(refusal anvilglade.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusal = refusal
}

func (f *fakeAdmitter) setOnStart(hook func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onStart = hook
}

func (f *fakeAdmitter) OpenFlow(anvilglade.ServiceID) (anvilglade.Refusal, func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refusal == anvilglade.RefusalConnections {
		return f.refusal, nil
	}
	f.flows++
	return anvilglade.RefusalNone, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.flows--
	}
}

func (f *fakeAdmitter) StartRequest(anvilglade.ServiceID) (anvilglade.Refusal, func(anvilglade.Outcome)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refusal != anvilglade.RefusalNone {
		return f.refusal, nil
	}
	if f.onStart != nil {
		f.onStart()
	}
	f.inUse++
	return anvilglade.RefusalNone, func(outcome anvilglade.Outcome) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.inUse--
		f.outcomes = append(f.outcomes, outcome)
	}
}

func (f *fakeAdmitter) Utilisation() anvilglade.Utilisation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return anvilglade.Utilisation(min(f.inUse*100, 999))
}

func (f *fakeAdmitter) ended() []anvilglade.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]anvilglade.Outcome(nil), f.outcomes...)
}

func (f *fakeAdmitter) slotsInUse() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inUse
}

var certificate, roots = newCertificate()

func newCertificate() (tls.Certificate, *x509.CertPool) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		panic(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		panic(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		panic(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}, pool
}

// agent is one agent of the deployment.
type agent struct {
	server   *agserve.Server
	peers    *agserve.Peers
	tickets  *agticket.Table
	journal  *agticket.Journal
	admitter *fakeAdmitter
	address  netip.AddrPort
	control  netip.AddrPort
	stop     func()
}

// fleet is a set of agents that serve the same service.
type fleet struct {
	t      testing.TB
	group  *agtask.Group
	mu     sync.Mutex
	agents []*agent
}

func newFleet(t testing.TB) *fleet {
	group, stop, err := agtask.NewGroup(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return &fleet{t: t, group: group}
}

func (f *fleet) members() []anvilglade.ServiceMember {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := make([]anvilglade.ServiceMember, 0, len(f.agents))
	for _, a := range f.agents {
		members = append(members, anvilglade.ServiceMember{ControlAddress: a.control, Accepts: true, Incarnation: 1})
	}
	return members
}

// setMembers sets the agents that are members of the service.
func (f *fleet) setMembers(agents ...*agent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.agents = agents
}

func listen(t testing.TB, address string) *net.UDPConn {
	resolved, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.ListenUDP("udp4", resolved)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// add starts an agent in front of a backend server.
func (f *fleet) add(backend netip.AddrPort, change func(*agserve.Options)) *agent {
	conn, control := listen(f.t, "127.0.0.1:0"), listen(f.t, "127.0.0.1:0")
	a := &agent{admitter: &fakeAdmitter{}, address: addrOf(conn), control: addrOf(control)}
	a.journal = agticket.NewJournal(100, anvilglade.SystemClock{})
	var err error
	a.tickets, err = agticket.NewTable(agticket.Options{Issuer: a.control, Incarnation: 1})
	fatal(f.t, err)
	var closePeers, closeServer func()
	a.peers, closePeers, err = agserve.NewPeers(agserve.PeersOptions{
		Conn: control, Address: a.control,
		ServerTLS: &tls.Config{Certificates: []tls.Certificate{certificate}, ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13},
		ClientTLS: &tls.Config{Certificates: []tls.Certificate{certificate}, RootCAs: roots, MinVersion: tls.VersionTLS13},
	})
	fatal(f.t, err)
	options := agserve.Options{
		Service: service, Conn: conn, Backend: backend, Admitter: a.admitter, Members: f.members,
		TLS:     &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13},
		Tickets: a.tickets, Journal: a.journal, Peers: a.peers,
	}
	if change != nil {
		change(&options)
	}
	a.server, closeServer, err = agserve.NewServer(options)
	fatal(f.t, err)
	fatal(f.t, f.group.Start("requests", a.server.Run))
	fatal(f.t, f.group.Start("peers", a.peers.Run))
	a.stop = sync.OnceFunc(func() {
		closeServer()
		closePeers()
	})
	f.t.Cleanup(a.stop)
	f.mu.Lock()
	f.agents = append(f.agents, a)
	f.mu.Unlock()
	return a
}

func fatal(t testing.TB, err error) {
	if err != nil {
		t.Helper()
		t.Fatal(err)
	}
}

func addrOf(conn net.PacketConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// startBackend starts a backend server with net/http.
func startBackend(t testing.TB, handler http.HandlerFunc) netip.AddrPort {
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func newClient(t testing.TB) *http.Client {
	transport := &http3.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}, DisableCompression: true}
	t.Cleanup(func() { _ = transport.Close() })
	return &http.Client{Transport: transport}
}

// reply is the response to one request, or the error of reading it.
type reply struct {
	status  int
	header  http.Header
	body    []byte
	problem agproblem.Problem
	err     error
}

// call sends one request and reads the response to its end.
func call(ctx context.Context, client *http.Client, a *agent, method, path string, body []byte, headers ...string) reply {
	request, err := http.NewRequestWithContext(ctx, method, "https://"+a.address.String()+path, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	r := reply{status: response.StatusCode, header: response.Header, body: data, err: err}
	if response.Header.Get("Content-Type") == agproblem.ContentType {
		r.err = json.Unmarshal(data, &r.problem)
	}
	return r
}

func requestTicket(client *http.Client, a *agent) string {
	r := call(context.Background(), client, a, http.MethodPost, agserve.TicketsPath, nil)
	Expect(r.err).NotTo(HaveOccurred())
	Expect(r.status).To(Equal(http.StatusCreated))
	var answer agserve.TicketAnswer
	Expect(json.Unmarshal(r.body, &answer)).To(Succeed())
	return answer.Ticket
}
