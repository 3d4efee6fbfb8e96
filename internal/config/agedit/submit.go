package agedit

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agconfig"
)

// ErrContention means that other edits came first in every attempt.
var ErrContention = errors.New("other edits came first in every attempt")

// attempt is the state of one edit over its attempts.
type attempt struct {
	editor  *Editor
	request Request
	// floor is the lowest revision that a read may show; lower ones are stale.
	floor anvilglade.Revision
	// pending is set while a write that required base may take effect.
	pending bool
	base    anvilglade.Revision
	// last is the reason why the last attempt did not end the edit.
	last error
	seen anvilglade.Revision
}

// Submit applies an edit. It returns when the outcome is known, after the last
// attempt, or when ctx ends.
func (e *Editor) Submit(ctx context.Context, request Request) Verdict {
	if request.ID == "" {
		request.ID = e.options.NewID()
	}
	a := &attempt{editor: e, request: request, floor: request.Base, last: ErrContention}
	wait := firstPause
	for range e.options.Attempts {
		if verdict, done := a.try(ctx); done {
			return verdict
		}
		// Half of the pause is random, so that racing editors part.
		if err := e.options.Pause(ctx, wait/2+rand.N(wait/2)); err != nil {
			break
		}
		wait = min(2*wait, longestPause)
	}
	return a.giveUp()
}

func (a *attempt) verdict(outcome Outcome, revision anvilglade.Revision) Verdict {
	return Verdict{Outcome: outcome, EditID: a.request.ID, Revision: revision, Base: a.base}
}

// note keeps the reason of a failed attempt. The end of ctx says less than the
// failure before it.
func (a *attempt) note(ctx context.Context, err error) {
	if ctx.Err() == nil || errors.Is(a.last, ErrContention) {
		a.last = err
	}
}

func (a *attempt) giveUp() Verdict {
	if a.pending {
		verdict := a.verdict(Unknown, a.seen)
		verdict.Reason = a.last.Error()
		return verdict
	}
	verdict := a.verdict(Rejected, a.seen)
	verdict.Reason = fmt.Sprintf("nothing was written: %v", a.last)
	return verdict
}

// try does one read and, if it makes sense, one write.
func (a *attempt) try(ctx context.Context) (Verdict, bool) {
	snapshot, err := a.editor.Read(ctx)
	if err != nil {
		a.note(ctx, err)
		return Verdict{}, false
	}
	if snapshot.Revision < a.floor {
		a.last = fmt.Errorf("read revision %d, but %d exists", snapshot.Revision, a.floor)
		return Verdict{}, false
	}
	a.seen = snapshot.Revision
	if edit, revision, ok := snapshot.Document.Find(a.request.ID, snapshot.Revision); ok {
		return a.found(edit, revision), true
	}
	if a.pending && snapshot.Revision > a.base {
		if !snapshot.Document.Covers(a.base) {
			a.last = fmt.Errorf("the history at revision %d no longer reaches back to revision %d", snapshot.Revision, a.base)
			return a.giveUp(), true
		}
		a.pending = false
	}
	next, verdict, done := a.build(snapshot)
	if done {
		return verdict, true
	}
	return a.write(ctx, snapshot, next)
}

// found ends an edit whose id is in the history. A caller that sets ids itself
// may have used the id of another edit, which says nothing of this one.
func (a *attempt) found(edit agconfig.Edit, revision anvilglade.Revision) Verdict {
	a.base = edit.Base
	same := edit.Author == a.editor.options.Author
	for _, change := range edit.Changes {
		same = same && slices.ContainsFunc(a.request.Changes, func(wanted agconfig.Change) bool {
			return wanted.Table == change.Table && wanted.Row == change.Row && bytes.Equal(wanted.After, change.After)
		})
	}
	if !same {
		verdict := a.verdict(Rejected, revision)
		verdict.Reason = fmt.Sprintf("the id %s belongs to another edit, at revision %d", edit.ID, revision)
		return verdict
	}
	verdict := a.verdict(Accepted, revision)
	verdict.Changes = edit.Changes
	return verdict
}

// build applies the changes and validates the result.
func (a *attempt) build(snapshot Snapshot) (agconfig.Document, Verdict, bool) {
	document := snapshot.Document
	if a.request.Exact && snapshot.Revision != a.request.Base {
		verdict := a.reject(snapshot, fmt.Sprintf("the edit was made for revision %d; look at the newer edits first", a.request.Base))
		verdict.Outdated = true
		return document, verdict, true
	}
	tables, applied, conflicts, err := agconfig.Apply(document.Tables, a.request.Changes)
	if err != nil {
		return document, a.reject(snapshot, err.Error()), true
	}
	if len(conflicts) > 0 {
		for i := range conflicts {
			conflicts[i].By, _ = document.LastChange(conflicts[i].Change.Table, conflicts[i].Change.Row)
		}
		verdict := a.reject(snapshot, "another edit changed the same rows")
		verdict.Conflicts = conflicts
		return document, verdict, true
	}
	options := agconfig.Options{Before: document.Tables, Force: a.request.Force, Known: a.request.Known}
	if faults := agconfig.ValidateEdit(tables, options); len(faults) > 0 {
		verdict := a.reject(snapshot, "the result has faults")
		verdict.Faults = faults
		return document, verdict, true
	}
	document.Tables = tables
	document.History = append(slices.Clone(document.History), agconfig.Edit{
		ID: a.request.ID, Author: a.editor.options.Author, Time: a.editor.options.Clock.Now().UTC().Truncate(time.Millisecond),
		Base: snapshot.Revision, Comment: a.request.Comment, Changes: applied,
	})
	return document, Verdict{}, false
}

// reject ends an edit on a ground that a repetition cannot change. While a write
// is pending the object is still at its base, where the edit passed before, so
// the outcome would then be Unknown.
func (a *attempt) reject(snapshot Snapshot, reason string) Verdict {
	outcome := Rejected
	if a.pending {
		outcome = Unknown
	}
	verdict := a.verdict(outcome, snapshot.Revision)
	verdict.Reason = fmt.Sprintf("at revision %d: %s", snapshot.Revision, reason)
	return verdict
}

func (a *attempt) write(ctx context.Context, snapshot Snapshot, next agconfig.Document) (Verdict, bool) {
	data, err := agconfig.Encode(next)
	if err != nil {
		return a.reject(snapshot, err.Error()), true
	}
	object := anvilglade.Object{Kind: agconfig.ObjectKind, Name: agconfig.ObjectName, Data: data}
	version, err := a.editor.options.Store.Put(ctx, object, anvilglade.Version(snapshot.Revision))
	switch {
	case err == nil:
		a.base = snapshot.Revision
		verdict := a.verdict(Accepted, anvilglade.Revision(version))
		verdict.Changes = next.History[len(next.History)-1].Changes
		return verdict, true
	case errors.Is(err, anvilglade.ErrConflict):
		a.floor = snapshot.Revision + 1
		a.last = ErrContention
	case errors.Is(err, anvilglade.ErrUnknownOutcome):
		a.pending, a.base = true, snapshot.Revision
		a.note(ctx, err)
	default:
		a.note(ctx, err)
	}
	return Verdict{}, false
}
