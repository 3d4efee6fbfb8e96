package agedit

import (
	"context"
	"errors"
	"fmt"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agconfig"
)

// Errors of a rollback or of reading a former revision.
var (
	ErrNoEdit     = errors.New("the history does not hold the edit")
	ErrNoRevision = errors.New("the history does not reach back to the revision")
)

// Resolve finds out what became of an edit whose outcome was Unknown. Base is
// the Base of its verdict. If the write may still arrive, Resolve submits an
// edit without changes: it raises the version, after which the write cannot
// take effect any more.
func (e *Editor) Resolve(ctx context.Context, id anvilglade.EditID, base anvilglade.Revision) Verdict {
	open := func(revision anvilglade.Revision, reason string) Verdict {
		return Verdict{Outcome: Unknown, EditID: id, Base: base, Revision: revision, Reason: reason}
	}
	fence := e.Submit(ctx, Request{Base: base, Comment: fmt.Sprintf("resolves edit %s", id)})
	if fence.Outcome != Accepted {
		return open(fence.Revision, "cannot write the edit that closes the open one: "+fence.Reason)
	}
	snapshot, err := e.readFrom(ctx, fence.Revision)
	if err != nil {
		return open(fence.Revision, err.Error())
	}
	if edit, revision, ok := snapshot.Document.Find(id, snapshot.Revision); ok {
		return Verdict{Outcome: Accepted, EditID: id, Revision: revision, Base: edit.Base, Changes: edit.Changes}
	}
	if !snapshot.Document.Covers(base) {
		return open(snapshot.Revision, ErrNoRevision.Error())
	}
	return Verdict{
		Outcome: Rejected, EditID: id, Revision: snapshot.Revision, Base: base,
		Reason: "the edit did not take effect and no longer can",
	}
}

// readFrom reads until the object has at least the revision.
func (e *Editor) readFrom(ctx context.Context, revision anvilglade.Revision) (Snapshot, error) {
	var last error
	for range e.options.Attempts {
		snapshot, err := e.Read(ctx)
		if err == nil && snapshot.Revision >= revision {
			return snapshot, nil
		}
		last = err
		if err := e.options.Pause(ctx, firstPause); err != nil {
			return Snapshot{}, err
		}
	}
	if last == nil {
		last = fmt.Errorf("reads do not show revision %d", revision)
	}
	return Snapshot{}, last
}

// TablesAt returns the tables as they were at a revision, by undoing the edits
// after it.
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

// RollbackTo returns the changes that restore the tables of a revision. If table
// is not empty, only its rows are restored.
func RollbackTo(snapshot Snapshot, revision anvilglade.Revision, table string) ([]agconfig.Change, error) {
	tables, err := TablesAt(snapshot, revision)
	if err != nil {
		return nil, err
	}
	changes, err := agconfig.Diff(snapshot.Document.Tables, tables)
	if err != nil {
		return nil, err
	}
	return onlyTable(changes, table), nil
}

// RollbackEdit returns the changes that undo one edit. They conflict if its rows
// have been changed since.
func RollbackEdit(snapshot Snapshot, id anvilglade.EditID, table string) ([]agconfig.Change, error) {
	edit, _, ok := snapshot.Document.Find(id, snapshot.Revision)
	if !ok {
		return nil, fmt.Errorf("%w %s", ErrNoEdit, id)
	}
	return onlyTable(agconfig.Inverse(edit.Changes), table), nil
}

func onlyTable(changes []agconfig.Change, table string) []agconfig.Change {
	if table == "" {
		return changes
	}
	var kept []agconfig.Change
	for _, change := range changes {
		if change.Table == table {
			kept = append(kept, change)
		}
	}
	return kept
}
