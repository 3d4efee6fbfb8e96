package agconnid_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agconnid"
)

func TestConnectionID(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agconnid")
}

// fakeRing is a key ring that has only connection-id keys.
type fakeRing struct {
	anvilglade.KeyRing
	current    anvilglade.KeyID
	accepted   map[anvilglade.KeyID]anvilglade.Secret
	generation uint64
}

func (r *fakeRing) ConnectionID(id anvilglade.KeyID) (anvilglade.Secret, bool) {
	secret, ok := r.accepted[id]
	return secret, ok
}

func (r *fakeRing) CurrentConnectionID() (anvilglade.Key, bool) {
	return anvilglade.Key{ID: r.current, Secret: r.accepted[r.current]}, true
}

func (r *fakeRing) Generation() uint64 { return r.generation }

var target = agconnid.Target{Agent: netip.MustParseAddrPort("10.1.2.3:7000"), Incarnation: 0xabcd, Service: 0x01020304}

var _ = Describe("Codec", func() {
	var ring *fakeRing
	var codec *agconnid.Codec

	BeforeEach(func() {
		ring = &fakeRing{current: 1, accepted: map[anvilglade.KeyID]anvilglade.Secret{1: {1}}}
		codec = agconnid.NewCodec(ring)
	})

	// Guards against connection ids that are decoded to another agent, and
	// against two equal ids of one agent.
	It("encodes different ids for one target and decodes the target", func() {
		first, err := codec.Encode(target, 1)
		Expect(err).NotTo(HaveOccurred())
		second, err := codec.Encode(target, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(first).To(HaveLen(agconnid.Size))
		Expect(second).NotTo(Equal(first))
		got, ok := codec.Decode(first)
		Expect(ok).To(BeTrue())
		Expect(got).To(Equal(target))
	})

	// Guards against connections that break in a key rotation, and against ids
	// that are accepted under a retired key.
	It("decodes ids under each accepted key during a key rotation", func() {
		old, err := codec.Encode(target, 1)
		Expect(err).NotTo(HaveOccurred())
		ring.accepted[2], ring.current = anvilglade.Secret{2}, 2
		ring.generation++
		fresh, err := codec.Encode(target, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(fresh[0]).To(Equal(byte(2)))
		_, ok := codec.Decode(old)
		Expect(ok).To(BeTrue())
		delete(ring.accepted, 1)
		ring.generation++
		_, ok = codec.Decode(old)
		Expect(ok).To(BeFalse())
	})

	// Guards against a parser that looks for the id at another position than
	// quic-go writes it.
	It("finds the target in the packets of a real connection", func(ctx SpecContext) {
		packets := exchange(ctx, agconnid.NewGenerator(codec, target))
		var callerChosen, long, short int
		for _, packet := range packets {
			id, isLong, ok := agconnid.ParseDestination(packet)
			Expect(ok).To(BeTrue())
			decoded, valid := codec.Decode(id)
			switch {
			case valid && decoded == target && isLong:
				long++
			case valid && decoded == target:
				short++
			default:
				Expect(agconnid.ChosenByCaller(packet)).To(BeTrue())
				callerChosen++
			}
		}
		Expect(callerChosen).To(BeNumerically(">", 0))
		Expect(long).To(BeNumerically(">", 0))
		Expect(short).To(BeNumerically(">", 0))
	}, SpecTimeout(20*time.Second))
})

// recorder is a net.PacketConn that stores a copy of each packet that is read.
type recorder struct {
	net.PacketConn
	mu      sync.Mutex
	packets [][]byte
}

func (r *recorder) ReadFrom(buffer []byte) (int, net.Addr, error) {
	n, from, err := r.PacketConn.ReadFrom(buffer)
	r.mu.Lock()
	defer r.mu.Unlock()
	if n > 0 {
		r.packets = append(r.packets, append([]byte(nil), buffer[:n]...))
	}
	return n, from, err
}

// exchange opens a connection, sends a line to the server and returns the packets
// that the server has received.
func exchange(ctx context.Context, generator quic.ConnectionIDGenerator) [][]byte {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	recorded := &recorder{PacketConn: conn}
	transport := &quic.Transport{Conn: recorded, ConnectionIDGenerator: generator}
	defer conn.Close()
	defer transport.Close()
	listener, err := transport.Listen(&tls.Config{Certificates: []tls.Certificate{selfSigned()}, NextProtos: []string{"test"}}, nil)
	Expect(err).NotTo(HaveOccurred())
	client, err := quic.DialAddr(ctx, conn.LocalAddr().String(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"test"}}, nil)
	Expect(err).NotTo(HaveOccurred())
	server, err := listener.Accept(ctx)
	Expect(err).NotTo(HaveOccurred())
	stream, err := client.OpenUniStream()
	Expect(err).NotTo(HaveOccurred())
	_, err = stream.Write([]byte("line"))
	Expect(err).NotTo(HaveOccurred())
	received, err := server.AcceptUniStream(ctx)
	Expect(err).NotTo(HaveOccurred())
	_, err = received.Read(make([]byte, 4))
	Expect(err).NotTo(HaveOccurred())
	Expect(client.CloseWithError(0, "")).To(Succeed())
	recorded.mu.Lock()
	defer recorded.mu.Unlock()
	return recorded.packets
}

func selfSigned() tls.Certificate {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// FuzzParseDestination guards against a read beyond the end of a malformed
// packet.
func FuzzParseDestination(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x40})
	f.Add(make([]byte, 18))
	f.Add([]byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8})
	f.Add([]byte{0xc0, 0, 0, 0, 1, 200})
	f.Add([]byte{0xe0, 0, 0, 0, 1, 0})
	f.Fuzz(func(t *testing.T, packet []byte) {
		id, long, ok := agconnid.ParseDestination(packet)
		if !ok {
			return
		}
		if !long && len(id) != agconnid.Size {
			t.Fatalf("short header with an id of %d bytes", len(id))
		}
		if agconnid.ChosenByCaller(packet) && !long {
			t.Fatal("short header with an id that the caller chose")
		}
	})
}
