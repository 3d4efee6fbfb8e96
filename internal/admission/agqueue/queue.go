// Package agqueue queues the requests of the highest priority at an agent while the
// queue of its host is full.
//
// A host runs a fixed number of requests at once, keeps a few more in the order of
// their arrival and sheds the others within a millisecond, whatever their priority. A
// Queue sits in front of it. While the host is full, a request of the highest priority
// that was seen recently waits in the Queue until the host has answered another one.
// Requests of lower priorities are delivered at once: the host sheds them, and their
// callers can retry elsewhere without delay.
//
// The Queue never delays a request for longer than a sixth of its latency target or
// maxWait. Packets of a flow keep their order: while a request of a flow is queued,
// later packets with data are queued behind it. A copy of a queued packet is not queued
// again. If the caller ends the flow or opens another one with the same ends, its queued
// request is dropped; a late packet of another flow changes nothing.
//
// Nothing is queued for routes without a latency target or while the limit of the host's
// queue is unknown. The number of packets and bytes is bounded; what does not fit is
// delivered at once, after the queued packets of its flow.
//
// A Queue takes the time as a parameter, has no sockets and is not safe for concurrent
// use. It reads the state of the host from an anvilglade.HostLoad and must observe the
// requests of the host after the implementation of that interface has.
//
// # Usage
//
//	queue := agqueue.NewQueue(load)
//	holder.Observer = observers{estimator, queue}
//
//	deliverNext(queue, now) // until queue.Next returns false
//	decision := queue.Offer(&agqueue.Arrival{Flow: flow, Packet: &packet, Class: class, Datagram: datagram, StartsRequest: starts}, now)
//	deliverNext(queue, now)
//	if decision.Delivers() {
//		deliver(datagram)
//	}
//
// Next must be called until it returns false before and after each Offer, after each
// packet of the host and at the time that Deadline returns.
package agqueue

import (
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/admission/agpriority"
)

const (
	// maxWait is the longest time in the queue. Callers retransmit a packet that is not
	// acknowledged within 200 ms.
	maxWait = 100 * time.Millisecond
	// targetDivisor divides the latency target into the longest time in the queue. A
	// caller makes up to three attempts. Their waits together leave half of the target
	// for the host's own queue and the service time.
	targetDivisor = 6
	// maxPackets and maxBytes limit the memory of the queue: the packets and the bytes of
	// their datagrams.
	maxPackets = 256
	maxBytes   = 256 << 10
)

// Decision is the way to handle a packet that has arrived.
type Decision uint8

// Decisions of Offer.
const (
	// DecisionDeliver delivers the packet to the host.
	DecisionDeliver Decision = iota
	// DecisionBypass delivers the packet because the queue is full.
	DecisionBypass
	// DecisionRequestQueued keeps the packet as the first of a queued request.
	DecisionRequestQueued
	// DecisionPacketQueued keeps the packet behind the queued request of its flow.
	DecisionPacketQueued
	// DecisionCopy drops the packet, because it is a copy of a queued one.
	DecisionCopy
)

// Delivers reports whether the packet is delivered now.
func (d Decision) Delivers() bool {
	return d == DecisionDeliver || d == DecisionBypass
}

// Outcome is the reason why a request has left the queue.
type Outcome string

// Outcomes of queued requests. Only a request with OutcomeGone is not delivered.
const (
	// OutcomeReleased: the host had a place for it.
	OutcomeReleased Outcome = "Released"
	// OutcomeExpired: it had waited for the longest time.
	OutcomeExpired Outcome = "Expired"
	// OutcomeBypassed: a later packet of its flow could not be queued.
	OutcomeBypassed Outcome = "Bypassed"
	// OutcomeGone: its caller has left, so it must not run.
	OutcomeGone Outcome = "Gone"
)

// Arrival is a packet of a caller that is about to be delivered.
type Arrival struct {
	Flow   anvilglade.Flow
	Packet *anvilglade.Packet
	Class  anvilglade.RequestClass
	// Datagram is what Next returns later. The queue copies it.
	Datagram []byte
	// StartsRequest is set if the packet has the first data of a request on a flow that
	// the host holds.
	StartsRequest bool
	// Late is set if the packet is a late one of another flow with the same ends or a copy of
	// the packet that opened the flow. It does not affect the queued request.
	Late bool
}

// Release is a request that has left the queue.
type Release struct {
	Flow    anvilglade.Flow
	Class   anvilglade.RequestClass
	Outcome Outcome
	// Waited is the time in the queue.
	Waited time.Duration
	// Datagrams has the packets of the request in the order of arrival. It is empty if
	// the outcome is OutcomeGone.
	Datagrams [][]byte
}

