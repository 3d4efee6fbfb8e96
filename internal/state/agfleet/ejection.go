package agfleet

// The balancer's judgement on a host that repeatedly stops accepting flows or answering
// opening packets. Each status clears what the balancer has observed, so without this judgement a
// flapping host would get flows again four times a second.

import (
	"time"

	"github.com/anvilglade/anvilglade"
)

const (
	// minEjection is the time for which a host gets no new flows after it has stopped
	// once; it doubles with each further stop. maxEjection leaves time to reach the
	// host's share within 10 s after a recovery.
	minEjection = 250 * time.Millisecond
	maxEjection = 4 * time.Second
	// maxUnanswered is the number of opening packets in succession without an answer at
	// which a host counts as stopped. Links lose single packets.
	maxUnanswered = 2
	// stableAfter is the time without a stop after which former stops do not count.
	stableAfter = 30 * time.Second
	// maxEjectedHosts bounds the list of hosts that TakeEjected returns.
	maxEjectedHosts = 1024
)

// StopCause is the observation that has ejected a host.
type StopCause string

// Causes of an ejection. The agent's status no longer accepts flows, or an opening packet
// was not answered.
const (
	StopRefuses    StopCause = "Refuses"
	StopUnanswered StopCause = "Unanswered"
)

// Ejection is the state of the judgement on a host.
type Ejection struct {
	Cause StopCause
	// Stops is the number of stops without stableAfter between two of them.
	Stops int
	// Length is the time for which the host gets no new flows.
	Length time.Duration
	// until is the end of the ejection, stopAt the time of the last stop.
	until  time.Time
	stopAt time.Time
}

// Ejection returns the last ejection of the host.
func (h *Host) Ejection() Ejection {
	return h.ejection
}

// Ejected reports whether the host gets no new flows of routes with a class.
func (h *Host) Ejected(now time.Time) bool {
	return now.Before(h.ejection.until)
}

// recordRefusal ejects a host whose agent no longer accepts flows. Hosts that end or whose
// data centre is evacuated have not stopped of their own.
func (f *Fleet) recordRefusal(host *Host, status *anvilglade.AgentStatus, now time.Time) {
	planned := status.Ended || f.Evacuations().Has(status.DataCentre)
	if host.Accepts && !status.Accepts && !planned {
		f.eject(host, StopRefuses, now)
	}
}

// RecordAnswer records that the host has answered an opening packet.
func (h *Host) RecordAnswer() {
	h.Suspect, h.unanswered = false, 0
}

// recordUnanswered records that the host has not answered an opening packet sent at the
// given time. Packets sent before the end of the last ejection do not count again.
func (f *Fleet) recordUnanswered(host *Host, sent, now time.Time) {
	if !host.ejection.until.Before(sent) {
		return
	}
	if host.unanswered++; host.unanswered >= maxUnanswered {
		host.unanswered = 0
		f.eject(host, StopUnanswered, now)
	}
}

// eject records that a host has stopped, and extends its ejection.
func (f *Fleet) eject(host *Host, cause StopCause, now time.Time) {
	last := &host.ejection
	if now.Sub(last.stopAt) > stableAfter {
		last.Stops, last.Length = 0, 0
	}
	last.Cause, last.stopAt = cause, now
	last.Stops++
	last.Length = min(max(2*last.Length, minEjection), maxEjection)
	last.until = now.Add(last.Length)
	if len(f.ejected) < maxEjectedHosts {
		f.ejected = append(f.ejected, host)
	}
}

// TakeEjected returns the hosts that have been ejected since the last call, one entry for
// each ejection.
func (f *Fleet) TakeEjected() []*Host {
	ejected := f.ejected
	f.ejected = nil
	return ejected
}
