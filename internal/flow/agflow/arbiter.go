// Arbitration: the oldest host of a service decides on flows without an owner.
//
// The arbiter records a placement before it sends the Place, which carries the
// attempt number in Header.Step. A host that refused an attempt refuses every
// duplicate of it, and the arbiter ignores a Refused of another attempt, so at
// most one host can accept at any time.

package agflow

import (
	"math"
	"net/netip"
	"slices"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
)

// placement is the arbiter's decision on a flow.
type placement struct {
	host        netip.AddrPort
	incarnation anvilglade.Incarnation
	service     anvilglade.ServiceNumber
	// stamp is the stamp that this host announced at the time of the decision.
	stamp    anvilglade.JoinStamp
	attempt  uint8
	tried    []netip.AddrPort
	lastUsed int64
	// refusedUntil is the time of the next attempt, in nanoseconds since the Unix
	// epoch, after every host has refused the flow; 0 otherwise.
	refusedUntil int64
}

// arbitrate decides on a packet of a flow that none of the candidates owns.
func (m *Machine) arbitrate(now int64, header *agheader.Header, payload []byte, actions []Action) []Action {
	serviceView := m.views[header.Service]
	if entry := m.placements[header.Flow]; entry != nil {
		if m.mayDecide(entry) {
			return m.repeatDecision(now, entry, withoutDeclined(header), payload, actions)
		}
		if next := m.askFormerHost(entry, header); next >= 0 {
			header.Step = uint8(next)
			return send(actions, entry.host, agheader.KindLookup, header, payload)
		}
	}
	arbiter := serviceView.arbiter(m, declinedHosts(header))
	if arbiter == nil {
		return drop(actions, anvilglade.DropNoConfiguration)
	}
	if arbiter.AgentAddress != m.options.Self {
		return m.redirect(serviceView, arbiter, header, payload, actions)
	}
	if next := m.askMissingMembers(now, serviceView, header); next >= 0 {
		header.Step = uint8(next)
		return send(actions, header.Candidates[next].Address, agheader.KindLookup, header, payload)
	}
	entry := &placement{service: header.Service, stamp: m.stamp(), lastUsed: now}
	// Hosts that refused an attempt of an earlier decision refuse its attempt
	// numbers until their tombstones expire, so the numbers continue.
	if former := m.placements[header.Flow]; former != nil {
		entry.attempt = former.attempt
	}
	m.placements[header.Flow] = entry
	m.statistics.Decided++
	return m.place(now, entry, withoutDeclined(header), payload, actions)
}

// mayDecide reports whether this agent may still act on an earlier decision. It
// may not after it has left, serves another service or has announced a later
// stamp, because another host may have decided since.
func (m *Machine) mayDecide(entry *placement) bool {
	serviceView := m.views[entry.service]
	return serviceView != nil && !serviceView.former && !m.hasLeft && entry.stamp == m.stamp()
}

func (m *Machine) stamp() anvilglade.JoinStamp {
	if m.options.Stamp == nil {
		return 0
	}
	return m.options.Stamp()
}

// askFormerHost inserts the host of an earlier decision, which may own the flow,
// into the candidate list before the next arbiter. The packet is sent to it as a
// Lookup, because a Place could create the flow there after the next arbiter has
// decided otherwise. It returns the index, or -1 if there is no such host, the
// packet comes from it, or the list is full.
func (m *Machine) askFormerHost(entry *placement, header *agheader.Header) int {
	next := firstDeclined(header)
	cameFromHost := next > 0 && header.Candidates[next-1].Address == entry.host
	if cameFromHost || entry.service != header.Service || !entry.host.IsValid() || entry.host == m.options.Self || len(header.Candidates) > anvilglade.MaxCandidates {
		return -1
	}
	header.Candidates = slices.Insert(header.Candidates, next, anvilglade.Candidate{Address: entry.host})
	return next
}

