package agedit_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agconfig"
	"github.com/anvilglade/anvilglade/internal/config/agedit"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/stand/agapi"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

const (
	operatorCount    = 8
	editsPerOperator = 25
)

// TestRacingOperatorsWithLostAnswers guards against lost, repeated or misreported
// edits when eight operators edit concurrently over HTTP and a fifth of the
// responses to writes is lost. Each operator edits its own row, so that every edit
// must be accepted in the end.
func TestRacingOperatorsWithLostAnswers(t *testing.T) {
	platform := agapi.NewServer(agapi.Options{})
	if err := platform.Play(agapi.Script{Seed: 11, Steps: []agapi.Step{{Faults: agapi.Faults{LostAnswers: 0.2}}}}); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(platform)
	defer server.Close()
	group, stop, err := agtask.NewGroup(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	var mu sync.Mutex
	verdicts := map[anvilglade.EditID]agedit.Verdict{}
	for i := range operatorCount {
		if err := group.Start("racer", func(ctx context.Context) error {
			store, closeStore, err := agplatform.NewStore(agplatform.StoreOptions{URL: server.URL, ReadsPerSecond: 1000, WritesPerSecond: 1000})
			if err != nil {
				return err
			}
			defer closeStore()
			editor := agedit.NewEditor(agedit.Options{Store: store, Author: fmt.Sprint(i), Attempts: 1000, Pause: shortPause})
			for n := range editsPerOperator {
				verdict, err := submitOnce(ctx, editor, i, n)
				if err != nil {
					return err
				}
				mu.Lock()
				verdicts[verdict.EditID] = verdict
				mu.Unlock()
			}
			return nil
		}); err != nil {
			t.Fatal(err)
		}
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	if lost := platform.Counts().Lost; lost == 0 {
		t.Error("no answer was lost, so lost answers were not tested")
	}
	checkResult(t, platform, verdicts)
}

// shortPause waits for a tenth of the requested pause to keep the test short. The
// rate limits of the simulated platform keep the load within bounds.
func shortPause(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait / 10):
		return nil
	}
}

func submitOnce(ctx context.Context, editor *agedit.Editor, index, n int) (agedit.Verdict, error) {
	snapshot, err := editor.Read(ctx)
	if err != nil {
		return agedit.Verdict{}, err
	}
	name := anvilglade.DataCentreID(fmt.Sprintf("dc%d", index))
	row := anvilglade.DataCentre{Name: name, Region: anvilglade.RegionID(fmt.Sprintf("r%d", n)), State: anvilglade.DataCentreIn}
	var ownRows anvilglade.Tables
	for _, centre := range snapshot.Document.Tables.DataCentres {
		if centre.Name == name {
			ownRows.DataCentres = append(ownRows.DataCentres, centre)
		}
	}
	changes, err := agconfig.Diff(ownRows, anvilglade.Tables{DataCentres: []anvilglade.DataCentre{row}})
	if err != nil {
		return agedit.Verdict{}, err
	}
	return editor.Submit(ctx, agedit.Request{Base: snapshot.Revision, Changes: changes}), nil
}

func checkResult(t *testing.T, platform *agapi.Server, verdicts map[anvilglade.EditID]agedit.Verdict) {
	t.Helper()
	revisions := map[anvilglade.Revision]bool{}
	for id, verdict := range verdicts {
		if verdict.Outcome != agedit.Accepted {
			t.Errorf("verdict on edit %s is %s, want Accepted: %s", id, verdict.Outcome, verdict.Reason)
		}
		if revisions[verdict.Revision] {
			t.Errorf("two verdicts have the revision %d", verdict.Revision)
		}
		revisions[verdict.Revision] = true
	}
	object, _ := platform.Objects().Get(agconfig.ObjectKind, agconfig.ObjectName, 0)
	if object.Version != operatorCount*editsPerOperator {
		t.Errorf("%d writes took effect, want %d", object.Version, operatorCount*editsPerOperator)
	}
	data, err := agplatform.DecodeSpec(object.Data)
	if err != nil {
		t.Fatal(err)
	}
	document, err := agconfig.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	for _, centre := range document.Tables.DataCentres {
		if want := anvilglade.RegionID(fmt.Sprintf("r%d", editsPerOperator-1)); centre.Region != want {
			t.Errorf("row %s ends with %s, want %s", centre.Name, centre.Region, want)
		}
	}
	t.Logf("%d edits, API calls: %+v", len(verdicts), platform.Counts())
}
