package agkeys_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/state/agkeys"
)

func TestKeys(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agkeys")
}

func secretOf(first byte) anvilglade.Secret {
	secret := anvilglade.Secret{first}
	for i := range secret {
		secret[i] += byte(i)
	}
	return secret
}

func nextSecret(former anvilglade.Secret) anvilglade.Secret {
	secret, err := agkeys.GenerateJoinSecret(former)
	Expect(err).NotTo(HaveOccurred())
	return secret
}

func acceptedSecret(secret anvilglade.Secret, accepted bool) anvilglade.Secret {
	Expect(accepted).To(BeTrue())
	return secret
}

var _ = Describe("Ring", func() {
	var ring *agkeys.Ring

	BeforeEach(func() {
		var err error
		ring, err = agkeys.NewRing([]anvilglade.Secret{secretOf(1)})
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against packets that are lost during a rotation and against a
	// retired key that is still accepted.
	It("accepts Next, Current and Previous keys and refuses retired ones", func() {
		bundle := agkeys.NewBundle()
		Expect(ring.Adopt(bundle, 1)).To(BeTrue())
		first, ok := ring.CurrentDatagram()
		Expect(ok).To(BeTrue())

		added, err := agkeys.AddNext(bundle, agkeys.SetAll)
		Expect(err).NotTo(HaveOccurred())
		Expect(ring.Adopt(added, 2)).To(BeTrue())
		current, _ := ring.CurrentDatagram()
		Expect(current).To(Equal(first))
		next := added.Datagram[1]
		Expect(acceptedSecret(ring.Datagram(next.ID))).To(Equal(next.Secret))

		promoted, err := agkeys.Promote(added, agkeys.SetAll)
		Expect(err).NotTo(HaveOccurred())
		Expect(ring.Adopt(promoted, 3)).To(BeTrue())
		current, _ = ring.CurrentDatagram()
		Expect(current.ID).To(Equal(next.ID))
		Expect(acceptedSecret(ring.Datagram(first.ID))).To(Equal(first.Secret))

		retired, err := agkeys.Retire(promoted, agkeys.SetAll)
		Expect(err).NotTo(HaveOccurred())
		Expect(ring.Adopt(retired, 4)).To(BeTrue())
		_, accepted := ring.Datagram(first.ID)
		Expect(accepted).To(BeFalse())
		_, accepted = ring.ConnectionID(first.ID)
		Expect(accepted).To(BeFalse())
		Expect(retired.Datagram[0].Secret).To(Equal(anvilglade.Secret{}))
	})

	// Guards against a rotation that removes a key which is still in use.
	It("refuses rotation steps out of order", func() {
		bundle := agkeys.NewBundle()
		_, err := agkeys.Promote(bundle, agkeys.SetAll)
		Expect(err).To(MatchError(agkeys.ErrNoNext))
		_, err = agkeys.Retire(bundle, agkeys.SetAll)
		Expect(err).To(MatchError(agkeys.ErrNoPrevious))
		added, _ := agkeys.AddNext(bundle, agkeys.SetAll)
		_, err = agkeys.AddNext(added, agkeys.SetAll)
		Expect(err).To(MatchError(agkeys.ErrNextExists))
		promoted, _ := agkeys.Promote(added, agkeys.SetAll)
		_, err = agkeys.AddNext(promoted, agkeys.SetAll)
		Expect(err).To(MatchError(agkeys.ErrPrevious))
	})

	// Guards against new keys with a reserved id or with the id of a listed key.
	It("rotates 300 times with unique ids", func() {
		bundle := agkeys.NewBundle()
		for range 300 {
			var err error
			for _, step := range []func(anvilglade.KeyBundle, agkeys.Set) (anvilglade.KeyBundle, error){agkeys.AddNext, agkeys.Promote, agkeys.Retire} {
				bundle, err = step(bundle, agkeys.SetAll)
				Expect(err).NotTo(HaveOccurred())
				Expect(agkeys.Validate(bundle)).To(Succeed())
			}
		}
		Expect(len(bundle.Datagram)).To(BeNumerically("<=", 17))
	})

	// Guards against a delayed message that makes retired keys accepted again.
	It("does not adopt a lower or equal version or an invalid bundle", func() {
		bundle := agkeys.NewBundle()
		Expect(ring.Adopt(bundle, 5)).To(BeTrue())
		generation := ring.Generation()
		Expect(ring.Adopt(agkeys.NewBundle(), 5)).To(BeFalse())
		Expect(ring.Adopt(agkeys.NewBundle(), 4)).To(BeFalse())
		faulty := agkeys.NewBundle()
		faulty.Datagram[0].ID = anvilglade.FirstJoinKey
		faulty.ConnectionID[0].State = "Lost"
		Expect(ring.Adopt(faulty, 6)).To(BeFalse())
		Expect(ring.Generation()).To(Equal(generation))
		Expect(agkeys.Validate(faulty)).To(MatchError(And(ContainSubstring("reserved"), ContainSubstring(`"Lost" is unknown`))))
	})

	// Guards against heartbeats that are refused while a new join secret is
	// deployed to one process after the other, with the two values in either
	// order.
	It("accepts the join keys of all processes during the rotation of the join secret", func() {
		former := secretOf(1)
		later := nextSecret(former)
		both, err := agkeys.NewRing([]anvilglade.Secret{former, later})
		Expect(err).NotTo(HaveOccurred())
		swapped, err := agkeys.NewRing([]anvilglade.Secret{later, former})
		Expect(err).NotTo(HaveOccurred())
		for _, sender := range []*agkeys.Ring{ring, both, swapped} {
			key := sender.Join()
			for _, receiver := range []*agkeys.Ring{both, swapped} {
				Expect(acceptedSecret(receiver.Datagram(key.ID))).To(Equal(key.Secret))
			}
		}
		Expect(both.Join().Secret).NotTo(Equal(former), "the join key must be derived from the secret")
	})

	// Guards against secrets in log lines and error messages.
	It("formats no secret", func() {
		bundle := agkeys.NewBundle()
		certificate, err := agkeys.NewSelfSigned("alerts", nil, time.Now())
		Expect(err).NotTo(HaveOccurred())
		bundle.Certificates = append(bundle.Certificates, certificate)
		text := fmt.Sprintf("%v %+v %#v %s", bundle, bundle, bundle, bundle.Certificates)
		Expect(text).NotTo(ContainSubstring("PRIVATE KEY"))
		Expect(text).NotTo(ContainSubstring(fmt.Sprint([anvilglade.SecretSize]byte(bundle.Datagram[0].Secret))))
		_, err = agkeys.ParseJoinSecrets("c0ffee")
		Expect(err).To(HaveOccurred())
		Expect(err.Error()).NotTo(ContainSubstring("c0ffee"))
	})

	// Guards against a bundle that changes when it is stored in the object API.
	It("decodes a bundle as it was encoded and serves its certificate", func() {
		bundle := agkeys.NewBundle()
		certificate, err := agkeys.NewSelfSigned("alerts", []string{"127.0.0.1"}, time.Now())
		Expect(err).NotTo(HaveOccurred())
		bundle.Certificates = append(bundle.Certificates, certificate)
		data, err := agkeys.Encode(bundle)
		Expect(err).NotTo(HaveOccurred())
		Expect(agkeys.Decode(data)).To(Equal(bundle))
		Expect(ring.Adopt(bundle, 1)).To(BeTrue())
		config, err := ring.ServerTLS("alerts")
		Expect(err).NotTo(HaveOccurred())
		Expect(config.GetCertificate(nil)).NotTo(BeNil())
		_, err = ring.ServerTLS("archive")
		Expect(err).To(HaveOccurred())
	})
})

// handshake performs a TLS handshake and returns the process id in the client's
// certificate and the errors of both sides. A client of TLS 1.3 completes its
// handshake before the server has verified its certificate, so the client also
// reads, which fails if the server has refused it.
func handshake(server, client *tls.Config) (peer anvilglade.ProcessID, serverErr, clientErr error) {
	group, stop, err := agtask.NewGroup(context.Background())
	Expect(err).NotTo(HaveOccurred())
	defer stop()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	done := make(chan error, 1)
	Expect(group.Start("server", func(context.Context) error {
		accepted, err := listener.Accept()
		if err != nil {
			return err
		}
		defer accepted.Close()
		_ = accepted.SetDeadline(time.Now().Add(10 * time.Second))
		serving := tls.Server(accepted, server)
		err = serving.Handshake()
		if err == nil {
			peer, _ = agkeys.PeerProcess(serving.ConnectionState())
			_, err = serving.Write([]byte{1})
		}
		done <- err
		return nil
	})).To(Succeed())
	raw, err := net.DialTimeout("tcp", listener.Addr().String(), 10*time.Second)
	Expect(err).NotTo(HaveOccurred())
	defer raw.Close()
	_ = raw.SetDeadline(time.Now().Add(10 * time.Second))
	_, clientErr = tls.Client(raw, client).Read(make([]byte, 1))
	_ = raw.Close()
	serverErr = <-done
	return peer, serverErr, clientErr
}

var _ = Describe("ProcessTLS", func() {
	// Guards against processes that cannot connect to each other during the
	// rotation of the join secret, and against connections from processes that
	// do not have it.
	It("accepts only processes that share a secret", func() {
		former := secretOf(1)
		later := nextSecret(former)
		unrelated := secretOf(99)
		server, _, err := agkeys.ProcessTLS([]anvilglade.Secret{former, later}, "balancer/b1")
		Expect(err).NotTo(HaveOccurred())
		for _, secrets := range [][]anvilglade.Secret{{later, former}, {former, later}} {
			_, client, err := agkeys.ProcessTLS(secrets, "agent/dk1-h01")
			Expect(err).NotTo(HaveOccurred())
			peer, serverErr, clientErr := handshake(server, client)
			Expect(serverErr).NotTo(HaveOccurred())
			Expect(clientErr).NotTo(HaveOccurred())
			Expect(peer).To(Equal(anvilglade.ProcessID("agent/dk1-h01")))
		}
		_, client, err := agkeys.ProcessTLS([]anvilglade.Secret{unrelated}, "agent/dk1-h01")
		Expect(err).NotTo(HaveOccurred())
		_, serverErr, clientErr := handshake(server, client)
		Expect(clientErr).To(HaveOccurred())
		Expect(serverErr).To(HaveOccurred())
	})

	// Guards against a server that accepts clients without a certificate.
	It("refuses a client without a certificate", func() {
		server, client, err := agkeys.ProcessTLS([]anvilglade.Secret{secretOf(1)}, "balancer/b1")
		Expect(err).NotTo(HaveOccurred())
		client.GetClientCertificate = nil
		_, serverErr, _ := handshake(server, client)
		Expect(serverErr).To(HaveOccurred())
	})
})

func FuzzDecode(f *testing.F) {
	data, err := agkeys.Encode(agkeys.NewBundle())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{})
	// Guards against a bundle from the object API or a peer that crashes the
	// process or is decoded without a Current key.
	f.Fuzz(func(t *testing.T, data []byte) {
		bundle, err := agkeys.Decode(data)
		if err != nil {
			return
		}
		ring, err := agkeys.NewRing([]anvilglade.Secret{{1}})
		if err != nil {
			t.Fatal(err)
		}
		if !ring.Adopt(bundle, 1) {
			t.Fatal("a decoded bundle was not adopted")
		}
		if _, ok := ring.CurrentDatagram(); !ok {
			t.Fatal("no Current key")
		}
	})
}
