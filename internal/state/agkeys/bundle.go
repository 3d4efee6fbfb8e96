package agkeys

import (
	"bytes"
	"compress/flate"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/anvilglade/anvilglade"
)

// Kind and name of the object that has the key bundle.
const (
	ObjectKind = "Keys"
	ObjectName = "current"
)

// maxBundleBytes is the largest decompressed bundle. It is sufficient for 510
// certificates of 4 KiB with their keys.
const maxBundleBytes = 8 << 20

// maxListedRetired is the number of retired keys that stay in a bundle. Their ids
// are not assigned to new keys meanwhile, so that a process with an outdated
// bundle cannot confuse a new key with a retired one of the same id.
const maxListedRetired = 16

// Encode returns the bundle as JSON, compressed with DEFLATE.
func Encode(bundle anvilglade.KeyBundle) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("encode key bundle: %w", err)
	}
	if err := json.NewEncoder(writer).Encode(bundle); err != nil {
		return nil, fmt.Errorf("encode key bundle: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("encode key bundle: %w", err)
	}
	return buffer.Bytes(), nil
}

// Decode decodes and validates a bundle. It returns an error if the bundle is
// malformed, invalid or larger than maxBundleBytes after decompression.
func Decode(data []byte) (anvilglade.KeyBundle, error) {
	var bundle anvilglade.KeyBundle
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxBundleBytes+1))
	if err != nil {
		return bundle, fmt.Errorf("decode key bundle: %w", err)
	}
	if len(raw) > maxBundleBytes {
		return bundle, fmt.Errorf("decode key bundle: more than %d bytes", maxBundleBytes)
	}
	if err := json.Unmarshal(raw, &bundle); err != nil {
		return anvilglade.KeyBundle{}, fmt.Errorf("decode key bundle: %w", err)
	}
	if err := Validate(bundle); err != nil {
		return anvilglade.KeyBundle{}, err
	}
	return bundle, nil
}

// Validate returns an error with all faults of a bundle, one per line, or nil. It
// identifies keys by their set and id only.
func Validate(bundle anvilglade.KeyBundle) error {
	faults := checkSet("Datagram", bundle.Datagram)
	faults = append(faults, checkSet("ConnectionID", bundle.ConnectionID)...)
	seen := map[anvilglade.ServiceID]bool{}
	for _, certificate := range bundle.Certificates {
		if seen[certificate.Service] {
			faults = append(faults, fmt.Errorf("table Certificates, row %q: appears twice", certificate.Service))
		}
		seen[certificate.Service] = true
		if _, err := tls.X509KeyPair([]byte(certificate.Chain), []byte(certificate.PrivateKey)); err != nil {
			faults = append(faults, fmt.Errorf("table Certificates, row %q: chain and private key do not load: %w", certificate.Service, err))
		}
	}
	return errors.Join(faults...)
}

func checkSet(name string, keys []anvilglade.Key) []error {
	var faults []error
	current := 0
	seen := map[anvilglade.KeyID]bool{}
	for _, key := range keys {
		if key.ID >= anvilglade.FirstJoinKey {
			faults = append(faults, fmt.Errorf("%s key %d: ids from %d are reserved", name, key.ID, anvilglade.FirstJoinKey))
		}
		if seen[key.ID] {
			faults = append(faults, fmt.Errorf("%s key %d: appears twice", name, key.ID))
		}
		seen[key.ID] = true
		switch key.State {
		case anvilglade.KeyCurrent:
			current++
		case anvilglade.KeyNext, anvilglade.KeyPrevious, anvilglade.KeyRetired:
		default:
			faults = append(faults, fmt.Errorf("%s key %d: State %q is unknown", name, key.ID, key.State))
		}
		if key.State != anvilglade.KeyRetired && key.Secret == (anvilglade.Secret{}) {
			faults = append(faults, fmt.Errorf("%s key %d: Secret is empty", name, key.ID))
		}
	}
	if current != 1 {
		faults = append(faults, fmt.Errorf("%s has %d keys in state Current, allowed is 1", name, current))
	}
	return faults
}

// NewBundle returns a bundle with the first Current key of each set and no
// certificates.
func NewBundle() anvilglade.KeyBundle {
	first := func() []anvilglade.Key {
		return []anvilglade.Key{{ID: 1, Secret: generateSecret(), State: anvilglade.KeyCurrent}}
	}
	return anvilglade.KeyBundle{Datagram: first(), ConnectionID: first()}
}

// Errors of a rotation step that the states of the keys do not allow.
var (
	ErrNextExists = errors.New("a Next key waits for its promotion")
	ErrNoNext     = errors.New("no Next key to promote")
	ErrPrevious   = errors.New("the Previous key has not been retired")
	ErrNoPrevious = errors.New("no Previous key to retire")
)

// Set selects the keys of a rotation step.
type Set string

// Sets of keys. Connection-id keys are retired later than datagram keys, because
// the connection ids of an open flow are encrypted under the key that was Current
// when they were issued.
const (
	SetAll          Set = "All"
	SetDatagram     Set = "Datagram"
	SetConnectionID Set = "ConnectionID"
)

// maxPrevious is the largest number of Previous keys by set. There can be several
// connection-id keys, as they are not retired while connections use them.
var maxPrevious = map[Set]int{SetDatagram: 1, SetConnectionID: 8}

