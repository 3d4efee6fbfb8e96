package agadminapi

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/anvilglade/anvilglade"
)

// teamsTTL is the time for which the teams are used before they are read again. It
// is also the longest time for which a revoked token is still accepted while the
// platform answers.
const teamsTTL = 10 * time.Second

// accessControl caches the teams and limits their request rates. While the platform
// does not answer, it keeps the teams that were read last.
type accessControl struct {
	store anvilglade.Store
	clock anvilglade.Clock

	mu       sync.Mutex
	teams    Teams
	version  anvilglade.Version
	readAt   time.Time
	loaded   bool
	limiters map[string]*rate.Limiter
}

func newAccessControl(store anvilglade.Store, clock anvilglade.Clock) *accessControl {
	return &accessControl{store: store, clock: clock, limiters: map[string]*rate.Limiter{}}
}

// refresh reads the teams if the cached ones are older than teamsTTL. It returns an
// error only if no teams have been read yet. Otherwise one request reads the teams
// while concurrent requests use the cached ones.
func (a *accessControl) refresh(ctx context.Context) error {
	a.mu.Lock()
	now := a.clock.Now()
	if a.loaded && now.Sub(a.readAt) < teamsTTL {
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
		a.loaded = true
	case err == nil && object.Version >= a.version:
		var teams Teams
		if teams, err = DecodeTeams(object.Data); err == nil {
			a.teams, a.version, a.loaded = teams, object.Version, true
		}
	}
	if a.loaded {
		return nil
	}
	return err
}

// team returns the team of a token, or false if the token belongs to no team.
func (a *accessControl) team(token string) (Team, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	team, ok := a.teams.findByToken(token)
	if !ok {
		return Team{}, false
	}
	return *team, true
}

// allow reports whether a request is within the team's rate at this process, and
// counts it.
func (a *accessControl) allow(team Team) bool {
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
