package agconnid

// Stateless resets (RFC 9000, section 10.3). All agents share one reset key,
// derived from the join secret, so that a balancer can end a connection whose
// data centre is out of service, and a restarted agent those of its former
// process. The connection ids hold the agent's address under encryption, so no
// two agents issue the same id.

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"

	"github.com/quic-go/quic-go"

	"github.com/anvilglade/anvilglade"
)

const (
	resetTokenSize = 16
	// resetSize is the size of a reset: five unpredictable bytes and the token.
	// A reset must be shorter than the packet that caused it, so that two
	// endpoints cannot answer each other forever.
	resetSize = 5 + resetTokenSize
)

// ResetKey returns the key of stateless resets of the fleet.
func ResetKey(secret anvilglade.Secret) (quic.StatelessResetKey, error) {
	raw, err := hkdf.Key(sha256.New, secret[:], nil, "stateless reset", anvilglade.SecretSize)
	if err != nil {
		return quic.StatelessResetKey{}, fmt.Errorf("derive stateless reset key: %w", err)
	}
	return quic.StatelessResetKey(raw), nil
}

// AppendReset appends the reset that ends the connection of a packet. It
// returns false for packets that no reset answers: those with a long header,
// and those that are too short.
func AppendReset(dst []byte, key *quic.StatelessResetKey, packet []byte) ([]byte, bool) {
	id, long, ok := ParseDestination(packet)
	if !ok || long || len(packet) <= resetSize {
		return dst, false
	}
	var random [resetSize - resetTokenSize]byte
	if _, err := rand.Read(random[:]); err != nil {
		return dst, false
	}
	// The first byte is that of a short header: fixed bit set, long bit clear.
	random[0] = random[0]&0x3f | 0x40
	mac := hmac.New(sha256.New, key[:])
	_, _ = mac.Write(id)
	return append(append(dst, random[:]...), mac.Sum(nil)[:resetTokenSize]...), true
}
