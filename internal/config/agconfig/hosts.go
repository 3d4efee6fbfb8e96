package agconfig

// Finds edits that leave a service without any host. The tables do not list the
// hosts: a pool that has no pattern, or only plain names that are all drained,
// is found from the tables alone; for more the editor passes the hosts that the
// balancers know.

import (
	"slices"

	"github.com/anvilglade/anvilglade"
)

// checkServicesKeepHosts adds a fault for each service with a route that had
// hosts before the edit, or is new, and has none after it.
func (v *validation) checkServicesKeepHosts(options Options, after anvilglade.Tables) {
	routed := map[anvilglade.ServiceID]bool{}
	for _, route := range after.Routes {
		routed[route.Service] = true
	}
	former := staticHosts(options.Before)
	for service, some := range staticHosts(after) {
		had, existed := former[service]
		if routed[service] && !some && (had || !existed) {
			v.add(TablePools, string(service), "Hosts", "leaves the service without any host; use --force to allow it")
		}
	}
	if options.Known == nil {
		return
	}
	had, left := countHosts(options.Before, options.Known), countHosts(after, options.Known)
	for _, pool := range after.Pools {
		if service := pool.Service; routed[service] && had[service] > 0 && left[service] == 0 && len(pool.Hosts) > 0 {
			v.add(TablePools, string(service), "Hosts",
				"leaves the service without any of its %d living hosts; use --force to allow it", had[service])
		}
	}
}

// staticHosts tells for each pool whether it can have a host that takes new
// flows.
func staticHosts(tables anvilglade.Tables) map[anvilglade.ServiceID]bool {
	draining := map[string]bool{}
	for _, host := range tables.Hosts {
		draining[string(host.Name)] = host.Draining
	}
	possible := map[anvilglade.ServiceID]bool{}
	for _, pool := range tables.Pools {
		possible[pool.Service] = slices.ContainsFunc(pool.Hosts, func(pattern string) bool {
			_, whole := literalPrefix(pattern)
			return !whole || !draining[pattern]
		})
	}
	return possible
}

// countHosts counts the known hosts of each service that can take new flows.
func countHosts(tables anvilglade.Tables, known []anvilglade.HostRecord) map[anvilglade.ServiceID]int {
	draining := map[anvilglade.HostID]bool{}
	for _, host := range tables.Hosts {
		draining[host.Name] = host.Draining
	}
	in := map[anvilglade.DataCentreID]bool{}
	for _, centre := range tables.DataCentres {
		in[centre.Name] = centre.State == anvilglade.DataCentreIn
	}
	matcher := NewMatcher(tables)
	counts := map[anvilglade.ServiceID]int{}
	for _, host := range known {
		if host.State != anvilglade.HostActive || draining[host.Host] || !in[host.DataCentre] {
			continue
		}
		if service, ok := matcher.Service(host.Host); ok {
			counts[service]++
		}
	}
	return counts
}
