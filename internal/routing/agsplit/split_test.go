package agsplit_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/routing/agsplit"
)

// sixteenth is the largest change of a step at once: a sixteenth of the flows.
const sixteenth = anvilglade.MaxSplitStep / 16

func TestSplit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agsplit")
}

func flowOf(i int) anvilglade.Flow {
	return anvilglade.Flow{Caller: anvilglade.Endpoint{IP: anvilglade.IPv4{10, 2, byte(i >> 8), byte(i)}, Port: uint16(i)}}
}

var _ = Describe("Splitter", func() {
	const flows = 20_000
	start := time.Unix(1_000_000, 0)
	idle := agsplit.Load{Usable: true, ServiceTime: work, Target: target, Utilisation: 0.1}
	slow := agsplit.Load{Usable: true, ServiceTime: work, Target: target, Utilisation: 1, Wait: target}
	var route *anvilglade.PacketRoute
	var splitter *agsplit.Splitter

	BeforeEach(func() {
		route = &anvilglade.PacketRoute{
			Name: "live", Class: anvilglade.RequestClass{Target: target},
			Backends: []anvilglade.WeightedService{{Service: "main", Weight: 90}, {Service: "spare", Weight: 10}},
		}
		splitter = agsplit.NewSplitter(start)
	})
	evaluate := func(times int, from time.Time, loads ...agsplit.Load) time.Time {
		for range times {
			from = from.Add(100 * time.Millisecond)
			Expect(splitter.Due(route, from)).To(BeTrue())
			splitter.Evaluate(route, loads, from)
		}
		return from
	}
	step := func() anvilglade.SplitStep {
		shifts := splitter.Shifts()
		if len(shifts) == 0 {
			return 0
		}
		Expect(shifts).To(HaveLen(1))
		return shifts[0].Step
	}

	// Guards against a choice in calm that differs from that of earlier builds, so that
	// balancers of both builds would send a flow to different services.
	It("selects by hash and weights in calm", func() {
		evaluate(20, start, idle, idle)
		for i := range flows {
			choice := splitter.Select(route, flowOf(i))
			want := anvilglade.ServiceID("main")
			if flowOf(i).Hash()%100 >= 90 {
				want = "spare"
			}
			Expect(choice).To(Equal(agsplit.Choice{Service: want, Weighted: want}))
		}
	})

	// Guards against shifted flows that are no even sample, against flows that move back
	// at a higher step, and against an allocation for each flow.
	It("shifts an even sample that grows with the step", func() {
		shifted := make(map[int]bool)
		now, former := start, anvilglade.SplitStep(0)
		for former < 4*sixteenth {
			now = evaluate(1, now, slow, idle)
			Expect(step()).To(BeNumerically("<=", former+sixteenth))
			if step() == former {
				continue
			}
			former = step()
			main, moved := 0, 0
			for i := range flows {
				choice := splitter.Select(route, flowOf(i))
				if choice.Weighted != "main" {
					continue
				}
				main++
				if choice.Shifted() {
					moved++
					shifted[i] = true
					continue
				}
				Expect(shifted[i]).To(BeFalse())
			}
			Expect(float64(moved) / float64(main)).To(BeNumerically("~", float64(former)/float64(anvilglade.MaxSplitStep), 0.01))
		}
		Expect(testing.AllocsPerRun(100, func() { splitter.Select(route, flowOf(7)) })).To(BeZero())
	})

	// Guards against flows that are reset although another service of the route has a
	// host, and against a shift of routes that state no class or whose agents report
	// nothing by which its effect could be limited.
	DescribeTable("shifts only for lack of hosts", func(first, second agsplit.Load, hasClass bool, want anvilglade.SplitStep) {
		if !hasClass {
			route.Class = anvilglade.RequestClass{}
		}
		evaluate(1, start, first, second)
		Expect(step()).To(Equal(want))
		evaluate(1, start.Add(time.Second), second, second)
		Expect(step()).To(BeZero())
	},
		Entry("no class, no host", agsplit.Load{}, idle, false, anvilglade.MaxSplitStep),
		Entry("no class, slow", slow, idle, false, anvilglade.SplitStep(0)),
		Entry("no reports, no host", agsplit.Load{}, agsplit.Load{Usable: true}, true, anvilglade.MaxSplitStep),
		Entry("no reports of the receiver", slow, agsplit.Load{Usable: true}, true, anvilglade.SplitStep(0)),
		Entry("no host anywhere", agsplit.Load{}, agsplit.Load{}, true, anvilglade.SplitStep(0)),
	)

	// Guards against the full load on hosts that have just restarted and report nothing yet.
	It("returns in steps to a service without reports", func() {
		now := evaluate(3, start, agsplit.Load{}, idle)
		Expect(step()).To(Equal(3 * sixteenth))
		now = evaluate(5, now, agsplit.Load{Usable: true}, idle)
		Expect(step()).To(Equal(2 * sixteenth))
		evaluate(10, now, agsplit.Load{Usable: true}, idle)
		Expect(step()).To(BeZero())
	})

	// Guards against harm to callers with a shorter target that the receiver serves too.
	It("respects the shortest target at the receiver", func() {
		busy := idle
		busy.Target, busy.Wait = target/2, 12*time.Millisecond
		evaluate(10, start, slow, busy)
		Expect(step()).To(BeZero())
	})

	// Guards against a balancer that begins at step 0 after a restart during an overload,
	// and against one that takes over steps later or from another data centre.
	It("takes over the steps of its data centre after its start", func() {
		remote, local := []anvilglade.RouteShift{{Route: "live", Service: "main", Step: 9}}, []anvilglade.RouteShift{{Route: "live", Service: "main", Step: 5}}
		splitter.Observe(anvilglade.IPv4{10, 0, 0, 2}, false, remote, start)
		splitter.Observe(anvilglade.IPv4{10, 0, 0, 3}, true, local, start)
		Expect(splitter.Reported(route)).To(BeTrue())
		splitter.Prepare(route, start)
		Expect(step()).To(Equal(anvilglade.SplitStep(5)))
		splitter.Observe(anvilglade.IPv4{10, 0, 0, 3}, true, remote, start.Add(3*time.Second))
		Expect(step()).To(Equal(anvilglade.SplitStep(5)))
	})

	// Guards against a status that does not fit into a datagram.
	It("limits the steps in a status", func() {
		for i := range 1600 {
			route.Name, route.Address.Port = fmt.Sprintf("route-%04d", i), uint16(i)
			route.Class = anvilglade.RequestClass{}
			splitter.Evaluate(route, []agsplit.Load{{}, idle}, start)
		}
		Expect(splitter.Shifts()).To(HaveLen(1600))
		Expect(len(splitter.Report())).To(BeNumerically("~", 100, 20))
	})
})
