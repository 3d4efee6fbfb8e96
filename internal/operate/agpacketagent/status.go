package agpacketagent

// Statuses that the agent and the balancers send each other.

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/admission/agopen"
	"github.com/anvilglade/anvilglade/internal/membership/agpace"
	"github.com/anvilglade/anvilglade/internal/membership/agregistry"
	"github.com/anvilglade/anvilglade/internal/packet/agmessage"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
)

const (
	// statusInterval is the minimum time between two regular statuses to each
	// balancer.
	statusInterval = 250 * time.Millisecond
	// startInterval replaces statusInterval while no balancer responds.
	startInterval = 100 * time.Millisecond
	// discoverInterval is the time between two reads of the store while no balancer
	// responds, and between two attempts to join the list of agents. After failures it
	// rises to maxDiscoverInterval: all agents call the store at the same time after an
	// outage of everything.
	discoverInterval    = 2 * time.Second
	maxDiscoverInterval = 8 * time.Second
	// seedGrace is how long an agent that has just started waits for a status of a
	// balancer before it reads the list of balancers from the store.
	seedGrace = 300 * time.Millisecond
	// statusesPerList is the number of statuses of which one lists the balancers.
	statusesPerList = 8
	// maxListEntries limits the balancers that a status lists.
	maxListEntries = 250
)

// handleBalancerStatus handles the status of a balancer. The caller holds the
// mutex.
func (p *Process) handleBalancerStatus(datagram []byte, now time.Time) {
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
	p.gate.SetPolicy(p.evacuations.Has(p.settings.DataCentre), rate, now)
	if p.updateAdmissionState(now) {
		p.wakeStatus()
	}
}

func (p *Process) wakeStatus() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// sendStatus sends the status of the host to balancers, at regular intervals and
// when it changes.
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
		if !p.hasResponsiveBalancer(time.Now()) {
			interval = startInterval
		}
		timer.Reset(interval)
	}
}

func (p *Process) hasResponsiveBalancer(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.roster.Responsive(now)) > 0
}

// broadcast sends the status to all balancers of the roster that receive statuses
// and returns their number.
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
		// A failed send is not retried: the next status follows soon.
		_ = p.packets.WriteTo(datagram, p.innerEndpoint(address).AddrPort())
	}
	return len(addresses)
}

// status returns the next status of this agent. The number of receivers determines
// how often the status lists the balancers. The caller holds the mutex.
func (p *Process) status(now time.Time, receivers int) anvilglade.AgentStatus {
	p.sequence++
	flows, _, latency := p.holder.Load()
	status := anvilglade.AgentStatus{
		Agent:          p.settings.IP,
		Incarnation:    p.incarnation,
		Sequence:       p.sequence,
		Service:        p.settings.Service,
		DataCentre:     p.settings.DataCentre,
		Region:         p.settings.Region,
		Ended:          p.gate.Ended(),
		Accepts:        p.gate.AdmissionState(now) == agopen.RefusalNone && !p.leaving.Load(),
		Cold:           p.gate.Cold(now),
		Flows:          flows,
		ActiveRequests: p.holder.ExpectedRequests(),
		Latency:        latency,
		Failing:        float32(p.holder.Failing(now)),
	}
	if host, ok := p.gate.Host(); ok {
		status.Host, status.Born, status.Slots = host.Host, host.Born.UnixMilli(), host.Slots
	}
	if uint64(p.sequence)%agpace.MessagesPerList(statusesPerList, receivers) != 1 {
		return status
	}
	balancers := p.roster.Responsive(now)
	status.Balancers = balancers[:min(len(balancers), maxListEntries)]
	return status
}

// discover registers this agent in the store, so that balancers that start later can
// find it. While no balancer responds, it reads the list of balancers from the store,
// because seeds may be stale or down.
func (p *Process) discover(ctx context.Context) error {
	agents := agregistry.NewRegistry(p.parts.Store, agregistry.KindAgent)
	balancers := agregistry.NewRegistry(p.parts.Store, agregistry.KindBalancer)
	if err := agtask.Sleep(ctx, seedGrace); err != nil {
		return err
	}
	joined, interval := false, discoverInterval
	for {
		var joinErr, readErr error
		if !joined {
			joinErr = agents.Join(ctx, p.settings.IP, p.settings.Node)
			p.logDiscovery(joinErr)
			joined = joinErr == nil
		}
		if !p.hasResponsiveBalancer(time.Now()) {
			readErr = p.readBalancers(ctx, balancers)
			p.logDiscovery(readErr)
		}
		interval = min(2*interval, maxDiscoverInterval)
		if joinErr == nil && readErr == nil {
			interval = discoverInterval
		}
		if err := agtask.Sleep(ctx, interval/2+rand.N(interval/2)); err != nil {
			return err
		}
	}
}

// readBalancers adds the balancers that the store lists. It returns an error if the
// list or one of its entries cannot be read.
func (p *Process) readBalancers(ctx context.Context, balancers *agregistry.Registry) error {
	addresses, faults, err := balancers.Members(ctx)
	p.addBalancers(addresses)
	return errors.Join(append(faults, err)...)
}

func (p *Process) logDiscovery(err error) {
	if err != nil {
		p.log.WithError(err).Warn("Lists of processes in the store cannot be read or written; the agent retries.")
	}
}

// addBalancers adds balancers to the roster and triggers a status, so that new
// ones receive it at once.
func (p *Process) addBalancers(addresses []anvilglade.IPv4) {
	p.mu.Lock()
	p.roster.Add(addresses, time.Now())
	p.mu.Unlock()
	p.wakeStatus()
}
