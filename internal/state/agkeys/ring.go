// Package agkeys holds the keys and certificates of a process.
//
// A Ring has the datagram and connection-id keys in force. They are received as
// a KeyBundle, which is replicated like the configuration, and rotated with an
// overlap: a Next key is accepted by all processes before it becomes Current,
// and the former Current key is accepted as Previous until it is Retired. Key
// ids that are unknown or retired are refused.
//
// Authentication between processes does not depend on the object API: the key
// for heartbeats and an Ed25519 certificate authority are derived from the
// setting JoinSecret with HKDF-SHA256, and each process issues its own leaf
// certificate. Any holder of the secret can act as any process;
// docs/decisions/keys.md gives the reasons.
//
// Secrets and private keys have no textual form and are never logged.
//
// # Usage
//
//	secrets, err := agkeys.ParseJoinSecrets(setting)
//	if err != nil {
//		return err
//	}
//	ring, err := agkeys.NewRing(secrets)
//	if err != nil {
//		return err
//	}
//	if ring.Adopt(bundle, version) {
//		events.Record(anvilglade.Event{Type: agevent.KeysAdopted})
//	}
//	server, client, err := agkeys.ProcessTLS(secrets, "balancer/b1")
package agkeys

import (
	"crypto/tls"
	"fmt"
	"sync/atomic"

	"github.com/anvilglade/anvilglade"
)

// keyCount is the number of key ids. An id has one byte.
const keyCount = 256

// Ring is the key ring of a process. It is safe for concurrent use. Reads need
// one atomic load and no lock.
type Ring struct {
	// join has the join keys. The first one is used for sealing, all are
	// accepted.
	join    []anvilglade.Key
	current atomic.Pointer[ringState]
}

var _ anvilglade.KeyRing = (*Ring)(nil)

// ringState is an immutable snapshot of all keys.
type ringState struct {
	version      anvilglade.Version
	generation   uint64
	datagram     keySet
	connectionID keySet
	certificates map[anvilglade.ServiceID]*tls.Certificate
}

// keySet has the accepted keys by id.
type keySet struct {
	accepted   [keyCount]bool
	secrets    [keyCount]anvilglade.Secret
	current    anvilglade.Key
	hasCurrent bool
}

// NewRing returns a ring that has only the join keys. It returns an error unless
// there are one or two secrets, none of them zero, whose join keys have different
// ids.
func NewRing(joinSecrets []anvilglade.Secret) (*Ring, error) {
	join, err := joinKeys(joinSecrets)
	if err != nil {
		return nil, err
	}
	ring := &Ring{join: join}
	state := &ringState{generation: 1}
	ring.addJoinKeys(&state.datagram)
	ring.current.Store(state)
	return ring, nil
}

func (r *Ring) addJoinKeys(set *keySet) {
	for _, key := range r.join {
		set.accepted[key.ID] = true
		set.secrets[key.ID] = key.Secret
	}
}

// Adopt replaces the keys by those of the bundle if its version is higher than
// that of the bundle in force and the bundle is valid. It reports whether it did.
func (r *Ring) Adopt(bundle anvilglade.KeyBundle, version anvilglade.Version) bool {
	if err := Validate(bundle); err != nil {
		return false
	}
	next := &ringState{version: version, certificates: map[anvilglade.ServiceID]*tls.Certificate{}}
	next.datagram.add(bundle.Datagram)
	r.addJoinKeys(&next.datagram)
	next.connectionID.add(bundle.ConnectionID)
	for _, certificate := range bundle.Certificates {
		pair, err := tls.X509KeyPair([]byte(certificate.Chain), []byte(certificate.PrivateKey))
		if err != nil {
			return false
		}
		next.certificates[certificate.Service] = &pair
	}
	for {
		old := r.current.Load()
		if version <= old.version {
			return false
		}
		next.generation = old.generation + 1
		if r.current.CompareAndSwap(old, next) {
			return true
		}
	}
}

func (s *keySet) add(keys []anvilglade.Key) {
	for _, key := range keys {
		if key.State == anvilglade.KeyRetired {
			continue
		}
		s.accepted[key.ID] = true
		s.secrets[key.ID] = key.Secret
		if key.State == anvilglade.KeyCurrent {
			s.current, s.hasCurrent = key, true
		}
	}
}

func (s *keySet) get(id anvilglade.KeyID) (anvilglade.Secret, bool) {
	if !s.accepted[id] {
		return anvilglade.Secret{}, false
	}
	return s.secrets[id], true
}

// Datagram returns the secret of a datagram or join key. It returns false if the
// key is not accepted.
func (r *Ring) Datagram(id anvilglade.KeyID) (anvilglade.Secret, bool) {
	return r.current.Load().datagram.get(id)
}

// CurrentDatagram returns the datagram key for sealing. It returns false before
// the first bundle is adopted.
func (r *Ring) CurrentDatagram() (anvilglade.Key, bool) {
	state := r.current.Load()
	return state.datagram.current, state.datagram.hasCurrent
}

// Join returns the key for sealing heartbeats.
func (r *Ring) Join() anvilglade.Key {
	return r.join[0]
}

// ConnectionID returns the secret of a connection-id key. It returns false if the
// key is not accepted.
func (r *Ring) ConnectionID(id anvilglade.KeyID) (anvilglade.Secret, bool) {
	return r.current.Load().connectionID.get(id)
}

// CurrentConnectionID returns the key for new connection ids. It returns false
// before the first bundle is adopted.
func (r *Ring) CurrentConnectionID() (anvilglade.Key, bool) {
	state := r.current.Load()
	return state.connectionID.current, state.connectionID.hasCurrent
}

// Generation returns a number that increases with each adopted bundle, so that
// callers can cache what they derive from the keys.
func (r *Ring) Generation() uint64 {
	return r.current.Load().generation
}

// Version returns the version of the bundle in force, or 0 before the first one
// is adopted.
func (r *Ring) Version() anvilglade.Version {
	return r.current.Load().version
}

// ServerTLS returns the TLS configuration for the connections of callers to a
// service. The certificate is looked up at each handshake, so that a renewed one
// applies to new connections. ServerTLS returns an error if the ring has no
// certificate for the service.
func (r *Ring) ServerTLS(service anvilglade.ServiceID) (*tls.Config, error) {
	if _, ok := r.current.Load().certificates[service]; !ok {
		return nil, fmt.Errorf("no certificate for service %q in the key bundle", service)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, ok := r.current.Load().certificates[service]
			if !ok {
				return nil, fmt.Errorf("certificate for service %q was removed", service)
			}
			return certificate, nil
		},
	}, nil
}
