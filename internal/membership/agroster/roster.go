// Package agroster keeps the list of balancers to which an agent reports its
// status.
//
// The addresses of balancers come from the settings, from the platform's store and
// from the status messages of other balancers, and each balancer sends status
// messages itself. A balancer that is leaving still forwards packets until callers
// have moved to other balancers, so it receives status messages for that time.
// Without them it would treat every host as unresponsive and refuse new flows.
//
// The agent needs a recent status of any balancer, not of each one. It requests a
// reply from few balancers at a time, so that the number of replies does not grow with
// the fleet.
//
// A Roster takes the time as a parameter, has no sockets and is not safe for
// concurrent use.
//
// # Usage
//
//	roster := agroster.NewRoster()
//	roster.AddSeeds(settings.Seeds)
//	for _, balancer := range roster.HandleStatus(&status, now) {
//		// send a status to the new balancer
//	}
//	for _, balancer := range roster.Receivers(now) {
//		// send the status
//	}
//	for _, balancer := range roster.ReplyTargets(now, random) {
//		// request a reply
//	}
package agroster

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/membership/agrank"
)

const (
	// StatusTimeout is the time without status messages from a balancer after
	// which it receives no more status messages, unless it is a seed.
	StatusTimeout = 30 * time.Second
	// LeaveGracePeriod is the time for which a balancer that has announced that it
	// leaves still receives status messages. A leaving balancer forwards packets
	// for a shorter time.
	LeaveGracePeriod = 2 * time.Second
	// responsiveAge is the age of the last status message below which a balancer
	// counts as responsive.
	responsiveAge = 2 * time.Second
	// freshAge is the age of the last status message of the large balancers from which
	// replies are requested from the others too. It is the time of two requests.
	freshAge = 800 * time.Millisecond
)

// balancer is one receiver of status messages.
type balancer struct {
	// lastStatus is the time of the last status message from the balancer, or the
	// time at which its address was added.
	lastStatus time.Time
	// hasReported is set once the balancer itself has sent a status message.
	hasReported bool
	// hasState is set if the last status message had a desired state and evacuations.
	hasState bool
	seed     bool
	// dataCentre and capacity are those of the last status message.
	dataCentre anvilglade.DataCentreID
	capacity   anvilglade.Capacity
	// leavingSince is the time at which the balancer announced that it leaves;
	// zero if it has not.
	leavingSince time.Time
}

// Roster is the list of balancers of one agent.
type Roster struct {
	balancers map[anvilglade.IPv4]*balancer
}

// NewRoster returns an empty Roster.
func NewRoster() *Roster {
	return &Roster{balancers: make(map[anvilglade.IPv4]*balancer)}
}

// AddSeeds adds the balancers of the settings. They are never removed.
func (r *Roster) AddSeeds(seeds []anvilglade.IPv4) {
	for _, address := range seeds {
		r.entry(address).seed = true
	}
}

// Add adds balancers whose addresses come from the store or from another balancer,
// and returns those that are new.
func (r *Roster) Add(addresses []anvilglade.IPv4, now time.Time) []anvilglade.IPv4 {
	var added []anvilglade.IPv4
	for _, address := range addresses {
		if _, exists := r.balancers[address]; exists {
			continue
		}
		r.entry(address).lastStatus = now
		added = append(added, address)
	}
	return added
}

// HandleStatus processes a status message of a balancer and returns the balancers that
// are new: the sender or those that the message lists.
func (r *Roster) HandleStatus(status *anvilglade.BalancerStatus, now time.Time) []anvilglade.IPv4 {
	added := r.Add(append([]anvilglade.IPv4{status.Balancer}, status.Balancers...), now)
	entry := r.entry(status.Balancer)
	entry.lastStatus, entry.hasReported = now, true
	entry.dataCentre, entry.capacity = status.DataCentre, status.Capacity
	entry.hasState = status.Desired != 0 && status.Evacuations.Revision != 0
	switch {
	case !status.Leaving:
		entry.leavingSince = time.Time{}
	case entry.leavingSince.IsZero():
		entry.leavingSince = now
	}
	return added
}

