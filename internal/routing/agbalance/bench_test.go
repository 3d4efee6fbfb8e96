package agbalance_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agconnid"
	"github.com/anvilglade/anvilglade/internal/routing/agbalance"
	"github.com/anvilglade/anvilglade/internal/routing/agtable"
)

var sizes = []struct{ hosts, services int }{{10, 2}, {420, 51}, {4200, 510}, {4200, 10}, {4200, 1}}

func eachSize(b *testing.B, run func(b *testing.B, f *fleet)) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("Hosts=%d/Services=%d", size.hosts, size.services), func(b *testing.B) {
			run(b, newFleet(size.hosts, size.services))
		})
	}
}

func BenchmarkDecisionUDP(b *testing.B) {
	eachSize(b, func(b *testing.B, f *fleet) {
		benchmarkDecision(b, f, func(i int, packet *anvilglade.IngressPacket) {
			packet.ServiceAddress = f.configuration.Tables.Routes[2*(i%f.services)].Address
		})
	})
}

func BenchmarkDecisionQUIC(b *testing.B) {
	RegisterTestingT(b)
	eachSize(b, func(b *testing.B, f *fleet) {
		benchmarkDecision(b, f, func(i int, packet *anvilglade.IngressPacket) {
			packet.ServiceAddress = f.configuration.Tables.Routes[2*(i%f.services)+1].Address
			packet.Payload = shortPacket(connectionID(agentAddress(i%len(f.members.Hosts)), serviceName(i%f.services)))
		})
	})
}

// benchmarkDecision routes packets of many flows, so that the table does not fit into
// the first-level cache.
func benchmarkDecision(b *testing.B, f *fleet, prepare func(int, *anvilglade.IngressPacket)) {
	router := agbalance.New(agbalance.ModeLookup, agconnid.NewCodec(fakeRing{}))
	table, _ := f.build(newBuilder(false))
	router.Adopt(table)
	packets := make([]anvilglade.IngressPacket, 1<<14)
	for i := range packets {
		packets[i].Caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), uint16(4000+i))
		prepare(i, &packets[i])
	}
	var decision anvilglade.RouteDecision
	var length int
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		router.Route(&packets[i&(1<<14-1)], &decision)
		length += len(decision.Order)
	}
	b.ReportMetric(float64(length)/float64(b.N), "candidates/op")
}

func BenchmarkRebuild(b *testing.B) {
	eachSize(b, func(b *testing.B, f *fleet) {
		b.Run("Change=All", func(b *testing.B) {
			for range b.N {
				f.build(newBuilder(false))
			}
		})
		b.Run("Change=None", func(b *testing.B) { benchmarkRebuild(b, f, func(int) {}) })
		b.Run("Change=Drain", func(b *testing.B) {
			subject := &f.members.Hosts[len(f.members.Hosts)/2]
			benchmarkRebuild(b, f, func(i int) {
				subject.State = []anvilglade.HostState{anvilglade.HostDraining, anvilglade.HostActive}[i%2]
				subject.AcceptStamp += 1 << 16
			})
		})
		b.Run("Change=Join", func(b *testing.B) {
			n := len(f.members.Hosts)
			benchmarkRebuild(b, f, func(i int) {
				if i%2 == 0 {
					f.add(n)
				} else {
					f.members.Hosts = f.members.Hosts[:n]
				}
			})
		})
	})
}

func benchmarkRebuild(b *testing.B, f *fleet, change func(int)) {
	builder := newBuilder(false)
	f.build(builder)
	b.ResetTimer()
	for i := range b.N {
		change(i)
		f.build(builder)
	}
}

func BenchmarkMemory(b *testing.B) {
	eachSize(b, func(b *testing.B, f *fleet) {
		var before, after runtime.MemStats
		for range b.N {
			runtime.GC()
			runtime.ReadMemStats(&before)
			builder := newBuilder(false)
			table, stats := f.build(builder)
			runtime.GC()
			runtime.ReadMemStats(&after)
			bytes := float64(after.HeapAlloc) - float64(before.HeapAlloc)
			b.ReportMetric(bytes/float64(len(f.members.Hosts)), "B/host")
			b.ReportMetric(bytes/float64(f.services), "B/service")
			b.ReportMetric(float64(stats.Cut)/float64(f.services*agtable.Buckets), "cut/list")
			runtime.KeepAlive(builder)
			runtime.KeepAlive(table)
		}
	})
}

// BenchmarkFlowsLost reports the share of flows whose holder a balancer can no longer
// find after a tenth of the hosts have started to drain and a fifth have joined, for
// the lists and for the baseline.
func BenchmarkFlowsLost(b *testing.B) {
	const hosts, flows = 420, 1 << 16
	for _, mode := range []agbalance.Mode{agbalance.ModeLookup, agbalance.ModeBaseline} {
		b.Run("Routing="+string(mode), func(b *testing.B) {
			for range b.N {
				f := newFleet(hosts, 1)
				builder, router := newBuilder(mode == agbalance.ModeBaseline), agbalance.New(mode, agconnid.NewCodec(fakeRing{}))
				table, _ := f.build(builder)
				router.Adopt(table)
				holders := make([]netip.AddrPort, flows)
				eachFlow(f, router, flows, func(i int, candidates []anvilglade.Candidate) {
					holders[i] = candidates[min(i%agtable.Placements, len(candidates)-1)].Address
				})
				for i := 0; i < hosts; i += 10 {
					f.members.Hosts[i].State = anvilglade.HostDraining
				}
				for i := range hosts / 5 {
					f.add(hosts + i)
				}
				table, _ = f.build(builder)
				router.Adopt(table)
				lost := 0
				eachFlow(f, router, flows, func(i int, candidates []anvilglade.Candidate) {
					if !slices.ContainsFunc(candidates, func(c anvilglade.Candidate) bool { return c.Address == holders[i] }) {
						lost++
					}
				})
				b.ReportMetric(float64(lost)/flows, "lost/flow")
			}
		})
	}
}

func eachFlow(f *fleet, router agbalance.TableRouter, flows int, visit func(int, []anvilglade.Candidate)) {
	var decision anvilglade.RouteDecision
	for i := range flows {
		packet := anvilglade.IngressPacket{
			Caller:         netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), 4000),
			ServiceAddress: f.configuration.Tables.Routes[0].Address,
		}
		router.Route(&packet, &decision)
		candidates := make([]anvilglade.Candidate, 0, len(decision.Order))
		for _, slot := range decision.Order {
			candidates = append(candidates, decision.Hosts[slot])
		}
		visit(i, candidates)
	}
}
