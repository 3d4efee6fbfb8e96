package agqueue_test

import (
	"encoding/binary"
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/admission/agqueue"
)

// TestMain fixes the seed and the size of the model test, so that every run checks the
// same cases. Flags of the command line override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	modelFlows = 12
	dataLength = 100
	// uploadPackets datagrams of a few flows exceed the limit of bytes if they have
	// uploadSize bytes, and that of packets if they have smallSize bytes.
	uploadPackets = 90
	uploadSize    = 1400
	smallSize     = 600
	// maxPackets and maxBytes are the limits of the queue's memory.
	maxPackets = 256
	maxBytes   = 256 << 10
)

var modelClasses = []anvilglade.RequestClass{high, low, {Priority: 3, Target: time.Second, Timeout: 50 * time.Millisecond}, {}}

// modelFlow is a flow as its caller and the host see it.
type modelFlow struct {
	flow     anvilglade.Flow
	class    anvilglade.RequestClass
	sequence uint32
	// queued has the sequence numbers that the queue keeps.
	queued      []uint32
	queuedBytes int
	queuedAt    time.Time
	// gone is set if the caller has ended the flow since a request was queued.
	gone bool
	// active is set while the host has a request of the flow.
	active bool
}

// model is a host with callers that send packets in any order of events.
type model struct {
	queue       *agqueue.Queue
	now         time.Time
	limit       int
	outstanding int
	flows       [modelFlows]modelFlow
}

func (m *model) Outstanding() int { return m.outstanding }
func (m *model) QueueLimit() int  { return m.limit }

func newModel() *model {
	m := &model{now: time.Unix(1_000_000, 0), limit: 2}
	m.queue = agqueue.NewQueue(m)
	for i := range m.flows {
		m.flows[i] = modelFlow{flow: anvilglade.Flow{Caller: anvilglade.Endpoint{Port: uint16(i)}}, class: modelClasses[i%len(modelClasses)]}
	}
	return m
}

func (m *model) flow(t *rapid.T) *modelFlow {
	return &m.flows[rapid.IntRange(0, modelFlows-1).Draw(t, "flow")]
}

func (m *model) full() bool {
	return m.limit > 0 && m.outstanding >= m.limit
}

// offer passes a packet to the queue and checks what becomes of it.
func (m *model) offer(t *rapid.T, f *modelFlow, class anvilglade.RequestClass, packet anvilglade.Packet, size int) {
	datagram := make([]byte, size)
	binary.BigEndian.PutUint32(datagram, packet.Sequence)
	starts := packet.DataLength > 0 && !packet.Opens() && !f.active
	m.release(t)
	fits := m.fits(size)
	decision := m.queue.Offer(&agqueue.Arrival{Flow: f.flow, Packet: &packet, Class: class, Datagram: datagram, StartsRequest: starts}, m.now)
	copied := slices.Contains(f.queued, packet.Sequence)
	m.release(t)
	waiting, eligible := len(f.queued) > 0, starts && class.HasTarget() && m.full()
	allowed := map[agqueue.Decision]bool{
		agqueue.DecisionDeliver:       packet.DataLength == 0 || !waiting,
		agqueue.DecisionBypass:        !waiting && !fits,
		agqueue.DecisionRequestQueued: eligible && !waiting,
		agqueue.DecisionPacketQueued:  waiting && !copied,
		agqueue.DecisionCopy:          copied,
	}
	if !allowed[decision] {
		t.Fatalf("decision %d on packet %d of class %+v, %d of its flow are queued, %d of %d places are taken",
			decision, packet.Sequence, class, len(f.queued), m.outstanding, m.limit)
	}
	if decision == agqueue.DecisionRequestQueued {
		f.queuedAt = m.now
	}
	if decision == agqueue.DecisionRequestQueued || decision == agqueue.DecisionPacketQueued {
		f.queued = append(f.queued, packet.Sequence)
		f.queuedBytes += size
	}
	if decision.Delivers() && starts {
		m.deliver(f)
	}
}

// deliver delivers the first packet of a request to the host. The model counts no
// requests that the host sheds: it answers them before the next event.
func (m *model) deliver(f *modelFlow) {
	if m.full() {
		return
	}
	f.active = true
	m.outstanding++
	m.queue.Arrive(f.flow, f.class, m.now)
}

// release takes what leaves the queue.
func (m *model) release(t *rapid.T) {
	for {
		release, ok := m.queue.Next(m.now)
		if !ok {
			return
		}
		f := &m.flows[release.Flow.Caller.Port]
		m.checkRelease(t, f, &release)
		if release.Outcome != agqueue.OutcomeGone {
			m.checkPriority(t, f, release.Outcome)
			m.deliver(f)
		}
		f.queued, f.queuedBytes, f.gone = nil, 0, false
	}
}

// checkRelease checks that a request leaves the queue in time and as it was queued, or
// not at all if its caller has left. The required limit of the wait is a quarter of the
// target; the queue uses less of it.
func (m *model) checkRelease(t *rapid.T, f *modelFlow, release *agqueue.Release) {
	expected := f.queued
	// A caller that has just sent a further packet has not left.
	late := f.class.Timeout > 0 && release.Waited >= f.class.Timeout && release.Outcome != agqueue.OutcomeBypassed
	left := f.gone || late
	if left {
		expected = nil
	}
	var delivered []uint32
	for _, datagram := range release.Datagrams {
		delivered = append(delivered, binary.BigEndian.Uint32(datagram))
	}
	if left != (release.Outcome == agqueue.OutcomeGone) || !slices.Equal(delivered, expected) {
		t.Fatalf("%s %v of %v, caller gone: %t", release.Outcome, delivered, f.queued, f.gone)
	}
	if limit := min(f.class.Target/4, 100*time.Millisecond); release.Waited != m.now.Sub(f.queuedAt) || release.Waited > limit {
		t.Fatalf("request has waited %s", release.Waited)
	}
}

