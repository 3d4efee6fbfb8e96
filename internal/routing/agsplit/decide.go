package agsplit

// The decision on the steps of one route.

import (
	"time"

	"github.com/anvilglade/anvilglade"
)

// maxChange is the largest change of a step at once. The reports of hosts show the effect
// of a change some hundred milliseconds later.
const maxChange = anvilglade.MaxSplitStep / 16

const (
	// budgetDivisor divides the latency target; the result is the attempt budget.
	budgetDivisor = 3
	// receiverDivisor divides the latency target; the result is the limit of a receiver. It
	// is below the attempt budget of any class, so that no flow of the receiver is refused.
	receiverDivisor = 4
)

const (
	// upInterval and backInterval are the minimum times between two steps towards the
	// receivers and back. The way back is slower, because the reports of hosts lag.
	upInterval   = 100 * time.Millisecond
	backInterval = 500 * time.Millisecond
	// withdrawInterval is the minimum time between two steps back while the receivers are
	// near their limit: the time until the reports of hosts show the effect of one.
	withdrawInterval = 400 * time.Millisecond
	// harmPause is the time without further steps towards the receivers after flows were
	// shifted back because the receivers were near their limit.
	harmPause = 500 * time.Millisecond
	// maxUtilisation is the expected utilisation of the receivers up to which flows are
	// shifted to them. Above it their wait would grow for as long as the step lasts.
	maxUtilisation = 1.0
	// overloadUtilisation is the expected utilisation of a receiver from which on flows
	// are shifted back at once. It is above maxUtilisation by the error of the estimate.
	overloadUtilisation = 1.1
	// returnUtilisation is the expected utilisation of a service up to which flows are
	// shifted back to it. It is below maxUtilisation to prevent oscillation.
	returnUtilisation = 0.85
	// maxAttempts is the assumed number of attempts of a caller whose flows are refused.
	maxAttempts = 3
	// reportDelay is the number of evaluations after which the reports of hosts show the
	// effect of a step.
	reportDelay = 3
	// demandWeight is the weight of the newest report in the mean of the demand.
	demandWeight = 0.15
)

// Cause is the reason for a change of a step. It is written to the log.
type Cause string

// Causes of changes.
const (
	CauseNoHost           Cause = "NoUsableHost"
	CauseSlow             Cause = "OverAttemptBudget"
	CauseReceiverSlow     Cause = "ReceiverNearBudget"
	CauseReceiverFull     Cause = "ReceiverFull"
	CauseNoReceiver       Cause = "NoReceiver"
	CauseCapacityReturned Cause = "CapacityReturned"
	CauseAdopted          Cause = "TakenOver"
)

// share is the state of one service of a route.
type share struct {
	service anvilglade.ServiceID
	weight  int
	step    anvilglade.SplitStep
	cause   Cause
	// steppedAt is the time of the last change, harmedAt that of the last step back
	// because a receiver was near its limit.
	steppedAt time.Time
	harmedAt  time.Time
	// unusable is set if the service had no usable host at the last evaluation.
	unusable bool
	// demand is the mean utilisation that the service would have without steps, negative
	// while it is unknown.
	demand float64
	// wait is the wait in the last report.
	wait time.Duration
	// past has the steps after the last evaluations, oldest first.
	past [reportDelay]anvilglade.SplitStep
	// peerSteps is the sum of the steps that other balancers report.
	peerSteps int
}

// receives reports whether shifted flows go to the service.
func (s *share) receives() bool {
	return s.step == 0 && s.weight > 0
}

// split is the state of a route.
type split struct {
	name        string
	shares      []share
	evaluatedAt time.Time
	// peers is the number of other balancers that report their steps.
	peers int
	// kept is the slice that keptBefore and keptAt reuse.
	kept []float64
}

// newSplit returns the state of a route. It keeps the steps of the services that a
// former state of the route, which may be nil, had too.
func newSplit(route *anvilglade.PacketRoute, former *split) *split {
	s := &split{name: route.Name, shares: make([]share, len(route.Backends)), kept: make([]float64, len(route.Backends))}
	for i, backend := range route.Backends {
		s.shares[i] = share{service: backend.Service, weight: backend.Weight, demand: -1}
	}
	if former != nil {
		for _, shift := range former.appendShifts(nil) {
			s.adopt(shift)
		}
	}
	return s
}

// matches reports whether the state has the services and weights of a route.
func (s *split) matches(route *anvilglade.PacketRoute) bool {
	if len(s.shares) != len(route.Backends) {
		return false
	}
	for i, backend := range route.Backends {
		if s.shares[i].service != backend.Service || s.shares[i].weight != backend.Weight {
			return false
		}
	}
	return true
}

// adopt raises a step to that of another balancer or of a former state of the route, if
// another service remains that can receive the flows.
func (s *split) adopt(shift anvilglade.RouteShift) {
	for i := range s.shares {
		share := &s.shares[i]
		if share.service != shift.Service || shift.Step <= share.step || shift.Step > anvilglade.MaxSplitStep {
			continue
		}
		if s.receiverWeightWithout(i) > 0 {
			share.step, share.cause = shift.Step, CauseAdopted
		}
	}
}

