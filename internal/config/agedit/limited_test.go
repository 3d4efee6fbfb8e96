package agedit_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agedit"
)

// limitedStore loses the answer of every write. After the first write it does not
// send further reads, as a client does whose rate limit delays them beyond the time
// limit.
type limitedStore struct {
	anvilglade.Store
	written bool
}

func (s *limitedStore) Get(context.Context, string, string) (anvilglade.Object, error) {
	if s.written {
		return anvilglade.Object{}, fmt.Errorf("get: %w", anvilglade.ErrRateLimited)
	}
	return anvilglade.Object{}, anvilglade.ErrNotFound
}

func (s *limitedStore) Put(context.Context, anvilglade.Object, anvilglade.Version) (anvilglade.Version, error) {
	s.written = true
	return 0, fmt.Errorf("%w: answer lost", anvilglade.ErrUnknownOutcome)
}

// TestOwnRateLimitIsNotTheReason guards against a verdict whose reason is the rate
// limit of the client, although the answer to the write was lost: the operator would
// look for an overload of the platform.
func TestOwnRateLimitIsNotTheReason(t *testing.T) {
	editor := agedit.NewEditor(agedit.Options{
		Store: &limitedStore{}, Author: "ada", Attempts: 3,
		Pause: func(context.Context, time.Duration) error { return nil },
	})
	_, verdict := setState(t, editor, "In")
	if verdict.Outcome != agedit.Unknown || !strings.Contains(verdict.Reason, "answer lost") {
		t.Errorf("got %s with reason %q, want Unknown with the lost answer as the reason", verdict.Outcome, verdict.Reason)
	}
}
