// Package agconfig defines the format of the configuration and its validation
// rules.
//
// The object Configuration/current contains a Document: the tables and the newest
// edits as JSON with names in Pascal case, compressed with flate. Rows are compared
// and edited by table and key. Validation returns all faults at once, each with
// table, row and field. A Matcher finds the pool to which a host belongs.
//
// The package does no input or output; internal/config/agedit reads and writes the
// object.
//
// # Usage
//
//	configuration, err := agconfig.Load(object.Version, object.Data)
//	if err != nil {
//		return err
//	}
//	matcher := agconfig.NewMatcher(configuration.Tables)
//	service, ok := matcher.Service("dk1-h03")
package agconfig

import (
	"encoding/json"
	"time"

	"github.com/anvilglade/anvilglade"
)

// Kind and name of the object that contains the configuration.
const (
	ObjectKind = "Configuration"
	ObjectName = "current"
)

// HistoryLength is the maximum number of edits in the history of a document.
const HistoryLength = 64

// Format is the version of the document's format.
const Format = 1

// Document is the content of the configuration object.
type Document struct {
	Format int
	Tables anvilglade.Tables
	// History contains the newest edits, oldest first. The Base of each entry is
	// the revision that the entry before it produced, so that no edit in between
	// is missing.
	History []Edit
}

// Edit is one accepted edit.
type Edit struct {
	ID     anvilglade.EditID
	Author string
	Time   time.Time
	// Base is the revision that the edit replaced, 0 for the first one.
	Base    anvilglade.Revision
	Comment string `json:",omitempty"`
	Changes []Change
}

// Change is one row before and after an edit. Before is empty for a new row, After
// for a deleted one.
type Change struct {
	Table  string
	Row    string
	Before json.RawMessage `json:",omitempty"`
	After  json.RawMessage `json:",omitempty"`
}

// Find returns the edit with the id and the revision that it produced, or false if
// the history has no such edit. The parameter revision is the document's revision,
// which the newest edit produced.
func (d *Document) Find(id anvilglade.EditID, revision anvilglade.Revision) (Edit, anvilglade.Revision, bool) {
	for i, edit := range d.History {
		if edit.ID != id {
			continue
		}
		if i+1 < len(d.History) {
			return edit, d.History[i+1].Base, true
		}
		return edit, revision, true
	}
	return Edit{}, 0, false
}

// Covers reports whether the history contains every edit after the revision. If it
// does, an edit after the revision whose id is missing did not take effect.
func (d *Document) Covers(revision anvilglade.Revision) bool {
	return len(d.History) > 0 && d.History[0].Base <= revision
}

// LastChange returns the newest edit of a row, or false if the history has none.
func (d *Document) LastChange(table, row string) (Edit, bool) {
	for i := len(d.History) - 1; i >= 0; i-- {
		for _, change := range d.History[i].Changes {
			if change.Table == table && change.Row == row {
				return d.History[i], true
			}
		}
	}
	return Edit{}, false
}
