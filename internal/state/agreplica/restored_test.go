package agreplica

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
	"github.com/anvilglade/anvilglade/internal/stand/agapi"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

// applyLimit is the time within which an accepted edit takes effect everywhere.
const applyLimit = 9 * time.Second

// Guards against an edit that is accepted after the store has been restored from an older
// copy and not put into effect, because its version is lower than the former one.
func TestEditTakesEffectAfterTheStoreIsRestored(t *testing.T) {
	stand := agapi.NewServer(agapi.Options{})
	server := httptest.NewServer(stand)
	defer server.Close()
	store, stop, err := agplatform.NewStore(agplatform.StoreOptions{URL: server.URL, WatchWait: 200 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), applyLimit)
	defer cancel()
	edited := anvilglade.Object{Kind: string(anvilglade.RecordConfiguration), Name: "current"}
	version := anvilglade.Version(0)
	for _, text := range []string{"first", "second", "third"} {
		edited.Data = []byte(text)
		if version, err = store.Put(ctx, edited, version); err != nil {
			t.Fatal(err)
		}
	}
	replica, object := NewReplica(), WatchedObject{Kind: anvilglade.RecordConfiguration, Name: "current"}
	watcher := NewWatcher(replica, store, WatcherOptions{Balancers: func() int { return 1 }, Events: agevent.NewRing("test", 16, anvilglade.SystemClock{})})
	if _, err := watcher.poll(ctx, object); err != nil {
		t.Fatal(err)
	}
	// The copy is older than the object.
	stand.Objects().Restore(time.Minute)
	edited.Data = []byte("after the restoration")
	if _, err := store.Put(ctx, edited, 0); err != nil {
		t.Fatal(err)
	}
	for ctx.Err() == nil {
		if record, _ := replica.Get(object.Kind, object.Name); string(record.Payload) == string(edited.Data) {
			return
		}
		// A failed poll is repeated, as the task of the watcher does.
		_, _ = watcher.poll(ctx, object)
	}
	record, _ := replica.Get(object.Kind, object.Name)
	t.Errorf("%q with version %d is in effect after %s, want %q", record.Payload, record.Version, applyLimit, edited.Data)
}
