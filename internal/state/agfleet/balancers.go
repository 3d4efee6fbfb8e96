package agfleet

// The other balancers and their statuses.

import (
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/membership/agpace"
	"github.com/anvilglade/anvilglade/internal/membership/agrank"
)

// maxUnconfirmed is the maximum number of listed balancers from which no status has been
// received. It is above the number of balancers of a large deployment, all of which may be
// listed before the first one answers.
const maxUnconfirmed = 2000

// peerInterval is the time between two regular statuses of a balancer to another one
// in a small fleet. Changes of the desired state and of evacuations are sent at once.
const peerInterval = 500 * time.Millisecond

// PeerInterval returns the time between two regular statuses to each other balancer.
func (f *Fleet) PeerInterval() time.Duration {
	return agpace.Interval(peerInterval, len(f.balancers))
}

// peerTimeout returns the time without a status after which another balancer is no
// longer responsive.
func (f *Fleet) peerTimeout() time.Duration {
	return max(LostAfter, lostStatuses*f.PeerInterval())
}

// responsive reports whether a balancer has sent a status within peerTimeout.
func (f *Fleet) responsive(balancer *Balancer, now time.Time) bool {
	return balancer.HasStatus && now.Sub(balancer.LastStatus) < f.peerTimeout()
}

// UpdateBalancer adopts the status of another balancer by the same rule as
// UpdateAgent, and reports whether it is the first since that balancer started.
// Newer evacuations are adopted with it, and the listed balancers and agents are
// added. Of the desired state it has only the version, so a newer one has to be
// fetched; see NewerPeer.
func (f *Fleet) UpdateBalancer(status anvilglade.BalancerStatus, now time.Time) bool {
	f.AddBalancers(status.Balancers, now)
	if status.Balancer == f.options.Self {
		return false
	}
	balancer, ok := f.balancers[status.Balancer]
	if ok && balancer.HasStatus && now.Sub(balancer.LastStatus) < restartAfter && !newer(status.Incarnation, status.Sequence, balancer.Incarnation, balancer.Sequence) {
		return false
	}
	if ok && !balancer.HasStatus {
		f.unconfirmed--
	}
	firstStatus := !ok || !balancer.HasStatus || balancer.Incarnation != status.Incarnation
	updated := &Balancer{BalancerStatus: status, LastStatus: now, HasStatus: true}
	if ok {
		updated.fetchFailedAt = balancer.fetchFailedAt
	}
	f.balancers[status.Balancer] = updated
	f.evacuations.Merge(&status.Evacuations, now)
	f.addPending(status.Agents, now)
	f.agentsListed = f.agentsListed || status.Settled
	return firstStatus
}

// IsLatest reports whether a status is the latest one that has been adopted of its
// balancer. It is not if a newer one has overtaken it.
func (f *Fleet) IsLatest(status *anvilglade.BalancerStatus) bool {
	balancer, ok := f.balancers[status.Balancer]
	return ok && balancer.Incarnation == status.Incarnation && balancer.Sequence == status.Sequence
}

// AddBalancers adds addresses on which balancers may run, such as the seeds.
func (f *Fleet) AddBalancers(addresses []anvilglade.IPv4, now time.Time) {
	for _, address := range addresses {
		f.addBalancer(address, now)
	}
}

// addBalancer adds an address on which a balancer may run. Addresses from which no status
// is received are limited in number and removed by Forget: a list may name VMs that have
// left, or be wrong.
func (f *Fleet) addBalancer(address anvilglade.IPv4, now time.Time) {
	if _, ok := f.balancers[address]; ok || address == f.options.Self || address == (anvilglade.IPv4{}) {
		return
	}
	if f.unconfirmed >= maxUnconfirmed {
		return
	}
	f.unconfirmed++
	f.balancers[address] = &Balancer{BalancerStatus: anvilglade.BalancerStatus{Balancer: address}, listedAt: now}
}

// Balancers returns the other balancers in unspecified order.
func (f *Fleet) Balancers() []*Balancer {
	list := make([]*Balancer, 0, len(f.balancers))
	for _, balancer := range f.balancers {
		list = append(list, balancer)
	}
	return list
}

// LivingBalancers returns the address of this balancer and those of the balancers
// that are not leaving and have sent a status within half of ForgetAfter.
func (f *Fleet) LivingBalancers(now time.Time) []anvilglade.IPv4 {
	list := []anvilglade.IPv4{f.options.Self}
	for address, balancer := range f.balancers {
		if balancer.HasStatus && !balancer.Leaving && now.Sub(balancer.LastStatus) < ForgetAfter/2 {
			list = append(list, address)
		}
	}
	return list
}

// NewerPeer returns the balancer with the newest desired state among the responsive
// ones, preferably one of this data centre, and among those a large one. Balancers from
// which it could not be fetched a short time ago come last. It returns false if none has a
// newer one than this balancer.
func (f *Fleet) NewerPeer(now time.Time) (*Balancer, bool) {
	var newer []*Balancer
	for _, balancer := range f.balancers {
		if f.responsive(balancer, now) && balancer.Desired > f.desired.Version {
			newer = append(newer, balancer)
		}
	}
	if len(newer) == 0 {
		return nil, false
	}
	best, large := newer[0], agrank.Large(f.members(now))
	for _, balancer := range newer[1:] {
		if f.betterSource(balancer, best, large, now) {
			best = balancer
		}
	}
	return best, true
}

// betterSource reports whether the desired state is rather fetched from a than from b.
func (f *Fleet) betterSource(a, b *Balancer, large []anvilglade.IPv4, now time.Time) bool {
	if failed := a.fetchFailed(now); failed != b.fetchFailed(now) {
		return !failed
	}
	if a.Desired != b.Desired {
		return a.Desired > b.Desired
	}
	if local := f.Local(a.DataCentre); local != f.Local(b.DataCentre) {
		return local
	}
	return slices.Contains(large, a.Balancer) && !slices.Contains(large, b.Balancer)
}
