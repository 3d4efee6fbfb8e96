package agflow_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/flow/agflow"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
)

// benchHost is an admitter without limits.
type benchHost struct{ modelHost }

func benchMachine(hosts int) (*agflow.Machine, []anvilglade.Candidate) {
	assignment := anvilglade.HostAssignment{Service: "alerts", DataCentreState: anvilglade.DataCentreIn, Pool: anvilglade.Pool{Connections: 2000}}
	var candidates []anvilglade.Candidate
	for i := range hosts {
		address := modelAddress(hosts - i)
		assignment.Members = append(assignment.Members, anvilglade.ServiceMember{
			Host: anvilglade.HostID(fmt.Sprint(i)), Incarnation: 1, State: anvilglade.HostActive, AgentAddress: address,
			JoinStamp: anvilglade.JoinStamp(hosts - i), Accepts: true,
		})
		candidates = append(candidates, anvilglade.Candidate{Address: address, Accepts: true})
	}
	machine := agflow.NewMachine(agflow.Options{Self: modelAddress(1), Incarnation: 1, Admitter: &benchHost{}})
	machine.SetAssignment(time.Unix(1, 0), &assignment, nil)
	return machine, candidates
}

func benchHeader(key int, candidates []anvilglade.Candidate) agheader.Header {
	return agheader.Header{
		Service: anvilglade.ServiceID("alerts").Number(), Protocol: anvilglade.ProtocolUDP, Flow: anvilglade.FlowKey(key),
		Caller: modelAddress(99), ServiceAddress: modelAddress(98), Balancer: netip.MustParseAddrPort("10.1.0.1:7200"),
		Candidates: candidates,
	}
}

// BenchmarkOwned measures the decision on a packet of an open flow.
func BenchmarkOwned(b *testing.B) {
	machine, candidates := benchMachine(7)
	now := time.Unix(1, 0)
	var actions []agflow.Action
	for i := range 2000 {
		header := benchHeader(i, candidates[6:])
		actions = machine.Handle(now, agheader.KindPlace, &header, nil, actions[:0])
	}
	header := benchHeader(0, candidates)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		header.Flow, header.Hops, header.Step = anvilglade.FlowKey(i%2000), 0, 0
		actions = machine.Handle(now, agheader.KindLookup, &header, nil, actions[:0])
	}
}

// BenchmarkPassOn measures one step of the lookup along the candidate list.
func BenchmarkPassOn(b *testing.B) {
	machine, candidates := benchMachine(7)
	var actions []agflow.Action
	header := benchHeader(1, candidates)
	b.ReportAllocs()
	for b.Loop() {
		header.Step, header.Hops = 0, 0
		actions = machine.Handle(time.Unix(1, 0), agheader.KindLookup, &header, nil, actions[:0])
	}
}

// BenchmarkPlace measures the arbiter's decision on a new flow.
func BenchmarkPlace(b *testing.B) {
	for _, hosts := range []int{3, 7, 16, 40} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			machine, candidates := benchMachine(hosts)
			now := time.Unix(1, 0)
			var actions []agflow.Action
			header := benchHeader(0, candidates)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%100_000 == 0 {
					now = now.Add(2 * agflow.PlacementLifetime)
					actions = machine.Tick(now, actions[:0])
				}
				header.Flow, header.Hops, header.Step, header.Sender = anvilglade.FlowKey(i), 0, uint8(hosts-1), netip.AddrPort{}
				actions = machine.Handle(now, agheader.KindLookup, &header, nil, actions[:0])
			}
		})
	}
}

// BenchmarkRelayMemory reports the bytes of heap and stacks that an open flow
// occupies, including its socket and reader.
func BenchmarkRelayMemory(b *testing.B) {
	const flows = 1000
	backend, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = backend.Close() }()
	service := anvilglade.ServiceID("alerts").Number()
	for b.Loop() {
		group, stop, err := agtask.NewGroup(context.Background())
		if err != nil {
			b.Fatal(err)
		}
		machine, candidates := benchMachine(7)
		relay, closeRelay, err := agflow.NewRelay(agflow.RelayOptions{
			Machine: machine, Group: group, Clock: anvilglade.SystemClock{},
			Backends: map[anvilglade.ServiceNumber]netip.AddrPort{service: backend.LocalAddr().(*net.UDPAddr).AddrPort()},
		})
		if err != nil {
			b.Fatal(err)
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range flows {
			header := benchHeader(i, candidates[6:])
			actions := machine.Handle(time.Unix(1, 0), agheader.KindPlace, &header, nil, nil)
			if reason := relay.Deliver(context.Background(), actions[0].Flow, []byte("x")); reason != anvilglade.DropNone {
				b.Fatal(reason)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc+after.StackInuse-before.HeapAlloc-before.StackInuse)/flows, "bytes/flow")
		closeRelay()
		stop()
	}
}

// BenchmarkFlowMemory reports the bytes that an open flow occupies in the table,
// without its socket.
func BenchmarkFlowMemory(b *testing.B) {
	const flows = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		machine, candidates := benchMachine(7)
		runtime.GC()
		runtime.ReadMemStats(&before)
		var actions []agflow.Action
		for i := range flows {
			header := benchHeader(i, candidates[6:])
			actions = machine.Handle(time.Unix(1, 0), agheader.KindPlace, &header, nil, actions[:0])
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "bytes/flow")
		runtime.KeepAlive(machine)
	}
}
