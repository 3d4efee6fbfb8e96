package agmember

import (
	"cmp"
	"slices"

	"github.com/anvilglade/anvilglade"
)

const (
	// assignmentBalancers is the number of balancers in the assignment: those that
	// monitor the host and additional ones for answers to callers.
	assignmentBalancers = 8
	// assignmentMembers is the maximum number of members in the assignment. The
	// members with the earliest join stamps are listed first, because one of them
	// is the arbiter.
	assignmentMembers = 64
)

// assignmentCache caches the assignments of hosts until the view, the
// configuration or the keys change. It is guarded by the mutex of the monitor.
type assignmentCache struct {
	configuration *anvilglade.Configuration
	keysAt        anvilglade.Version
	hosts         map[anvilglade.HostID]cachedAssignment
}

type cachedAssignment struct {
	assignment *anvilglade.HostAssignment
	hash       uint64
}

func (c *assignmentCache) clear() {
	c.hosts = make(map[anvilglade.HostID]cachedAssignment)
}

// addAssignment adds the assignment of the host to the acknowledgement if the
// agent has a different one.
func (m *Monitor) addAssignment(heartbeat *Heartbeat, ack *HeartbeatAck) error {
	configuration := m.options.Configuration()
	if configuration == nil {
		return nil
	}
	current := m.view.Load()
	host, ok := current.host(heartbeat.Host)
	if !ok {
		return nil
	}
	keys, keysAt := m.options.Keys()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.assignment.hosts == nil || m.assignment.configuration != configuration || m.assignment.keysAt != keysAt {
		m.assignment = assignmentCache{configuration: configuration, keysAt: keysAt}
		m.assignment.clear()
	}
	cached, ok := m.assignment.hosts[host.Host]
	if !ok {
		assignment := m.buildAssignment(current, &host, configuration, keys)
		assignment.KeysAt = keysAt
		hash, err := hashAssignment(assignment)
		if err != nil {
			return err
		}
		cached = cachedAssignment{assignment: assignment, hash: hash}
		m.assignment.hosts[host.Host] = cached
	}
	ack.AssignmentHash = cached.hash
	if heartbeat.AssignmentHash != cached.hash {
		ack.Assignment = cached.assignment
	}
	return nil
}

// buildAssignment returns the assignment of one host.
func (m *Monitor) buildAssignment(current *view, host *anvilglade.HostRecord, configuration *anvilglade.Configuration, keys anvilglade.KeyBundle) *anvilglade.HostAssignment {
	tables := &configuration.Tables
	assignment := &anvilglade.HostAssignment{
		Revision:          configuration.Revision,
		DataCentreState:   dataCentreState(tables, host.DataCentre),
		OutDataCentres:    outDataCentres(tables),
		Draining:          isDraining(tables, host),
		Balancers:         current.rankBalancers(host, assignmentBalancers),
		HeartbeatInterval: anvilglade.Duration(current.interval),
		Keys:              keys,
	}
	service, ok := m.options.Service(host.Host)
	if !ok {
		assignment.Keys.Certificates = nil
		return assignment
	}
	assignment.Service = service
	for _, pool := range tables.Pools {
		if pool.Service == service {
			assignment.Pool = pool
		}
	}
	for _, route := range tables.Routes {
		if route.Service == service {
			assignment.Routes = append(assignment.Routes, route)
		}
	}
	assignment.Keys.Certificates = slices.DeleteFunc(slices.Clone(keys.Certificates), func(c anvilglade.Certificate) bool {
		return c.Service != service
	})
	assignment.Members = m.serviceMembers(current, tables, service)
	return assignment
}

// serviceMembers returns the live hosts of a service in data centres that are not
// out, and the hosts that still hold flows of the service after a change of their
// pool, sorted by age, oldest first.
func (m *Monitor) serviceMembers(current *view, tables *anvilglade.Tables, service anvilglade.ServiceID) []anvilglade.ServiceMember {
	var members []anvilglade.ServiceMember
	for i := range current.members.Hosts {
		host := &current.members.Hosts[i]
		if host.State == anvilglade.HostDead || host.State == anvilglade.HostLeft {
			continue
		}
		// Agents forward decisions to the oldest member, and a host in a data
		// centre that is out drops every packet.
		if dataCentreState(tables, host.DataCentre) == anvilglade.DataCentreOut {
			continue
		}
		hostService, ok := m.options.Service(host.Host)
		assigned := ok && hostService == service
		if !assigned && !slices.Contains(host.Services[:], service) {
			continue
		}
		serving := decidesFor(host, service, assigned)
		members = append(members, anvilglade.ServiceMember{
			Host:           host.Host,
			Incarnation:    host.Incarnation,
			State:          host.State,
			DataCentre:     host.DataCentre,
			AgentAddress:   host.AgentAddress,
			ControlAddress: host.ControlAddress,
			JoinStamp:      host.ArbiterStamp(),
			Accepts:        host.State == anvilglade.HostActive && !isDraining(tables, host) && assigned && serving,
			Former:         !serving,
		})
	}
	slices.SortFunc(members, func(a, b anvilglade.ServiceMember) int {
		return cmp.Or(cmp.Compare(a.JoinStamp, b.JoinStamp), cmp.Compare(a.Host, b.Host))
	})
	return members[:min(len(members), assignmentMembers)]
}

// decidesFor reports whether the agent of a host makes decisions for the service,
// which is the one that the agent announces even if the pools have changed since.
// The agent continues to decide until it has received the assignment that moves
// its host, and no other host may decide before that.
func decidesFor(host *anvilglade.HostRecord, service anvilglade.ServiceID, assigned bool) bool {
	if host.Services[0] == "" {
		return assigned
	}
	return host.Services[0] == service
}

func outDataCentres(tables *anvilglade.Tables) []anvilglade.DataCentreID {
	var out []anvilglade.DataCentreID
	for _, row := range tables.DataCentres {
		if row.State == anvilglade.DataCentreOut {
			out = append(out, row.Name)
		}
	}
	return out
}

// dataCentreState returns the state of a data centre, DataCentreIn if the data
// centre is not in the table.
func dataCentreState(tables *anvilglade.Tables, id anvilglade.DataCentreID) anvilglade.DataCentreState {
	for _, row := range tables.DataCentres {
		if row.Name == id {
			return row.State
		}
	}
	return anvilglade.DataCentreIn
}

// isDraining reports whether operators have excluded the host or its data centre
// from new work.
func isDraining(tables *anvilglade.Tables, host *anvilglade.HostRecord) bool {
	if dataCentreState(tables, host.DataCentre) != anvilglade.DataCentreIn {
		return true
	}
	return slices.ContainsFunc(tables.Hosts, func(row anvilglade.HostOverride) bool {
		return row.Name == host.Host && row.Draining
	})
}
