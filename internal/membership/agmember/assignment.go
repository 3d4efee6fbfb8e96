package agmember

import (
	"cmp"
	"slices"

	"github.com/anvilglade/anvilglade"
)

const (
	// assignmentBalancers is the number of balancers in the assignment: those that
	// monitor the host and some more for answers to callers.
	assignmentBalancers = 8
	// assignmentMembers bounds the members in the assignment. The oldest come first,
	// since one of them is the arbiter.
	assignmentMembers = 64
)

// assignmentCache keeps the assignments of hosts until the view, the configuration or
// the keys change. It is guarded by the mutex of the monitor.
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

// addAssignment puts the assignment of the host into the answer if the agent has
// others.
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

// buildAssignment collects what one agent has to know.
func (m *Monitor) buildAssignment(current *view, host *anvilglade.HostRecord, configuration *anvilglade.Configuration, keys anvilglade.KeyBundle) *anvilglade.HostAssignment {
	tables := &configuration.Tables
	assignment := &anvilglade.HostAssignment{
		Revision:          configuration.Revision,
		DataCentreState:   stateOf(tables, host.DataCentre),
		OutDataCentres:    outDataCentres(tables),
		Draining:          draining(tables, host),
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

// serviceMembers returns the living hosts of a service in data centres that are
// not out, oldest first, and those that still hold flows of it after a change of
// their pool.
func (m *Monitor) serviceMembers(current *view, tables *anvilglade.Tables, service anvilglade.ServiceID) []anvilglade.ServiceMember {
	var members []anvilglade.ServiceMember
	for i := range current.members.Hosts {
		host := &current.members.Hosts[i]
		if host.State == anvilglade.HostDead || host.State == anvilglade.HostLeft {
			continue
		}
		// Agents forward decisions to the oldest member, and a host of a data
		// centre that is out drops every packet.
		if stateOf(tables, host.DataCentre) == anvilglade.DataCentreOut {
			continue
		}
		of, ok := m.options.Service(host.Host)
		wanted := ok && of == service
		if !wanted && !slices.Contains(host.Services[:], service) {
			continue
		}
		present := worksFor(host, service, wanted)
		members = append(members, anvilglade.ServiceMember{
			Host:           host.Host,
			Incarnation:    host.Incarnation,
			State:          host.State,
			DataCentre:     host.DataCentre,
			AgentAddress:   host.AgentAddress,
			ControlAddress: host.ControlAddress,
			JoinStamp:      host.ArbiterStamp(),
			Accepts:        host.State == anvilglade.HostActive && !draining(tables, host) && wanted && present,
			Former:         !present,
		})
	}
	slices.SortFunc(members, func(a, b anvilglade.ServiceMember) int {
		return cmp.Or(cmp.Compare(a.JoinStamp, b.JoinStamp), cmp.Compare(a.Host, b.Host))
	})
	return members[:min(len(members), assignmentMembers)]
}

// worksFor reports whether the agent of a host decides for the service: it is
// the one that the agent announces, whatever the pools say now. Until the agent
// has learned that its host moved it goes on deciding, and no other host may.
func worksFor(host *anvilglade.HostRecord, service anvilglade.ServiceID, wanted bool) bool {
	if host.Services[0] == "" {
		return wanted
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

// stateOf returns the state of a data centre; one that is not in the table is
// in service.
func stateOf(tables *anvilglade.Tables, id anvilglade.DataCentreID) anvilglade.DataCentreState {
	for _, row := range tables.DataCentres {
		if row.Name == id {
			return row.State
		}
	}
	return anvilglade.DataCentreIn
}

// draining reports whether operators have taken the host or its data centre
// out of service for new work.
func draining(tables *anvilglade.Tables, host *anvilglade.HostRecord) bool {
	if stateOf(tables, host.DataCentre) != anvilglade.DataCentreIn {
		return true
	}
	return slices.ContainsFunc(tables.Hosts, func(row anvilglade.HostOverride) bool {
		return row.Name == host.Host && row.Draining
	})
}
