package agapi

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/anvilglade/anvilglade"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

// errOutage is the error of watches during an outage.
var errOutage = errors.New("outage")

// backend implements agplatform.StoreBackend on the objects of the server. Reads
// return the state at the age that the context of the call specifies, see ageOf.
type backend struct {
	server *Server
}

var _ agplatform.StoreBackend = (*backend)(nil)

func notFound(kind, name string) error {
	return fmt.Errorf("object %s/%s: %w", kind, name, anvilglade.ErrNotFound)
}

// Get returns an object, or an error that wraps ErrNotFound.
func (b *backend) Get(ctx context.Context, kind, name string) (anvilglade.Object, error) {
	object, ok := b.server.objects.Get(kind, name, ageOf(ctx))
	if !ok {
		return anvilglade.Object{}, notFound(kind, name)
	}
	return object, nil
}

// List returns the objects of a kind and the current position of the store.
func (b *backend) List(ctx context.Context, kind string) ([]anvilglade.Object, anvilglade.StorePosition, error) {
	objects, position := b.server.objects.List(kind, ageOf(ctx))
	return objects, position, nil
}

// Create writes a new object. It returns an error that wraps ErrConflict if the
// object exists.
func (b *backend) Create(_ context.Context, object anvilglade.Object) (anvilglade.Object, error) {
	return b.put(object, 0)
}

// Replace writes an existing object if its version is ifVersion; 0 matches any
// version. Errors wrap ErrNotFound or ErrConflict.
func (b *backend) Replace(_ context.Context, object anvilglade.Object, ifVersion anvilglade.Version) (anvilglade.Object, error) {
	stored, ok := b.server.objects.Get(object.Kind, object.Name, 0)
	if !ok {
		return anvilglade.Object{}, notFound(object.Kind, object.Name)
	}
	if ifVersion == 0 {
		ifVersion = stored.Version
	}
	return b.put(object, ifVersion)
}

func (b *backend) put(object anvilglade.Object, ifVersion anvilglade.Version) (anvilglade.Object, error) {
	version, ok := b.server.objects.Put(object, ifVersion)
	if !ok {
		return anvilglade.Object{}, fmt.Errorf("object %s/%s has version %d: %w", object.Kind, object.Name, version, anvilglade.ErrConflict)
	}
	object.Version = version
	return object, nil
}

// Delete removes an object if its version is ifVersion; 0 matches any version.
// Errors wrap ErrNotFound or ErrConflict.
func (b *backend) Delete(_ context.Context, kind, name string, ifVersion anvilglade.Version) error {
	stored, ok := b.server.objects.Get(kind, name, 0)
	if !ok {
		return notFound(kind, name)
	}
	if ifVersion == 0 {
		ifVersion = stored.Version
	}
	_, err := b.put(anvilglade.Object{Kind: kind, Name: name}, ifVersion)
	return err
}

// Changes waits up to the given time for changes of a kind after a revision. It
// also polls every stalePoll, because a stale view changes over time and not only
// on a write. During an outage it returns errOutage, and an error that wraps
// ErrHistoryGone for a revision that the store has not reached in the present era.
func (b *backend) Changes(ctx context.Context, kind string, after anvilglade.StoreRevision, wait time.Duration) ([]anvilglade.Object, anvilglade.StorePosition, error) {
	s := b.server
	s.watchCount.Add(1)
	end := time.NewTimer(wait)
	defer end.Stop()
	poll := time.NewTicker(stalePoll)
	defer poll.Stop()
	dropped := s.whenDropped()
	for {
		changed := s.objects.Changed()
		if s.faults.active().Outage {
			s.unavailable.Add(1)
			return nil, anvilglade.StorePosition{}, errOutage
		}
		objects, position, ok := s.objects.Changes(kind, anvilglade.Version(after), ageOf(ctx))
		if !ok {
			return nil, position, fmt.Errorf("changes of %s after revision %d: %w", kind, after, anvilglade.ErrHistoryGone)
		}
		if len(objects) > 0 {
			return objects, position, nil
		}
		select {
		case <-changed:
		case <-poll.C:
		case <-end.C:
			return nil, position, nil
		case <-dropped:
			<-ctx.Done()
			return nil, anvilglade.StorePosition{}, ctx.Err()
		case <-ctx.Done():
			return nil, anvilglade.StorePosition{}, ctx.Err()
		}
	}
}
