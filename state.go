package anvilglade

import "context"

// RecordKind is the kind of a replicated record.
type RecordKind string

// Kinds of records that balancers replicate.
const (
	RecordConfiguration RecordKind = "Configuration"
	RecordKeys          RecordKind = "Keys"
	RecordHost          RecordKind = "Host"
	RecordBalancer      RecordKind = "Balancer"
)

// Record is one replicated record. Of two records with the same Kind and Name,
// the one with the higher Version replaces the other.
type Record struct {
	Kind    RecordKind
	Name    string
	Version Version
	Payload []byte
}

// Replica stores the newest version of each record and replicates changes to the
// other balancers.
type Replica interface {
	// Put stores a record. It returns false if the replica already has the same
	// or a higher version. The payload must not be modified afterwards.
	Put(Record) bool
	// Get returns the newest version of a record, or false if there is none.
	Get(kind RecordKind, name string) (Record, bool)
	// List returns the newest records of a kind, sorted by name.
	List(kind RecordKind) []Record
	// Subscribe returns a channel that receives a signal after records of the kind
	// have changed. Signals that have not been received yet are merged into one.
	// The returned function ends the subscription.
	Subscribe(kind RecordKind) (<-chan struct{}, func())
}

// Object is an object of the platform's object API.
type Object struct {
	Kind    string
	Name    string
	Version Version
	Data    []byte
}

// Store is the platform's object API.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Put writes an object if its stored version is still ifVersion; 0 means that
	// it must not exist yet. It returns the new version. ErrConflict means that
	// nothing was written, ErrUnknownOutcome that the write may have taken effect.
	Put(ctx context.Context, object Object, ifVersion Version) (Version, error)
	// Ensure writes an object unless it exists, and returns the era in which it exists.
	Ensure(ctx context.Context, object Object) (StoreEra, error)
	// Delete removes an object, or returns ErrNotFound.
	Delete(ctx context.Context, kind, name string) error
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) ([]Object, error)
	// Watch waits until the object has a version above after and returns it. It
	// returns ErrNoChange if the platform ends the wait first. The version may be
	// lower if the platform has lost its last changes.
	Watch(ctx context.Context, kind, name string, after Version) (Object, error)
}
