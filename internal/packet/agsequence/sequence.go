// Package agsequence compares sequence numbers of packets.
//
// Callers use a port again, so the ends of a flow do not identify it. Both ends start
// each flow at a sequence number of their own, and every later packet has numbers near
// the newest ones. The numbers of a packet therefore show whether it belongs to a flow
// or to another one with the same ends.
//
// Numbers wrap around. An unknown number, the zero value of Number, proves nothing.
//
// # Usage
//
//	next := agsequence.Of(packet.Sequence + 1)
//	if next.Relate(other.Acknowledged) == agsequence.RelationOther {
//		// the packet belongs to another flow
//	}
package agsequence

const (
	// maxInFlight is the largest distance, in bytes, between the numbers of a packet and
	// the newest ones of its flow while all packets arrive in order. An end has at most
	// 16 packets of 1,200 bytes in flight; packets of both directions overtake each other.
	maxInFlight = 4 * 16 * 1200
	// maxDelayed is the largest distance, in bytes, for a packet that was delayed for
	// seconds.
	maxDelayed = 1 << 24
	// maxSentBefore is the number of bytes up to which a caller may have sent data when a
	// late copy of its opening packet arrives.
	maxSentBefore = 1 << 20
)

// Relation is the relation of a packet to a flow with the same ends.
type Relation uint8

// Relations. RelationUnknown applies if a number is unknown, RelationUndecided if the
// numbers differ by more than usual, but a delayed packet may have them.
const (
	RelationUnknown Relation = iota
	RelationSame
	RelationUndecided
	RelationOther
)

// Number is a sequence number that may be unknown.
type Number struct {
	value uint32
	known bool
}

// Of returns a known number.
func Of(value uint32) Number {
	return Number{value: value, known: true}
}

// Get returns the number and whether it is known.
func (n Number) Get() (uint32, bool) {
	return n.value, n.known
}

// Known reports whether the number is known.
func (n Number) Known() bool {
	return n.known
}

// Is reports whether the number is known and equal to value.
func (n Number) Is(value uint32) bool {
	return n.known && n.value == value
}

// IsNot reports whether the number is known and differs from value.
func (n Number) IsNot(value uint32) bool {
	return n.known && n.value != value
}

// Advance sets the number to value, unless it is known and newer.
func (n *Number) Advance(value uint32) {
	if !n.known || int32(value-n.value) > 0 {
		*n = Of(value)
	}
}

// Covers reports whether the number is known and value is not newer.
func (n Number) Covers(value uint32) bool {
	return n.known && int32(value-n.value) <= 0
}

// Relate returns the relation of a packet with the number value to a flow whose newest
// number is n.
func (n Number) Relate(value uint32) Relation {
	if !n.known {
		return RelationUnknown
	}
	switch distance := min(n.value-value, value-n.value); {
	case distance <= maxInFlight:
		return RelationSame
	case distance <= maxDelayed:
		return RelationUndecided
	}
	return RelationOther
}

// Opened reports whether a flow whose caller has reached the number n may have been
// opened by a packet with the number opening.
func (n Number) Opened(opening uint32) bool {
	sent := n.value - opening - 1
	return n.known && sent <= maxSentBefore
}

// Combine returns the relation that two numbers of a packet show together. One number of
// another flow is enough.
func Combine(first, second Relation) Relation {
	return max(first, second)
}
