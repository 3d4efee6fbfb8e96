package agconfig

// This file finds edits that leave a service without any host. The tables contain
// patterns, not a list of hosts. From the tables alone, only a pool without
// patterns, or with plain names that are all drained, is found to have no host. For
// other pools the editor passes the list of hosts that the balancers have.

import (
	"slices"

	"github.com/anvilglade/anvilglade"
)

// checkServicesKeepHosts adds a fault for each service with a route that has no
// host after the edit, unless the service existed before without any host.
func (v *validation) checkServicesKeepHosts(options Options, after anvilglade.Tables) {
	routed := map[anvilglade.ServiceID]bool{}
	for _, route := range after.Routes {
		routed[route.Service] = true
	}
	former := canHaveHosts(options.Before)
	for service, hasHosts := range canHaveHosts(after) {
		hadHosts, existed := former[service]
		if routed[service] && !hasHosts && (hadHosts || !existed) {
			v.add(TablePools, string(service), "Hosts", "leaves the service without any host; use --force to allow it")
		}
	}
	if options.Known == nil {
		return
	}
	hadHosts, hostsAfter := countHosts(options.Before, options.Known), countHosts(after, options.Known)
	for _, pool := range after.Pools {
		if service := pool.Service; routed[service] && hadHosts[service] > 0 && hostsAfter[service] == 0 && len(pool.Hosts) > 0 {
			v.add(TablePools, string(service), "Hosts",
				"leaves the service without any of its %d living hosts; use --force to allow it", hadHosts[service])
		}
	}
}

// canHaveHosts returns for each service whether the tables allow its pool to have
// a host that accepts new flows.
func canHaveHosts(tables anvilglade.Tables) map[anvilglade.ServiceID]bool {
	draining := map[string]bool{}
	for _, host := range tables.Hosts {
		draining[string(host.Name)] = host.Draining
	}
	possible := map[anvilglade.ServiceID]bool{}
	for _, pool := range tables.Pools {
		possible[pool.Service] = slices.ContainsFunc(pool.Hosts, func(pattern string) bool {
			_, isLiteral := literalPrefix(pattern)
			return !isLiteral || !draining[pattern]
		})
	}
	return possible
}

// countHosts counts, for each service, the given hosts that can accept new flows.
func countHosts(tables anvilglade.Tables, hosts []anvilglade.HostRecord) map[anvilglade.ServiceID]int {
	draining := map[anvilglade.HostID]bool{}
	for _, host := range tables.Hosts {
		draining[host.Name] = host.Draining
	}
	inService := map[anvilglade.DataCentreID]bool{}
	for _, centre := range tables.DataCentres {
		inService[centre.Name] = centre.State == anvilglade.DataCentreIn
	}
	matcher := NewMatcher(tables)
	counts := map[anvilglade.ServiceID]int{}
	for _, host := range hosts {
		if host.State != anvilglade.HostActive || draining[host.Host] || !inService[host.DataCentre] {
			continue
		}
		if service, ok := matcher.Service(host.Host); ok {
			counts[service]++
		}
	}
	return counts
}
