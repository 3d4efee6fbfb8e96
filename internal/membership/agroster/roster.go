// Package agroster keeps the balancers to which an agent reports its status.
//
// Balancers are named by the settings, the platform's store and other balancers,
// and heard by themselves. One that is leaving still forwards packets until
// callers have moved to others, so it gets statuses for that time too: without
// them it would take every host for silent and refuse new flows.
//
// A Roster takes the time as a parameter, has no sockets and is not safe for
// concurrent use.
//
// # Usage
//
//	roster := agroster.NewRoster()
//	roster.LearnSeeds(settings.Seeds)
//	if roster.Hear(&status, now) {
//		// report at once
//	}
//	for _, balancer := range roster.Receivers(now) {
//		// send the status
//	}
package agroster

import (
	"time"

	"github.com/anvilglade/anvilglade"
)

const (
	// ForgetAfter is the silence after which a balancer gets no more statuses,
	// unless it is a seed.
	ForgetAfter = 30 * time.Second
	// LeaveTime is how long a balancer that has said that it leaves still gets
	// statuses. It is longer than a balancer forwards packets after that.
	LeaveTime = 2 * time.Second
	// answerAge is the silence up to which a balancer counts as answering.
	answerAge = 2 * time.Second
)

// balancer is one receiver of statuses.
type balancer struct {
	// heard is the time at which it was last heard, or first named.
	heard time.Time
	// answered is set once the balancer itself was heard.
	answered bool
	seed     bool
	// leftAt is the time at which it said that it leaves, zero if it did not.
	leftAt time.Time
}

// Roster is the list of balancers that one agent knows.
type Roster struct {
	balancers map[anvilglade.IPv4]*balancer
}

// NewRoster returns an empty Roster.
func NewRoster() *Roster {
	return &Roster{balancers: make(map[anvilglade.IPv4]*balancer)}
}

// AddSeeds adds the balancers of the settings. They are never forgotten.
func (r *Roster) AddSeeds(seeds []anvilglade.IPv4) {
	for _, address := range seeds {
		r.entry(address).seed = true
	}
}

// Add adds balancers that others have named and reports whether one of them is
// new.
func (r *Roster) Add(addresses []anvilglade.IPv4, now time.Time) bool {
	news := false
	for _, address := range addresses {
		if _, known := r.balancers[address]; known {
			continue
		}
		r.entry(address).heard = now
		news = true
	}
	return news
}

// HandleStatus takes the status of a balancer and reports whether it names a balancer
// that is new.
func (r *Roster) HandleStatus(status *anvilglade.BalancerStatus, now time.Time) bool {
	news := r.Add(status.Balancers, now)
	entry := r.entry(status.Balancer)
	entry.heard, entry.answered = now, true
	switch {
	case !status.Leaving:
		entry.leftAt = time.Time{}
	case entry.leftAt.IsZero():
		entry.leftAt = now
	}
	return news
}

// Receivers returns the balancers that get the status, and forgets those that
// are silent or have left.
func (r *Roster) Receivers(now time.Time) []anvilglade.IPv4 {
	list := make([]anvilglade.IPv4, 0, len(r.balancers))
	for address, entry := range r.balancers {
		if r.gone(entry, now) {
			delete(r.balancers, address)
			continue
		}
		list = append(list, address)
	}
	return list
}

func (r *Roster) gone(entry *balancer, now time.Time) bool {
	if entry.seed {
		return false
	}
	if !entry.leftAt.IsZero() && now.Sub(entry.leftAt) > LeaveTime {
		return true
	}
	return now.Sub(entry.heard) > ForgetAfter
}

// Responsive returns the balancers that were heard recently and do not leave.
func (r *Roster) Responsive(now time.Time) []anvilglade.IPv4 {
	var list []anvilglade.IPv4
	for address, entry := range r.balancers {
		if entry.answered && entry.leftAt.IsZero() && now.Sub(entry.heard) < answerAge {
			list = append(list, address)
		}
	}
	return list
}

// Ages returns the time since each balancer that has answered was heard, by its
// address.
func (r *Roster) Ages(now time.Time) map[string]time.Duration {
	ages := make(map[string]time.Duration, len(r.balancers))
	for address, entry := range r.balancers {
		if entry.answered {
			ages[address.String()] = now.Sub(entry.heard)
		}
	}
	return ages
}

func (r *Roster) entry(address anvilglade.IPv4) *balancer {
	entry, known := r.balancers[address]
	if !known {
		entry = &balancer{}
		r.balancers[address] = entry
	}
	return entry
}
