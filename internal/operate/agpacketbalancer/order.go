package agpacketbalancer

// The order in which the packets of a batch are handled. At a balancer with known limits
// packets of established flows go first, so that many new flows do not delay them.

import (
	"slices"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
)

// batchOrder computes the order in which the packets of a batch are handled. It reuses its
// slices.
type batchOrder struct {
	codec anvilglade.PacketCodec
	// openingLast is set if opening packets are handled last. Otherwise the order is that
	// of the arrival.
	openingLast bool
	order       []int
	last        []int
	// flows has the flows of the packets in last.
	flows []anvilglade.Flow
}

// of returns the indexes of the packets of a batch in the order in which to handle them.
// The packets of a flow stay in the order of their arrival: a packet that follows an
// opening packet of its flow is handled last, too.
func (o *batchOrder) of(batch []agsocket.Packet) []int {
	o.order, o.last, o.flows = o.order[:0], o.last[:0], o.flows[:0]
	var packet anvilglade.Packet
	for i := range batch {
		if o.openingLast && o.codec.Parse(batch[i].Data, &packet) == nil {
			flow := packet.FromCaller()
			if packet.Opens() || slices.Contains(o.flows, flow) {
				o.last, o.flows = append(o.last, i), append(o.flows, flow)
				continue
			}
		}
		o.order = append(o.order, i)
	}
	o.order = append(o.order, o.last...)
	return o.order
}
