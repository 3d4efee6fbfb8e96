package agsplit

// The selection of the service of a flow, for a given state of the steps.

import "github.com/anvilglade/anvilglade"

// Choice is the service of a new flow.
type Choice struct {
	Service anvilglade.ServiceID
	// Weighted is the service that the weights alone select.
	Weighted anvilglade.ServiceID
	// Step and Cause are those of the service Weighted, set if the flow is shifted.
	Step  anvilglade.SplitStep
	Cause Cause
}

// Shifted reports whether the flow goes to another service than its weights select.
func (c *Choice) Shifted() bool {
	return c.Service != c.Weighted
}

// Select returns the service of a new flow.
func (s *Splitter) Select(route *anvilglade.PacketRoute, flow anvilglade.Flow) Choice {
	if len(route.Backends) == 1 {
		only := route.Backends[0].Service
		return Choice{Service: only, Weighted: only}
	}
	hash := flow.Hash()
	index := weighted(route, hash)
	service := route.Backends[index].Service
	choice := Choice{Service: service, Weighted: service}
	split, ok := s.splits[route.Address]
	if !ok || !split.matches(route) {
		return choice
	}
	share := &split.shares[index]
	bits := remix(hash)
	if anvilglade.SplitStep(bits%uint64(anvilglade.MaxSplitStep)) >= share.step {
		return choice
	}
	receiver := split.receiver(bits / uint64(anvilglade.MaxSplitStep))
	if receiver < 0 {
		return choice
	}
	choice.Service, choice.Step, choice.Cause = route.Backends[receiver].Service, share.step, share.cause
	return choice
}

// weighted returns the index of the backend that the weights select for a hash, so that
// all balancers select the same one.
func weighted(route *anvilglade.PacketRoute, hash uint64) int {
	total := 0
	for _, backend := range route.Backends {
		total += backend.Weight
	}
	if total <= 0 {
		return 0
	}
	point := int(hash % uint64(total))
	for i, backend := range route.Backends {
		if point < backend.Weight {
			return i
		}
		point -= backend.Weight
	}
	return 0
}

// receiver returns the index of the service for a shifted flow, selected by the weights
// of the services without a step. It depends on the steps and the weights only, so that
// balancers with the same steps agree. It returns -1 if there is no such service.
func (s *split) receiver(bits uint64) int {
	total := s.receiverWeight()
	if total <= 0 {
		return -1
	}
	point := int(bits % uint64(total))
	for i := range s.shares {
		if !s.shares[i].receives() {
			continue
		}
		if point < s.shares[i].weight {
			return i
		}
		point -= s.shares[i].weight
	}
	return -1
}

// remix returns bits of a hash that are independent of the hash modulo the sum of the
// weights. The constants are those of the finaliser of splitmix64.
func remix(hash uint64) uint64 {
	hash ^= hash >> 30
	hash *= 0xbf58476d1ce4e5b9
	hash ^= hash >> 27
	hash *= 0x94d049bb133111eb
	return hash ^ hash>>31
}
