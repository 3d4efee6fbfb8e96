// Arbitration: the oldest host of a service decides on flows that nobody owns.
//
// A placement is written before its Place is sent, and carries an attempt number
// in Header.Step. A host that refused an attempt refuses every duplicate of it,
// and the arbiter ignores a Refused of another attempt, so at most one host can
// accept at any time.

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
	// stamp is the one that this host announced when it decided.
	stamp   anvilglade.JoinStamp
	attempt uint8
	tried   []netip.AddrPort
	used    int64
	// refusedUntil is set when every host refused the flow.
	refusedUntil int64
}

// arbitrate decides on a packet that passed every candidate.
func (m *Machine) arbitrate(now int64, header *agheader.Header, payload []byte, actions []Action) []Action {
	assigned := m.views[header.Service]
	if entry := m.placements[header.Flow]; entry != nil {
		if m.mayAct(entry) {
			return m.follow(now, entry, withoutDeclined(header), payload, actions)
		}
		if next := m.askFormerHost(entry, header); next >= 0 {
			header.Step = uint8(next)
			return send(actions, entry.host, agheader.KindLookup, header, payload)
		}
	}
	arbiter := assigned.arbiter(m, declinedHosts(header))
	if arbiter == nil {
		return drop(actions, anvilglade.DropNoConfiguration)
	}
	if arbiter.AgentAddress != m.options.Self {
		return m.redirect(assigned, arbiter, header, payload, actions)
	}
	if next := m.askMissingMembers(now, assigned, header); next >= 0 {
		header.Step = uint8(next)
		return send(actions, header.Candidates[next].Address, agheader.KindLookup, header, payload)
	}
	entry := &placement{service: header.Service, stamp: m.stamp(), used: now}
	// Hosts that refused a former decision refuse its attempt numbers for a while.
	if former := m.placements[header.Flow]; former != nil {
		entry.attempt = former.attempt
	}
	m.placements[header.Flow] = entry
	m.statistics.Decided++
	return m.place(now, entry, withoutDeclined(header), payload, actions)
}

// mayAct reports whether this agent may still act on its decision. It may not
// once it has left, works for another service or has announced a later stamp:
// another host may have decided since.
func (m *Machine) mayAct(entry *placement) bool {
	assigned := m.views[entry.service]
	return assigned != nil && !assigned.former && !m.left && entry.stamp == m.stamp()
}

func (m *Machine) stamp() anvilglade.JoinStamp {
	if m.options.Stamp == nil {
		return 0
	}
	return m.options.Stamp()
}

// askFormerHost inserts the host of a former decision, which may own the flow by now,
// before the next arbiter. It is asked with a Lookup: a Place could create the
// flow there after the next arbiter has decided otherwise. It returns the index,
// or -1 if there is no such host or it has just been asked.
func (m *Machine) askFormerHost(entry *placement, header *agheader.Header) int {
	next := firstDeclined(header)
	asked := next > 0 && header.Candidates[next-1].Address == entry.host
	if asked || entry.service != header.Service || !entry.host.IsValid() || entry.host == m.options.Self || len(header.Candidates) > anvilglade.MaxCandidates {
		return -1
	}
	header.Candidates = slices.Insert(header.Candidates, next, anvilglade.Candidate{Address: entry.host})
	return next
}

// withoutDeclined removes the hosts that declined from the list, so that they are no
// candidates for a placement.
func withoutDeclined(header *agheader.Header) *agheader.Header {
	if len(header.Candidates) > 0 {
		header.Candidates = slices.Delete(header.Candidates, firstDeclined(header), len(header.Candidates)-1)
	}
	header.Sender = netip.AddrPort{}
	return header
}

// firstDeclined returns the index of the first candidate that declined to
// decide. Candidates from there to the arbiter at the end have all declined.
// Header.Sender of a Lookup names the first of them; without one the index is
// that of the arbiter.
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

