package agscenario

// Rotation of keys under load. Each rotation distributes a next key, promotes it to
// the current key and retires the former key, through the operator commands.

import (
	"context"
	"errors"
	"time"
)

// keyProbes counts probes under retired datagram keys, and their answers.
type keyProbes struct {
	sent, answered int
}

func runRotate(ctx context.Context, s *caseRun, step *step) error {
	for range step.count("times") {
		if err := s.rotateOnce(ctx, step.duration("time")); err != nil {
			return err
		}
	}
	return nil
}

func (s *caseRun) rotateOnce(ctx context.Context, pause time.Duration) error {
	former, err := s.fleet.readKeys(ctx)
	if err != nil {
		return err
	}
	// This control verifies that probes under a valid key are answered.
	// Otherwise a missing answer after the rotation would prove nothing.
	_, answered, err := s.fleet.probeKeys(former)
	if err != nil {
		return err
	}
	if answered == 0 {
		return errors.New("no probe under the current key was answered")
	}
	for _, action := range []string{"rotate", "rotate", "retire"} {
		if err := s.fleet.mustRunOperator(ctx, s.fleet.edits("keys", action)...); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
	sent, answered, err := s.fleet.probeKeys(former)
	s.retiredKeyProbes.sent += sent
	s.retiredKeyProbes.answered += answered
	return err
}

func measureAcceptedUnderRetired(_ context.Context, s *caseRun, _ string) value {
	if s.retiredKeyProbes.sent == 0 {
		return missing("no key was retired")
	}
	return count(s.retiredKeyProbes.answered, s.retiredKeyProbes.sent, "datagrams")
}
