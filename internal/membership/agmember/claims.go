package agmember

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
)

// Claims about hosts. A host whose heartbeats are missing is probed, then claimed
// to be Suspect and then Dead. A balancer that receives heartbeats of the host
// refutes the claim.

// isolated reports whether this balancer receives heartbeats from so few of the
// hosts that it monitors that it has probably lost its own network. Without this
// check, balancers whose control links are delayed by 10 s declare nearly every
// host Dead.
func (m *Monitor) isolated(current *view, now time.Time, limit time.Duration) bool {
	monitored, heartbeats := 0, 0
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range current.members.Hosts {
		host := &current.members.Hosts[i]
		if !current.monitors(host.Host) || host.State != anvilglade.HostActive && host.State != anvilglade.HostDraining {
			continue
		}
		monitored++
		if last, ok := m.heartbeats[host.Host]; ok && now.Sub(last) <= limit {
			heartbeats++
		}
	}
	return monitored >= minMonitored && heartbeats*isolatedDivisor < monitored
}

// Tick claims hosts whose heartbeats have been missing for too long, and refutes
// or completes existing claims.
func (m *Monitor) Tick() {
	now := m.options.Clock.Now()
	current := m.view.Load()
	m.mu.Lock()
	if now.Sub(m.lastTick) > pauseThreshold {
		m.log.WithField("Gap", now.Sub(m.lastTick)).Warn("This process was paused; hosts get a new grace period.")
		clear(m.heartbeats)
		clear(m.observedClaims)
	}
	m.lastTick = now
	limit := heartbeatTargets*current.interval + suspectSlack
	m.mu.Unlock()
	isolated := m.isolated(current, now, limit)
	for i := range current.members.Hosts {
		host := &current.members.Hosts[i]
		switch host.State {
		case anvilglade.HostActive, anvilglade.HostDraining:
			if !isolated && current.monitors(host.Host) && m.heartbeatsMissing(host.Host, now, limit) {
				m.suspect(host)
			}
		case anvilglade.HostSuspect:
			m.resolveClaim(*host, now)
		default:
		}
	}
}

// heartbeatsMissing reports whether no heartbeat of a host has arrived within the
// limit, which doubles with each refuted claim. The first call for a host starts
// its grace period.
func (m *Monitor) heartbeatsMissing(host anvilglade.HostID, now time.Time, limit time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	last, ok := m.heartbeats[host]
	if !ok {
		m.heartbeats[host] = now
		return false
	}
	return now.Sub(last) > limit<<min(m.refutedClaims[host], maxDoublings)
}

// suspect probes a host whose heartbeats are missing, and claims that it is
// Suspect after the last probe.
func (m *Monitor) suspect(host *anvilglade.HostRecord) {
	m.mu.Lock()
	probe := m.probes[host.Host] < probesBeforeClaim
	m.probes[host.Host]++
	if !probe {
		delete(m.probes, host.Host)
		m.heartbeats[host.Host] = m.options.Clock.Now().Add(-recentHeartbeat)
		m.refutedClaims[host.Host]++
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

// resolveClaim refutes a claim about a host that has sent a recent heartbeat to
// this balancer, or declares the host Dead after the refutation period.
func (m *Monitor) resolveClaim(host anvilglade.HostRecord, now time.Time) {
	version := hostVersion(&host)
	m.mu.Lock()
	last, ok := m.heartbeats[host.Host]
	observed := m.observedClaims[host.Host]
	if observed.version != version {
		observed = observedClaim{version: version, since: now}
		m.observedClaims[host.Host] = observed
	}
	m.mu.Unlock()
	if ok && now.Sub(last) < recentHeartbeat {
		m.claim(host, eventRefute, host.OwnState)
		return
	}
	if now.Sub(observed.since) >= deadAfter {
		m.claim(host, "Die", anvilglade.HostDead)
	}
}

// claim publishes a claim of this balancer about a host. The state Suspect starts
// a new claim; the events Refute and Die resolve the existing one.
func (m *Monitor) claim(host anvilglade.HostRecord, event string, state anvilglade.HostState) {
	if !m.hostStates.Allows(string(host.State), event) {
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

// refuteReachableHosts refutes claims about hosts that have sent a recent
// heartbeat to this balancer, before the claims reach its view and so the
// candidate lists.
func (m *Monitor) refuteReachableHosts() {
	now := m.options.Clock.Now()
	for _, record := range m.options.Replica.List(anvilglade.RecordHost) {
		m.mu.Lock()
		last, ok := m.heartbeats[anvilglade.HostID(record.Name)]
		m.mu.Unlock()
		if !ok || now.Sub(last) >= recentHeartbeat {
			continue
		}
		host, err := recordToHost(record)
		if err == nil && (host.State == anvilglade.HostSuspect || host.State == anvilglade.HostDead) {
			m.claim(host, eventRefute, host.OwnState)
		}
	}
}
