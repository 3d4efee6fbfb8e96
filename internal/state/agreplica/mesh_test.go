package agreplica

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	"net"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
)

// testFleet is a set of meshes on loopback that are each other's peers.
type testFleet struct {
	mu     sync.Mutex
	peers  map[anvilglade.BalancerID]netip.AddrPort
	lost   map[anvilglade.BalancerID]int
	config *tls.Config
}

func newTestFleet() *testFleet {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	Expect(err).NotTo(HaveOccurred())
	return &testFleet{
		peers: make(map[anvilglade.BalancerID]netip.AddrPort),
		lost:  make(map[anvilglade.BalancerID]int),
		config: &tls.Config{
			Certificates:       []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: private}},
			InsecureSkipVerify: true,
		},
	}
}

func (f *testFleet) others(self anvilglade.BalancerID) []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []Peer
	for id, address := range f.peers {
		if id != self {
			found = append(found, Peer{Balancer: id, Address: address})
		}
	}
	return found
}

// start runs a mesh. It returns its replica, the mesh and the function that
// stops it.
func (f *testFleet) start(id anvilglade.BalancerID) (*Replica, *Mesh, func()) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	address := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	Expect(socket.Close()).To(Succeed())
	group, stopGroup, err := agtask.NewGroup(context.Background())
	Expect(err).NotTo(HaveOccurred())
	replica := NewReplica()
	mesh, closeMesh, err := NewMesh(replica, MeshOptions{
		Self:       id,
		Address:    address,
		Peers:      func() []Peer { return f.others(id) },
		OnPeerLost: f.markLost,
		ServerTLS:  f.config,
		ClientTLS:  f.config,
		Events:     agevent.NewRing("balancer/"+anvilglade.ProcessID(id), 16, anvilglade.SystemClock{}),
		Group:      group,
	})
	Expect(err).NotTo(HaveOccurred())
	f.mu.Lock()
	f.peers[id] = address
	f.mu.Unlock()
	Expect(group.Start("mesh", mesh.Run)).To(Succeed())
	return replica, mesh, func() {
		f.mu.Lock()
		delete(f.peers, id)
		f.mu.Unlock()
		closeMesh()
		stopGroup()
	}
}

func (f *testFleet) markLost(id anvilglade.BalancerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost[id]++
}

func (f *testFleet) lostCount(id anvilglade.BalancerID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost[id]
}

var _ = Describe("Mesh", func() {
	const timeout = 20 * time.Second

	// Guards against records that do not reach a balancer that starts later,
	// such as one that is replaced during an outage of the platform.
	It("sends all records to a balancer that starts later", func() {
		fleet := newTestFleet()
		first, _, stopFirst := fleet.start("b1")
		DeferCleanup(stopFirst)
		for i := range 500 {
			first.Put(anvilglade.Record{Kind: anvilglade.RecordHost, Name: fmt.Sprint(i), Version: 7, Payload: []byte("x")})
		}
		first.Put(anvilglade.Record{Kind: anvilglade.RecordConfiguration, Name: "current", Version: 9, Payload: make([]byte, 1<<20)})
		second, mesh, stopSecond := fleet.start("b2")
		DeferCleanup(stopSecond)
		Eventually(mesh.Synced, timeout).Should(BeTrue())
		Expect(second.List(anvilglade.RecordHost)).To(HaveLen(500))
		record, ok := second.Get(anvilglade.RecordConfiguration, "current")
		Expect(ok).To(BeTrue())
		Expect(record.Version).To(Equal(anvilglade.Version(9)))
	})

	// Guards against a record above maxFloodBytes that reaches only the first peer,
	// and against a lost balancer that is not reported.
	It("sends a change to all peers and reports a lost balancer", func() {
		fleet := newTestFleet()
		var replicas []*Replica
		var stops []func()
		for i := range 4 {
			replica, _, stop := fleet.start(anvilglade.BalancerID(fmt.Sprintf("b%d", i)))
			replicas = append(replicas, replica)
			stops = append(stops, stop)
		}
		large := make([]byte, 2*maxFloodBytes)
		replicas[0].Put(anvilglade.Record{Kind: anvilglade.RecordKeys, Name: "current", Version: 3, Payload: large})
		for _, replica := range replicas {
			Eventually(func() bool {
				_, ok := replica.Get(anvilglade.RecordKeys, "current")
				return ok
			}, timeout).Should(BeTrue())
		}
		stops[3]()
		Eventually(func() int { return fleet.lostCount("b3") }, timeout).Should(BeNumerically(">=", 1))
		for _, stop := range stops[:3] {
			stop()
		}
	})

	// Guards against a balancer that stopped together with all its peers and still
	// counts as living, so that every command with --wait fails.
	It("reports a peer that was never connected", func() {
		fleet := newTestFleet()
		fleet.peers["a-gone"] = netip.MustParseAddrPort("127.0.0.1:9")
		_, _, stop := fleet.start("b1")
		DeferCleanup(stop)
		Eventually(func() int { return fleet.lostCount("a-gone") }, timeout).Should(Equal(1))
	})
})
