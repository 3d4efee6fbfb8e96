package agmember

import (
	"cmp"
	"slices"

	"github.com/anvilglade/anvilglade"
)

const (
	// ordersBalancers is the number of balancers in the orders: those that
	// monitor the host and some more for answers to callers.
	ordersBalancers = 8
	// ordersMembers bounds the members in the orders. The oldest come first,
	// since one of them is the arbiter.
	ordersMembers = 64
)

// ordersCache keeps the orders of hosts until the view, the configuration or
// the keys change. It is guarded by the mutex of the monitor.
type ordersCache struct {
	configuration *anvilglade.Configuration
	keysAt        anvilglade.Version
	hosts         map[anvilglade.HostID]cachedOrders
}

type cachedOrders struct {
	orders *anvilglade.HostOrders
	hash   uint64
}

func (c *ordersCache) clear() {
	c.hosts = make(map[anvilglade.HostID]cachedOrders)
}

// addOrders puts the orders of the host into the answer if the agent has
// others.
func (m *Monitor) addOrders(heartbeat *Heartbeat, ack *HeartbeatAck) error {
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
	if m.orders.hosts == nil || m.orders.configuration != configuration || m.orders.keysAt != keysAt {
		m.orders = ordersCache{configuration: configuration, keysAt: keysAt}
		m.orders.clear()
	}
	cached, ok := m.orders.hosts[host.Host]
	if !ok {
		orders := m.buildOrders(current, &host, configuration, keys)
		orders.KeysAt = keysAt
		hash, err := hashOrders(orders)
		if err != nil {
			return err
		}
		cached = cachedOrders{orders: orders, hash: hash}
		m.orders.hosts[host.Host] = cached
	}
	ack.OrdersHash = cached.hash
	if heartbeat.OrdersHash != cached.hash {
		ack.Orders = cached.orders
	}
	return nil
}

// buildOrders collects what one agent has to know.
func (m *Monitor) buildOrders(current *view, host *anvilglade.HostRecord, configuration *anvilglade.Configuration, keys anvilglade.KeyBundle) *anvilglade.HostOrders {
	tables := &configuration.Tables
	orders := &anvilglade.HostOrders{
		Revision:          configuration.Revision,
		DataCentreState:   stateOf(tables, host.DataCentre),
		OutDataCentres:    outDataCentres(tables),
		Draining:          draining(tables, host),
		Balancers:         current.rankBalancers(host, ordersBalancers),
		HeartbeatInterval: anvilglade.Duration(current.interval),
		Keys:              keys,
	}
	service, ok := m.options.Service(host.Host)
	if !ok {
		orders.Keys.Certificates = nil
		return orders
	}
	orders.Service = service
	for _, pool := range tables.Pools {
		if pool.Service == service {
			orders.Pool = pool
		}
	}
	for _, route := range tables.Routes {
		if route.Service == service {
			orders.Routes = append(orders.Routes, route)
		}
	}
	orders.Keys.Certificates = slices.DeleteFunc(slices.Clone(keys.Certificates), func(c anvilglade.Certificate) bool {
		return c.Service != service
	})
	orders.Members = m.serviceMembers(current, tables, service)
	return orders
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
			JoinStamp:      host.Age(),
			Accepts:        host.State == anvilglade.HostActive && !draining(tables, host) && wanted && present,
			Former:         !present,
		})
	}
	slices.SortFunc(members, func(a, b anvilglade.ServiceMember) int {
		return cmp.Or(cmp.Compare(a.JoinStamp, b.JoinStamp), cmp.Compare(a.Host, b.Host))
	})
	return members[:min(len(members), ordersMembers)]
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
