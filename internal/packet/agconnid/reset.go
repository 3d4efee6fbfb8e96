package agconnid

// Stateless resets (RFC 9000, section 10.3). All agents have the same reset key,
// which is derived from the join secret. A balancer can therefore end a
// connection whose data centre is out of service, and a restarted agent can end
// the connections of its former process. A shared key requires that no two agents
// issue the same connection id. They do not, as the id has the agent's address.

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
	// resetSize is the size of a reset in bytes: five unpredictable bytes and the
	// token. A reset must be shorter than the packet that it answers, so that two
	// endpoints cannot answer each other's resets forever.
	resetSize = 5 + resetTokenSize
)

// ResetKey returns the fleet's key for stateless resets, derived from the join
// secret.
func ResetKey(secret anvilglade.Secret) (quic.StatelessResetKey, error) {
	raw, err := hkdf.Key(sha256.New, secret[:], nil, "stateless reset", anvilglade.SecretSize)
	if err != nil {
		return quic.StatelessResetKey{}, fmt.Errorf("derive stateless reset key: %w", err)
	}
	return quic.StatelessResetKey(raw), nil
}

// AppendReset appends the stateless reset that ends the connection of a packet.
// It returns false for packets that must not be answered with a reset: those with
// a long header, and those that are not longer than a reset.
func AppendReset(dst []byte, key *quic.StatelessResetKey, packet []byte) ([]byte, bool) {
	id, long, ok := ParseDestination(packet)
	if !ok || long || len(packet) <= resetSize {
		return dst, false
	}
	var random [resetSize - resetTokenSize]byte
	if _, err := rand.Read(random[:]); err != nil {
		return dst, false
	}
	// The first byte is that of a short header: the fixed bit is set and the
	// header form bit is not.
	random[0] = random[0]&0x3f | 0x40
	mac := hmac.New(sha256.New, key[:])
	_, _ = mac.Write(id)
	return append(append(dst, random[:]...), mac.Sum(nil)[:resetTokenSize]...), true
}
