package agconnid_test

import (
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agconnid"
)

// resettingConn is a net.PacketConn that passes packets on until reset is set.
// From then on it answers each packet with a stateless reset, and the server
// neither receives nor sends packets.
type resettingConn struct {
	net.PacketConn
	key   *quic.StatelessResetKey
	reset atomic.Bool
}

func (c *resettingConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.PacketConn.ReadFrom(buffer)
		if err != nil || !c.reset.Load() {
			return n, from, err
		}
		if answer, ok := agconnid.AppendReset(nil, c.key, buffer[:n]); ok {
			_, _ = c.PacketConn.WriteTo(answer, from)
		}
	}
}

func (c *resettingConn) WriteTo(data []byte, to net.Addr) (int, error) {
	if c.reset.Load() {
		return len(data), nil
	}
	return c.PacketConn.WriteTo(data, to)
}

var _ = Describe("AppendReset", func() {
	// Guards against callers that wait for their idle timeout after their data
	// centre was taken out of service. A balancer must be able to end their
	// connections without the agent.
	It("ends a connection whose server does not answer", func(ctx SpecContext) {
		key, err := agconnid.ResetKey(anvilglade.Secret{7})
		Expect(err).NotTo(HaveOccurred())
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		resetting := &resettingConn{PacketConn: conn, key: &key}
		transport := &quic.Transport{Conn: resetting, StatelessResetKey: &key, ConnectionIDLength: agconnid.Size}
		defer transport.Close()
		listener, err := transport.Listen(&tls.Config{Certificates: []tls.Certificate{selfSigned()}, NextProtos: []string{"test"}}, nil)
		Expect(err).NotTo(HaveOccurred())
		client, err := quic.DialAddr(ctx, conn.LocalAddr().String(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"test"}}, &quic.Config{KeepAlivePeriod: 100 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		_, err = listener.Accept(ctx)
		Expect(err).NotTo(HaveOccurred())
		resetting.reset.Store(true)
		<-client.Context().Done()
		var reset *quic.StatelessResetError
		_, err = client.OpenStream()
		Expect(errors.As(err, &reset)).To(BeTrue(), "got %v", err)
	}, SpecTimeout(20*time.Second))

	// Guards against two endpoints that answer each other's resets forever.
	It("does not answer packets that are as short as a reset or have a long header", func() {
		key, err := agconnid.ResetKey(anvilglade.Secret{7})
		Expect(err).NotTo(HaveOccurred())
		packet := make([]byte, 60)
		packet[0] = 0x40
		answer, ok := agconnid.AppendReset(nil, &key, packet)
		Expect(ok).To(BeTrue())
		_, ok = agconnid.AppendReset(nil, &key, answer)
		Expect(ok).To(BeFalse())
		packet[0] = 0xc0
		_, ok = agconnid.AppendReset(nil, &key, packet)
		Expect(ok).To(BeFalse())
	})
})
