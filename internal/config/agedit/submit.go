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

// ErrContention means that in every attempt another edit was written first.
var ErrContention = errors.New("other edits came first in every attempt")

// submission is the state of one edit over its attempts.
type submission struct {
	editor  *Editor
	request Request
	// minRevision is the lowest revision of a read that is not stale.
	minRevision anvilglade.Revision
	// writePending is true while a write with the required revision base may still
	// take effect.
	writePending bool
	base         anvilglade.Revision
	// lastErr is the reason why the previous attempt did not decide the edit.
	lastErr      error
	readRevision anvilglade.Revision
}

// Submit applies an edit. It returns when the edit is accepted or rejected, after
// the last attempt, or when ctx ends.
func (e *Editor) Submit(ctx context.Context, request Request) Verdict {
	if request.ID == "" {
		request.ID = e.options.NewID()
	}
	s := &submission{editor: e, request: request, minRevision: request.Base, lastErr: ErrContention}
	wait := initialPause
	for range e.options.Attempts {
		if verdict, done := s.tryOnce(ctx); done {
			return verdict
		}
		// Half of the pause is random, so that concurrent editors do not collide
		// again in each attempt.
		if err := e.options.Pause(ctx, wait/2+rand.N(wait/2)); err != nil {
			break
		}
		wait = min(2*wait, maxPause)
	}
	return s.giveUp()
}

func (s *submission) verdict(outcome Outcome, revision anvilglade.Revision) Verdict {
	return Verdict{Outcome: outcome, EditID: s.request.ID, Revision: revision, Base: s.base}
}

// recordError sets lastErr to the reason of a failed attempt. An earlier reason is
// kept once ctx has ended, or if the client did not send the call before the end of
// ctx: the earlier one is more specific.
func (s *submission) recordError(ctx context.Context, err error) {
	ended := ctx.Err() != nil || errors.Is(err, anvilglade.ErrRateLimited)
	if !ended || errors.Is(s.lastErr, ErrContention) {
		s.lastErr = err
	}
}

func (s *submission) giveUp() Verdict {
	if s.writePending {
		verdict := s.verdict(Unknown, s.readRevision)
		verdict.Reason = s.lastErr.Error()
		return verdict
	}
	verdict := s.verdict(Rejected, s.readRevision)
	verdict.Reason = fmt.Sprintf("nothing was written: %v", s.lastErr)
	return verdict
}

// tryOnce does one read and, if the edit can be applied to the result, one write.
// It returns true if the verdict is final.
func (s *submission) tryOnce(ctx context.Context) (Verdict, bool) {
	snapshot, err := s.editor.Read(ctx)
	if err != nil {
		s.recordError(ctx, err)
		return Verdict{}, false
	}
	if snapshot.Revision < s.minRevision {
		s.lastErr = fmt.Errorf("read revision %d, but %d exists", snapshot.Revision, s.minRevision)
		return Verdict{}, false
	}
	s.readRevision = snapshot.Revision
	if edit, revision, ok := snapshot.Document.Find(s.request.ID, snapshot.Revision); ok {
		return s.resolveExisting(edit, revision), true
	}
	if s.writePending && snapshot.Revision > s.base {
		if !snapshot.Document.Covers(s.base) {
			s.lastErr = fmt.Errorf("the history at revision %d no longer reaches back to revision %d", snapshot.Revision, s.base)
			return s.giveUp(), true
		}
		s.writePending = false
	}
	next, verdict, done := s.buildDocument(snapshot)
	if done {
		return verdict, true
	}
	return s.write(ctx, snapshot, next)
}

