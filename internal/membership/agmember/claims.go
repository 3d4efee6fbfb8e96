package agmember

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
)

// Claims about hosts: a silent host is probed, then claimed to be Suspect, then
// Dead; a claim about a host that this balancer hears is refuted.

// isolated reports whether this balancer hears so few of the hosts that it
// monitors that it is more likely cut off itself. Balancers whose control links
// were 10 s late had declared nearly every host dead.
func (m *Monitor) isolated(current *view, now time.Time, limit time.Duration) bool {
	monitored, heard := 0, 0
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range current.members.Hosts {
		host := &current.members.Hosts[i]
		if !current.monitors(host.Host) || host.State != anvilglade.HostActive && host.State != anvilglade.HostDraining {
			continue
		}
		monitored++
		if last, ok := m.heard[host.Host]; ok && now.Sub(last) <= limit {
			heard++
		}
	}
	return monitored >= leastMonitored && heard*isolatedPart < monitored
}

// Tick claims hosts that have been silent for too long, and refutes or
// completes the claims of others.
func (m *Monitor) Tick() {
	now := m.options.Clock.Now()
	current := m.view.Load()
	m.mu.Lock()
	if now.Sub(m.lastTick) > pauseGap {
		m.log.WithField("Gap", now.Sub(m.lastTick)).Warn("This process was paused; hosts get a new grace period.")
		clear(m.heard)
		clear(m.suspected)
	}
	m.lastTick = now
	limit := heartbeatTargets*current.interval + suspectSlack
	m.mu.Unlock()
	isolated := m.isolated(current, now, limit)
	for i := range current.members.Hosts {
		host := &current.members.Hosts[i]
		switch host.State {
		case anvilglade.HostActive, anvilglade.HostDraining:
			if !isolated && current.monitors(host.Host) && m.silentTooLong(host.Host, now, limit) {
				m.suspect(host)
			}
		case anvilglade.HostSuspect:
			m.followClaim(*host, now)
		default:
		}
	}
}

// silentTooLong reports whether a host has been silent for longer than the
// limit. The first call for a host starts its grace period.
func (m *Monitor) silentTooLong(host anvilglade.HostID, now time.Time, limit time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	last, ok := m.heard[host]
	if !ok {
		m.heard[host] = now
		return false
	}
	return now.Sub(last) > limit<<min(m.refuted[host], maxDoublings)
}

// suspect probes a silent host and claims it after the last probe.
func (m *Monitor) suspect(host *anvilglade.HostRecord) {
	m.mu.Lock()
	probe := m.probes[host.Host] < probesBeforeClaim
	m.probes[host.Host]++
	if !probe {
		delete(m.probes, host.Host)
		m.heard[host.Host] = m.options.Clock.Now().Add(-recentlyHeard)
		m.refuted[host.Host]++
	}
	m.mu.Unlock()
	if !probe {
		m.claim(*host, "Suspect", anvilglade.HostSuspect)
		return
	}
	ack := HeartbeatAck{Time: m.options.Events.Now(), Balancer: m.options.Self.Balancer, ReplyTo: m.options.Self.DatagramAddress}
	payload, err := cbor.Marshal(&ack)
	if err != nil {
		m.log.WithError(err).Error("Probe was not encoded.")
		return
	}
	if err := m.options.Send(host.AgentAddress, agheader.KindHeartbeatAck, payload); err != nil {
		m.log.WithError(err).WithField("Host", host.Host).Debug("Probe was not sent.")
	}
}

// followClaim refutes a claim on a host that this balancer hears, or makes the
// host Dead after the time for refutations.
func (m *Monitor) followClaim(host anvilglade.HostRecord, now time.Time) {
	version := hostVersion(&host)
	m.mu.Lock()
	last, ok := m.heard[host.Host]
	seen := m.suspected[host.Host]
	if seen.version != version {
		seen = suspicion{version: version, since: now}
		m.suspected[host.Host] = seen
	}
	m.mu.Unlock()
	if ok && now.Sub(last) < recentlyHeard {
		m.claim(host, eventRefute, host.OwnState)
		return
	}
	if now.Sub(seen.since) >= deadAfter {
		m.claim(host, "Die", anvilglade.HostDead)
	}
}

// claim publishes a claim of this balancer about a host. Suspect begins a new
// claim; Refute and Die settle the one that is there.
func (m *Monitor) claim(host anvilglade.HostRecord, event string, state anvilglade.HostState) {
	if !m.hosts.Allows(string(host.State), event) {
		return
	}
	if state == anvilglade.HostSuspect {
		if host.Claim >= maxClaims {
			return
		}
		host.Claim++
	}
	host.State = state
	record, err := hostToRecord(&host)
	if err != nil {
		m.log.WithError(err).Error("Claim was not encoded.")
		return
	}
	if !m.options.Replica.Put(record) {
		return
	}
	m.log.WithField("Host", host.Host).WithField("State", state).Warn("Host changes its state.")
	m.options.Events.Record(anvilglade.Event{
		Type: agevent.HostStateChanged, Host: host.Host, DataCentre: host.DataCentre, Detail: string(state),
	})
}

// refuteHeard refutes claims about hosts that this balancer has just heard,
// before they get into its view and so into the candidate lists.
func (m *Monitor) refuteHeard() {
	now := m.options.Clock.Now()
	for _, record := range m.options.Replica.List(anvilglade.RecordHost) {
		m.mu.Lock()
		last, ok := m.heard[anvilglade.HostID(record.Name)]
		m.mu.Unlock()
		if !ok || now.Sub(last) >= recentlyHeard {
			continue
		}
		host, err := recordToHost(record)
		if err == nil && (host.State == anvilglade.HostSuspect || host.State == anvilglade.HostDead) {
			m.claim(host, eventRefute, host.OwnState)
		}
	}
}
