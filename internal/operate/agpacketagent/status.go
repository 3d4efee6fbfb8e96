package agpacketagent

// Statuses that the agent and the balancers send each other.

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
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
	// replyInterval is the maximum time between two requests for a reply. Without a
	// recent reply the host takes no new flows.
	replyInterval = 400 * time.Millisecond
	// startInterval replaces statusInterval while no balancer responds with a state.
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
	// statusesPerList is the number of statuses to all balancers of which one lists the
	// balancers.
	statusesPerList = 8
	// maxListEntries limits the balancers that a status lists.
	maxListEntries = 250
)

// handleBalancerStatus handles the status of a balancer. The caller holds the
// mutex.
func (p *Process) handleBalancerStatus(datagram []byte, now time.Time) {
	status, err := agmessage.ParseBalancerStatus(datagram)
	if err != nil {
		p.metrics.Malformed.WithLabelValues("BalancerStatus").Inc()
		return
	}
	p.triggerStatusToNew(p.roster.HandleStatus(&status, now))
	p.evacuations.Merge(&status.Evacuations, now)
	evacuations := p.evacuations.Evacuations()
	if status.Desired == 0 || evacuations.Revision == 0 {
		return
	}
	rate := 0.0
	for _, service := range status.ColdRates {
		if service.Service == p.settings.Service {
			rate = service.ColdRate
		}
	}
	p.gate.SetPolicy(evacuations.Has(p.settings.DataCentre), rate, now)
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

// triggerStatusToNew triggers a status to balancers that are new in the roster. The
// caller holds the mutex.
func (p *Process) triggerStatusToNew(added []anvilglade.IPv4) {
	if len(added) == 0 {
		return
	}
	p.newBalancers = append(p.newBalancers, added...)
	select {
	case p.statusToNew <- struct{}{}:
	default:
	}
}

// sendStatus sends the status of the host to balancers, at regular intervals and
// when it changes. Between two statuses to all, it requests replies from a few.
func (p *Process) sendStatus(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var nextBroadcast time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.statusToNew:
			p.sendToNew()
			continue
		case <-p.wake:
			nextBroadcast = time.Time{}
		case <-timer.C:
		}
		now := time.Now()
		if now.Before(nextBroadcast) {
			p.requestReplies(now)
		} else {
			nextBroadcast = now.Add(p.statusInterval(p.broadcast()))
		}
		timer.Reset(min(time.Until(nextBroadcast), replyInterval))
	}
}

// statusInterval returns the time until the next status to all balancers, given their
// number.
func (p *Process) statusInterval(receivers int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.roster.WithState(time.Now())) == 0 {
		return agpace.Interval(startInterval, receivers)
	}
	return agpace.Interval(statusInterval, receivers)
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
	receivers := p.roster.Receivers(now)
	targets := p.roster.ReplyTargets(now, p.random)
	status := p.status(now, len(receivers))
	if p.broadcasts++; p.broadcasts%agpace.MessagesPerList(statusesPerList, len(receivers)) == 1 {
		balancers := p.roster.Responsive(now)
		status.Balancers = balancers[:min(len(balancers), maxListEntries)]
	}
	p.newBalancers = nil
	p.mu.Unlock()
	receivers = slices.DeleteFunc(receivers, func(address anvilglade.IPv4) bool { return slices.Contains(targets, address) })
	p.sendTo(receivers, &status, anvilglade.ReplyOnChange)
	p.sendTo(targets, &status, anvilglade.ReplyNow)
	return len(receivers) + len(targets)
}

// requestReplies sends the status to a few balancers and requests a reply from them.
func (p *Process) requestReplies(now time.Time) {
	p.mu.Lock()
	targets := p.roster.ReplyTargets(now, p.random)
	status := p.status(now, len(p.roster.Receivers(now)))
	p.mu.Unlock()
	p.sendTo(targets, &status, anvilglade.ReplyNow)
}

// sendToNew sends the status to the balancers that are new in the roster.
func (p *Process) sendToNew() {
	now := time.Now()
	p.mu.Lock()
	added := p.newBalancers
	p.newBalancers = nil
	status := p.status(now, len(p.roster.Receivers(now)))
	p.mu.Unlock()
	p.sendTo(added, &status, anvilglade.ReplyNow)
}

// sendTo sends a status with a request for replies to balancers. The name of the host is
// left out of statuses that request no reply and have no list.
func (p *Process) sendTo(balancers []anvilglade.IPv4, status *anvilglade.AgentStatus, reply anvilglade.ReplyRequest) {
	if len(balancers) == 0 {
		return
	}
	short := *status
	short.Reply = reply
	if reply == anvilglade.ReplyOnChange && len(status.Balancers) == 0 {
		short.Host = ""
	}
	datagram, err := agmessage.AppendAgentStatus(nil, &short)
	if err != nil {
		p.log.WithError(err).Warn("Status cannot be encoded.")
		return
	}
	for _, address := range balancers {
		// A failed send is not retried: the next status follows soon.
		_ = p.packets.WriteTo(datagram, p.innerEndpoint(address).AddrPort())
	}
}

// status returns the next status of this agent, without a list of balancers. The number
// of receivers determines its interval. The caller holds the mutex.
func (p *Process) status(now time.Time, receivers int) anvilglade.AgentStatus {
	p.sequence++
	flows, _, latency := p.holder.Load()
	status := anvilglade.AgentStatus{
		Agent:          p.settings.IP,
		Incarnation:    p.incarnation,
		Sequence:       p.sequence,
		Service:        p.settings.Service,
		DataCentre:     p.settings.DataCentre,
		Ended:          p.gate.Ended(),
		Accepts:        p.gate.AdmissionState(now) == agopen.RefusalNone && !p.leaving.Load(),
		Cold:           p.gate.Cold(now),
		Flows:          flows,
		ActiveRequests: p.holder.ExpectedRequests(),
		Latency:        latency,
		Failing:        float32(p.holder.Failing(now)),
		Interval:       agpace.Interval(statusInterval, receivers),
		TakesClass:     true,
		TakesNumbers:   true,
		ServiceTime:    p.capacity.ServiceTime(now),
		Wait:           p.capacity.Wait(p.holder.NewFlows(), now),
		RequestRate:    float32(p.capacity.RequestRate(now)),
	}
	if host, ok := p.gate.Host(); ok {
		status.Host, status.Born, status.Slots = host.Host, host.Born.UnixMilli(), host.Slots
	}
	return status
}

// discover registers this agent in the store, so that balancers that start later can
// find it, and again after the store has been restored. While no balancer responds, it reads the list of balancers from the store,
// because seeds may be stale or down.
func (p *Process) discover(ctx context.Context) error {
	agents := agregistry.NewRegistry(p.parts.Store, agregistry.KindAgent)
	balancers := agregistry.NewRegistry(p.parts.Store, agregistry.KindBalancer)
	if err := agtask.Sleep(ctx, seedGrace); err != nil {
		return err
	}
	entry := agregistry.NewEntry(agents, p.settings.IP, p.settings.Node)
	interval := discoverInterval
	for {
		var readErr error
		joinErr := entry.Join(ctx, p.storeEra())
		p.logDiscovery(joinErr)
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

// storeEra returns the era of the store according to the balancers, 0 if unknown.
func (p *Process) storeEra() anvilglade.StoreEra {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evacuations.Evacuations().Era
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

// addBalancers adds balancers to the roster and triggers a status to new ones.
func (p *Process) addBalancers(addresses []anvilglade.IPv4) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.triggerStatusToNew(p.roster.Add(addresses, time.Now()))
}
