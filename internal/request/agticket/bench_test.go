package agticket_test

import (
	"net/netip"
	"runtime"
	"testing"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/request/agticket"
)

// BenchmarkTicketMemory reports the memory of an issued ticket, and of a ticket
// with an outcome that has no body. EntryCost must not be less than either.
func BenchmarkTicketMemory(b *testing.B) {
	for _, ended := range []bool{false, true} {
		name := "Issued"
		if ended {
			name = "Ended"
		}
		b.Run(name, func(b *testing.B) {
			table, err := agticket.NewTable(agticket.Options{
				Issuer: netip.MustParseAddrPort("10.0.0.1:1"), MaxTickets: b.N, MaxBytes: 1 << 40, Clock: anvilglade.SystemClock{},
			})
			if err != nil {
				b.Fatal(err)
			}
			before := heapBytes()
			b.ReportAllocs()
			for range b.N {
				text, _, err := table.Issue()
				if err != nil {
					b.Fatal(err)
				}
				if !ended {
					continue
				}
				attempt, err := table.Begin(text, 1)
				if err != nil {
					b.Fatal(err)
				}
				attempt.Finish(agticket.Outcome{State: agticket.Answered, Status: 200})
				attempt.Detach(false)
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(b.N), "B/ticket")
			runtime.KeepAlive(table)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
