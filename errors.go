package anvilglade

import "errors"

// Errors that callers of the interfaces tell apart with errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object does not exist")
	// ErrConflict means that a conditional update found another version.
	ErrConflict = errors.New("object has another version")
	// ErrUnknownOutcome means that a write may or may not have taken effect.
	ErrUnknownOutcome = errors.New("outcome of the write is unknown")
	// ErrNoChange means that a watch ended without a change.
	ErrNoChange = errors.New("no change before the watch ended")
	// ErrOverloaded means that the platform refused the call by rate limit.
	ErrOverloaded = errors.New("platform refused the call by its rate limit")
	// ErrHistoryGone means that the platform no longer knows what has changed
	// since a revision.
	ErrHistoryGone = errors.New("history of changes is gone")
	// ErrNotRun means that a request was refused before any byte of it was
	// sent to a backend server.
	ErrNotRun = errors.New("request was not run")
)