// withoutDeclined removes the hosts that declined to decide from the list, so that
// they are not candidates for a placement.
func withoutDeclined(header *agheader.Header) *agheader.Header {
	if len(header.Candidates) > 0 {
		header.Candidates = slices.Delete(header.Candidates, firstDeclined(header), len(header.Candidates)-1)
	}
	header.Sender = netip.AddrPort{}
	return header
}

// firstDeclined returns the index of the first candidate that declined to decide.
// All candidates from there up to the arbiter at the end of the list have
// declined. Header.Sender of a Lookup names the first of them; if it is not set,
// the index is that of the arbiter.
func firstDeclined(header *agheader.Header) int {
	last := len(header.Candidates) - 1
	if !header.Sender.IsValid() {
		return last
	}
	for i := last - 1; i >= 0; i-- {
		if header.Candidates[i].Address == header.Sender {
			return i
		}
	}
	return last
}

// declinedHosts returns the candidates that declined to decide.
func declinedHosts(header *agheader.Header) []anvilglade.Candidate {
	return header.Candidates[firstDeclined(header) : len(header.Candidates)-1]
}

// redirect forwards the packet to the host that is the arbiter according to the
// assignment.
//
// Agents receive updates about leaves and restarts at different times. An agent
// that has left sends the packet to the next oldest host, which could send it
// back. Therefore each agent that declines is listed before the arbiter, with
// Accepts set if it has left. If one of two agents has restarted and the other
// has not received that update, each regards the other as the arbiter. Neither
// decides then: the packet is dropped, and a retransmitted packet is decided after
// the next assignment.
func (m *Machine) redirect(serviceView *view, arbiter *anvilglade.ServiceMember, header *agheader.Header, payload []byte, actions []Action) []Action {
	m.statistics.Redirected++
	hasLeft := m.hasLeft || serviceView.former
	alreadyDeclined := contains(declinedHosts(header), m.options.Self)
	if (!hasLeft || alreadyDeclined) && contains(declinedHosts(header), arbiter.AgentAddress) {
		return drop(actions, anvilglade.DropNoHost)
	}
	last := len(header.Candidates) - 1
	if last >= anvilglade.MaxCandidates {
		m.statistics.Cut++
		return drop(actions, anvilglade.DropHops)
	}
	if firstDeclined(header) == last {
		header.Sender = m.options.Self
	}
	if !alreadyDeclined {
		header.Candidates[last] = anvilglade.Candidate{Address: m.options.Self, Accepts: hasLeft}
		header.Candidates = append(header.Candidates, anvilglade.Candidate{})
		last++
	}
	header.Candidates[last] = anvilglade.Candidate{Address: arbiter.AgentAddress, Accepts: arbiter.Accepts}
	header.Step = uint8(last)
	return send(actions, arbiter.AgentAddress, agheader.KindLookup, header, payload)
}

func contains(candidates []anvilglade.Candidate, address netip.AddrPort) bool {
	return slices.ContainsFunc(candidates, func(c anvilglade.Candidate) bool { return c.Address == address })
}

// askMissingMembers inserts the hosts that are missing in the balancer's list and
// may own the flow by a decision of an earlier arbiter. It returns the index of
// the first one, or -1 if none is missing. The inserted hosts receive a Lookup
// only and no new flow, because the lists of other balancers may lack them too.
func (m *Machine) askMissingMembers(now int64, serviceView *view, header *agheader.Header) int {
	at := firstDeclined(header)
	inserted := at
	for i := range serviceView.members {
		member := &serviceView.members[i]
		if !isLive(member.State) || member.AgentAddress == m.options.Self || !serviceView.mayBeMissing(member, now) || contains(header.Candidates, member.AgentAddress) {
			continue
		}
		if len(header.Candidates) > anvilglade.MaxCandidates {
			m.statistics.Cut++
			break
		}
		header.Candidates = slices.Insert(header.Candidates, inserted, anvilglade.Candidate{Address: member.AgentAddress})
		inserted++
	}
	if inserted == at {
		return -1
	}
	return at
}

