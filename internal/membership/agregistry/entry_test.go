package agregistry_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/membership/agregistry"
	"github.com/anvilglade/anvilglade/internal/stand/agapi"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

// Guards against a process that later processes cannot discover, because the store was
// restored from a copy that lacks its entry.
func TestProcessJoinsAgainInANewEra(t *testing.T) {
	stand := agapi.NewServer(agapi.Options{})
	server := httptest.NewServer(stand)
	defer server.Close()
	store, stop, err := agplatform.NewStore(agplatform.StoreOptions{URL: server.URL})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	ctx, address := context.Background(), anvilglade.IPv4{10, 0, 0, 1}
	registry := agregistry.NewRegistry(store, agregistry.KindAgent)
	entry := agregistry.NewEntry(registry, address, "agent-1")
	join := func(era anvilglade.StoreEra, calls uint64) {
		t.Helper()
		before := store.Calls()
		if err := entry.Join(ctx, era); err != nil {
			t.Fatal(err)
		}
		if got := store.Calls() - before; got != calls {
			t.Errorf("joining in era %d takes %d calls, want %d", era, got, calls)
		}
	}
	join(0, 1)
	join(1, 0)
	stand.Objects().Restore(time.Minute)
	join(2, 1)
	join(2, 0)
	members, _, err := registry.Members(ctx)
	if err != nil || len(members) != 1 || members[0] != address {
		t.Errorf("members are %v with the error %v, want %v", members, err, address)
	}
	// A copy that has the entry needs no other write.
	stand.Objects().Restore(0)
	join(3, 1)
	join(3, 0)
}