// resolveExisting returns the verdict on an edit whose id is in the history. It is
// rejected if the author or the changes differ, because a caller that sets ids
// itself may have used the id of another edit.
func (s *submission) resolveExisting(edit agconfig.Edit, revision anvilglade.Revision) Verdict {
	s.base = edit.Base
	same := edit.Author == s.editor.options.Author
	for _, change := range edit.Changes {
		same = same && slices.ContainsFunc(s.request.Changes, func(wanted agconfig.Change) bool {
			return wanted.Table == change.Table && wanted.Row == change.Row && bytes.Equal(wanted.After, change.After)
		})
	}
	if !same {
		verdict := s.verdict(Rejected, revision)
		verdict.Reason = fmt.Sprintf("the id %s belongs to another edit, at revision %d", edit.ID, revision)
		return verdict
	}
	verdict := s.verdict(Accepted, revision)
	verdict.Changes = edit.Changes
	return verdict
}

// buildDocument applies the changes to a snapshot and validates the result. It
// returns either the document to write, or a final verdict and true.
func (s *submission) buildDocument(snapshot Snapshot) (agconfig.Document, Verdict, bool) {
	document := snapshot.Document
	if s.request.Exact && snapshot.Revision != s.request.Base {
		verdict := s.reject(snapshot, fmt.Sprintf("the edit was made for revision %d; look at the newer edits first", s.request.Base))
		verdict.Outdated = true
		return document, verdict, true
	}
	tables, applied, conflicts, err := agconfig.Apply(document.Tables, s.request.Changes)
	if err != nil {
		return document, s.reject(snapshot, err.Error()), true
	}
	if len(conflicts) > 0 {
		for i := range conflicts {
			conflicts[i].By, _ = document.LastChange(conflicts[i].Change.Table, conflicts[i].Change.Row)
		}
		verdict := s.reject(snapshot, "another edit changed the same rows")
		verdict.Conflicts = conflicts
		return document, verdict, true
	}
	options := agconfig.Options{Before: document.Tables, Force: s.request.Force, Known: s.request.Known}
	if faults := agconfig.ValidateEdit(tables, options); len(faults) > 0 {
		verdict := s.reject(snapshot, "the result has faults")
		verdict.Faults = faults
		return document, verdict, true
	}
	document.Tables = tables
	document.History = append(slices.Clone(document.History), agconfig.Edit{
		ID: s.request.ID, Author: s.editor.options.Author, Time: s.editor.options.Clock.Now().UTC().Truncate(time.Millisecond),
		Base: snapshot.Revision, Comment: s.request.Comment, Changes: applied,
	})
	return document, Verdict{}, false
}

// reject returns the verdict on an edit that would fail in every further attempt.
// The outcome is Unknown while a write is pending: the object then still has the
// revision base, at which the edit was valid before, and that write may still take
// effect.
func (s *submission) reject(snapshot Snapshot, reason string) Verdict {
	outcome := Rejected
	if s.writePending {
		outcome = Unknown
	}
	verdict := s.verdict(outcome, snapshot.Revision)
	verdict.Reason = fmt.Sprintf("at revision %d: %s", snapshot.Revision, reason)
	return verdict
}

func (s *submission) write(ctx context.Context, snapshot Snapshot, next agconfig.Document) (Verdict, bool) {
	data, err := agconfig.Encode(next)
	if err != nil {
		return s.reject(snapshot, err.Error()), true
	}
	object := anvilglade.Object{Kind: agconfig.ObjectKind, Name: agconfig.ObjectName, Data: data}
	version, err := s.editor.options.Store.Put(ctx, object, anvilglade.Version(snapshot.Revision))
	switch {
	case err == nil:
		s.base = snapshot.Revision
		verdict := s.verdict(Accepted, anvilglade.Revision(version))
		verdict.Changes = next.History[len(next.History)-1].Changes
		return verdict, true
	case errors.Is(err, anvilglade.ErrConflict):
		s.minRevision = snapshot.Revision + 1
		s.lastErr = ErrContention
	case errors.Is(err, anvilglade.ErrUnknownOutcome):
		s.writePending, s.base = true, snapshot.Revision
		s.recordError(ctx, err)
	default:
		s.recordError(ctx, err)
	}
	return Verdict{}, false
}