// Queue is the queue of one host.
type Queue struct {
	load     anvilglade.HostLoad
	recent   agpriority.Recent
	shedding sheddingRequests
	// requests has the queued requests in the order of delivery.
	requests []*queuedRequest
	byFlow   map[anvilglade.Flow]*queuedRequest
	packets  int
	bytes    int
	// deadline is the earliest deadline of a queued request.
	deadline time.Time
}

var _ anvilglade.RequestObserver = (*Queue)(nil)

// NewQueue returns an empty Queue. Nothing is queued if load is nil.
func NewQueue(load anvilglade.HostLoad) *Queue {
	return &Queue{load: load, byFlow: make(map[anvilglade.Flow]*queuedRequest)}
}

// Packets returns the number of queued packets.
func (q *Queue) Packets() int {
	return q.packets
}

// Room returns the number of further requests of a class that would leave the queue
// within its longest wait, if the host answers a request in each interval.
func (q *Queue) Room(class anvilglade.RequestClass, interval time.Duration) int {
	if interval <= 0 {
		return 0
	}
	ahead := 0
	for _, request := range q.requests {
		if request.class.Priority <= class.Priority {
			ahead++
		}
	}
	return max(int(waitLimit(class)/interval)-ahead, 0)
}

// Active reports whether packets must be offered: some are queued, or the limit of the
// host's queue is known.
func (q *Queue) Active() bool {
	return q.packets > 0 || q.load != nil && q.load.QueueLimit() > 0
}

// Deadline returns the time at which Next must be called if nothing happens before. It
// returns false if the queue is empty.
func (q *Queue) Deadline() (time.Time, bool) {
	return q.deadline, len(q.requests) > 0
}

// Offer decides on a packet of a caller. Packets that Next returns afterwards must be
// delivered before it.
func (q *Queue) Offer(arrival *Arrival, now time.Time) Decision {
	if !q.Active() {
		return DecisionDeliver
	}
	starts := arrival.StartsRequest && arrival.Class.HasTarget()
	if request := q.byFlow[arrival.Flow]; request != nil {
		return q.offerBehind(request, arrival, now)
	}
	if starts {
		q.recent.Add(arrival.Class.Priority, now)
	}
	if !starts || arrival.Class.Priority > q.recent.Top() || !q.full(now) {
		return DecisionDeliver
	}
	if !q.fits(arrival.Datagram) {
		return DecisionBypass
	}
	q.add(arrival, now)
	return DecisionRequestQueued
}

// offerBehind decides on a packet of a flow with a queued request.
func (q *Queue) offerBehind(request *queuedRequest, arrival *Arrival, now time.Time) Decision {
	packet := arrival.Packet
	switch {
	case arrival.Late:
		return DecisionDeliver
	case endsFlow(packet):
		q.end(request, OutcomeGone, now)
		return DecisionDeliver
	case packet.DataLength == 0:
		return DecisionDeliver
	case request.has(packet):
		return DecisionCopy
	case !arrival.Class.HasTarget():
		q.end(request, OutcomeBypassed, now)
		return DecisionDeliver
	case !q.fits(arrival.Datagram):
		q.end(request, OutcomeBypassed, now)
		return DecisionBypass
	}
	q.addPacket(request, arrival)
	return DecisionPacketQueued
}

// endsFlow reports whether the caller no longer waits for the request that is queued: it
// has reset or closed the flow, or it opens a new one from the same address. A FIN with
// data is the end of a request.
func endsFlow(packet *anvilglade.Packet) bool {
	closes := packet.Flags.Has(anvilglade.FlagFIN) && packet.DataLength == 0
	return closes || packet.Flags.Has(anvilglade.FlagRST) || packet.Opens()
}

// Next returns the next request that leaves the queue. A free place at the host goes to
// the first request in the order of delivery, also if another one has expired. Next
// returns false if no request leaves now.
func (q *Queue) Next(now time.Time) (Release, bool) {
	if len(q.requests) == 0 {
		return Release{}, false
	}
	index := 0
	if q.full(now) {
		if now.Before(q.deadline) {
			return Release{}, false
		}
		index = q.firstDue(now)
	}
	request := q.remove(index)
	release := Release{
		Flow:    request.flow,
		Class:   request.class,
		Outcome: request.outcomeAt(now),
		Waited:  now.Sub(request.queuedAt),
	}
	if release.Outcome != OutcomeGone {
		release.Datagrams = request.datagrams()
	}
	return release, true
}
