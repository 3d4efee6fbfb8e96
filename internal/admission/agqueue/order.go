package agqueue

// The queued requests: their order, their packets and the limits of memory.

import (
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
)

// queuedRequest is a request that waits for a place at the host.
type queuedRequest struct {
	flow     anvilglade.Flow
	class    anvilglade.RequestClass
	queuedAt time.Time
	deadline time.Time
	// outcome is set if the request leaves the queue for a reason other than time or a
	// place at the host.
	outcome Outcome
	packets []queuedPacket
}

// queuedPacket is a packet of a queued request.
type queuedPacket struct {
	// sequence is the sequence number of the first byte of data, length the number of
	// bytes.
	sequence uint32
	length   int
	// closes is set if the packet has a FIN.
	closes   bool
	datagram []byte
}

// has reports whether a packet has nothing that a queued one does not have. Sequence
// numbers wrap around.
func (r *queuedRequest) has(packet *anvilglade.Packet) bool {
	closes := packet.Flags.Has(anvilglade.FlagFIN)
	return slices.ContainsFunc(r.packets, func(queued queuedPacket) bool {
		offset := int(int32(packet.Sequence - queued.sequence))
		return offset >= 0 && offset+packet.DataLength <= queued.length && (queued.closes || !closes)
	})
}

func (r *queuedRequest) datagrams() [][]byte {
	datagrams := make([][]byte, len(r.packets))
	for i := range r.packets {
		datagrams[i] = r.packets[i].datagram
	}
	return datagrams
}

// outcomeAt returns the outcome of a request that leaves the queue now.
func (r *queuedRequest) outcomeAt(now time.Time) Outcome {
	switch {
	case r.outcome != "":
		return r.outcome
	case r.class.Timeout > 0 && now.Sub(r.queuedAt) >= r.class.Timeout:
		return OutcomeGone
	case now.Before(r.deadline):
		return OutcomeReleased
	}
	return OutcomeExpired
}

// waitLimit returns the longest time in the queue for a class.
func waitLimit(class anvilglade.RequestClass) time.Duration {
	return min(class.Target/targetDivisor, maxWait)
}

func (q *Queue) fits(datagram []byte) bool {
	return q.packets < maxPackets && q.bytes+len(datagram) <= maxBytes
}

// add queues the first packet of a request, behind all requests of the same or a higher
// priority.
func (q *Queue) add(arrival *Arrival, now time.Time) {
	request := &queuedRequest{
		flow:     arrival.Flow,
		class:    arrival.Class,
		queuedAt: now,
		deadline: now.Add(waitLimit(arrival.Class)),
	}
	index := len(q.requests)
	for index > 0 && q.requests[index-1].class.Priority > request.class.Priority {
		index--
	}
	q.requests = slices.Insert(q.requests, index, request)
	q.byFlow[request.flow] = request
	q.addPacket(request, arrival)
	q.updateDeadline()
}

func (q *Queue) addPacket(request *queuedRequest, arrival *Arrival) {
	request.packets = append(request.packets, queuedPacket{
		sequence: arrival.Packet.Sequence,
		length:   arrival.Packet.DataLength,
		closes:   arrival.Packet.Flags.Has(anvilglade.FlagFIN),
		datagram: slices.Clone(arrival.Datagram),
	})
	q.packets++
	q.bytes += len(arrival.Datagram)
}

// end makes Next return a request at once.
func (q *Queue) end(request *queuedRequest, outcome Outcome, now time.Time) {
	request.outcome, request.deadline = outcome, now
	q.updateDeadline()
}

func (q *Queue) remove(index int) *queuedRequest {
	request := q.requests[index]
	q.requests = slices.Delete(q.requests, index, index+1)
	delete(q.byFlow, request.flow)
	for i := range request.packets {
		q.packets--
		q.bytes -= len(request.packets[i].datagram)
	}
	q.updateDeadline()
	return request
}

func (q *Queue) updateDeadline() {
	q.deadline = time.Time{}
	for _, request := range q.requests {
		if q.deadline.IsZero() || request.deadline.Before(q.deadline) {
			q.deadline = request.deadline
		}
	}
}

// firstDue returns the index of the first request whose deadline has passed. There is
// one at and after the time q.deadline.
func (q *Queue) firstDue(now time.Time) int {
	return slices.IndexFunc(q.requests, func(request *queuedRequest) bool { return !now.Before(request.deadline) })
}