// active reports whether a service has a step above 0.
func (s *split) active() bool {
	for i := range s.shares {
		if s.shares[i].step > 0 {
			return true
		}
	}
	return false
}

// appendShifts appends the steps above 0 to a list.
func (s *split) appendShifts(list []anvilglade.RouteShift) []anvilglade.RouteShift {
	for i := range s.shares {
		if share := &s.shares[i]; share.step > 0 {
			list = append(list, anvilglade.RouteShift{Route: s.name, Service: share.service, Step: share.step})
		}
	}
	return list
}

// receiverWeight returns the sum of the weights of the services that receive shifted
// flows.
func (s *split) receiverWeight() int {
	return s.receiverWeightWithout(-1)
}

// receiverWeightWithout returns receiverWeight without the service with an index.
func (s *split) receiverWeightWithout(index int) int {
	total := 0
	for i := range s.shares {
		if i != index && s.shares[i].receives() {
			total += s.shares[i].weight
		}
	}
	return total
}

// evaluate updates the steps and appends the changes to a list.
func (s *split) evaluate(loads []Load, target time.Duration, now time.Time, changes []Change) []Change {
	for i := range s.shares {
		s.shares[i].unusable = !loads[i].Usable
	}
	s.updateDemand(loads)
	for i := range s.shares {
		share := &s.shares[i]
		receiver := s.slowestReceiver(i, loads)
		step, cause := s.next(i, loads, target, receiver, now)
		if step == share.step {
			continue
		}
		change := Change{RouteShift: anvilglade.RouteShift{Route: s.name, Service: share.service, Step: step}, Former: share.step, Cause: cause, Own: loads[i]}
		if receiver != nil {
			change.Receiver = *receiver
		}
		changes = append(changes, change)
		if cause == CauseReceiverSlow {
			share.harmedAt = now
		}
		share.step, share.cause, share.steppedAt = step, cause, now
	}
	return changes
}

// updateDemand updates the estimates of the load that the services would have without
// steps.
func (s *split) updateDemand(loads []Load) {
	shares := s.keptBefore()
	received := s.receiverFactor(shares)
	for i := range s.shares {
		share, factor := &s.shares[i], shares[i]
		if factor == 1 {
			factor = received
		}
		if loads[i].Usable && factor > 0 {
			share.addDemand(loads[i].Utilisation/factor, &loads[i])
		}
		copy(share.past[:], share.past[1:])
		share.past[reportDelay-1] = share.step
	}
}

// addDemand adds a value to the mean of the demand. A backlog keeps the slots busy
// whatever the demand: if it grows, the demand is at least the value, otherwise nothing
// is known.
func (s *share) addDemand(demand float64, load *Load) {
	grown := load.Wait > s.wait
	s.wait = load.Wait
	switch {
	case s.demand < 0:
		s.demand = demand
	case !load.backlog():
		s.demand += demandWeight * (demand - s.demand)
	case grown:
		s.demand = max(s.demand, demand)
	}
}

// kept returns the share of its new flows that a service keeps at a step.
func kept(step anvilglade.SplitStep) float64 {
	return 1 - float64(step)/float64(anvilglade.MaxSplitStep)
}

// keptBefore returns the share of its new flows that each service kept at all balancers
// when the present reports were made.
func (s *split) keptBefore() []float64 {
	for i := range s.shares {
		share := &s.shares[i]
		steps := float64(share.peerSteps + int(share.past[0]))
		s.kept[i] = 1 - steps/float64(1+s.peers)/float64(anvilglade.MaxSplitStep)
	}
	return s.kept
}

// keptAt returns the share of its new flows that each service keeps at the steps of this
// balancer, if the service with an index had the given step.
func (s *split) keptAt(index int, step anvilglade.SplitStep) []float64 {
	for i := range s.shares {
		s.kept[i] = kept(s.shares[i].step)
	}
	s.kept[index] = kept(step)
	return s.kept
}

// receiverFactor returns the load of the receivers relative to their demand, if the
// services keep the given shares of their flows. Callers that are refused because a
// service has no usable host retry on new flows, each of which may be shifted.
func (s *split) receiverFactor(shares []float64) float64 {
	total, own, reached, refused := 0.0, 0.0, 0.0, 0.0
	for i := range s.shares {
		weight := float64(s.shares[i].weight)
		total += weight
		reached += weight * (1 - shares[i])
		switch {
		case s.shares[i].unusable:
			refused += weight * shares[i]
		case shares[i] == 1:
			own += weight
		}
	}
	if own == 0 {
		return 1
	}
	attempts, again := 1.0, 1.0
	for range maxAttempts - 1 {
		again *= refused / total
		attempts += again
	}
	return (own + reached) / own * attempts
}

// slowestReceiver returns the load of the usable service with the longest time to a
// response among those to which flows of a service would be shifted, nil if there is
// none. A service without reports counts as the slowest, because its load is unknown.
func (s *split) slowestReceiver(index int, loads []Load) *Load {
	var slowest *Load
	for i := range s.shares {
		if i == index || !s.shares[i].receives() || !loads[i].Usable {
			continue
		}
		if slowest == nil || slowest.ServiceTime > 0 && (loads[i].ServiceTime == 0 || loads[i].completion() > slowest.completion()) {
			slowest = &loads[i]
		}
	}
	return slowest
}

