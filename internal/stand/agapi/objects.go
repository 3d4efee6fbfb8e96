package agapi

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/anvilglade/anvilglade"
)

// versionRetention is how long replaced versions are kept for stale answers.
const versionRetention = 2 * time.Minute

// Objects is the state of the object API: the newest version of each object and,
// for stale answers, the versions of the last two minutes. Version numbers come
// from one counter for all objects. It is safe for concurrent use.
type Objects struct {
	clock anvilglade.Clock

	mu      sync.Mutex
	counter anvilglade.Version
	objects map[string][]storedObject
	changed chan struct{}
}

type storedObject struct {
	object    anvilglade.Object
	writtenAt time.Time
}

// NewObjects returns a state without objects.
func NewObjects(clock anvilglade.Clock) *Objects {
	return &Objects{clock: clock, objects: map[string][]storedObject{}, changed: make(chan struct{})}
}

// Get returns the object as it was before the given age; age 0 is its newest
// version. It returns false if the object did not exist then.
func (o *Objects) Get(kind, name string, age time.Duration) (anvilglade.Object, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	object, ok := newestAt(o.objects[kind+"/"+name], o.clock.Now().Add(-age))
	return object, ok && object.Data != nil
}

// Revision returns the version number of the newest write.
func (o *Objects) Revision() anvilglade.StoreRevision {
	o.mu.Lock()
	defer o.mu.Unlock()
	return anvilglade.StoreRevision(o.counter)
}

// Changes returns the objects of a kind with a version above after, and the
// revision up to which the list is complete. Deleted objects have no Data.
func (o *Objects) Changes(kind string, after anvilglade.Version, age time.Duration) ([]anvilglade.Object, anvilglade.StoreRevision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	revision := max(o.counter, after)
	if age > 0 {
		revision = after
	}
	found := o.list(kind, age, func(object anvilglade.Object) bool { return object.Version > after })
	for _, object := range found {
		revision = max(revision, object.Version)
	}
	return found, anvilglade.StoreRevision(revision)
}

// newestAt returns the newest version that had been written at a time.
func newestAt(versions []storedObject, at time.Time) (anvilglade.Object, bool) {
	for _, version := range slices.Backward(versions) {
		if !version.writtenAt.After(at) {
			return version.object, true
		}
	}
	return anvilglade.Object{}, false
}

// List returns the objects of a kind as they were before the given age, sorted by
// name.
func (o *Objects) List(kind string, age time.Duration) []anvilglade.Object {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.list(kind, age, func(object anvilglade.Object) bool { return object.Data != nil })
}

// list returns the objects of a kind for which keep returns true, sorted by name.
func (o *Objects) list(kind string, age time.Duration, keep func(anvilglade.Object) bool) []anvilglade.Object {
	found := []anvilglade.Object{}
	for key, versions := range o.objects {
		if !strings.HasPrefix(key, kind+"/") {
			continue
		}
		if object, ok := newestAt(versions, o.clock.Now().Add(-age)); ok && keep(object) {
			found = append(found, object)
		}
	}
	slices.SortFunc(found, func(a, b anvilglade.Object) int { return strings.Compare(a.Name, b.Name) })
	return found
}

// Put writes an object if its stored version is ifVersion; 0 means that it must
// not exist. An object without Data is deleted. Put returns the new version and
// true, or, without a write, the stored version and false.
func (o *Objects) Put(object anvilglade.Object, ifVersion anvilglade.Version) (anvilglade.Version, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := object.Kind + "/" + object.Name
	versions := o.objects[key]
	var stored anvilglade.Version
	if len(versions) > 0 && versions[len(versions)-1].object.Data != nil {
		stored = versions[len(versions)-1].object.Version
	}
	if stored != ifVersion {
		return stored, false
	}
	o.counter++
	object.Version = o.counter
	object.Data = slices.Clone(object.Data)
	now := o.clock.Now()
	o.objects[key] = append(dropReplaced(versions, now.Add(-versionRetention)), storedObject{object: object, writtenAt: now})
	close(o.changed)
	o.changed = make(chan struct{})
	return object.Version, true
}

// dropReplaced removes the versions that were replaced before a time.
func dropReplaced(versions []storedObject, before time.Time) []storedObject {
	for len(versions) > 1 && versions[1].writtenAt.Before(before) {
		versions = versions[1:]
	}
	return versions
}

// Changed returns a channel that is closed at the next write.
func (o *Objects) Changed() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changed
}
