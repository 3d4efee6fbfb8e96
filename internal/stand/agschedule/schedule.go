// Package agschedule runs the events of a simulation in the order of their times, for load
// tests without a network.
//
// The time of a simulation starts at 0 and advances from event to event, so a run takes
// only as long as its computation and gives the same result for the same seed. A Schedule
// is not safe for concurrent use.
//
// # Usage
//
//	var schedule agschedule.Schedule
//	schedule.After(time.Second, func() { log.Print(schedule.Now()) })
//	schedule.Run(time.Minute)
package agschedule

import (
	"container/heap"
	"time"
)

// Schedule holds the future events of a simulation. The zero value is ready for use.
type Schedule struct {
	now    time.Duration
	events events
}

// Now returns the time since the start of the simulation.
func (s *Schedule) Now() time.Duration {
	return s.now
}

// After schedules an event at the present time plus d.
func (s *Schedule) After(d time.Duration, do func()) {
	heap.Push(&s.events, event{at: s.now + d, do: do})
}

// Run runs the events until none is left or the time of the last one is end or later.
func (s *Schedule) Run(end time.Duration) {
	for len(s.events) > 0 && s.now < end {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.do()
	}
}

// event is an action at a time of the simulation.
type event struct {
	at time.Duration
	do func()
}

// events is a heap with the earliest event first.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
