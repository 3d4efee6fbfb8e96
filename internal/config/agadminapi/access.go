package agadminapi

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/anvilglade/anvilglade"
)

// teamsTTL is the age at which the cached teams are read again. While the platform
// is available, a revoked token is accepted for at most this time.
const teamsTTL = 10 * time.Second

// accessControl caches the teams and limits their request rates. While the platform
// is unavailable, it uses the teams that were read last.
type accessControl struct {
	store anvilglade.Store
	clock anvilglade.Clock

	mu      sync.Mutex
	teams   Teams
	version anvilglade.Version
	// readAt is the start time of the last read, also of one that failed.
	readAt   time.Time
	loaded   bool
	limiters map[string]*rate.Limiter
}

func newAccessControl(store anvilglade.Store, clock anvilglade.Clock) *accessControl {
	return &accessControl{store: store, clock: clock, limiters: map[string]*rate.Limiter{}}
}

// refresh reads the teams if the last read is older than teamsTTL. Meanwhile,
// concurrent requests use the cached teams. If the read fails or the object cannot
// be decoded, the cached teams stay; an error is returned only if none have been read yet.
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
		// The object was not written yet, so there are no teams.
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

// team returns the team that has the token, or false if there is none.
func (a *accessControl) team(token string) (Team, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	team, ok := a.teams.findByToken(token)
	if !ok {
		return Team{}, false
	}
	return *team, true
}

// allow reports whether the team's rate allows another request, and counts the
// request if so. Each process has a limit of its own.
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
		// The burst is the number of requests that the rate allows in 10 s.
		limiter = rate.NewLimiter(limit, max(1, perMinute/6))
		a.limiters[team.Name] = limiter
	}
	return limiter.AllowN(a.clock.Now(), 1)
}
