package anvilglade

// KeyState is a key's place in a rotation.
type KeyState string

// States of a key. Next and Current keys, and Previous keys until they are
// retired, are accepted; only the Current key is used for new material.
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

// String hides the secret from logs.
func (Secret) String() string {
	return "(secret)"
}

// GoString hides the secret from logs.
func (Secret) GoString() string {
	return "(secret)"
}

// Key is one symmetric key.
type Key struct {
	ID     KeyID
	Secret Secret
	State  KeyState
}

// Certificate is a certificate chain for a service with its private key, both
// in PEM.
type Certificate struct {
	Service    ServiceID
	Chain      string
	PrivateKey string
}

// String hides the private key from logs.
func (c Certificate) String() string {
	return "(certificate of " + string(c.Service) + ")"
}

// GoString hides the private key from logs.
func (c Certificate) GoString() string {
	return c.String()
}

// KeyBundle is the object Keys/current.
type KeyBundle struct {
	// Datagram keys seal datagrams between balancers and agents. The ids
	// FirstJoinKey and above are reserved.
	Datagram []Key
	// ConnectionID keys encrypt routing information in QUIC connection ids.
	ConnectionID []Key
	Certificates []Certificate
}

// FirstJoinKey is the id of the first key that is derived from the JoinSecret
// settings. Such keys seal heartbeats and their acknowledgements only.
const FirstJoinKey KeyID = 254

// KeyRing gives the keys in force. It is safe for concurrent use.
type KeyRing interface {
	// Datagram returns a datagram or join key if it is accepted now.
	Datagram(id KeyID) (Secret, bool)
	// CurrentDatagram returns the key for sealing.
	CurrentDatagram() (Key, bool)
	// Join returns the key for sealing heartbeats.
	Join() Key
	// ConnectionID returns a connection-id key if it is accepted now.
	ConnectionID(id KeyID) (Secret, bool)
	// CurrentConnectionID returns the key for new connection ids.
	CurrentConnectionID() (Key, bool)
	// Generation changes whenever a key or its state changes, so that caches
	// of derived keys can be dropped.
	Generation() uint64
}
