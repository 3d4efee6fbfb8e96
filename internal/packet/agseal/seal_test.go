package agseal

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
)

// TestMain fixes the seed of the model test, so that every run checks the same
// cases. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestSeal(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agseal")
}

// fakeRing is a key ring with keys that a test can change.
type fakeRing struct {
	current    anvilglade.KeyID
	accepted   map[anvilglade.KeyID]anvilglade.Secret
	generation uint64
}

func newFakeRing() *fakeRing {
	return &fakeRing{current: 1, accepted: map[anvilglade.KeyID]anvilglade.Secret{1: {1}, anvilglade.FirstJoinKey: {254}}}
}

func (r *fakeRing) Datagram(id anvilglade.KeyID) (anvilglade.Secret, bool) {
	secret, ok := r.accepted[id]
	return secret, ok
}

func (r *fakeRing) CurrentDatagram() (anvilglade.Key, bool) {
	secret, ok := r.accepted[r.current]
	return anvilglade.Key{ID: r.current, Secret: secret}, ok
}

func (r *fakeRing) Join() anvilglade.Key {
	return anvilglade.Key{ID: anvilglade.FirstJoinKey, Secret: r.accepted[anvilglade.FirstJoinKey]}
}

func (r *fakeRing) ConnectionID(anvilglade.KeyID) (anvilglade.Secret, bool) {
	return anvilglade.Secret{}, false
}

func (r *fakeRing) CurrentConnectionID() (anvilglade.Key, bool) { return anvilglade.Key{}, false }

func (r *fakeRing) Generation() uint64 { return r.generation }

func seal(ring anvilglade.KeyRing, kind agheader.Kind, text string) []byte {
	sealer, err := NewSealer(ring)
	Expect(err).NotTo(HaveOccurred())
	datagram, err := sealer.Seal(nil, kind, []byte(text))
	Expect(err).NotTo(HaveOccurred())
	return datagram
}