// repeatDecision sends a packet to the host of an earlier decision, or starts a
// new attempt if that decision is no longer valid.
func (m *Machine) repeatDecision(now int64, entry *placement, header *agheader.Header, payload []byte, actions []Action) []Action {
	if entry.service != header.Service {
		return drop(actions, anvilglade.DropWrongService)
	}
	if now < entry.refusedUntil {
		m.statistics.Refused++
		return drop(actions, anvilglade.DropRefused)
	}
	if entry.refusedUntil != 0 {
		entry.refusedUntil, entry.tried = 0, nil
		return m.place(now, entry, header, payload, actions)
	}
	if !m.views[entry.service].placementValid(entry.host, entry.incarnation) {
		return m.place(now, entry, header, payload, actions)
	}
	if entry.host == m.options.Self {
		return m.placeLocally(now, entry, header, payload, actions)
	}
	return m.sendPlace(entry, header, payload, actions)
}

// place starts the next attempt of a placement, or drops the packet if no host
// remains to be tried.
func (m *Machine) place(now int64, entry *placement, header *agheader.Header, payload []byte, actions []Action) []Action {
	target, ok := m.chooseHost(header, entry.tried)
	if !ok || entry.attempt == math.MaxUint8 {
		m.statistics.RefusedByAll++
		entry.refusedUntil = now + int64(refusedRetryDelay)
		m.recordFlow(agevent.FlowRefused, header.Flow, m.options.Host, "refused by all candidates")
		return drop(actions, anvilglade.DropRefused)
	}
	entry.lastUsed = now
	entry.attempt++
	entry.host = target
	entry.incarnation = m.views[header.Service].incarnation(target)
	if target == m.options.Self {
		return m.placeLocally(now, entry, header, payload, actions)
	}
	if hostLoad := m.loads[target]; hostLoad != nil {
		hostLoad.placed++
	} else {
		m.loads[target] = &load{placed: 1}
	}
	return m.sendPlace(entry, header, payload, actions)
}

func (m *Machine) sendPlace(entry *placement, header *agheader.Header, payload []byte, actions []Action) []Action {
	header.Sender = m.options.Self
	header.Step = entry.attempt
	return send(actions, entry.host, agheader.KindPlace, header, payload)
}

// placeLocally attempts the placement on the arbiter's own host.
func (m *Machine) placeLocally(now int64, entry *placement, header *agheader.Header, payload []byte, actions []Action) []Action {
	flow, refusal := m.create(now, header)
	if refusal != anvilglade.RefusalNone {
		entry.tried = append(entry.tried, m.options.Self)
		return m.place(now, entry, header, payload, actions)
	}
	return m.deliver(now, flow, header, payload, actions)
}

func (m *Machine) handleRefused(now int64, header *agheader.Header, payload []byte, actions []Action) []Action {
	m.updateLoad(now, header)
	refuser := header.Sender
	header.Sender = netip.AddrPort{}
	entry := m.placements[header.Flow]
	switch {
	case m.flows[header.Flow] != nil:
		return m.deliver(now, m.flows[header.Flow], header, payload, actions)
	case len(header.Candidates) == 0:
		return drop(actions, anvilglade.DropMalformed)
	case entry == nil:
		return drop(actions, anvilglade.DropRefused)
	case !m.mayDecide(entry):
		delete(m.placements, header.Flow)
		return m.arbitrate(now, header, payload, actions)
	case entry.attempt != header.Step || entry.host != refuser || entry.refusedUntil != 0:
		return m.repeatDecision(now, entry, header, payload, actions)
	}
	if !slices.Contains(entry.tried, refuser) {
		entry.tried = append(entry.tried, refuser)
	}
	return m.place(now, entry, header, payload, actions)
}

func (m *Machine) handlePlaced(now int64, header *agheader.Header, _ []byte, actions []Action) []Action {
	m.updateLoad(now, header)
	if entry := m.placements[header.Flow]; entry != nil && entry.host == header.Sender && entry.attempt == header.Step {
		entry.lastUsed = now
	}
	return actions
}

func (m *Machine) handleUtilisation(now int64, header *agheader.Header, _ []byte, actions []Action) []Action {
	m.updateLoad(now, header)
	return actions
}
