package agadminapi

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/anvilglade/anvilglade"
)

// teamsLife is how long the teams are used before they are read again. It also
// bounds how long a withdrawn token is still accepted while the platform
// answers.
const teamsLife = 10 * time.Second

// access knows the teams and their rates. While the platform is down it keeps
// the last known teams.
type access struct {
	store anvilglade.Store
	clock anvilglade.Clock

	mu       sync.Mutex
	teams    Teams
	version  anvilglade.Version
	readAt   time.Time
	known    bool
	limiters map[string]*rate.Limiter
}

func newAccess(store anvilglade.Store, clock anvilglade.Clock) *access {
	return &access{store: store, clock: clock, limiters: map[string]*rate.Limiter{}}
}

// refresh reads the teams if they are old. Once teams are known, one caller
// reads and the others go on with them.
func (a *access) refresh(ctx context.Context) error {
	a.mu.Lock()
	now := a.clock.Now()
	if a.known && now.Sub(a.readAt) < teamsLife {
		a.mu.Unlock()
		return nil
	}
	a.readAt = now
	a.mu.Unlock()
	object, err := a.store.Get(ctx, ObjectKind, ObjectName)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case errors.Is(err, anvilglade.ErrNotFound) && a.version == 0:
		a.known = true
	case err == nil && object.Version >= a.version:
		var teams Teams
		if teams, err = DecodeTeams(object.Data); err == nil {
			a.teams, a.version, a.known = teams, object.Version, true
		}
	}
	if a.known {
		return nil
	}
	return err
}

// team returns the team of a token.
func (a *access) team(token string) (Team, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	team, ok := a.teams.find(token)
	if !ok {
		return Team{}, false
	}
	return *team, true
}

// allow counts a request against the team's rate at this process.
func (a *access) allow(team Team) bool {
	perMinute := team.RequestsPerMinute
	if perMinute <= 0 {
		perMinute = DefaultRequestsPerMinute
	}
	limit := rate.Limit(float64(perMinute) / time.Minute.Seconds())
	a.mu.Lock()
	defer a.mu.Unlock()
	limiter := a.limiters[team.Name]
	if limiter == nil || limiter.Limit() != limit {
		limiter = rate.NewLimiter(limit, max(1, perMinute/6))
		a.limiters[team.Name] = limiter
	}
	return limiter.AllowN(a.clock.Now(), 1)
}
