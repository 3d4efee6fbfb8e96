package agplace_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/routing/agplace"
)

func TestPlace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agplace")
}

func host(n byte) agplace.Option {
	return agplace.Option{Agent: anvilglade.IPv4{10, 0, 0, n}, Slots: 4, Local: true}
}

var _ = Describe("Rank", func() {
	rank := func(options ...agplace.Option) []byte {
		var numbers []byte
		for _, ip := range agplace.Rank(nil, options) {
			numbers = append(numbers, ip[3])
		}
		return numbers
	}

	// Guards against long flows that accumulate on one host.
	It("prefers hosts with less work and fewer flows", func() {
		a, b, c := host(1), host(2), host(3)
		a.Flows, b.Flows, b.ActiveRequests, c.Flows = 40, 10, 4, 20
		Expect(rank(a, b, c)).To(Equal([]byte{3, 1, 2}))
	})

	// Guards against flows that cross data centres without need, and against a
	// full data centre while another one is idle.
	It("prefers local hosts until their utilisation is higher", func() {
		near, far := host(1), host(2)
		far.Local = false
		Expect(rank(near, far)).To(Equal([]byte{1, 2}))
		near.Flows = 30
		Expect(rank(near, far)).To(Equal([]byte{2, 1}))
	})

	// Guards against flows on a host that is cold or several times slower than
	// the others.
	It("avoids cold and slow hosts", func() {
		cold, slow, good := host(1), host(2), host(3)
		cold.Cold, slow.Flows, good.Flows = true, 10, 15
		slow.Latency, good.Latency, cold.Latency = 200*time.Millisecond, 25*time.Millisecond, 25*time.Millisecond
		Expect(rank(cold, slow, good)[0]).To(BeEquivalentTo(3))
	})

	// Places 300 long flows on seven hosts, one of them five times slower, and
	// checks that each host receives flows in proportion to its capacity.
	It("spreads long flows over hosts of unequal capacity", func() {
		random := rand.New(rand.NewPCG(1, 1))
		options := make([]agplace.Option, 7)
		for i := range options {
			options[i] = host(byte(i))
			options[i].Latency = 25 * time.Millisecond
		}
		options[0].Latency = 125 * time.Millisecond
		for range 300 {
			for i := range options {
				options[i].Order = random.Uint64()
			}
			options[agplace.Rank(nil, options)[0][3]].Flows++
		}
		By(fmt.Sprint(options))
		for _, option := range options[1:] {
			Expect(option.Flows).To(BeNumerically("~", 300/6.2, 4))
		}
		Expect(options[0].Flows).To(BeNumerically("<", 15))
	})
})
