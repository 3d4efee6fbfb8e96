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

// Labels of the derived keys. Each use has its own label, so that no two uses
// share key material.
const (
	labelJoinID    = "anvilglade join key id 1"
	labelJoin      = "anvilglade join key 1"
	labelAuthority = "anvilglade certificate authority 1"
)

// MaxJoinSecrets is the largest number of join secrets. There are two during the
// rotation of the join secret.
const MaxJoinSecrets = 2

// ParseJoinSecrets parses the setting JoinSecret: one or two values of 64
// hexadecimal digits, separated by a comma. The first one is used for sealing and
// for certificates, both are accepted. Errors contain the position of a value and
// never the value.
func ParseJoinSecrets(text string) ([]anvilglade.Secret, error) {
	parts := strings.Split(text, ",")
	if len(parts) > MaxJoinSecrets {
		return nil, fmt.Errorf("join secret has %d values, allowed are 1 to %d", len(parts), MaxJoinSecrets)
	}
	secrets := make([]anvilglade.Secret, len(parts))
	for i, part := range parts {
		raw, err := hex.DecodeString(strings.TrimSpace(part))
		if err != nil || len(raw) != anvilglade.SecretSize {
			// The decoder's error is left out because it quotes bytes of the
			// secret.
			return nil, fmt.Errorf("join secret value %d is not %d hexadecimal digits", i+1, 2*anvilglade.SecretSize)
		}
		copy(secrets[i][:], raw)
	}
	return secrets, nil
}

// joinKeys derives the keys for heartbeats. The id of a join key depends only on
// its secret, so that processes that list the two secrets in different order
// during a rotation use the same ids. There are two ids. Two secrets with the
// same id cannot be used together, and joinKeys returns an error for them.
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
		return nil, fmt.Errorf("join secrets 1 and 2 share the key id %d; generate the new one with 'anvilglade keys secret'", keys[0].ID)
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

// GenerateJoinSecret returns a new random join secret that can be used together
// with the previous one. The zero secret means that there is no previous one.
func GenerateJoinSecret(previous anvilglade.Secret) (anvilglade.Secret, error) {
	for {
		secret := generateSecret()
		if previous == (anvilglade.Secret{}) {
			return secret, nil
		}
		if _, err := joinKeys([]anvilglade.Secret{secret, previous}); err == nil {
			return secret, nil
		}
	}
}

// generateSecret returns random key material. It has no error result because
// Read of crypto/rand never returns an error.
func generateSecret() anvilglade.Secret {
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
