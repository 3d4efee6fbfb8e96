// Package agedit submits edits of operators to the configuration object through
// the platform's object API.
//
// An edit is a set of row changes, each with the previous value of the row that the
// edit is based on. The editor reads the object, applies the changes, validates the
// result and writes it on the condition that the object still has the version that
// was read. If another edit was written first, the editor reads again: changes to
// other rows are rebased, and a change to the same row is a conflict that shows
// both versions.
//
// The verdict is Accepted, Rejected or Unknown. Accepted and Rejected are returned
// only on proof:
//
//   - Each edit has a random id that is stored in the object's history, so that a
//     write whose response was lost can be recognised later.
//   - Such a write is repeated only on the same condition. Of two writes with the
//     same condition, at most one takes effect.
//   - While the object still has the version that the write required, a missing id
//     proves nothing, because the write may arrive late. Once the object has a
//     higher version and the history reaches back to the required one, a missing id
//     proves that the edit did not take effect and never will.
//   - An edit whose rows already have the wanted values is written nevertheless.
//     Only an accepted write proves that the version that was read is the newest
//     one.
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

// Outcome is the result of an edit as far as it can be proved.
type Outcome string

// Outcomes of an edit.
const (
	// Accepted means that the edit is in effect from its revision on.
	Accepted Outcome = "Accepted"
	// Rejected means that the edit did not and will not take effect.
	Rejected Outcome = "Rejected"
	// Unknown means that the edit may have taken effect or may still take effect.
	Unknown Outcome = "Unknown"
)

// DefaultAttempts is the default of Options.Attempts. The pause between two attempts
// of an edit rises from initialPause to maxPause.
const (
	DefaultAttempts = 40
	initialPause    = 20 * time.Millisecond
	maxPause        = time.Second
)

// Options contains the dependencies and settings of an editor. Store and Author are
// required.
type Options struct {
	Store  anvilglade.Store
	Author string
	Clock  anvilglade.Clock
	// Attempts is the maximum number of reads for one edit.
	Attempts int
	// Pause waits between two attempts; tests replace it.
	Pause func(ctx context.Context, wait time.Duration) error
	// NewID generates edit ids; tests replace it.
	NewID func() anvilglade.EditID
}

// Editor submits edits. It is safe for concurrent use.
type Editor struct {
	options Options
}

// NewEditor returns an editor. Options that are not set get their defaults.
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

// Snapshot is the configuration object as read. It may be older than the newest
// revision.
type Snapshot struct {
	Revision anvilglade.Revision
	Document agconfig.Document
}

// Read returns the configuration object. If the object does not exist, it returns
// an empty document at revision 0.
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
	// ID is generated if empty. A caller that repeats an edit must set the same id.
	ID anvilglade.EditID
	// Base is the revision of the rows that the changes are based on.
	Base    anvilglade.Revision
	Comment string
	// Changes lists every row that the edit depends on; see
	// agconfig.AddPrecondition.
	Changes []agconfig.Change
	// Exact rejects the edit unless Base is the newest revision. Edits of whole
	// tables need it, because their changes do not list rows that other edits have
	// added since.
	Exact bool
	// Force and Known are passed to the validation.
	Force bool
	Known []anvilglade.HostRecord
}

// Verdict is the result of an edit.
type Verdict struct {
	Outcome Outcome
	EditID  anvilglade.EditID
	// Revision is the revision that the edit produced if it was Accepted, else the
	// newest revision that was read.
	Revision anvilglade.Revision
	// Base is the revision that the write required. Resolve needs it if the outcome
	// is Unknown.
	Base      anvilglade.Revision
	Changes   []agconfig.Change    `json:",omitempty"`
	Faults    agconfig.FaultsError `json:",omitempty"`
	Conflicts []agconfig.Conflict  `json:",omitempty"`
	// Outdated is true if an Exact edit was not based on the newest revision.
	Outdated bool   `json:",omitempty"`
	Reason   string `json:",omitempty"`
}
