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

// staleStore returns an old object for its first reads.
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

// TestStaleReadsDecideNothing guards against two errors after stale reads: an edit
// that takes a data centre out of service is accepted without a change although
// another operator has returned the data centre to service, and a rollback of
// whole tables removes an edit that is newer than the read.
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
			t.Fatalf("edit before the stale reads was not accepted: %+v", verdict)
		}
	}
	old, err := store.Get(t.Context(), agconfig.ObjectKind, agconfig.ObjectName)
	if err != nil {
		t.Fatal(err)
	}
	if _, verdict := setState(t, fresh, "In"); verdict.Outcome != agedit.Accepted {
		t.Fatalf("edit before the stale reads was not accepted: %+v", verdict)
	}
	stale := agedit.NewEditor(agedit.Options{Store: &staleStore{Store: store, old: old, reads: 2}, Author: "ada"})
	staleSnapshot, verdict := setState(t, stale, "Out")
	if verdict.Outcome != agedit.Rejected || len(verdict.Conflicts) != 1 || verdict.Conflicts[0].By.Author != "ben" {
		t.Errorf("edit whose row already has the wanted value in a stale read: got %+v, want Rejected with one conflict by ben", verdict)
	}
	changes, err := agedit.RollbackTo(staleSnapshot, 1, "")
	if err != nil {
		t.Fatal(err)
	}
	verdict = stale.Submit(t.Context(), agedit.Request{Base: staleSnapshot.Revision, Changes: changes, Exact: true})
	if verdict.Outcome != agedit.Rejected || !verdict.Outdated {
		t.Errorf("rollback based on an old revision: got %+v, want Rejected and Outdated", verdict)
	}
}
