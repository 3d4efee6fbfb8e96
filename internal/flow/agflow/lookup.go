// The lookup along the candidate list. The owner accepts the packet, any other
// agent forwards it to the next candidate, and the last agent decides.

package agflow

import (
	"net/netip"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
)

// tombstone records that this host refused a placement, so that a duplicate of
// the same Place cannot create the flow here after the arbiter has tried another
// host.
type tombstone struct {
	arbiter netip.AddrPort
	attempt uint8
	at      int64
}

func (m *Machine) handleLookup(now int64, header *agheader.Header, payload []byte, actions []Action) []Action {
	if header.Balancer.IsValid() {
		m.recentBalancer = header.Balancer
	}
	// In the baseline mode, balancers set Direct on every packet.
	baseline := m.options.Ownership == OwnershipBaseline
	if header.Direct && !baseline {
		return m.deliverDirect(header, payload, actions)
	}
	if flow := m.flows[header.Flow]; flow != nil {
		return m.deliver(now, flow, header, payload, actions)
	}
	if baseline {
		return m.handleBaseline(now, header, payload, actions)
	}
	step := int(header.Step)
	if step >= len(header.Candidates) {
		return drop(actions, anvilglade.DropMalformed)
	}
	next := m.nextCandidate(header, step+1)
	if next < 0 {
		return m.arbitrate(now, header, payload, actions)
	}
	m.statistics.PassedOn++
	header.Step = uint8(next)
	return send(actions, header.Candidates[next].Address, agheader.KindLookup, header, payload)
}

// nextCandidate returns the index of the next candidate at or after from, or -1
// if there is none. It skips hosts that are dead or have left according to the
// assignment: a balancer with an outdated view still lists them, and the packet
// would be lost there.
func (m *Machine) nextCandidate(header *agheader.Header, from int) int {
	serviceView := m.views[header.Service]
	for i := from; i < len(header.Candidates); i++ {
		address := header.Candidates[i].Address
		if address != m.options.Self && !serviceView.deadOrLeft(address) {
			return i
		}
	}
	return -1
}

func (m *Machine) deliverDirect(header *agheader.Header, payload []byte, actions []Action) []Action {
	if !m.serves(header.Service) || m.options.Direct == nil || !m.options.Direct(header.Service, payload) {
		return drop(actions, anvilglade.DropWrongService)
	}
	return append(actions, Action{Kind: ActionDeliver, Header: *header, Payload: payload})
}

// handleBaseline accepts the flow on this host if possible, as OwnershipBaseline
// requires.
func (m *Machine) handleBaseline(now int64, header *agheader.Header, payload []byte, actions []Action) []Action {
	flow, refusal := m.create(now, header)
	if refusal != anvilglade.RefusalNone {
		m.statistics.Refused++
		return drop(actions, anvilglade.DropRefused)
	}
	return m.deliver(now, flow, header, payload, actions)
}

// deliver accepts a packet of an owned flow. A packet of another service with the
// same key is dropped and never reaches the flow's backend server.
func (m *Machine) deliver(now int64, flow *Flow, header *agheader.Header, payload []byte, actions []Action) []Action {
	if flow.Service != header.Service || flow.Protocol != header.Protocol {
		return drop(actions, anvilglade.DropWrongService)
	}
	flow.lastUsed, flow.lastFromCaller = now, now
	if header.Balancer.IsValid() {
		flow.balancer = header.Balancer
	}
	return append(actions, Action{Kind: ActionDeliver, Flow: flow, Header: *header, Payload: payload})
}

func (m *Machine) handlePlace(now int64, header *agheader.Header, payload []byte, actions []Action) []Action {
	if flow := m.flows[header.Flow]; flow != nil {
		return m.deliver(now, flow, header, payload, actions)
	}
	refusedPlace, refused := m.tombstones[header.Flow]
	if refused && refusedPlace.arbiter == header.Sender && header.Step <= refusedPlace.attempt {
		return m.refuse(header, payload, actions)
	}
	flow, refusal := m.create(now, header)
	if refusal != anvilglade.RefusalNone {
		m.tombstones[header.Flow] = tombstone{arbiter: header.Sender, attempt: header.Step, at: now}
		m.recordFlow(agevent.FlowRefused, header.Flow, m.options.Host, string(refusal))
		return m.refuse(header, payload, actions)
	}
	actions = m.deliver(now, flow, header, payload, actions)
	answer := agheader.Header{
		Revision: header.Revision, Service: header.Service, Protocol: header.Protocol, Flow: header.Flow,
		Caller: header.Caller, ServiceAddress: header.ServiceAddress, Balancer: header.Balancer,
		Sender: m.options.Self, Step: header.Step, Hops: header.Hops, Utilisation: m.options.Admitter.Utilisation(),
	}
	return send(actions, header.Sender, agheader.KindPlaced, &answer, nil)
}

// refuse sends the packet back to the arbiter, which tries the next host.
func (m *Machine) refuse(header *agheader.Header, payload []byte, actions []Action) []Action {
	m.statistics.RefusedHere++
	arbiter := header.Sender
	header.Sender = m.options.Self
	header.Utilisation = m.options.Admitter.Utilisation()
	return send(actions, arbiter, agheader.KindRefused, header, payload)
}

// create opens a flow if this host accepts new flows of the service and the
// admitter has capacity. Otherwise it returns the reason of the refusal.
func (m *Machine) create(now int64, header *agheader.Header) (*Flow, anvilglade.Refusal) {
	if refusal := m.accepts(header.Service); refusal != anvilglade.RefusalNone {
		return nil, refusal
	}
	refusal, release := m.options.Admitter.OpenFlow(m.serviceID)
	if refusal != anvilglade.RefusalNone {
		return nil, refusal
	}
	flow := &Flow{
		Key: header.Flow, Service: header.Service, Protocol: header.Protocol,
		Caller: header.Caller, ServiceAddress: header.ServiceAddress,
		balancer: header.Balancer, lastFromCaller: now, lastUsed: now, createdAt: now, release: release,
	}
	m.flows[header.Flow] = flow
	delete(m.tombstones, header.Flow)
	m.statistics.Created++
	m.recordFlow(agevent.FlowPlaced, flow.Key, m.options.Host, "")
	return flow, anvilglade.RefusalNone
}

func (m *Machine) serves(service anvilglade.ServiceNumber) bool {
	return m.options.Serves == nil || m.options.Serves(service)
}

// accepts returns the reason why this host accepts no new flow of a service,
// RefusalNone if it does.
func (m *Machine) accepts(service anvilglade.ServiceNumber) anvilglade.Refusal {
	switch {
	case m.dataCentreOut || !m.hasAssignment:
		return anvilglade.RefusalOut
	case m.draining || m.stopping || m.hasLeft:
		return anvilglade.RefusalDraining
	case service != m.service || !m.serves(service):
		return anvilglade.RefusalOut
	}
	return anvilglade.RefusalNone
}
