// Package agevent stores the newest events of a process and merges the events of
// several processes into one time line.
//
// Each process has a Ring of fixed size with typed events, stamped by a hybrid
// logical clock, and serves it on its admin address. The timeline command fetches
// the rings of all processes, merges them by time and writes text, JSON lines or
// one HTML page.
//
// # Usage
//
//	ring := agevent.NewRing("agent/dk1-h03", 4096, anvilglade.SystemClock{})
//	ring.Record(anvilglade.Event{Type: agevent.HostStateChanged, Host: id})
//	merged := agevent.Merge(ring.Events(0), other.Events(0))
package agevent

import (
	"cmp"
	"slices"
	"sync"

	"github.com/anvilglade/anvilglade"
)

// Types of events.
const (
	ProcessStarted      anvilglade.EventType = "ProcessStarted"
	ProcessStopping     anvilglade.EventType = "ProcessStopping"
	RevisionAdopted     anvilglade.EventType = "RevisionAdopted"
	KeysAdopted         anvilglade.EventType = "KeysAdopted"
	HostJoined          anvilglade.EventType = "HostJoined"
	HostStateChanged    anvilglade.EventType = "HostStateChanged"
	BalancerJoined      anvilglade.EventType = "BalancerJoined"
	BalancerLost        anvilglade.EventType = "BalancerLost"
	FlowPlaced          anvilglade.EventType = "FlowPlaced"
	FlowRefused         anvilglade.EventType = "FlowRefused"
	FlowEnded           anvilglade.EventType = "FlowEnded"
	ServerTurnedCold    anvilglade.EventType = "ServerTurnedCold"
	ServerFailing       anvilglade.EventType = "ServerFailing"
	ServerWarm          anvilglade.EventType = "ServerWarm"
	RequestForwarded    anvilglade.EventType = "RequestForwarded"
	RequestRefused      anvilglade.EventType = "RequestRefused"
	RequestUnknown      anvilglade.EventType = "RequestUnknown"
	EditAccepted        anvilglade.EventType = "EditAccepted"
	PlatformUnreachable anvilglade.EventType = "PlatformUnreachable"
	PlatformReachable   anvilglade.EventType = "PlatformReachable"
)

// Ring stores the newest events of a process. It is safe for concurrent use.
type Ring struct {
	*HybridClock

	process anvilglade.ProcessID
	mu      sync.Mutex
	events  []anvilglade.Event
	next    int
	dropped uint64
}

var _ anvilglade.Recorder = (*Ring)(nil)

// NewRing returns a ring of up to size events.
func NewRing(process anvilglade.ProcessID, size int, clock anvilglade.Clock) *Ring {
	return &Ring{
		HybridClock: NewHybridClock(clock),
		process:     process,
		events:      make([]anvilglade.Event, 0, size),
	}
}

// Record sets Time and Process of an event and stores it. A full ring drops its
// oldest event.
func (r *Ring) Record(event anvilglade.Event) {
	event.Time = r.Now()
	event.Process = r.process
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, event)
		return
	}
	r.events[r.next] = event
	r.next = (r.next + 1) % len(r.events)
	r.dropped++
}

// Events returns the stored events later than the given time, oldest first.
func (r *Ring) Events(after anvilglade.Timestamp) []anvilglade.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	newer := make([]anvilglade.Event, 0, len(r.events))
	for i := range r.events {
		event := r.events[(r.next+i)%len(r.events)]
		if event.Time > after {
			newer = append(newer, event)
		}
	}
	return newer
}

// Dropped returns the number of events that were replaced by newer ones.
func (r *Ring) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// Merge returns the events of all processes, sorted by time and then by process.
func Merge(rings ...[]anvilglade.Event) []anvilglade.Event {
	merged := slices.Concat(rings...)
	slices.SortStableFunc(merged, func(a, b anvilglade.Event) int {
		return cmp.Or(cmp.Compare(a.Time, b.Time), cmp.Compare(a.Process, b.Process))
	})
	return merged
}