// next returns the step of a service and the cause if it changes.
func (s *split) next(index int, loads []Load, target time.Duration, receiver *Load, now time.Time) (anvilglade.SplitStep, Cause) {
	own := &loads[index]
	if receiver == nil {
		return 0, CauseNoReceiver
	}
	if target == 0 || receiver.ServiceTime == 0 {
		// Without a target or without reports only the lack of hosts counts, and no limit
		// applies. A service without reports of its own is taken to have capacity; flows
		// return to it in steps, because its hosts may have just restarted.
		if own.Usable {
			return 0, CauseCapacityReturned
		}
		return anvilglade.MaxSplitStep, CauseNoHost
	}
	return s.nextWithin(index, loads, target, receiver, now)
}

// nextWithin returns the next step of a service within the limits of the receivers.
func (s *split) nextWithin(index int, loads []Load, target time.Duration, receiver *Load, now time.Time) (anvilglade.SplitStep, Cause) {
	share, own := &s.shares[index], &loads[index]
	if share.step > 0 && s.busiest(index, share.step, loads) > overloadUtilisation {
		return s.withdraw(index, loads), CauseReceiverFull
	}
	limit := receiverLimit(receiver, target)
	if receiver.completion() >= limit {
		return s.back(share, withdrawInterval, CauseReceiverSlow, now)
	}
	budget := attemptBudget(target)
	if own.Usable && own.completion() <= budget {
		if share.step > 0 && share.recovered(own, budget) {
			return s.back(share, backInterval, CauseCapacityReturned, now)
		}
		return share.step, share.cause
	}
	if receiver.Wait >= (limit-receiver.ServiceTime)/2 {
		// The rest of the wait that the limit allows is left for the effect of the last
		// steps.
		return share.step, share.cause
	}
	cause := CauseSlow
	if !own.Usable {
		cause = CauseNoHost
	}
	return s.up(index, loads, cause, now)
}

// recovered reports whether the service can serve the flows of the next step back.
func (s *share) recovered(load *Load, budget time.Duration) bool {
	if load.completion() >= budget/2 || load.backlog() {
		return false
	}
	return s.demand*kept(stepBack(s.step)) <= returnUtilisation
}

// stepBack returns the step after the largest change back at once.
func stepBack(step anvilglade.SplitStep) anvilglade.SplitStep {
	return step - min(step, maxChange)
}

// up returns the next step towards the receivers, if it is due and they can serve it.
func (s *split) up(index int, loads []Load, cause Cause, now time.Time) (anvilglade.SplitStep, Cause) {
	share := &s.shares[index]
	if share.step == anvilglade.MaxSplitStep || now.Sub(share.steppedAt) < upInterval || now.Sub(share.harmedAt) < harmPause {
		return share.step, share.cause
	}
	if share.step == 0 && s.active() && loads[index].Usable {
		// The service receives flows of another one that has no capacity either.
		return 0, share.cause
	}
	for step := min(share.step+maxChange, anvilglade.MaxSplitStep); step > share.step; step-- {
		if s.busiest(index, step, loads) <= maxUtilisation {
			return step, cause
		}
	}
	return share.step, share.cause
}

// back returns the next step back, if it is due after an interval.
func (s *split) back(share *share, interval time.Duration, cause Cause, now time.Time) (anvilglade.SplitStep, Cause) {
	if share.step == 0 || now.Sub(share.steppedAt) < interval {
		return share.step, share.cause
	}
	return stepBack(share.step), cause
}

// withdraw returns the highest step below the present one that the receivers can serve.
func (s *split) withdraw(index int, loads []Load) anvilglade.SplitStep {
	step := s.shares[index].step - 1
	for step > 0 && s.busiest(index, step, loads) > maxUtilisation {
		step--
	}
	return step
}

// busiest returns the highest expected utilisation of a receiver, if the service with an
// index had the given step.
func (s *split) busiest(index int, step anvilglade.SplitStep, loads []Load) float64 {
	factor, highest := s.receiverFactor(s.keptAt(index, step)), 0.0
	for i := range s.shares {
		if other := &s.shares[i]; i != index && other.receives() && loads[i].Usable {
			highest = max(highest, other.demand*factor)
		}
	}
	return highest
}

// attemptBudget returns the part of the latency target that one attempt may use if
// requests of a higher priority share the service, see agadmission: agents refuse flows
// whose expected time is longer. The budget of the highest priority is half of the target,
// so its routes shift before their flows are refused.
func attemptBudget(target time.Duration) time.Duration {
	return target / budgetDivisor
}

// receiverLimit returns the time to a response at a receiver from which on its own
// callers may be harmed.
func receiverLimit(receiver *Load, target time.Duration) time.Duration {
	if receiver.Target > 0 {
		target = min(target, receiver.Target)
	}
	return target / receiverDivisor
}
