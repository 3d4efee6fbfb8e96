package agsocket_test

import (
	"context"
	"net"
	"net/netip"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
)

func TestSocket(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agsocket")
}

var _ = Describe("Socket", func() {
	var from, to *agsocket.Socket
	var closeTo func()

	BeforeEach(func() {
		var closeFrom func()
		var err error
		from, closeFrom, err = agsocket.Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(closeFrom)
		to, closeTo, err = agsocket.Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(closeTo)
	})

	// Guards against datagrams that are lost or reordered when their number is
	// not a multiple of the batch size, or when a destination is invalid.
	It("sends more than one batch and skips invalid destinations", func() {
		writer, reader := from.NewWriter(4), to.NewReader(8, 100)
		for i := range 10 {
			if i == 5 {
				writer.Add(append(writer.Buffer(), 99), netip.MustParseAddrPort("[::1]:9"))
				writer.Add(append(writer.Buffer(), 99), netip.AddrPortFrom(to.Local().Addr(), 0))
			}
			writer.Add(append(writer.Buffer(), byte(i)), to.Local())
		}
		writer.Flush()
		Expect(writer.Errors()).To(BeEquivalentTo(2))
		var got []byte
		for len(got) < 10 {
			packets, err := reader.Read()
			Expect(err).NotTo(HaveOccurred())
			for _, packet := range packets {
				Expect(packet.From).To(Equal(from.Local()))
				got = append(got, packet.Data...)
			}
		}
		Expect(got).To(Equal([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}))
	})

	// Guards against a datagram that is forwarded truncated.
	It("marks a datagram that is larger than the buffer", func() {
		reader := to.NewReader(2, 100)
		Expect(from.WriteTo(make([]byte, 100), to.Local())).To(Succeed())
		Expect(from.WriteTo(make([]byte, 101), to.Local())).To(Succeed())
		var truncated []bool
		for len(truncated) < 2 {
			packets, err := reader.Read()
			Expect(err).NotTo(HaveOccurred())
			for _, packet := range packets {
				truncated = append(truncated, packet.Truncated)
			}
		}
		Expect(truncated).To(Equal([]bool{false, true}))
	})

	// Guards against a task that never ends because its read stays blocked after
	// the socket was closed.
	It("ends reads when it is closed", func() {
		closeTo()
		_, err := to.NewReader(1, 100).Read()
		Expect(err).To(MatchError(net.ErrClosed))
	})
})
