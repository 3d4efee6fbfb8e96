package agpacketbalancer

// The order in which the packets of a batch are handled. At a balancer with known limits
// packets of established flows go first, so that many new flows do not delay them.

import (
	"slices"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
)

// batchOrder decodes the packets of a batch and computes the order in which they are
// handled. It reuses its slices.
type batchOrder struct {
	codec anvilglade.PacketCodec
	// openingLast is set if opening packets are handled last. Otherwise the order is that
	// of the arrival.
	openingLast bool
	// packets has the headers of the batch, valid for the indexes that of returns.
	packets []anvilglade.Packet
	order   []int
	last    []int
	// flows has the flows of the packets in last.
	flows []anvilglade.Flow
}

// of decodes a batch and returns the indexes of its packets in the order in which to
// handle them, without the malformed ones. The packets of a flow stay in the order of
// their arrival: a packet that follows an opening packet of its flow is handled last, too.
func (o *batchOrder) of(batch []agsocket.Packet) []int {
	o.order, o.last, o.flows = o.order[:0], o.last[:0], o.flows[:0]
	o.packets = slices.Grow(o.packets[:0], len(batch))[:len(batch)]
	for i := range batch {
		if err := o.codec.Parse(batch[i].Data, &o.packets[i]); err != nil {
			continue
		}
		if flow := o.packets[i].FromCaller(); o.openingLast && (o.packets[i].Opens() || slices.Contains(o.flows, flow)) {
			o.last, o.flows = append(o.last, i), append(o.flows, flow)
			continue
		}
		o.order = append(o.order, i)
	}
	o.order = append(o.order, o.last...)
	return o.order
}
