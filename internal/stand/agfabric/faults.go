package agfabric

// Fault injection: which faults select a link, and their effect on a datagram.

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// link describes the path of a datagram: the names and groups of both ends, and
// its class.
type link struct {
	from, to map[string]bool
	class    Class
}

func (f *Fault) selects(path link) bool {
	if f.Class != ClassAny && path.class != ClassAny && f.Class != path.class {
		return false
	}
	if matchesSelector(path.from, f.From) && matchesSelector(path.to, f.To) {
		return true
	}
	return f.Both && matchesSelector(path.from, f.To) && matchesSelector(path.to, f.From)
}

func matchesSelector(names map[string]bool, selector string) bool {
	return selector == anyParty || names[selector]
}

// delivery is the effect of the active faults on one datagram. With 0 copies the
// datagram is lost.
type delivery struct {
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

// set adds a fault or replaces the fault of the same name.
func (t *faultTable) set(fault Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := slices.DeleteFunc(slices.Clone(*t.current.Load()), func(f Fault) bool { return f.Name == fault.Name })
	next = append(next, fault)
	t.current.Store(&next)
}

// clear removes a fault by its name. The empty name removes all faults.
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

func (t *faultTable) draw(path link) delivery {
	result := delivery{copies: 1}
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
		if fault.Partition || t.chance(fault.Loss) {
			return delivery{}
		}
		if t.chance(fault.Duplicate) {
			result.copies++
		}
		result.delay += time.Duration(fault.Delay)
		switch {
		case t.chance(fault.Reorder):
			result.delay += time.Duration(fault.Jitter)
		case fault.Reorder == 0 && fault.Jitter > 0:
			result.delay += time.Duration(t.random.Int64N(int64(fault.Jitter)))
		}
	}
	return result
}

func (t *faultTable) chance(share float64) bool {
	return share > 0 && t.random.Float64() < share
}

// schedule runs functions after their delays, in one task.
type schedule struct {
	mu    sync.Mutex
	items delayHeap
	wake  chan struct{}
}

type delayedItem struct {
	at  time.Time
	run func()
}

type delayHeap []delayedItem

// Len returns the number of scheduled functions.
func (d delayHeap) Len() int { return len(d) }

// Less orders items by time.
func (d delayHeap) Less(i, j int) bool { return d[i].at.Before(d[j].at) }

// Swap swaps two items.
func (d delayHeap) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push adds an item at the end.
func (d *delayHeap) Push(item any) {
	if one, ok := item.(delayedItem); ok {
		*d = append(*d, one)
	}
}

// Pop removes the last item.
func (d *delayHeap) Pop() any {
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

// runDue runs the functions that are due and returns the time until the next one,
// or idleWait if none is scheduled.
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
