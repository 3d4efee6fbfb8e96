package agscenario

// Rotation of keys under load. Each rotation distributes a next key, makes it
// the current one and retires the former one, through the operator commands.

import (
	"context"
	"errors"
	"time"
)

// keyProbes counts the probes under retired datagram keys.
type keyProbes struct {
	sent, answered int
}

func runRotate(ctx context.Context, s *scene, step *step) error {
	for range step.count("times") {
		if err := s.rotateOnce(ctx, step.duration("time")); err != nil {
			return err
		}
	}
	return nil
}

func (s *scene) rotateOnce(ctx context.Context, pause time.Duration) error {
	former, err := s.fleet.readKeys(ctx)
	if err != nil {
		return err
	}
	// Without this control a probe that is never answered would prove nothing.
	_, answered, err := s.fleet.probeKeys(former)
	if err != nil {
		return err
	}
	if answered == 0 {
		return errors.New("no probe under the current key was answered")
	}
	for _, action := range []string{"rotate", "rotate", "retire"} {
		if err := s.fleet.mustOperate(ctx, s.fleet.edits("keys", action)...); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
	sent, answered, err := s.fleet.probeKeys(former)
	s.retired.sent += sent
	s.retired.answered += answered
	return err
}

func measureAcceptedUnderRetired(_ context.Context, s *scene, _ string) value {
	if s.retired.sent == 0 {
		return missing("no key was retired")
	}
	return count(s.retired.answered, s.retired.sent, "datagrams")
}
