package agedit_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agconfig"
	"github.com/anvilglade/anvilglade/internal/config/agedit"
	"github.com/anvilglade/anvilglade/internal/stand/agapi"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

// staleStore answers its first reads with an old object.
type staleStore struct {
	anvilglade.Store
	old   anvilglade.Object
	reads int
}

func (s *staleStore) Get(ctx context.Context, kind, name string) (anvilglade.Object, error) {
	if s.reads > 0 {
		s.reads--
		return s.old, nil
	}
	return s.Store.Get(ctx, kind, name)
}

func setState(t *testing.T, editor *agedit.Editor, state anvilglade.DataCentreState) (agedit.Snapshot, agedit.Verdict) {
	t.Helper()
	snapshot, err := editor.Read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	wanted := anvilglade.Tables{DataCentres: []anvilglade.DataCentre{{Name: "dk1", Region: "dk", State: state}, {Name: "dk2", Region: "dk", State: "In"}}}
	changes, err := agconfig.Diff(snapshot.Document.Tables, wanted)
	if err != nil {
		t.Fatal(err)
	}
	if changes, err = agconfig.AddPrecondition(changes, snapshot.Document.Tables, agconfig.TableDataCentres, "dk1"); err != nil {
		t.Fatal(err)
	}
	return snapshot, editor.Submit(t.Context(), agedit.Request{Base: snapshot.Revision, Changes: changes})
}

// Guards against "already out of service" on the ground of a stale read, after
// another operator has brought the data centre back, and against a rollback of
// whole tables that wipes an edit which its operator has not seen.
func TestStaleReadsDecideNothing(t *testing.T) {
	server := httptest.NewServer(agapi.NewServer(agapi.Options{}))
	defer server.Close()
	store, stop, err := agplatform.NewStore(agplatform.StoreOptions{URL: server.URL})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	fresh := agedit.NewEditor(agedit.Options{Store: store, Author: "ben"})
	for _, state := range []anvilglade.DataCentreState{"In", "Out"} {
		if _, verdict := setState(t, fresh, state); verdict.Outcome != agedit.Accepted {
			t.Fatalf("%+v", verdict)
		}
	}
	old, err := store.Get(t.Context(), agconfig.ObjectKind, agconfig.ObjectName)
	if err != nil {
		t.Fatal(err)
	}
	if _, verdict := setState(t, fresh, "In"); verdict.Outcome != agedit.Accepted {
		t.Fatalf("%+v", verdict)
	}
	stale := agedit.NewEditor(agedit.Options{Store: &staleStore{Store: store, old: old, reads: 2}, Author: "ada"})
	seen, verdict := setState(t, stale, "Out")
	if verdict.Outcome != agedit.Rejected || len(verdict.Conflicts) != 1 || verdict.Conflicts[0].By.Author != "ben" {
		t.Errorf("an edit that a stale read makes look done got %+v", verdict)
	}
	changes, err := agedit.RollbackTo(seen, 1, "")
	if err != nil {
		t.Fatal(err)
	}
	verdict = stale.Submit(t.Context(), agedit.Request{Base: seen.Revision, Changes: changes, Exact: true})
	if verdict.Outcome != agedit.Rejected || !verdict.Outdated {
		t.Errorf("a rollback made for an old revision got %+v", verdict)
	}
}
