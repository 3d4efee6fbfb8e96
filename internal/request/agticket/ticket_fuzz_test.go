package agticket_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade/internal/request/agticket"
)

// FuzzDecode guards against a panic on a header from a caller, and against two
// encodings of one ticket, which journals and callers would treat as two tickets.
func FuzzDecode(f *testing.F) {
	for _, issuer := range []string{"127.0.0.1:7901", "[2001:db8::1]:1"} {
		f.Add(agticket.Ticket{Issuer: netip.MustParseAddrPort(issuer), Incarnation: 9, Number: 1, Expiry: time.UnixMilli(1)}.Encode())
	}
	f.Add("")
	f.Add("AQ")
	f.Add("AQR_AAABHt0AAAAAAAAACQ==")
	f.Add("3d6f0a52-9c0e-4b0f-9d1e-1f0b6a6d1c55")
	f.Fuzz(func(t *testing.T, text string) {
		ticket, err := agticket.Decode(text)
		if err != nil {
			return
		}
		if again := ticket.Encode(); again != text {
			t.Fatalf("%q decodes to a ticket that encodes to %q", text, again)
		}
	})
}
