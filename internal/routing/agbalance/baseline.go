package agbalance

// The baseline of the measurements: rendezvous hashing of the caller's address
// over the hosts that report to accept, and no lookup. Its flows break whenever
// the set of accepting hosts changes their bucket, or the caller's address
// changes.

import "github.com/anvilglade/anvilglade"

// Baseline is the implementation for ModeBaseline.
type Baseline struct {
	current
}

var _ Adopter = (*Baseline)(nil)

// NewBaseline returns a router without a table.
func NewBaseline() *Baseline {
	return &Baseline{}
}

// Route names the one host of the flow's bucket. Direct is set, so that the
// agent serves the flow without asking other hosts.
func (b *Baseline) Route(packet *anvilglade.IngressPacket, decision *anvilglade.RouteDecision) {
	_, route := b.find(packet, decision)
	if route == nil {
		return
	}
	decision.Flow = anvilglade.NewFlowKey(route.Number, packet.Caller)
	list(route.Service, decision)
	decision.Direct = decision.Drop == anvilglade.DropNone
}
