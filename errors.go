package anvilglade

import "errors"

// Errors that callers of the interfaces distinguish with errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object does not exist")
	// ErrConflict means that a conditional update was rejected because the
	// object has another version than the one required.
	ErrConflict = errors.New("object has another version")
	// ErrUnknownOutcome means that a write may have taken effect or not, or may
	// still take effect later. Package caller returns it for a request that may
	// have run.
	ErrUnknownOutcome = errors.New("outcome of the write is unknown")
	// ErrNoChange means that a watch ended before the object changed.
	ErrNoChange = errors.New("no change before the watch ended")
	// ErrOverloaded means that the platform refused the call because of its rate
	// limit.
	ErrOverloaded = errors.New("platform refused the call by its rate limit")
	// ErrRateLimited means that the client did not send the call, because its own
	// rate limit would have delayed the call beyond the caller's time limit. It
	// says nothing about the platform.
	ErrRateLimited = errors.New("own rate limit delays the call beyond its time limit")
	// ErrHistoryGone means that the platform no longer has the changes since the
	// requested revision.
	ErrHistoryGone = errors.New("history of changes is gone")
	// ErrUnreadable means that the platform answered with data that cannot be decoded.
	ErrUnreadable = errors.New("answer cannot be decoded")
	// ErrNotRun means that no backend server has run the request: no byte of it
	// was sent to one, or the server responded that it did not run it.
	ErrNotRun = errors.New("request was not run")
)
