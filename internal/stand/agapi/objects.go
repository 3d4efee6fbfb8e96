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
	era     anvilglade.StoreEra
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
	return &Objects{clock: clock, era: 1, objects: map[string][]storedObject{}, changed: make(chan struct{})}
}

// Get returns the object as it was before the given age; age 0 is its newest
// version. It returns false if the object did not exist then.
func (o *Objects) Get(kind, name string, age time.Duration) (anvilglade.Object, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	object, ok := newestAt(o.objects[kind+"/"+name], o.clock.Now().Add(-age))
	return object, ok && object.Data != nil
}

// Position returns the era and the version number of the newest write.
func (o *Objects) Position() anvilglade.StorePosition {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.position()
}

func (o *Objects) position() anvilglade.StorePosition {
	return anvilglade.StorePosition{Era: o.era, Revision: anvilglade.StoreRevision(o.counter)}
}

// Restore replaces the state by a copy that is as old as age, at most versionRetention,
// and begins a new era. The version numbers that the copy lacks are given out again.
func (o *Objects) Restore(age time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	copiedAt := o.clock.Now().Add(-age)
	o.counter = 0
	for key, versions := range o.objects {
		kept := slices.DeleteFunc(slices.Clone(versions), func(stored storedObject) bool { return stored.writtenAt.After(copiedAt) })
		if len(kept) == 0 {
			delete(o.objects, key)
			continue
		}
		o.objects[key] = kept
		o.counter = max(o.counter, kept[len(kept)-1].object.Version)
	}
	o.era++
	o.signalChange()
}

// signalChange ends the waits on Changed. The caller holds the mutex.
func (o *Objects) signalChange() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// Changes returns the objects of a kind with a version above after, and the position up
// to which the list is complete. Deleted objects have no Data. It returns false if the
// store has not reached that version in the present era.
func (o *Objects) Changes(kind string, after anvilglade.Version, age time.Duration) ([]anvilglade.Object, anvilglade.StorePosition, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	position := o.position()
	if after > o.counter {
		return nil, position, false
	}
	if age > 0 {
		position.Revision = anvilglade.StoreRevision(after)
	}
	found := o.list(kind, age, func(object anvilglade.Object) bool { return object.Version > after })
	for _, object := range found {
		position.Revision = max(position.Revision, anvilglade.StoreRevision(object.Version))
	}
	return found, position, true
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
// name, and the present position.
func (o *Objects) List(kind string, age time.Duration) ([]anvilglade.Object, anvilglade.StorePosition) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.list(kind, age, func(object anvilglade.Object) bool { return object.Data != nil }), o.position()
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
	o.signalChange()
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
