package agfabric

// Counts of the data packets to each party by time. Measures use them to count,
// for example, the packets to a party later than 5 s after an event.

import (
	"maps"
	"sync"
	"time"
)

// CountInterval is the length of the interval that a Count covers.
const CountInterval = 100 * time.Millisecond

// Count is the number of data packets to a party in one interval.
type Count struct {
	Party  string
	Groups []string
	// UnixMillis is the start of the interval of 100 ms.
	UnixMillis int64
	Packets    int
	// Kinds counts packets by the kind byte of the unencrypted header.
	Kinds map[int]int
	// Senders counts packets by the name of the sending party.
	Senders map[string]int
}

type counters struct {
	mu     sync.Mutex
	counts map[*partyState]map[int64]*Count
}

func newCounters() *counters {
	return &counters{counts: map[*partyState]map[int64]*Count{}}
}

func (c *counters) add(from, party *partyState, data []byte) {
	slot := time.Now().Truncate(CountInterval).UnixMilli()
	c.mu.Lock()
	defer c.mu.Unlock()
	slots := c.counts[party]
	if slots == nil {
		slots = map[int64]*Count{}
		c.counts[party] = slots
	}
	count := slots[slot]
	if count == nil {
		count = &Count{Party: party.Name, Groups: party.Groups, UnixMillis: slot, Kinds: map[int]int{}, Senders: map[string]int{}}
		slots[slot] = count
	}
	count.Packets++
	count.Senders[from.Name]++
	if len(data) > kindOffset {
		count.Kinds[int(data[kindOffset])]++
	}
}

// since returns the counts of intervals that start at or after a time in Unix
// milliseconds.
func (c *counters) since(unixMillis int64) []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := []Count{}
	for _, slots := range c.counts {
		for slot, count := range slots {
			if slot >= unixMillis {
				found = append(found, count.clone())
			}
		}
	}
	return found
}

// clone returns a deep copy, because the maps of a current count still change
// while the answer is encoded.
func (c *Count) clone() Count {
	copied := *c
	copied.Kinds, copied.Senders = maps.Clone(c.Kinds), maps.Clone(c.Senders)
	return copied
}
