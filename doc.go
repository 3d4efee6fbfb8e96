// Package anvilglade holds the ids, units, data types and interfaces that the
// parts of the load balancer share.
//
// anvilglade is a layer-4 load balancer that keeps flows on their backend server
// and refuses excess load instead of queueing it. Balancers run on entry VMs and forward datagrams of callers
// to agents. An agent runs beside each backend server, owns the flows and
// requests of its host and decides what the host can bear. The platform's
// object API keeps the configuration.
//
// The implementations of the interfaces are below internal/, grouped by area.
// The package caller is for programs that send requests through anvilglade.
//
// # Usage
//
// Programs do not import this package alone; they run the command:
//
//	anvilglade balancer --id b1 --data-centre dk1 --platform http://127.0.0.1:7000
//	anvilglade agent --host dk1-h01 --data-centre dk1 --backends alerts=127.0.0.1:9001
//	anvilglade routes get
//
// Decision code is written against the interfaces here and takes a Clock, so
// that tests drive it without sockets:
//
//	var decision anvilglade.RouteDecision
//	router.Route(&packet, &decision)
//	if decision.Drop != anvilglade.DropNone {
//		drops.Count(decision.Drop)
//	}
package anvilglade
