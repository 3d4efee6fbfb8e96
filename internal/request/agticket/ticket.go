package agticket

// Encoding of tickets: base64url of a fixed binary layout, which fits into a
// header and lets other agents read the issuer's address.

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"golang.org/x/crypto/cryptobyte"

	"github.com/anvilglade/anvilglade"
)

const (
	layoutVersion = 1
	macSize       = 16
	// maxTextLength is the encoded length of a ticket with an IPv6 issuer, in
	// characters.
	maxTextLength = 80
)

// ErrInvalid means that a text is not a ticket, or that this process did not
// issue it.
var ErrInvalid = errors.New("not a valid ticket")

var encoding = base64.RawURLEncoding.Strict()

// Ticket is the content of a ticket.
type Ticket struct {
	// Issuer is the control address of the issuing agent.
	Issuer      netip.AddrPort
	Incarnation anvilglade.Incarnation
	Number      uint64
	// Expiry has a resolution of 1 ms. It is informative for callers and other
	// agents; the issuer uses the expiry in its table.
	Expiry time.Time
	// MAC can be verified by the issuer only.
	MAC [macSize]byte
}

// Decode parses an encoded ticket without verifying its MAC. It returns an error
// that wraps ErrInvalid if the text is not a ticket.
func Decode(text string) (Ticket, error) {
	if len(text) > maxTextLength {
		return Ticket{}, fmt.Errorf("%w: %d characters", ErrInvalid, len(text))
	}
	// encoding/base64 ignores line breaks even in strict mode. The encoding of a
	// ticket must be unique, because journals and callers compare the text.
	if strings.ContainsAny(text, "\r\n") {
		return Ticket{}, fmt.Errorf("%w: line end", ErrInvalid)
	}
	data, err := encoding.DecodeString(text)
	if err != nil {
		return Ticket{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	var ticket Ticket
	var version uint8
	var address, mac []byte
	var port uint16
	var incarnation, expiry uint64
	input := cryptobyte.String(data)
	var raw cryptobyte.String
	complete := input.ReadUint8(&version) && input.ReadUint8LengthPrefixed(&raw) &&
		input.ReadUint16(&port) && input.ReadUint64(&incarnation) &&
		input.ReadUint64(&ticket.Number) && input.ReadUint64(&expiry) &&
		input.ReadBytes(&mac, macSize) && input.Empty()
	address = raw
	issuer, validIssuer := netip.AddrFromSlice(address)
	if !complete || !validIssuer || version != layoutVersion || expiry > 1<<53 {
		return Ticket{}, fmt.Errorf("%w: wrong layout", ErrInvalid)
	}
	ticket.Issuer = netip.AddrPortFrom(issuer, port)
	ticket.Incarnation = anvilglade.Incarnation(incarnation)
	ticket.Expiry = time.UnixMilli(int64(expiry))
	copy(ticket.MAC[:], mac)
	return ticket, nil
}

// Encode returns the ticket as text.
func (t Ticket) Encode() string {
	return encoding.EncodeToString(append(t.content(), t.MAC[:]...))
}

func (t Ticket) content() []byte {
	address := t.Issuer.Addr().AsSlice()
	data := make([]byte, 0, maxTextLength)
	data = append(data, layoutVersion, byte(len(address)))
	data = append(data, address...)
	data = binary.BigEndian.AppendUint16(data, t.Issuer.Port())
	data = binary.BigEndian.AppendUint64(data, uint64(t.Incarnation))
	data = binary.BigEndian.AppendUint64(data, t.Number)
	return binary.BigEndian.AppendUint64(data, uint64(t.Expiry.UnixMilli()))
}

func (t Ticket) sum(secret *anvilglade.Secret) [macSize]byte {
	mac := hmac.New(sha256.New, secret[:])
	mac.Write(t.content())
	var full [sha256.Size]byte
	mac.Sum(full[:0])
	return [macSize]byte(full[:macSize])
}

func (t Ticket) verify(secret *anvilglade.Secret) bool {
	want := t.sum(secret)
	return hmac.Equal(want[:], t.MAC[:])
}