// redirect passes the packet to the host that is the arbiter by the assignment.
//
// Agents learn of leaves and restarts at different times. An agent that has left
// sends the packet to the next oldest host, and that one could send it back. So
// each agent that declines is listed before the arbiter, with Accepts set if it
// has left. Two agents that each take the other one for the arbiter, because one
// has restarted and the other does not know it yet, decide nothing: the packet
// is dropped, and a repeated one is decided after the next assignment.
func (m *Machine) redirect(assigned *view, arbiter *anvilglade.ServiceMember, header *agheader.Header, payload []byte, actions []Action) []Action {
	m.statistics.Redirected++
	left := m.left || assigned.former
	again := contains(declinedHosts(header), m.options.Self)
	if (!left || again) && contains(declinedHosts(header), arbiter.AgentAddress) {
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
	if !again {
		header.Candidates[last] = anvilglade.Candidate{Address: m.options.Self, Accepts: left}
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

// askMissingMembers inserts the hosts that the balancer's list lacked and that may own the
// flow by a decision of a former arbiter. It returns the index of the first one,
// or -1 if the list lacked none. They are asked, and get no new flow: other
// balancers may lack them too.
func (m *Machine) askMissingMembers(now int64, assigned *view, header *agheader.Header) int {
	at := firstDeclined(header)
	inserted := at
	for i := range assigned.members {
		member := &assigned.members[i]
		if !living(member.State) || member.AgentAddress == m.options.Self || !assigned.mayBeMissing(member, now) || contains(header.Candidates, member.AgentAddress) {
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

// follow sends a packet the way of an earlier decision.
func (m *Machine) follow(now int64, entry *placement, header *agheader.Header, payload []byte, actions []Action) []Action {
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
	if !m.views[entry.service].lives(entry.host, entry.incarnation) {
		return m.place(now, entry, header, payload, actions)
	}
	if entry.host == m.options.Self {
		return m.placeHere(now, entry, header, payload, actions)
	}
	return m.sendPlace(entry, header, payload, actions)
}

// place starts the next attempt of a placement.
func (m *Machine) place(now int64, entry *placement, header *agheader.Header, payload []byte, actions []Action) []Action {
	target, ok := m.choose(header, entry.tried)
	if !ok || entry.attempt == math.MaxUint8 {
		m.statistics.RefusedByAll++
		entry.refusedUntil = now + int64(refusedPause)
		m.recordFlow(agevent.FlowRefused, header.Flow, m.options.Host, "refused by all candidates")
		return drop(actions, anvilglade.DropRefused)
	}
	entry.used = now
	entry.attempt++
	entry.host = target
	entry.incarnation = m.views[header.Service].incarnation(target)
	if target == m.options.Self {
		return m.placeHere(now, entry, header, payload, actions)
	}
	if assigned := m.loads[target]; assigned != nil {
		assigned.placed++
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

// placeHere is an attempt at the arbiter's own host.
func (m *Machine) placeHere(now int64, entry *placement, header *agheader.Header, payload []byte, actions []Action) []Action {
	flow, refusal := m.create(now, header)
	if refusal != anvilglade.RefusalNone {
		entry.tried = append(entry.tried, m.options.Self)
		return m.place(now, entry, header, payload, actions)
	}
	return m.deliver(now, flow, header, payload, actions)
}

func (m *Machine) handleRefused(now int64, header *agheader.Header, payload []byte, actions []Action) []Action {
	m.learn(now, header)
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
	case !m.mayAct(entry):
		delete(m.placements, header.Flow)
		return m.arbitrate(now, header, payload, actions)
	case entry.attempt != header.Step || entry.host != refuser || entry.refusedUntil != 0:
		return m.follow(now, entry, header, payload, actions)
	}
	if !slices.Contains(entry.tried, refuser) {
		entry.tried = append(entry.tried, refuser)
	}
	return m.place(now, entry, header, payload, actions)
}

func (m *Machine) handlePlaced(now int64, header *agheader.Header, _ []byte, actions []Action) []Action {
	m.learn(now, header)
	if entry := m.placements[header.Flow]; entry != nil && entry.host == header.Sender && entry.attempt == header.Step {
		entry.used = now
	}
	return actions
}

func (m *Machine) handleUtilisation(now int64, header *agheader.Header, _ []byte, actions []Action) []Action {
	m.learn(now, header)
	return actions
}
