package agbalancer

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
	"github.com/anvilglade/anvilglade/internal/routing/agtable"
)

// BenchmarkForwarding compares the balancer with a plain relay that copies packets
// between the same sockets. Both alternate within one run, because absolute rates
// on a shared machine differ between runs.
func BenchmarkForwarding(b *testing.B) {
	for _, size := range []int{200, 1200} {
		b.Run(fmt.Sprintf("Payload=%d", size), func(b *testing.B) { benchmarkForwarding(b, size) })
	}
}

func benchmarkForwarding(b *testing.B, size int) {
	const hosts, roundSize = 8, 20000
	r, stop := newRig(0)
	defer stop()
	ingressSocket, closeIngress, err := agsocket.Listen(context.Background(), loopback)
	must(err)
	defer closeIngress()
	address := ingressSocket.Local()
	members := &anvilglade.Members{}
	for i := range hosts {
		members.Hosts = append(members.Hosts, anvilglade.HostRecord{
			Host: anvilglade.HostID(fmt.Sprintf("dk1-h%02d", i)), State: anvilglade.HostActive,
			AgentAddress: r.agent.Local(), JoinStamp: anvilglade.JoinStamp(i + 1),
		})
	}
	table, _ := agtable.NewBuilder(agtable.Options{Clock: anvilglade.SystemClock{}}).Build(
		&anvilglade.Configuration{Revision: 1, Tables: anvilglade.Tables{Routes: []anvilglade.Route{{Address: address, Protocol: anvilglade.ProtocolUDP, Service: "alerts"}}}},
		func(anvilglade.HostID) (anvilglade.ServiceID, bool) { return "alerts", true }, members)
	r.balancer.router.Adopt(table)

	var load sync.WaitGroup
	var stopped atomic.Bool
	defer load.Wait()
	defer func() {
		stopped.Store(true)
		r.agent.Interrupt()
	}()
	for range 3 {
		load.Go(func() { flood(&stopped, address, size) })
	}
	load.Go(func() { drain(&stopped, r.agent) })

	reader, relay, forwarder := ingressSocket.NewReader(ingressBatch, maxIngress), r.balancer.datagrams.NewWriter(ingressBatch), r.balancer.newForwarder()
	forwarder.forward(&ingress{address: address}, nil)
	elapsed := [2]time.Duration{}
	read := func(handle func([]agsocket.Packet)) time.Duration {
		start := time.Now()
		for handled := 0; handled < roundSize; {
			packets, err := reader.Read()
			must(err)
			handle(packets)
			handled += len(packets)
		}
		return time.Since(start)
	}
	b.ResetTimer()
	for range b.N {
		elapsed[0] += read(func(packets []agsocket.Packet) {
			for i := range packets {
				relay.Add(append(relay.Buffer(), packets[i].Data...), r.agent.Local())
			}
			relay.Flush()
		})
		elapsed[1] += read(func(packets []agsocket.Packet) { forwarder.forward(&ingress{address: address}, packets) })
	}
	b.ReportMetric(elapsed[0].Seconds()/elapsed[1].Seconds(), "ratio")
	b.ReportMetric(float64(b.N)*roundSize/elapsed[0].Seconds(), "relay-packets/s")
	b.ReportMetric(float64(b.N)*roundSize/elapsed[1].Seconds(), "balancer-packets/s")
	if r.count("Forwarded") == 0 {
		b.Fatal("the balancer has forwarded nothing")
	}
}

// flood keeps the receive queue of an address full.
func flood(stopped *atomic.Bool, to netip.AddrPort, size int) {
	socket, closeSocket, err := agsocket.Listen(context.Background(), loopback)
	must(err)
	defer closeSocket()
	writer, payload := socket.NewWriter(agsocket.BatchSize), make([]byte, size)
	for !stopped.Load() {
		writer.Add(append(writer.Buffer(), payload...), to)
	}
}

// drain reads and discards the packets for the agent until the load ends.
func drain(stopped *atomic.Bool, socket *agsocket.Socket) {
	reader := socket.NewReader(agsocket.BatchSize, maxIngress)
	for !stopped.Load() {
		if _, err := reader.Read(); err != nil {
			return
		}
	}
}
