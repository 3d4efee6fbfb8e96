package agedit

import (
	"context"
	"errors"
	"fmt"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agconfig"
)

// Errors of a rollback and of reading an earlier revision.
var (
	ErrNoEdit     = errors.New("the history does not hold the edit")
	ErrNoRevision = errors.New("the history does not reach back to the revision")
)

// Resolve determines the outcome of an edit whose verdict was Unknown. The
// parameter base is the Base of that verdict. Resolve first submits an edit without
// changes, which acts as a fence: it raises the version of the object, so that a
// late write of the edit can no longer take effect.
func (e *Editor) Resolve(ctx context.Context, id anvilglade.EditID, base anvilglade.Revision) Verdict {
	unknown := func(revision anvilglade.Revision, reason string) Verdict {
		return Verdict{Outcome: Unknown, EditID: id, Base: base, Revision: revision, Reason: reason}
	}
	fence := e.Submit(ctx, Request{Base: base, Comment: fmt.Sprintf("resolves edit %s", id)})
	if fence.Outcome != Accepted {
		return unknown(fence.Revision, "cannot write the edit that closes the open one: "+fence.Reason)
	}
	snapshot, err := e.readAtLeast(ctx, fence.Revision)
	if err != nil {
		return unknown(fence.Revision, err.Error())
	}
	if edit, revision, ok := snapshot.Document.Find(id, snapshot.Revision); ok {
		return Verdict{Outcome: Accepted, EditID: id, Revision: revision, Base: edit.Base, Changes: edit.Changes}
	}
	if !snapshot.Document.Covers(base) {
		return unknown(snapshot.Revision, ErrNoRevision.Error())
	}
	return Verdict{
		Outcome: Rejected, EditID: id, Revision: snapshot.Revision, Base: base,
		Reason: "the edit did not take effect and no longer can",
	}
}

// readAtLeast repeats stale reads until the object has at least the given revision.
func (e *Editor) readAtLeast(ctx context.Context, revision anvilglade.Revision) (Snapshot, error) {
	var lastErr error
	for range e.options.Attempts {
		snapshot, err := e.Read(ctx)
		if err == nil && snapshot.Revision >= revision {
			return snapshot, nil
		}
		lastErr = err
		if err := e.options.Pause(ctx, initialPause); err != nil {
			return Snapshot{}, err
		}
	}
	if lastErr == nil {
		lastErr = fmt.Errorf("reads do not show revision %d", revision)
	}
	return Snapshot{}, lastErr
}

// TablesAt returns the tables as of an earlier revision by reverting the edits after
// it. It returns ErrNoRevision if the history does not contain the revision.
func TablesAt(snapshot Snapshot, revision anvilglade.Revision) (anvilglade.Tables, error) {
	tables := snapshot.Document.Tables
	at := snapshot.Revision
	for i := len(snapshot.Document.History) - 1; i >= 0 && at > revision; i-- {
		edit := snapshot.Document.History[i]
		undone, _, conflicts, err := agconfig.Apply(tables, agconfig.Inverse(edit.Changes))
		if err != nil {
			return tables, err
		}
		if len(conflicts) > 0 {
			return tables, fmt.Errorf("edit %s does not match the tables", edit.ID)
		}
		tables, at = undone, edit.Base
	}
	if at != revision {
		return tables, fmt.Errorf("%w %d; it holds no such revision or starts later", ErrNoRevision, revision)
	}
	return tables, nil
}

// RollbackTo returns the changes that restore the tables as of a revision. If table
// is not empty, only rows of that table are restored. It returns ErrNoRevision if
// the history does not contain the revision.
func RollbackTo(snapshot Snapshot, revision anvilglade.Revision, table string) ([]agconfig.Change, error) {
	tables, err := TablesAt(snapshot, revision)
	if err != nil {
		return nil, err
	}
	changes, err := agconfig.Diff(snapshot.Document.Tables, tables)
	if err != nil {
		return nil, err
	}
	return filterTable(changes, table), nil
}

// RollbackEdit returns the changes that revert one edit. They will conflict if the
// rows of the edit have changed since. If table is not empty, only rows of that
// table are reverted. It returns ErrNoEdit if the history does not contain the edit.
func RollbackEdit(snapshot Snapshot, id anvilglade.EditID, table string) ([]agconfig.Change, error) {
	edit, _, ok := snapshot.Document.Find(id, snapshot.Revision)
	if !ok {
		return nil, fmt.Errorf("%w %s", ErrNoEdit, id)
	}
	return filterTable(agconfig.Inverse(edit.Changes), table), nil
}

func filterTable(changes []agconfig.Change, table string) []agconfig.Change {
	if table == "" {
		return changes
	}
	var filtered []agconfig.Change
	for _, change := range changes {
		if change.Table == table {
			filtered = append(filtered, change)
		}
	}
	return filtered
}
