package agscenario

// Rotation of keys under load. Each rotation distributes a next key, makes it
// the current one and retires the former one, through the operator commands.

import (
	"context"
	"time"
)

func runRotate(ctx context.Context, s *scene, step *step) error {
	for range step.count("times") {
		for _, action := range []string{"rotate", "rotate", "retire"} {
			if err := s.fleet.mustOperate(ctx, s.fleet.edits("keys", action)...); err != nil {
				return err
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(step.duration("time")):
			}
		}
	}
	return nil
}
