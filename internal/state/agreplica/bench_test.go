package agreplica

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
)

// BenchmarkIdleMesh measures the control traffic of a balancer in a partial mesh
// while no record changes: keep-alives and digests, in both directions. The fleet is
// large enough for each balancer to dial only dialedPeers peers.
func BenchmarkIdleMesh(b *testing.B) {
	const balancers, window = 16, 5 * time.Second
	gomega.RegisterTestingT(b)
	fleet := newTestFleet()
	var meshes []*Mesh
	for i := range balancers {
		_, mesh, stop := fleet.start(anvilglade.BalancerID(fmt.Sprintf("b%02d", i)))
		defer stop()
		meshes = append(meshes, mesh)
	}
	total := func() (bytes uint64, connections int) {
		for _, mesh := range meshes {
			statistics := mesh.Statistics()
			bytes += statistics.BytesSent + statistics.BytesReceived
			connections += statistics.Connections
		}
		return bytes, connections
	}
	// Wait until the balancers are connected and have exchanged their records.
	time.Sleep(3 * time.Second)
	for b.Loop() {
		before, _ := total()
		time.Sleep(window)
		after, connections := total()
		b.ReportMetric(float64(after-before)/window.Seconds()/balancers, "B/s/balancer")
		b.ReportMetric(float64(connections)/balancers, "connections")
	}
}

// BenchmarkReplicaMemory measures the memory of one replicated record.
func BenchmarkReplicaMemory(b *testing.B) {
	const records, payloadSize = 10000, 200
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		replica := NewReplica()
		for i := range records {
			replica.Put(anvilglade.Record{
				Kind: anvilglade.RecordHost, Name: fmt.Sprintf("host-%05d", i), Version: 1, Payload: make([]byte, payloadSize),
			})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "B/record")
		runtime.KeepAlive(replica)
	}
}
