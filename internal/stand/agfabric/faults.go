package agfabric

// Fault injection: which faults select a link, and what happens to a datagram.

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// link is the way of one datagram.
type link struct {
	from, to map[string]bool
	class    Class
}

func (f *Fault) selects(path link) bool {
	if f.Class != ClassAny && path.class != ClassAny && f.Class != path.class {
		return false
	}
	if named(path.from, f.From) && named(path.to, f.To) {
		return true
	}
	return f.Both && named(path.from, f.To) && named(path.to, f.From)
}

func named(names map[string]bool, selector string) bool {
	return selector == anyParty || names[selector]
}

// fate is what happens to one datagram.
type fate struct {
	copies int
	delay  time.Duration
}

type faultTable struct {
	current atomic.Pointer[[]Fault]
	mu      sync.Mutex
	random  *rand.Rand
}

func newFaultTable(random *rand.Rand) *faultTable {
	table := &faultTable{random: random}
	table.current.Store(&[]Fault{})
	return table
}

// set adds a fault or replaces the one with its name.
func (t *faultTable) set(fault Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := slices.DeleteFunc(slices.Clone(*t.current.Load()), func(f Fault) bool { return f.Name == fault.Name })
	next = append(next, fault)
	t.current.Store(&next)
}

// clear removes a fault; the empty name removes all.
func (t *faultTable) clear(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := slices.DeleteFunc(slices.Clone(*t.current.Load()), func(f Fault) bool { return name == "" || f.Name == name })
	t.current.Store(&next)
}

func (t *faultTable) partitioned(path link) bool {
	for _, fault := range *t.current.Load() {
		if fault.Partition && fault.selects(path) {
			return true
		}
	}
	return false
}

func (t *faultTable) draw(path link) fate {
	result := fate{copies: 1}
	faults := *t.current.Load()
	if len(faults) == 0 {
		return result
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range faults {
		fault := &faults[i]
		if !fault.selects(path) {
			continue
		}
		if fault.Partition || t.hit(fault.Loss) {
			return fate{}
		}
		if t.hit(fault.Duplicate) {
			result.copies++
		}
		result.delay += time.Duration(fault.Delay)
		switch {
		case t.hit(fault.Reorder):
			result.delay += time.Duration(fault.Jitter)
		case fault.Reorder == 0 && fault.Jitter > 0:
			result.delay += time.Duration(t.random.Int64N(int64(fault.Jitter)))
		}
	}
	return result
}

func (t *faultTable) hit(share float64) bool {
	return share > 0 && t.random.Float64() < share
}

// schedule runs functions at their time, in one task.
type schedule struct {
	mu    sync.Mutex
	items delayed
	wake  chan struct{}
}

type delayedItem struct {
	at  time.Time
	run func()
}

type delayed []delayedItem

// Len returns the number of waiting functions.
func (d delayed) Len() int { return len(d) }

// Less orders by time.
func (d delayed) Less(i, j int) bool { return d[i].at.Before(d[j].at) }

// Swap swaps two items.
func (d delayed) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push adds an item at the end.
func (d *delayed) Push(item any) {
	if one, ok := item.(delayedItem); ok {
		*d = append(*d, one)
	}
}

// Pop removes the last item.
func (d *delayed) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func newSchedule() *schedule {
	return &schedule{wake: make(chan struct{}, 1)}
}

func (s *schedule) add(delay time.Duration, run func()) {
	s.mu.Lock()
	heap.Push(&s.items, delayedItem{at: time.Now().Add(delay), run: run})
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

const idleWait = time.Hour

func (s *schedule) run(ctx context.Context) error {
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		timer.Reset(s.runDue())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// runDue runs what is due and returns the wait until the next one.
func (s *schedule) runDue() time.Duration {
	for {
		s.mu.Lock()
		if len(s.items) == 0 {
			s.mu.Unlock()
			return idleWait
		}
		if wait := time.Until(s.items[0].at); wait > 0 {
			s.mu.Unlock()
			return wait
		}
		item, _ := heap.Pop(&s.items).(delayedItem)
		s.mu.Unlock()
		item.run()
	}
}
