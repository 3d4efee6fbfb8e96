package agfleet

// Which balancers watch the platform's store. Each watch costs calls, so the number of
// watching balancers must not grow with the fleet. The others receive the version of
// the desired state and the evacuations in the statuses of their peers.

import (
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/membership/agrank"
)

const (
	// watchersPerCentre is the number of balancers of each data centre that watch the
	// store, so that the state enters each data centre once and one watcher may fail.
	watchersPerCentre = 2
	// leadWatchers is the number of balancers that watch the store in whichever data centre
	// they are, so that a deployment with few data centres has several watches.
	leadWatchers = 4
	// minHealthyWatchers is the number of other balancers with a working watch below
	// which a balancer watches the store itself.
	minHealthyWatchers = 2
	// fetchFailureWindow is the time after a failed fetch of a newer desired state from
	// a peer for which a balancer watches the store itself: it may receive the peers'
	// statuses without being able to reach them.
	fetchFailureWindow = 5 * time.Second
)

// WatchRole returns the role of this balancer. Primaries are chosen in the order of
// agrank, whether the store answers them or not. A standby counts only standbys of a lower
// rank as healthy watchers, so that a few of them remain when the primaries have failed.
func (f *Fleet) WatchRole(now time.Time) anvilglade.StoreWatch {
	if f.IsLeadWatcher(now) || now.Sub(f.fetchFailedAt) < fetchFailureWindow {
		return anvilglade.WatchPrimary
	}
	if f.localPosition(now) < watchersPerCentre {
		return anvilglade.WatchPrimary
	}
	if f.healthyWatchers(now) < minHealthyWatchers {
		return anvilglade.WatchStandby
	}
	return anvilglade.WatchNone
}

// IsLeadWatcher reports whether this balancer is one of the first leadWatchers balancers,
// in the order of agrank, among the responsive ones that are not leaving.
func (f *Fleet) IsLeadWatcher(now time.Time) bool {
	return agrank.Position(f.members(now), f.options.Self) < leadWatchers
}

// healthyWatchers returns the number of other balancers on whose watches this one
// relies.
func (f *Fleet) healthyWatchers(now time.Time) int {
	own, healthy := agrank.Rank(f.options.Self), 0
	for address, balancer := range f.balancers {
		if !f.responsive(balancer, now) || balancer.Leaving {
			continue
		}
		// By rank alone: balancers of earlier builds compare in the same way, so two
		// standbys never rely on each other.
		standby := balancer.Watch == anvilglade.WatchStandby && agrank.Rank(address) < own
		if balancer.Watch == anvilglade.WatchPrimary || standby {
			healthy++
		}
	}
	return healthy
}

// RecordFetchFailure records that a newer desired state could not be fetched from a
// peer.
func (f *Fleet) RecordFetchFailure(peer anvilglade.IPv4, now time.Time) {
	f.fetchFailedAt = now
	if balancer, ok := f.balancers[peer]; ok {
		balancer.fetchFailedAt = now
	}
}

// fetchFailed reports whether the last fetch from a balancer has failed a short time ago.
func (b *Balancer) fetchFailed(now time.Time) bool {
	return !b.fetchFailedAt.IsZero() && now.Sub(b.fetchFailedAt) < fetchFailureWindow
}

// PeerState reports whether any other balancer has sent a status, and whether one of
// them has a desired state.
func (f *Fleet) PeerState() (found, hasDesired bool) {
	for _, balancer := range f.balancers {
		found = found || balancer.HasStatus
		hasDesired = hasDesired || balancer.Desired > 0
	}
	return found, hasDesired
}
