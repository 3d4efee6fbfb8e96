package agrank

// Overload of a balancer: the averaged use of its limits, with different thresholds for
// becoming overloaded and for recovering.

import (
	"time"

	"github.com/anvilglade/anvilglade"
)

const (
	// overloadThreshold and recoveryThreshold are the shares of a limit in use at which a
	// balancer becomes overloaded and below which it recovers.
	overloadThreshold = 0.85
	recoveryThreshold = 0.5
	// averagingTime is the time over which the use is averaged. A garbage collection
	// or one batch of packets is shorter.
	averagingTime = time.Second
	// recoveryTime is the time for which the use has to stay below recoveryThreshold. The
	// duties that a balancer has passed on do not return at once and overload it again.
	recoveryTime = 10 * time.Second
	// overloadDivisor divides the announced capacity of an overloaded balancer. Balancers
	// with more than an eighth of its capacity take over its duties.
	overloadDivisor = 8
	// datagramOverhead is the size of the Ethernet, IP and UDP headers of a datagram,
	// in bytes.
	datagramOverhead = 42
	bitsPerMegabit   = 1e6
)

// Reading holds the processor time and the traffic that a process has used since it
// started.
type Reading struct {
	Processor time.Duration
	Sent      anvilglade.Traffic
	Received  anvilglade.Traffic
}

// Usage is the use of the limits, as shares: 1 is the whole limit, 0 that of an unknown
// one.
type Usage struct {
	Processor float64
	Link      float64
}

// Monitor derives the announced capacity of a balancer from its limits and their use.
type Monitor struct {
	limits     anvilglade.Limits
	last       Reading
	lastAt     time.Time
	usage      Usage
	overloaded bool
	// busyAt is the last time at which the use was not below recoveryThreshold.
	busyAt time.Time
}

// NewMonitor returns a Monitor of a balancer that is not overloaded.
func NewMonitor(limits anvilglade.Limits) *Monitor {
	return &Monitor{limits: limits}
}

// Observe adds a reading and reports whether the balancer has become overloaded or has
// recovered. It must be called several times per averagingTime.
func (m *Monitor) Observe(reading Reading, now time.Time) bool {
	elapsed := now.Sub(m.lastAt)
	if m.lastAt.IsZero() || elapsed <= 0 {
		m.last, m.lastAt, m.busyAt = reading, now, now
		return false
	}
	current := m.usageSince(reading, elapsed)
	weight := min(elapsed.Seconds()/averagingTime.Seconds(), 1)
	m.usage.Processor += weight * (current.Processor - m.usage.Processor)
	m.usage.Link += weight * (current.Link - m.usage.Link)
	m.last, m.lastAt = reading, now
	return m.update(now)
}

// update updates overloaded and reports whether it has changed.
func (m *Monitor) update(now time.Time) bool {
	former, use := m.overloaded, max(m.usage.Processor, m.usage.Link)
	if use >= recoveryThreshold {
		m.busyAt = now
	}
	switch {
	case use >= overloadThreshold:
		m.overloaded = true
	case now.Sub(m.busyAt) >= recoveryTime:
		m.overloaded = false
	}
	return m.overloaded != former
}

// usageSince returns the use since the last reading.
func (m *Monitor) usageSince(reading Reading, elapsed time.Duration) Usage {
	var usage Usage
	// The limit is a share of a core of this VM, whatever the speed of the core.
	if m.limits.Processor > 0 {
		usage.Processor = (reading.Processor - m.last.Processor).Seconds() / elapsed.Seconds() / float64(m.limits.Processor)
	}
	if m.limits.Link > 0 {
		bits := max(bitsSince(m.last.Sent, reading.Sent), bitsSince(m.last.Received, reading.Received))
		usage.Link = bits / bitsPerMegabit / elapsed.Seconds() / float64(m.limits.Link)
	}
	return usage
}

// bitsSince returns the bits on the link between two readings of one direction.
func bitsSince(former, latter anvilglade.Traffic) float64 {
	return 8 * (float64(latter.Bytes-former.Bytes) + datagramOverhead*float64(latter.Datagrams-former.Datagrams))
}

// Usage returns the use of the limits, averaged over averagingTime.
func (m *Monitor) Usage() Usage {
	return m.usage
}

// Overloaded reports whether the balancer is short of processor time or link rate.
func (m *Monitor) Overloaded() bool {
	return m.overloaded
}

// Capacity returns the capacity to announce, 0 if it is unknown.
func (m *Monitor) Capacity() anvilglade.Capacity {
	capacity := CapacityOf(m.limits)
	if capacity == 0 || !m.overloaded {
		return capacity
	}
	return max(capacity/overloadDivisor, 1)
}
