package agserve_test

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go/http3"

	"github.com/anvilglade/anvilglade/internal/request/agproblem"
	"github.com/anvilglade/anvilglade/internal/request/agserve"
)

func benchHandler(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = w.Write(bodyOf(1000))
}

// startDirect serves the handler over HTTP/3 without an agent in between.
func (f *fleet) startDirect(handler http.HandlerFunc) *agent {
	conn := listen(f.t, "127.0.0.1:0")
	server := &http3.Server{Handler: handler, TLSConfig: &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}}
	fatal(f.t, f.group.Start("direct", func(context.Context) error { _ = server.Serve(conn); return nil }))
	f.t.Cleanup(func() { _ = server.Close() })
	return &agent{address: addrOf(conn)}
}

// BenchmarkRequest compares a GET through the agent with a direct HTTP/3 request
// to the same handler in the same run, one at a time and 8 concurrently.
func BenchmarkRequest(b *testing.B) {
	f := newFleet(b)
	targets := map[string]*agent{"Direct": f.startDirect(benchHandler), "Agent": f.add(startBackend(b, benchHandler), nil)}
	for _, parallel := range []struct {
		name    string
		callers int
	}{{"1", 1}, {"8", 8}} {
		for _, name := range []string{"Direct", "Agent"} {
			b.Run(name+"/"+parallel.name, func(b *testing.B) {
				client := newClient(b)
				get := func() {
					if got := call(context.Background(), client, targets[name], http.MethodGet, "/", nil); got.err != nil || len(got.body) != 1000 {
						b.Errorf("%d bytes in the response, want 1000: %v", len(got.body), got.err)
					}
				}
				get()
				var next atomic.Int64
				b.ReportAllocs()
				b.ResetTimer()
				group := newFleet(b).group
				for range parallel.callers {
					fatal(b, group.Start("caller", func(context.Context) error {
						for next.Add(1) <= int64(b.N) {
							get()
						}
						return nil
					}))
				}
				fatal(b, group.Wait())
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
			})
		}
	}
}

// BenchmarkReport measures a report with a ticket of its own, including the issue
// of the ticket.
func BenchmarkReport(b *testing.B) {
	f := newFleet(b)
	a := f.add(startBackend(b, benchHandler), nil)
	client := newClient(b)
	for range b.N {
		text, _, err := a.tickets.Issue()
		if err != nil {
			b.Skipf("ticket table is full after %d tickets: %v", a.tickets.Usage().Tickets, err)
		}
		if got := call(context.Background(), client, a, http.MethodPost, "/reports", []byte("x"), agproblem.HeaderTicket, text); got.status != http.StatusOK {
			b.Fatal(got.status, got.err)
		}
	}
}

// BenchmarkLineMemory reports the memory of one open alert line on a connection
// of its own, for a direct connection and through the agent. The memory of the
// caller and of the backend server is included, as they are in the same process.
func BenchmarkLineMemory(b *testing.B) {
	f := newFleet(b)
	handler := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "alert\n")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}
	throughAgent := f.add(startBackend(b, handler), func(o *agserve.Options) { o.LineSlotTime = time.Millisecond })
	for name, target := range map[string]*agent{"Direct": f.startDirect(handler), "Agent": throughAgent} {
		b.Run(name, func(b *testing.B) {
			before := liveMemory()
			for range b.N {
				client := newClient(b)
				request, err := http.NewRequest(http.MethodGet, "https://"+target.address.String()+"/alerts", nil)
				fatal(b, err)
				response, err := client.Do(request)
				fatal(b, err)
				_, err = io.ReadFull(response.Body, make([]byte, 6))
				fatal(b, err)
				b.Cleanup(func() { _ = response.Body.Close() })
			}
			b.ReportMetric(float64(liveMemory()-before)/float64(b.N), "B/line")
		})
	}
}

// liveMemory returns the size of heap and stacks in bytes after a garbage
// collection.
func liveMemory() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