var _ = Describe("Opener", func() {
	var ring *fakeRing
	var opener *Opener

	BeforeEach(func() {
		ring = newFakeRing()
		opener = NewOpener(ring)
	})

	// Guards against datagrams that their receiver cannot open.
	It("opens data and heartbeats", func() {
		for _, kind := range []agheader.Kind{agheader.KindLookup, agheader.KindHeartbeat} {
			got, plaintext, drop := opener.Open(nil, seal(ring, kind, "payload"))
			Expect(drop).To(Equal(anvilglade.DropNone))
			Expect(got).To(Equal(kind))
			Expect(plaintext).To(BeEquivalentTo("payload"))
		}
	})

	// Guards against a recorded datagram that is sent again.
	It("drops a replay and counts it", func() {
		datagram := seal(ring, agheader.KindLookup, "payload")
		_, _, drop := opener.Open(nil, datagram)
		Expect(drop).To(Equal(anvilglade.DropNone))
		_, _, drop = opener.Open(nil, datagram)
		Expect(drop).To(Equal(anvilglade.DropReplay))
		Expect(opener.Drops()).To(HaveKeyWithValue(anvilglade.DropReplay, uint64(1)))
	})

	// Guards against a datagram that is accepted although it was modified in
	// transit.
	It("drops a datagram with one changed bit in any byte", func() {
		datagram := seal(ring, agheader.KindLookup, "payload")
		for i := range datagram {
			datagram[i] ^= 0x40
			_, _, drop := opener.Open(nil, datagram)
			Expect(drop).NotTo(Equal(anvilglade.DropNone), "byte %d", i)
			datagram[i] ^= 0x40
		}
		Expect(opener.Senders()).To(BeZero(), "forged datagrams must not create senders")
	})

	// Guards against datagrams under a retired key that are accepted because the
	// cipher of their sender is cached, and against replay windows that are lost
	// when the key ring changes.
	It("drops a retired key at once and keeps windows when other keys change", func() {
		sealer, err := NewSealer(ring)
		Expect(err).NotTo(HaveOccurred())
		first, err := sealer.Seal(nil, agheader.KindLookup, nil)
		Expect(err).NotTo(HaveOccurred())
		late, err := sealer.Seal(nil, agheader.KindLookup, nil)
		Expect(err).NotTo(HaveOccurred())
		_, _, drop := opener.Open(nil, first)
		Expect(drop).To(Equal(anvilglade.DropNone))
		ring.accepted[2], ring.current = anvilglade.Secret{2}, 2
		ring.generation++
		_, _, drop = opener.Open(nil, first)
		Expect(drop).To(Equal(anvilglade.DropReplay))
		rotated, err := sealer.Seal(nil, agheader.KindLookup, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(rotated[keyOffset]).To(Equal(byte(2)))
		delete(ring.accepted, 1)
		ring.generation++
		_, _, drop = opener.Open(nil, late)
		Expect(drop).To(Equal(anvilglade.DropUnknownKey))
		_, _, drop = opener.Open(nil, rotated)
		Expect(drop).To(Equal(anvilglade.DropNone))
	})

	// Guards against forwarded packets that are sealed with the join key, which
	// every process has from its settings and which the rotation of datagram
	// keys does not replace.
	It("accepts a join key for heartbeats only", func() {
		ring.current = anvilglade.FirstJoinKey
		_, _, drop := opener.Open(nil, seal(ring, agheader.KindPlace, "payload"))
		Expect(drop).To(Equal(anvilglade.DropUnknownKey))
	})

	// Guards against memory that grows with each process that is replaced.
	It("evicts the least recently used sender", func() {
		opener = newOpener(ring, 2)
		for range 5 {
			_, _, drop := opener.Open(nil, seal(ring, agheader.KindLookup, ""))
			Expect(drop).To(Equal(anvilglade.DropNone))
		}
		Expect(opener.Senders()).To(Equal(2))
	})

	// Guards against garbage collection caused by the data path.
	It("allocates nothing per datagram", func() {
		sealer, err := NewSealer(ring)
		Expect(err).NotTo(HaveOccurred())
		plaintext, sealed, opened := make([]byte, 1200), make([]byte, 0, 2048), make([]byte, 0, 2048)
		Expect(testing.AllocsPerRun(1000, func() {
			datagram, err := sealer.Seal(sealed, agheader.KindLookup, plaintext)
			if err != nil {
				panic(err)
			}
			if _, _, drop := opener.Open(opened, datagram); drop != anvilglade.DropNone {
				panic(drop)
			}
		})).To(BeZero())
	})
})

// TestWindowModel guards against a window that accepts a counter twice, or
// refuses a new one that is not too far below the highest.
func TestWindowModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w window
		seen := map[uint64]bool{}
		var highest uint64
		for range rapid.IntRange(1, 200).Draw(t, "count") {
			step := rapid.Uint64Range(0, 3*windowSize).Draw(t, "step")
			back := rapid.Uint64Range(0, 2*windowSize).Draw(t, "back")
			counter := highest + step - min(back, highest+step)
			tooOld := highest > counter && highest-counter > windowSize-wordBits
			want := counter > 0 && !seen[counter] && !tooOld
			if got := w.accept(counter); got != want {
				t.Fatalf("accept(%d) with highest %d is %v, want %v", counter, highest, got, want)
			}
			if want {
				seen[counter] = true
				highest = max(highest, counter)
			}
		}
	})
}

// FuzzOpen guards against a datagram from outside the fleet that causes a panic
// or is accepted.
func FuzzOpen(f *testing.F) {
	ring := newFakeRing()
	opener := NewOpener(ring)
	f.Add([]byte{})
	f.Add(make([]byte, Overhead))
	f.Add([]byte{version, byte(agheader.KindLookup), 1, 8: 1, Overhead: 0})
	f.Add([]byte{version, byte(agheader.KindHeartbeat), byte(anvilglade.FirstJoinKey), 8: 1, Overhead: 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, _, drop := opener.Open(nil, data); drop == anvilglade.DropNone {
			t.Fatalf("accepted %x", data)
		}
	})
}
