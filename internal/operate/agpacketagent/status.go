package agpacketagent

// What the agent and the balancers tell each other.

import (
	"context"
	"errors"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/admission/agopen"
	"github.com/anvilglade/anvilglade/internal/membership/agpace"
	"github.com/anvilglade/anvilglade/internal/membership/agregistry"
	"github.com/anvilglade/anvilglade/internal/packet/agmessage"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
)

const (
	// statusInterval is the time between two statuses to each balancer.
	statusInterval = 250 * time.Millisecond
	// startInterval replaces it until a balancer has answered.
	startInterval = 100 * time.Millisecond
	// discoverInterval is the time between two readings of the store while no
	// balancer answers.
	discoverInterval = 2 * time.Second
	// listEvery is the number of statuses of which one names the balancers.
	listEvery = 8
	// maxListed bounds the balancers that a status names.
	maxListed = 250
)

// hearBalancer takes the status of a balancer. The caller holds the mutex.
func (p *Process) hearBalancer(datagram []byte, now time.Time) {
	status, err := agmessage.ParseBalancerStatus(datagram)
	if err != nil {
		return
	}
	if p.roster.HandleStatus(&status, now) {
		p.wakeStatus()
	}
	if status.Evacuations.Revision > p.evacuations.Revision {
		p.evacuations = status.Evacuations
	}
	if status.Desired == 0 || p.evacuations.Revision == 0 {
		return
	}
	rate := 0.0
	for _, service := range status.ColdRates {
		if service.Service == p.settings.Service {
			rate = service.ColdRate
		}
	}
	p.gate.Inform(p.evacuations.Has(p.settings.DataCentre), rate, now)
	if p.noteStanding(now) {
		p.wakeStatus()
	}
}

func (p *Process) wakeStatus() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// sendStatus tells balancers of the host, in turn and when it changes.
func (p *Process) sendStatus(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.wake:
		case <-timer.C:
		}
		interval := agpace.Interval(statusInterval, p.broadcast())
		if !p.heardAny(time.Now()) {
			interval = startInterval
		}
		timer.Reset(interval)
	}
}

func (p *Process) heardAny(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.roster.Responsive(now)) > 0
}

// broadcast sends the status to all balancers that are known and returns their
// number.
func (p *Process) broadcast() int {
	now := time.Now()
	p.mu.Lock()
	addresses := p.roster.Receivers(now)
	status := p.status(now, len(addresses))
	status.Interval = agpace.Interval(statusInterval, len(addresses))
	p.mu.Unlock()
	datagram, err := agmessage.AppendAgentStatus(nil, &status)
	if err != nil {
		p.log.WithError(err).Warn("Status cannot be encoded.")
		return len(addresses)
	}
	for _, address := range addresses {
		// A balancer that cannot be reached gets the next status.
		_ = p.packets.WriteTo(datagram, p.innerEndpoint(address).AddrPort())
	}
	return len(addresses)
}

// status returns the status of this agent for a number of balancers. The caller
// holds the mutex.
func (p *Process) status(now time.Time, receivers int) anvilglade.AgentStatus {
	p.sequence++
	flows, _, latency := p.holder.Load()
	status := anvilglade.AgentStatus{
		Agent:       p.settings.IP,
		Incarnation: p.incarnation,
		Sequence:    p.sequence,
		Service:     p.settings.Service,
		DataCentre:  p.settings.DataCentre,
		Region:      p.settings.Region,
		Ended:       p.gate.Ended(),
		Accepts:     p.gate.Standing(now) == agopen.RefusalNone && !p.leaving.Load(),
		Cold:        p.gate.Cold(now),
		Flows:       flows,
		Working:     p.holder.ExpectedRequests(),
		Latency:     latency,
		Failing:     float32(p.holder.Failing(now)),
	}
	if host, known := p.gate.Host(); known {
		status.Host, status.Born, status.Slots = host.Host, host.Born.UnixMilli(), host.Slots
	}
	if uint64(p.sequence)%agpace.MessagesPerList(listEvery, receivers) != 1 {
		return status
	}
	balancers := p.roster.Responsive(now)
	status.Balancers = balancers[:min(len(balancers), maxListed)]
	return status
}

// discover names this agent in the store and reads the balancers from it, as
// seeds may be stale or down. It reads them again while none answers.
func (p *Process) discover(ctx context.Context) error {
	agents := agregistry.NewRegistry(p.parts.Store, agregistry.KindAgent)
	balancers := agregistry.NewRegistry(p.parts.Store, agregistry.KindBalancer)
	joined, read := false, false
	for {
		if !joined {
			err := agents.Join(ctx, p.settings.IP, p.settings.Node)
			p.logDiscovery(err)
			joined = err == nil
		}
		if !read || !p.heardAny(time.Now()) {
			addresses, faults, err := balancers.Members(ctx)
			p.logDiscovery(errors.Join(append(faults, err)...))
			read = err == nil
			p.learnBalancers(addresses)
		}
		if err := agtask.Sleep(ctx, discoverInterval); err != nil {
			return err
		}
	}
}

func (p *Process) logDiscovery(err error) {
	if err != nil {
		p.log.WithError(err).Warn("Lists of processes in the store cannot be used; they are tried again.")
	}
}

// learnBalancers makes the agent tell its status to balancers that it did not
// know.
func (p *Process) learnBalancers(addresses []anvilglade.IPv4) {
	p.mu.Lock()
	p.roster.Add(addresses, time.Now())
	p.mu.Unlock()
	p.wakeStatus()
}