// AddNext is the first step of a rotation. It returns the bundle with a new Next
// key in each selected set. The bundle must be in force at all processes before
// Promote. AddNext returns ErrNextExists or ErrPrevious.
func AddNext(bundle anvilglade.KeyBundle, set Set) (anvilglade.KeyBundle, error) {
	return eachSet(bundle, set, func(of Set, keys []anvilglade.Key) ([]anvilglade.Key, error) {
		if hasState(keys, anvilglade.KeyNext) {
			return nil, ErrNextExists
		}
		if countState(keys, anvilglade.KeyPrevious) >= maxPrevious[of] {
			return nil, ErrPrevious
		}
		id, err := freeID(keys)
		if err != nil {
			return nil, err
		}
		return append(slices.Clone(keys), anvilglade.Key{ID: id, Secret: generateSecret(), State: anvilglade.KeyNext}), nil
	})
}

// Promote is the second step of a rotation: the Next key becomes Current, and the
// Current key becomes Previous and is still accepted. Promote returns ErrNoNext.
func Promote(bundle anvilglade.KeyBundle, set Set) (anvilglade.KeyBundle, error) {
	return eachSet(bundle, set, func(_ Set, keys []anvilglade.Key) ([]anvilglade.Key, error) {
		if !hasState(keys, anvilglade.KeyNext) {
			return nil, ErrNoNext
		}
		return withStates(keys, map[anvilglade.KeyState]anvilglade.KeyState{
			anvilglade.KeyNext:    anvilglade.KeyCurrent,
			anvilglade.KeyCurrent: anvilglade.KeyPrevious,
		}), nil
	})
}

// Retire is the last step of a rotation: Previous keys become Retired, so that
// they are no longer accepted, and their secrets are erased. Retire returns
// ErrNoPrevious.
func Retire(bundle anvilglade.KeyBundle, set Set) (anvilglade.KeyBundle, error) {
	return eachSet(bundle, set, func(_ Set, keys []anvilglade.Key) ([]anvilglade.Key, error) {
		if !hasState(keys, anvilglade.KeyPrevious) {
			return nil, ErrNoPrevious
		}
		retired := withStates(keys, map[anvilglade.KeyState]anvilglade.KeyState{anvilglade.KeyPrevious: anvilglade.KeyRetired})
		return pruneRetired(retired), nil
	})
}

// RetireUnused is like Retire, except that it retires only those connection-id
// keys that no open connection uses; inUse has the number of connections for each
// key. A connection may use the ids that were issued to it for hours, and packets
// with an id under a retired key are dropped. RetireUnused also returns the
// connection-id keys that remain Previous.
func RetireUnused(bundle anvilglade.KeyBundle, set Set, inUse map[anvilglade.KeyID]int) (anvilglade.KeyBundle, []anvilglade.KeyID, error) {
	changed, err := Retire(bundle, set)
	if err != nil || set == SetDatagram {
		return changed, nil, err
	}
	var remaining []anvilglade.KeyID
	keys := slices.Clone(bundle.ConnectionID)
	for i, key := range keys {
		if key.State != anvilglade.KeyPrevious {
			continue
		}
		if inUse[key.ID] > 0 {
			remaining = append(remaining, key.ID)
			continue
		}
		keys[i] = withStates(keys[i:i+1], map[anvilglade.KeyState]anvilglade.KeyState{anvilglade.KeyPrevious: anvilglade.KeyRetired})[0]
	}
	changed.ConnectionID = pruneRetired(keys)
	return changed, remaining, nil
}

func eachSet(bundle anvilglade.KeyBundle, set Set, change func(Set, []anvilglade.Key) ([]anvilglade.Key, error)) (anvilglade.KeyBundle, error) {
	changed := bundle
	var err error
	if set != SetConnectionID {
		if changed.Datagram, err = change(SetDatagram, bundle.Datagram); err != nil {
			return bundle, fmt.Errorf("datagram keys: %w", err)
		}
	}
	if set != SetDatagram {
		if changed.ConnectionID, err = change(SetConnectionID, bundle.ConnectionID); err != nil {
			return bundle, fmt.Errorf("connection-id keys: %w", err)
		}
	}
	return changed, nil
}

func countState(keys []anvilglade.Key, state anvilglade.KeyState) int {
	count := 0
	for _, key := range keys {
		if key.State == state {
			count++
		}
	}
	return count
}

func hasState(keys []anvilglade.Key, state anvilglade.KeyState) bool {
	return slices.ContainsFunc(keys, func(key anvilglade.Key) bool { return key.State == state })
}

func withStates(keys []anvilglade.Key, states map[anvilglade.KeyState]anvilglade.KeyState) []anvilglade.Key {
	changed := slices.Clone(keys)
	for i, key := range changed {
		if state, ok := states[key.State]; ok {
			changed[i].State = state
		}
		if changed[i].State == anvilglade.KeyRetired {
			changed[i].Secret = anvilglade.Secret{}
		}
	}
	return changed
}

// pruneRetired removes all retired keys except the newest maxListedRetired. Keys
// are listed in the order in which they were generated.
func pruneRetired(keys []anvilglade.Key) []anvilglade.Key {
	excess := -maxListedRetired
	for _, key := range keys {
		if key.State == anvilglade.KeyRetired {
			excess++
		}
	}
	return slices.DeleteFunc(keys, func(key anvilglade.Key) bool {
		if key.State != anvilglade.KeyRetired || excess <= 0 {
			return false
		}
		excess--
		return true
	})
}

// freeID returns the first id after that of the newest key that no listed key
// has. It returns an error if there is none.
func freeID(keys []anvilglade.Key) (anvilglade.KeyID, error) {
	used := map[anvilglade.KeyID]bool{}
	for _, key := range keys {
		used[key.ID] = true
	}
	id := anvilglade.KeyID(0)
	if len(keys) > 0 {
		id = keys[len(keys)-1].ID
	}
	for range int(anvilglade.FirstJoinKey) {
		id++
		if id >= anvilglade.FirstJoinKey {
			id = 0
		}
		if !used[id] {
			return id, nil
		}
	}
	return 0, errors.New("no free key id")
}
