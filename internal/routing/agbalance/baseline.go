package agbalance

// The baseline for comparative measurements: rendezvous hashing of the caller's
// address over the hosts that report that they accept flows, without a lookup. A flow
// breaks when a change of the accepting hosts affects its bucket, or when the
// caller's address changes.

import "github.com/anvilglade/anvilglade"

// Baseline is the Router for ModeBaseline.
type Baseline struct {
	tableHolder
}

var _ TableRouter = (*Baseline)(nil)

// NewBaseline returns a router without a table.
func NewBaseline() *Baseline {
	return &Baseline{}
}

// Route decides on the only host of the flow's bucket. Direct is set, so that the
// agent serves the flow without a lookup at other hosts.
func (b *Baseline) Route(packet *anvilglade.IngressPacket, decision *anvilglade.RouteDecision) {
	_, route := b.findRoute(packet, decision)
	if route == nil {
		return
	}
	decision.Flow = anvilglade.NewFlowKey(route.Number, packet.Caller)
	routeByList(route.Service, decision)
	decision.Direct = decision.Drop == anvilglade.DropNone
}
