package agopen

// The circuit breaker for a host that returns opening packets. A host that has crashed
// returns them at once, so it has no load and would attract new flows until its
// heartbeats are missing.

import "time"

const (
	// minHoldOff is the time without new flows after a host has returned an opening
	// packet. It doubles with each further one up to maxHoldOff.
	minHoldOff = 250 * time.Millisecond
	maxHoldOff = 4 * time.Second
	// trialInterval is the minimum time between two trial flows: a caller retransmits
	// the opening packet after 200 ms.
	trialInterval = 200 * time.Millisecond
	// holdOffReset is the time without a returned opening packet after which the next
	// hold-off is minHoldOff again.
	holdOffReset = 10 * time.Second
)

// breaker is open while the host takes no flows because it has returned opening packets.
// Afterwards it lets trial flows through until the host has accepted one.
type breaker struct {
	// holdOff is the length of the latest time without new flows, which began at
	// returnedAt and ends at openUntil.
	holdOff    time.Duration
	returnedAt time.Time
	openUntil  time.Time
	// onTrial is set from a returned opening packet until the host has accepted a flow
	// after the hold-off.
	onTrial bool
	// trialAt is the time of the latest trial flow, zero if there was none.
	trialAt time.Time
}

// returned records an opening packet that the host has returned. Packets that were
// delivered before the breaker opened do not extend the hold-off.
func (b *breaker) returned(now time.Time) {
	if b.open(now) {
		return
	}
	b.holdOff = min(2*b.holdOff, maxHoldOff)
	if b.holdOff == 0 || now.Sub(b.returnedAt) > holdOffReset {
		b.holdOff = minHoldOff
	}
	b.returnedAt, b.openUntil = now, now.Add(b.holdOff)
	b.onTrial, b.trialAt = true, time.Time{}
}

// accepted records that the host has accepted a flow. It has no effect while the breaker
// is open: the opening packet may have been delivered before.
func (b *breaker) accepted(now time.Time) {
	if !b.open(now) {
		b.onTrial = false
	}
}

func (b *breaker) open(now time.Time) bool {
	return now.Before(b.openUntil)
}

// admits reports whether a flow may be delivered to the host.
func (b *breaker) admits(now time.Time) bool {
	return !b.onTrial || !b.open(now) && now.Sub(b.trialAt) >= trialInterval
}

// take counts a delivered flow as a trial flow while the host is on trial.
func (b *breaker) take(now time.Time) {
	if b.onTrial {
		b.trialAt = now
	}
}
