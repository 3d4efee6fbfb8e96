// Package anvilglade defines the ids, units, data types and interfaces that the
// packages of the load balancer share.
//
// anvilglade is a layer-4 load balancer that keeps each flow on one backend
// server and refuses excess load instead of queueing it. Balancers run on entry
// VMs and forward the datagrams of callers to agents. An agent runs beside each
// backend server, manages the flows and requests of its host and admits only the
// load that the host has capacity for. The object API of the platform stores the
// configuration.
//
// The interfaces are implemented in packages below internal/, grouped by area.
// Package caller is for programs that send requests through anvilglade.
//
// # Usage
//
// The load balancer is run as a command:
//
//	anvilglade balancer --id b1 --data-centre dk1 --platform http://127.0.0.1:7000
//	anvilglade agent --host dk1-h01 --data-centre dk1 --backends alerts=127.0.0.1:9001
//	anvilglade routes get
//
// Decision code depends on the interfaces of this package and takes a Clock, so
// that tests can run it without sockets:
//
//	var decision anvilglade.RouteDecision
//	router.Route(&packet, &decision)
//	if decision.Drop != anvilglade.DropNone {
//		drops.Count(decision.Drop)
//	}
package anvilglade
