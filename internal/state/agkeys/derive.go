package agkeys

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/anvilglade/anvilglade"
)

// Each derived key has its own label, so that no two uses share material.
const (
	labelJoinID    = "anvilglade join key id 1"
	labelJoin      = "anvilglade join key 1"
	labelAuthority = "anvilglade certificate authority 1"
)

// MaxJoinSecrets is the number of JoinSecret values during their rotation.
const MaxJoinSecrets = 2

// ParseJoinSecrets reads the setting JoinSecret: one or two values of 64
// hexadecimal digits with a comma. The first one is used for new material, both
// are accepted. Errors name the position and never the value.
func ParseJoinSecrets(text string) ([]anvilglade.Secret, error) {
	parts := strings.Split(text, ",")
	if len(parts) > MaxJoinSecrets {
		return nil, fmt.Errorf("join secret has %d values, allowed are 1 to %d", len(parts), MaxJoinSecrets)
	}
	secrets := make([]anvilglade.Secret, len(parts))
	for i, part := range parts {
		raw, err := hex.DecodeString(strings.TrimSpace(part))
		if err != nil || len(raw) != anvilglade.SecretSize {
			// The decoder's error quotes bytes of the secret.
			return nil, fmt.Errorf("join secret value %d is not %d hexadecimal digits", i+1, 2*anvilglade.SecretSize)
		}
		copy(secrets[i][:], raw)
	}
	return secrets, nil
}

// joinKeys derives the keys for heartbeats. The id of a join key depends on its
// secret alone, so processes that list the two secrets in another order during
// a rotation still agree on it. There are two ids; two secrets that share one
// cannot overlap.
func joinKeys(secrets []anvilglade.Secret) ([]anvilglade.Key, error) {
	if len(secrets) == 0 || len(secrets) > MaxJoinSecrets {
		return nil, fmt.Errorf("%d join secrets given, allowed are 1 to %d", len(secrets), MaxJoinSecrets)
	}
	var keys []anvilglade.Key
	for i, secret := range secrets {
		if secret == (anvilglade.Secret{}) {
			return nil, fmt.Errorf("join secret value %d is all zero", i+1)
		}
		derived, err := derive(secret, labelJoin)
		if err != nil {
			return nil, err
		}
		id, err := joinKeyID(secret)
		if err != nil {
			return nil, err
		}
		keys = append(keys, anvilglade.Key{ID: id, Secret: derived, State: anvilglade.KeyCurrent})
	}
	if len(keys) == MaxJoinSecrets && keys[0].ID == keys[1].ID {
		return nil, fmt.Errorf("join secrets 1 and 2 share the key id %d; draw the new one with 'anvilglade keys secret'", keys[0].ID)
	}
	return keys, nil
}

func joinKeyID(secret anvilglade.Secret) (anvilglade.KeyID, error) {
	derived, err := derive(secret, labelJoinID)
	if err != nil {
		return 0, err
	}
	return anvilglade.FirstJoinKey + anvilglade.KeyID(derived[0]&1), nil
}

// GenerateJoinSecret returns a new JoinSecret that can overlap with the given one;
// the zero secret means that there is none yet.
func GenerateJoinSecret(former anvilglade.Secret) (anvilglade.Secret, error) {
	for {
		secret := drawSecret()
		if former == (anvilglade.Secret{}) {
			return secret, nil
		}
		if _, err := joinKeys([]anvilglade.Secret{secret, former}); err == nil {
			return secret, nil
		}
	}
}

// drawSecret returns random key material. rand.Read never fails; see
// crypto/rand.
func drawSecret() anvilglade.Secret {
	var secret anvilglade.Secret
	_, _ = rand.Read(secret[:])
	return secret
}

func derive(secret anvilglade.Secret, label string) (anvilglade.Secret, error) {
	var derived anvilglade.Secret
	raw, err := hkdf.Key(sha256.New, secret[:], nil, label, anvilglade.SecretSize)
	if err != nil {
		return derived, fmt.Errorf("derive %q: %w", label, err)
	}
	copy(derived[:], raw)
	return derived, nil
}

func deriveAuthorityKey(secret anvilglade.Secret) (ed25519.PrivateKey, error) {
	seed, err := derive(secret, labelAuthority)
	if err != nil {
		return nil, err
	}
	return ed25519.NewKeyFromSeed(seed[:]), nil
}
