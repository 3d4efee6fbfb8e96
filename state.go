package anvilglade

import "context"

// RecordKind names a set of replicated records.
type RecordKind string

// Kinds of records that balancers replicate.
const (
	RecordConfiguration RecordKind = "Configuration"
	RecordKeys          RecordKind = "Keys"
	RecordHost          RecordKind = "Host"
	RecordBalancer      RecordKind = "Balancer"
)

// Record is one replicated record. Of two records with the same Kind and Name
// the one with the higher Version wins.
type Record struct {
	Kind    RecordKind
	Name    string
	Version Version
	Payload []byte
}

// Replica keeps the newest version of each record and spreads changes to the
// other balancers.
type Replica interface {
	// Put offers a record. It returns false if the replica already has the
	// same or a higher version. The payload must not change afterwards.
	Put(Record) bool
	// Get returns the newest known record.
	Get(kind RecordKind, name string) (Record, bool)
	// List returns the newest records of a kind, sorted by name.
	List(kind RecordKind) []Record
	// Subscribe returns a channel that gets a signal after records of the
	// kind have changed; signals that nobody waits for are merged. The
	// returned function ends the subscription.
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
	// Put writes an object if its stored version is still ifVersion; 0 means
	// that it must not exist yet. It returns the new version. ErrConflict
	// means that nothing was written; ErrUnknownOutcome that the write may
	// have taken effect.
	Put(ctx context.Context, object Object, ifVersion Version) (Version, error)
	// Delete removes an object, or returns ErrNotFound.
	Delete(ctx context.Context, kind, name string) error
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) ([]Object, error)
	// Watch waits until the object has a version above after and returns it,
	// or returns ErrNoChange when the platform ended the wait.
	Watch(ctx context.Context, kind, name string, after Version) (Object, error)
}
