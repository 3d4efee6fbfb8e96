package agticket_test

import (
	"net/netip"
	"runtime"
	"testing"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/request/agticket"
)

// BenchmarkTicketMemory reports the memory of one ticket that is issued, and of
// one with an outcome without a body. EntryCost must not be below them.
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
			before := heap()
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
				attempt.Leave(false)
			}
			b.ReportMetric(float64(heap()-before)/float64(b.N), "B/ticket")
			runtime.KeepAlive(table)
		})
	}
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