// Receivers returns the balancers to which the status is sent. It removes the
// balancers that have timed out or left.
func (r *Roster) Receivers(now time.Time) []anvilglade.IPv4 {
	list := make([]anvilglade.IPv4, 0, len(r.balancers))
	for address, entry := range r.balancers {
		if r.expired(entry, now) {
			delete(r.balancers, address)
			continue
		}
		list = append(list, address)
	}
	return list
}

func (r *Roster) expired(entry *balancer, now time.Time) bool {
	if entry.seed {
		return false
	}
	if !entry.leavingSince.IsZero() && now.Sub(entry.leavingSince) > LeaveGracePeriod {
		return true
	}
	return now.Sub(entry.lastStatus) > StatusTimeout
}

// Responsive returns the balancers that have sent a status message within
// responsiveAge and are not leaving.
func (r *Roster) Responsive(now time.Time) []anvilglade.IPv4 {
	var list []anvilglade.IPv4
	for address, entry := range r.balancers {
		if entry.hasReported && entry.leavingSince.IsZero() && now.Sub(entry.lastStatus) < responsiveAge {
			list = append(list, address)
		}
	}
	return list
}

// WithState returns the responsive balancers that have a desired state and evacuations.
func (r *Roster) WithState(now time.Time) []anvilglade.IPv4 {
	return slices.DeleteFunc(r.Responsive(now), func(address anvilglade.IPv4) bool { return !r.balancers[address].hasState })
}

// ReplyTargets returns the balancers to request a reply from. It is one that has
// replied recently with a state and a random one, which replaces the former when it
// stops. Both are large balancers, in terms of agrank, while one of them replies. While
// there is none with a state, it is every receiver.
func (r *Roster) ReplyTargets(now time.Time, random *rand.Rand) []anvilglade.IPv4 {
	withState, all := r.WithState(now), r.Receivers(now)
	if len(withState) == 0 {
		return all
	}
	if large := r.large(all); len(large) < len(all) && r.hasFresh(withState, large, now) {
		withState, all = intersection(withState, large), large
	}
	targets := []anvilglade.IPv4{withState[random.IntN(len(withState))]}
	if other := all[random.IntN(len(all))]; !slices.Contains(targets, other) {
		targets = append(targets, other)
	}
	return targets
}

// large returns the receivers that are large for their data centres.
func (r *Roster) large(receivers []anvilglade.IPv4) []anvilglade.IPv4 {
	members := make([]agrank.Member, 0, len(receivers))
	for _, address := range receivers {
		entry := r.balancers[address]
		members = append(members, agrank.Member{Address: address, DataCentre: entry.dataCentre, Capacity: entry.capacity})
	}
	return agrank.Large(members)
}

// hasFresh reports whether one of the balancers with a state is large and has sent a
// status message within freshAge.
func (r *Roster) hasFresh(withState, large []anvilglade.IPv4, now time.Time) bool {
	return slices.ContainsFunc(intersection(withState, large), func(address anvilglade.IPv4) bool {
		return now.Sub(r.balancers[address].lastStatus) < freshAge
	})
}

// intersection returns the addresses of list that are in other.
func intersection(list, other []anvilglade.IPv4) []anvilglade.IPv4 {
	var both []anvilglade.IPv4
	for _, address := range list {
		if slices.Contains(other, address) {
			both = append(both, address)
		}
	}
	return both
}

// Ages returns the time since the last status message of each balancer that has
// sent one, by address.
func (r *Roster) Ages(now time.Time) map[string]time.Duration {
	ages := make(map[string]time.Duration, len(r.balancers))
	for address, entry := range r.balancers {
		if entry.hasReported {
			ages[address.String()] = now.Sub(entry.lastStatus)
		}
	}
	return ages
}

func (r *Roster) entry(address anvilglade.IPv4) *balancer {
	entry, exists := r.balancers[address]
	if !exists {
		entry = &balancer{}
		r.balancers[address] = entry
	}
	return entry
}
