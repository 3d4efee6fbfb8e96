package agedit

// This file edits the key bundle. The bundle has no history. A write whose response
// was lost is therefore recognised by its content, which is unique because the keys
// are random. If the content is not found, the outcome stays Unknown.

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/state/agkeys"
)

// ErrNoKeys means that the key bundle does not exist yet.
var ErrNoKeys = errors.New("no keys; create them with 'anvilglade keys init'")

// ReadKeys returns the key bundle with its version, or ErrNoKeys.
func (e *Editor) ReadKeys(ctx context.Context) (anvilglade.KeyBundle, anvilglade.Version, error) {
	object, err := e.options.Store.Get(ctx, agkeys.ObjectKind, agkeys.ObjectName)
	if errors.Is(err, anvilglade.ErrNotFound) {
		return anvilglade.KeyBundle{}, 0, ErrNoKeys
	}
	if err != nil {
		return anvilglade.KeyBundle{}, 0, fmt.Errorf("read keys: %w", err)
	}
	bundle, err := agkeys.Decode(object.Data)
	return bundle, object.Version, err
}

// WriteKeys replaces the bundle if it still has the given version; 0 means that it
// must not exist yet. The edit is rejected if another write came first, because key
// bundles are not rebased.
func (e *Editor) WriteKeys(ctx context.Context, bundle anvilglade.KeyBundle, version anvilglade.Version) Verdict {
	verdict := Verdict{Outcome: Rejected, Base: anvilglade.Revision(version)}
	if err := agkeys.Validate(bundle); err != nil {
		verdict.Reason = err.Error()
		return verdict
	}
	data, err := agkeys.Encode(bundle)
	if err != nil {
		verdict.Reason = err.Error()
		return verdict
	}
	object := anvilglade.Object{Kind: agkeys.ObjectKind, Name: agkeys.ObjectName, Data: data}
	lastErr := errors.New("no attempt")
	for range e.options.Attempts {
		written, err := e.options.Store.Put(ctx, object, version)
		switch {
		case err == nil:
			verdict.Outcome, verdict.Revision, verdict.Reason = Accepted, anvilglade.Revision(written), ""
			return verdict
		case errors.Is(err, anvilglade.ErrConflict):
			return e.resolveKeyConflict(ctx, object, verdict)
		case errors.Is(err, anvilglade.ErrUnknownOutcome):
			verdict.Outcome = Unknown
		}
		lastErr = err
		if err := e.options.Pause(ctx, initialPause); err != nil {
			lastErr = err
			break
		}
	}
	verdict.Reason = lastErr.Error()
	return verdict
}

// resolveKeyConflict finds out after ErrConflict whether the conflicting write is
// one of another editor or an earlier attempt of this edit whose response was
// lost.
func (e *Editor) resolveKeyConflict(ctx context.Context, wanted anvilglade.Object, verdict Verdict) Verdict {
	verdict.Reason = "another edit changed the keys"
	if verdict.Outcome == Rejected {
		return verdict
	}
	for range e.options.Attempts {
		object, err := e.options.Store.Get(ctx, wanted.Kind, wanted.Name)
		if err == nil && bytes.Equal(object.Data, wanted.Data) {
			verdict.Outcome, verdict.Revision, verdict.Reason = Accepted, anvilglade.Revision(object.Version), ""
			return verdict
		}
		if err == nil && anvilglade.Revision(object.Version) > verdict.Base {
			break
		}
		if err := e.options.Pause(ctx, initialPause); err != nil {
			break
		}
	}
	verdict.Reason = "another edit changed the keys after this one may have taken effect; see 'anvilglade keys list'"
	return verdict
}
