package anvilglade

// KeyState is the state of a key in a key rotation.
type KeyState string

// States of a key. Next, Current and Previous keys are accepted; Retired keys
// are not. Only the Current key seals or encrypts new data.
const (
	KeyNext     KeyState = "Next"
	KeyCurrent  KeyState = "Current"
	KeyPrevious KeyState = "Previous"
	KeyRetired  KeyState = "Retired"
)

// SecretSize is the length of a Secret in bytes.
const SecretSize = 32

// Secret is the material of a symmetric key. It is never logged.
type Secret [SecretSize]byte

// String returns a fixed text, so that the secret does not appear in logs.
func (Secret) String() string {
	return "(secret)"
}

// GoString returns the same fixed text as String.
func (Secret) GoString() string {
	return "(secret)"
}

// Key is one symmetric key.
type Key struct {
	ID     KeyID
	Secret Secret
	State  KeyState
}

// Certificate is the certificate chain of a service with its private key, both
// PEM-encoded.
type Certificate struct {
	Service    ServiceID
	Chain      string
	PrivateKey string
}

// String returns the service name only, so that the private key does not appear
// in logs.
func (c Certificate) String() string {
	return "(certificate of " + string(c.Service) + ")"
}

// GoString returns the same text as String.
func (c Certificate) GoString() string {
	return c.String()
}

// KeyBundle is the content of the object Keys/current.
type KeyBundle struct {
	// Datagram keys seal datagrams between balancers and agents. The ids
	// FirstJoinKey and above are reserved.
	Datagram []Key
	// ConnectionID keys encrypt routing information in QUIC connection ids.
	ConnectionID []Key
	Certificates []Certificate
}

// FirstJoinKey is the lowest id of the keys that are derived from the JoinSecret
// settings. These keys seal only heartbeats and their acknowledgements.
const FirstJoinKey KeyID = 254

// KeyRing provides the keys in effect. It is safe for concurrent use.
type KeyRing interface {
	// Datagram returns the datagram key or join key with the id, or false if it
	// is not accepted.
	Datagram(id KeyID) (Secret, bool)
	// CurrentDatagram returns the key that seals new datagrams, or false if there
	// is none.
	CurrentDatagram() (Key, bool)
	// Join returns the key that seals heartbeats.
	Join() Key
	// ConnectionID returns the connection-id key with the id, or false if it is
	// not accepted.
	ConnectionID(id KeyID) (Secret, bool)
	// CurrentConnectionID returns the key for new connection ids, or false if
	// there is none.
	CurrentConnectionID() (Key, bool)
	// Generation returns a number that changes whenever a key or its state
	// changes, so that caches of derived keys can be invalidated.
	Generation() uint64
}