// checkPriority checks that a free place goes to the highest priority.
func (m *model) checkPriority(t *rapid.T, released *modelFlow, outcome agqueue.Outcome) {
	for i := range m.flows {
		f := &m.flows[i]
		if outcome == agqueue.OutcomeReleased && len(f.queued) > 0 && f.class.Priority < released.class.Priority {
			t.Fatalf("priority %d is delivered before priority %d", released.class.Priority, f.class.Priority)
		}
	}
}

func (m *model) send(t *rapid.T) {
	f := m.flow(t)
	f.sequence += dataLength
	m.offer(t, f, f.class, anvilglade.Packet{Sequence: f.sequence, DataLength: dataLength, Flags: rapid.SampledFrom([]anvilglade.PacketFlags{0, 0, anvilglade.FlagFIN}).Draw(t, "flags")}, uploadSize)
}

func (m *model) upload(t *rapid.T) {
	f := m.flow(t)
	size := rapid.SampledFrom([]int{smallSize, uploadSize}).Draw(t, "size")
	for range uploadPackets {
		f.sequence += dataLength
		m.offer(t, f, f.class, anvilglade.Packet{Sequence: f.sequence, DataLength: dataLength}, size)
	}
}

// resend sends copies, also of packets that are older than the queued ones.
func (m *model) resend(t *rapid.T) {
	f := m.flow(t)
	back := rapid.Uint32Range(0, 3).Draw(t, "back") * dataLength
	m.offer(t, f, f.class, anvilglade.Packet{Sequence: f.sequence - back, DataLength: dataLength}, uploadSize)
}

func (m *model) sendWithoutClass(t *rapid.T) {
	f := m.flow(t)
	f.sequence += dataLength
	m.offer(t, f, anvilglade.RequestClass{}, anvilglade.Packet{Sequence: f.sequence, DataLength: dataLength}, uploadSize)
}

func (m *model) acknowledge(t *rapid.T) {
	f := m.flow(t)
	m.offer(t, f, f.class, anvilglade.Packet{Sequence: f.sequence, Flags: anvilglade.FlagACK}, 4)
}

// leave ends a flow by a reset, a FIN or a new flow from the same address.
func (m *model) leave(t *rapid.T) {
	f := m.flow(t)
	m.release(t)
	f.gone = len(f.queued) > 0
	m.offer(t, f, f.class, anvilglade.Packet{Flags: rapid.SampledFrom([]anvilglade.PacketFlags{anvilglade.FlagRST, anvilglade.FlagFIN | anvilglade.FlagACK, anvilglade.FlagSYN}).Draw(t, "flags")}, 4)
}

func (m *model) answer(t *rapid.T) {
	f := m.flow(t)
	if f.active {
		f.active = false
		m.outstanding--
		m.queue.Answer(f.flow, m.now)
	}
	m.release(t)
}

// changeLimit changes the limit of the host, also to unknown.
func (m *model) changeLimit(t *rapid.T) {
	m.limit = rapid.IntRange(0, 3).Draw(t, "limit")
}

func (m *model) advance(t *rapid.T) {
	until := m.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
	for {
		deadline, ok := m.queue.Deadline()
		if !ok || deadline.After(until) {
			m.now = until
			return
		}
		m.now = deadline
		m.release(t)
	}
}

// restart replaces the agent. What was queued is lost and not counted as sent.
func (m *model) restart(*rapid.T) {
	m.queue = agqueue.NewQueue(m)
	for i := range m.flows {
		m.flows[i].queued, m.flows[i].queuedBytes, m.flows[i].gone = nil, 0, false
	}
}

// sizes returns the number of queued packets and bytes.
func (m *model) sizes() (packets, bytes int) {
	for i := range m.flows {
		packets += len(m.flows[i].queued)
		bytes += m.flows[i].queuedBytes
	}
	return packets, bytes
}

func (m *model) fits(size int) bool {
	packets, bytes := m.sizes()
	return packets < maxPackets && bytes+size <= maxBytes
}

// check compares the number of queued packets with the model and with the limits.
func (m *model) check(t *rapid.T) {
	packets, bytes := m.sizes()
	if packets != m.queue.Packets() || packets > maxPackets || bytes > maxBytes {
		t.Fatalf("%d packets are queued, expected %d with %d bytes", m.queue.Packets(), packets, bytes)
	}
}

// TestQueueKeepsOrderAndLosesNothing guards against packets that overtake others of
// their flow, packets that are lost while their caller waits, requests that run after
// their caller has left, waits beyond the limit and unbounded memory.
func TestQueueKeepsOrderAndLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"Send": m.send, "SendAgain": m.send, "Upload": m.upload, "Resend": m.resend, "SendWithoutClass": m.sendWithoutClass,
			"Acknowledge": m.acknowledge, "Leave": m.leave, "Answer": m.answer, "ChangeLimit": m.changeLimit,
			"Advance": m.advance, "Restart": m.restart, "": m.check,
		})
		for m.queue.Packets() > 0 {
			m.advance(t)
		}
		m.check(t)
	})
}
