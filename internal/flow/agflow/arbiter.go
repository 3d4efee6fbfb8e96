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
	attempt     uint8
	tried       []netip.AddrPort
	used        int64
	// refusedUntil is set when every host refused the flow.
	refusedUntil int64
}

// arbitrate decides on a packet that passed every candidate.
func (m *Machine) arbitrate(now int64, header *agheader.Header, payload []byte, actions []Action) []Action {
	if entry := m.placements[header.Flow]; entry != nil {
		return m.follow(now, entry, header, payload, actions)
	}
	arbiter, known := m.views[header.Service].arbiter(m)
	if !known {
		return drop(actions, anvilglade.DropNoConfiguration)
	}
	// A packet that the other host has just redirected here is decided here:
	// that host knows that it leaves, and this one does not know it yet.
	if arbiter.AgentAddress != m.options.Self && arbiter.AgentAddress != header.Sender {
		return m.redirect(&arbiter, header, payload, actions)
	}
	if m.left || !m.views[header.Service].mayDecide(m) {
		return drop(actions, anvilglade.DropNoHost)
	}
	entry := &placement{service: header.Service, used: now}
	m.placements[header.Flow] = entry
	m.statistics.Decided++
	return m.place(now, entry, header, payload, actions)
}

// redirect passes the packet to the host that is the arbiter by the orders.
func (m *Machine) redirect(arbiter *anvilglade.ServiceMember, header *agheader.Header, payload []byte, actions []Action) []Action {
	m.statistics.Redirected++
	last := len(header.Candidates) - 1
	header.Candidates[last] = anvilglade.Candidate{Address: arbiter.AgentAddress, Accepts: arbiter.Accepts}
	header.Step = uint8(last)
	header.Sender = m.options.Self
	return send(actions, arbiter.AgentAddress, agheader.KindLookup, header, payload)
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
	entry.used = now
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
	if known := m.loads[target]; known != nil {
		known.placed++
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
	entry := m.placements[header.Flow]
	if entry == nil {
		return drop(actions, anvilglade.DropRefused)
	}
	// A flow may have come here in the meantime only by this arbiter's own
	// decision, which follow finds.
	if flow := m.flows[header.Flow]; flow != nil {
		return m.deliver(now, flow, header, payload, actions)
	}
	if entry.attempt != header.Step || entry.host != header.Sender || entry.refusedUntil != 0 {
		return m.follow(now, entry, header, payload, actions)
	}
	if !slices.Contains(entry.tried, header.Sender) {
		entry.tried = append(entry.tried, header.Sender)
	}
	return m.place(now, entry, header, payload, actions)
}

func (m *Machine) handlePlaced(now int64, header *agheader.Header, _ []byte, actions []Action) []Action {
	m.learn(now, header)
	if entry := m.placements[header.Flow]; entry != nil && entry.host == header.Sender {
		entry.used = now
	}
	return actions
}

func (m *Machine) handleUtilisation(now int64, header *agheader.Header, _ []byte, actions []Action) []Action {
	m.learn(now, header)
	return actions
}
