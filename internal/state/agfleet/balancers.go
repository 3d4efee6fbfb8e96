package agfleet

// What is known of the other balancers.

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilglade/anvilglade"
)

// UpdateBalancer takes the status of a balancer and reports whether that is heard
// for the first time since its start. Evacuations in it are adopted if they are
// newer; a newer desired state has to be fetched.
func (f *Fleet) UpdateBalancer(status anvilglade.BalancerStatus, now time.Time) bool {
	for _, address := range status.Balancers {
		f.learnBalancer(address)
	}
	if status.Balancer == f.options.Self {
		return false
	}
	balancer, ok := f.balancers[status.Balancer]
	if ok && balancer.Known && now.Sub(balancer.Heard) < restartAfter && !newer(status.Incarnation, status.Sequence, balancer.Incarnation, balancer.Sequence) {
		return false
	}
	started := !ok || !balancer.Known || balancer.Incarnation != status.Incarnation
	f.balancers[status.Balancer] = &Balancer{BalancerStatus: status, Heard: now, Known: true}
	f.AdoptEvacuations(status.Evacuations)
	f.learnAgents(status.Agents, now)
	f.listed = f.listed || status.Settled
	return started
}

// AddBalancers adds addresses at which balancers may run, such as the seeds.
func (f *Fleet) AddBalancers(addresses []anvilglade.IPv4) {
	for _, address := range addresses {
		f.learnBalancer(address)
	}
}

func (f *Fleet) learnBalancer(address anvilglade.IPv4) {
	if _, ok := f.balancers[address]; ok || address == f.options.Self || address == (anvilglade.IPv4{}) {
		return
	}
	f.balancers[address] = &Balancer{BalancerStatus: anvilglade.BalancerStatus{Balancer: address}}
}

// Balancers returns the other balancers in no order.
func (f *Fleet) Balancers() []*Balancer {
	list := make([]*Balancer, 0, len(f.balancers))
	for _, balancer := range f.balancers {
		list = append(list, balancer)
	}
	return list
}

// LivingBalancers returns the addresses of balancers that were heard recently,
// this one included.
func (f *Fleet) LivingBalancers(now time.Time) []anvilglade.IPv4 {
	list := []anvilglade.IPv4{f.options.Self}
	for address, balancer := range f.balancers {
		if balancer.Known && !balancer.Leaving && now.Sub(balancer.Heard) < ForgetAfter/2 {
			list = append(list, address)
		}
	}
	return list
}

// NewerPeer returns a balancer that has a newer desired state than this one.
func (f *Fleet) NewerPeer(now time.Time) (anvilglade.IPv4, bool) {
	var best *Balancer
	for _, balancer := range f.balancers {
		if !balancer.Known || now.Sub(balancer.Heard) > LostAfter || balancer.Desired <= f.desired.Version {
			continue
		}
		if best == nil || balancer.Desired > best.Desired {
			best = balancer
		}
	}
	if best == nil {
		return anvilglade.IPv4{}, false
	}
	return best.Balancer, true
}

// closeWatchers is the number of balancers that notice soon if a connection to
// the store has gone silent.
const closeWatchers = 4

// UsesShortWait reports whether this balancer is one of the few that do: those
// of the lowest rank among the balancers that are heard.
func (f *Fleet) UsesShortWait(now time.Time) bool {
	own, lower := rank(f.options.Self), 0
	for address, balancer := range f.balancers {
		if balancer.Known && !balancer.Leaving && now.Sub(balancer.Heard) < LostAfter && rank(address) < own {
			lower++
		}
	}
	return lower < closeWatchers
}

// rank spreads balancers over data centres, whose addresses are alike.
func rank(address anvilglade.IPv4) uint64 {
	return xxhash.Sum64(address[:])
}
