package agapi

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/anvilglade/anvilglade"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

// errOutage ends calls during an outage.
var errOutage = errors.New("outage")

// backend offers the objects to the handler of the store's protocol, as old as
// the context of the call says.
type backend struct {
	server *Server
}

var _ agplatform.StoreBackend = (*backend)(nil)

func missing(kind, name string) error {
	return fmt.Errorf("object %s/%s: %w", kind, name, anvilglade.ErrNotFound)
}

// Get returns an object.
func (b *backend) Get(ctx context.Context, kind, name string) (anvilglade.Object, error) {
	object, ok := b.server.objects.Get(kind, name, ageOf(ctx))
	if !ok {
		return anvilglade.Object{}, missing(kind, name)
	}
	return object, nil
}

// List returns the objects of a kind.
func (b *backend) List(ctx context.Context, kind string) ([]anvilglade.Object, anvilglade.StoreRevision, error) {
	revision := b.server.objects.Revision()
	return b.server.objects.List(kind, ageOf(ctx)), revision, nil
}

// Create writes an object that does not exist yet.
func (b *backend) Create(_ context.Context, object anvilglade.Object) (anvilglade.Object, error) {
	return b.put(object, 0)
}

// Replace writes an object that exists.
func (b *backend) Replace(_ context.Context, object anvilglade.Object, ifVersion anvilglade.Version) (anvilglade.Object, error) {
	stored, ok := b.server.objects.Get(object.Kind, object.Name, 0)
	if !ok {
		return anvilglade.Object{}, missing(object.Kind, object.Name)
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

// Delete removes an object.
func (b *backend) Delete(_ context.Context, kind, name string, ifVersion anvilglade.Version) error {
	stored, ok := b.server.objects.Get(kind, name, 0)
	if !ok {
		return missing(kind, name)
	}
	if ifVersion == 0 {
		ifVersion = stored.Version
	}
	_, err := b.put(anvilglade.Object{Kind: kind, Name: name}, ifVersion)
	return err
}

// Changes waits for changes of a kind. With stale answers it looks again every
// stalePoll, as a stale view changes with time and not only with a write.
func (b *backend) Changes(ctx context.Context, kind string, after anvilglade.StoreRevision, wait time.Duration) ([]anvilglade.Object, anvilglade.StoreRevision, error) {
	s := b.server
	s.watchCount.Add(1)
	end := time.NewTimer(wait)
	defer end.Stop()
	poll := time.NewTicker(stalePoll)
	defer poll.Stop()
	for {
		changed := s.objects.Changed()
		if s.faults.now().Outage {
			s.unavailable.Add(1)
			return nil, 0, errOutage
		}
		objects, revision := s.objects.Changes(kind, anvilglade.Version(after), ageOf(ctx))
		if len(objects) > 0 {
			return objects, revision, nil
		}
		select {
		case <-changed:
		case <-poll.C:
		case <-end.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}
