// Package agemulator plays packet services on one machine: real balancers and
// agents as separate processes, and in this process the platform around them.
//
// Emulated are the routers (Router), backend servers (Host), callers (Caller)
// and operators; the store is package agapi. A scenario file says how large the
// deployment is, what load callers bring and which troubles come when. While it
// runs, a Ledger notes what callers and hosts see and checks the promises: no
// living flow is reset, no request reaches a wrong service, none that must not
// be repeated runs twice, no packet is altered, nothing new reaches a host after
// it drains or its data centre is evacuated.
//
// Everything is on loopback addresses: each process has an address of its own
// and the same ports.
//
// # Usage
//
//	report, err := agemulator.Run(ctx, agemulator.Options{Anvilglade: "bin/anvilglade", Scenario: scenario, Seed: 1, Dir: dir})
//	report.WriteTable(os.Stdout)
package agemulator
