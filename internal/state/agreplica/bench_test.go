package agreplica

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
)

// BenchmarkIdleMesh measures the control traffic of a mesh without changes for
// each connection: keep-alives and digests, in both directions.
func BenchmarkIdleMesh(b *testing.B) {
	const balancers, window = 5, 5 * time.Second
	gomega.RegisterTestingT(b)
	fleet := newTestFleet()
	var meshes []*Mesh
	for i := range balancers {
		_, mesh, stop := fleet.start(anvilglade.BalancerID(fmt.Sprintf("b%d", i)))
		defer stop()
		meshes = append(meshes, mesh)
	}
	gomega.Eventually(func() int { return meshes[0].Statistics().Connections }, 10*time.Second).Should(gomega.Equal(balancers - 1))
	time.Sleep(time.Second)
	for b.Loop() {
		before := meshes[0].Statistics()
		time.Sleep(window)
		after := meshes[0].Statistics()
		bytes := after.BytesSent - before.BytesSent + after.BytesReceived - before.BytesReceived
		b.ReportMetric(float64(bytes)/window.Seconds(), "B/s")
		b.ReportMetric(float64(bytes)/window.Seconds()/(balancers-1), "B/s/connection")
	}
}

// BenchmarkReplicaMemory measures the memory of one replicated record.
func BenchmarkReplicaMemory(b *testing.B) {
	const records, payload = 10000, 200
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		replica := NewReplica()
		for i := range records {
			replica.Put(anvilglade.Record{
				Kind: anvilglade.RecordHost, Name: fmt.Sprintf("host-%05d", i), Version: 1, Payload: make([]byte, payload),
			})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "B/record")
		runtime.KeepAlive(replica)
	}
}
