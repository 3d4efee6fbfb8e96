// Package agemulator runs packet services on one machine. Balancers and agents
// are real and run as separate processes; the platform around them is emulated
// in this process.
//
// Emulated are the routers (Router), the backend servers (Host), the callers
// (Caller) and the operators. Package agapi provides the store. A scenario file
// defines the size of the deployment, the load and the times of the troubles.
// During a run a Ledger records what callers and hosts observe and checks the
// promises of packet services: no open flow is reset, no request reaches the
// wrong service, no unrepeatable request runs twice, no packet is altered, and
// no new flow reaches a host that is draining or whose data centre is evacuated.
//
// All processes use loopback addresses. Each process has its own address, and
// all of them use the same port numbers.
//
// # Usage
//
//	report, err := agemulator.Run(ctx, agemulator.Options{Anvilglade: "bin/anvilglade", Scenario: scenario, Seed: 1, Dir: dir})
//	report.WriteTable(os.Stdout)
package agemulator
