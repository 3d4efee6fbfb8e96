// Package agedit is the operators' edit path over the object API.
//
// An edit is a set of row changes with the rows as the operator saw them. The
// editor reads the object, applies the changes, validates the result and writes
// it under the condition that the object still has the version that was read.
// If another edit came first, it reads again: changes to other rows are
// rebased, a change to the same row is a conflict that shows both versions.
//
// The verdict is Accepted, Rejected or Unknown, and it is never a guess:
//
//   - Each edit has a random id that is stored in the object's history, so a
//     write whose answer was lost is recognised later.
//   - Such a write is only repeated under the same condition. Of two writes with
//     the same condition at most one takes effect.
//   - An id that is missing proves nothing while the object still has the
//     version that the write required, because the write may arrive late. It
//     proves that the edit did not and never will take effect once the object
//     has a higher version and the history reaches back to the required one.
//   - An edit that finds its rows as wanted is written all the same. Only an
//     accepted write shows that the version that was read is the newest one.
//
// # Usage
//
//	editor := agedit.NewEditor(agedit.Options{Store: store, Author: "ada"})
//	snapshot, err := editor.Read(ctx)
//	if err != nil {
//		return err
//	}
//	changes, err := agconfig.Diff(snapshot.Document.Tables, wanted)
//	if err != nil {
//		return err
//	}
//	verdict := editor.Submit(ctx, agedit.Request{Base: snapshot.Revision, Changes: changes})
package agedit

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agconfig"
)

// Outcome is what is known of an edit.
type Outcome string

// Outcomes of an edit.
const (
	// Accepted means that the edit is in effect from its revision on.
	Accepted Outcome = "Accepted"
	// Rejected means that the edit did not and will not take effect.
	Rejected Outcome = "Rejected"
	// Unknown means that the edit may have taken effect or still may.
	Unknown Outcome = "Unknown"
)

// Defaults of Options.
const (
	DefaultAttempts = 40
	firstPause      = 20 * time.Millisecond
	longestPause    = time.Second
)

// Options are the parts of an editor. Store and Author are required.
type Options struct {
	Store  anvilglade.Store
	Author string
	Clock  anvilglade.Clock
	// Attempts bounds the reads of one edit.
	Attempts int
	// Pause waits between attempts; tests replace it.
	Pause func(ctx context.Context, wait time.Duration) error
	// NewID draws edit ids; tests replace it.
	NewID func() anvilglade.EditID
}

// Editor submits edits. It is safe for concurrent use.
type Editor struct {
	options Options
}

// NewEditor returns an editor.
func NewEditor(options Options) *Editor {
	if options.Clock == nil {
		options.Clock = anvilglade.SystemClock{}
	}
	if options.Attempts == 0 {
		options.Attempts = DefaultAttempts
	}
	if options.Pause == nil {
		options.Pause = pause
	}
	if options.NewID == nil {
		options.NewID = func() anvilglade.EditID { return anvilglade.EditID(rand.Text()) }
	}
	return &Editor{options: options}
}

func pause(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Snapshot is the configuration object as read. It can be older than the newest
// one.
type Snapshot struct {
	Revision anvilglade.Revision
	Document agconfig.Document
}

// Read returns the object. An object that does not exist is an empty document
// at revision 0.
func (e *Editor) Read(ctx context.Context) (Snapshot, error) {
	object, err := e.options.Store.Get(ctx, agconfig.ObjectKind, agconfig.ObjectName)
	if errors.Is(err, anvilglade.ErrNotFound) {
		return Snapshot{}, nil
	}
	if err != nil {
		return Snapshot{}, fmt.Errorf("read configuration: %w", err)
	}
	document, err := agconfig.Decode(object.Data)
	if err != nil {
		return Snapshot{}, err
	}
	return Snapshot{Revision: anvilglade.Revision(object.Version), Document: document}, nil
}

// Request is one edit.
type Request struct {
	// ID is drawn if empty. A caller that repeats an edit sets the same id.
	ID anvilglade.EditID
	// Base is the revision at which the operator saw the rows.
	Base    anvilglade.Revision
	Comment string
	// Changes lists every row that the edit relies on; see agconfig.Pin.
	Changes []agconfig.Change
	// Exact rejects the edit unless Base is the newest revision. Edits of whole
	// tables need it, because their changes do not name the rows that others
	// add in the meantime.
	Exact bool
	// Force and Known are passed to the validation.
	Force bool
	Known []anvilglade.HostRecord
}

// Verdict is the result of an edit.
type Verdict struct {
	Outcome Outcome
	EditID  anvilglade.EditID
	// Revision is the one that the edit produced if Accepted, else the newest
	// one that was seen.
	Revision anvilglade.Revision
	// Base is the revision that the write required; it is needed to resolve an
	// Unknown outcome.
	Base      anvilglade.Revision
	Changes   []agconfig.Change    `json:",omitempty"`
	Faults    agconfig.FaultsError `json:",omitempty"`
	Conflicts []agconfig.Conflict  `json:",omitempty"`
	// Outdated is set if an Exact edit was not made for the newest revision.
	Outdated bool   `json:",omitempty"`
	Reason   string `json:",omitempty"`
}
