package agheader_test

import (
	"net/netip"
	"reflect"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
)

func TestHeader(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agheader")
}

func fullHeader() agheader.Header {
	header := agheader.Header{
		Revision: 7, Service: 0x1122334455667788, Protocol: anvilglade.ProtocolQUIC, Flow: 9,
		Caller:         netip.MustParseAddrPort("192.0.2.1:4000"),
		ServiceAddress: netip.MustParseAddrPort("[2001:db8::1]:7001"),
		Balancer:       netip.MustParseAddrPort("10.0.0.1:9000"),
		Direct:         true, Utilisation: 1000, Step: 3, Hops: 24,
	}
	for i := range anvilglade.MaxCandidates + 1 {
		header.Candidates = append(header.Candidates, anvilglade.Candidate{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), uint16(i)),
			Accepts: i%2 == 0,
		})
	}
	return header
}

var _ = Describe("Header", func() {
	// Guards against fields that are lost or swapped by the encoding.
	It("is decoded as it was encoded", func() {
		want := fullHeader()
		encoded, err := agheader.Append(nil, &want)
		Expect(err).NotTo(HaveOccurred())
		var got agheader.Header
		payload, err := agheader.Parse(append(encoded, "payload"...), &got)
		Expect(err).NotTo(HaveOccurred())
		Expect(payload).To(BeEquivalentTo("payload"))
		Expect(got).To(Equal(want))
	})

	// Guards against a read beyond the end of a short datagram.
	It("rejects every truncation", func() {
		header := fullHeader()
		encoded, err := agheader.Append(nil, &header)
		Expect(err).NotTo(HaveOccurred())
		for n := range encoded {
			_, err := agheader.Parse(encoded[:n], &header)
			Expect(err).To(MatchError(agheader.ErrTruncated), "length %d", n)
		}
	})

	// Guards against a candidate list that the receiver would reject.
	It("rejects a candidate list that is too long", func() {
		header := fullHeader()
		header.Candidates = append(header.Candidates, anvilglade.Candidate{})
		_, err := agheader.Append(nil, &header)
		Expect(err).To(MatchError(agheader.ErrCandidates))
	})

	// Guards against garbage collection caused by the data path.
	It("allocates nothing once the buffers have grown", func() {
		header, parsed := fullHeader(), fullHeader()
		buffer := make([]byte, 0, 2048)
		Expect(testing.AllocsPerRun(100, func() {
			encoded, err := agheader.Append(buffer, &header)
			if err != nil {
				panic(err)
			}
			if _, err := agheader.Parse(encoded, &parsed); err != nil {
				panic(err)
			}
		})).To(BeZero())
	})
})

// FuzzParse guards against malformed data that causes a panic, and against a
// header that changes when an agent decodes and forwards it.
func FuzzParse(f *testing.F) {
	header := fullHeader()
	encoded, err := agheader.Append(nil, &header)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add(append(encoded, 1, 2, 3))
	f.Add([]byte{})
	f.Add(make([]byte, 64))
	f.Fuzz(func(t *testing.T, data []byte) {
		var first, second agheader.Header
		payload, err := agheader.Parse(data, &first)
		if err != nil {
			return
		}
		again, err := agheader.Append(nil, &first)
		if err != nil {
			t.Fatalf("decoded header cannot be encoded: %v", err)
		}
		rest, err := agheader.Parse(append(again, payload...), &second)
		if err != nil {
			t.Fatalf("encoded header cannot be decoded: %v", err)
		}
		if string(rest) != string(payload) || !reflect.DeepEqual(first, second) {
			t.Fatalf("header changed from %+v to %+v", first, second)
		}
	})
}
