package agopen_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/admission/agopen"
)

func TestGate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agopen")
}

var _ = Describe("Gate", func() {
	var (
		start   = time.Unix(1_000_000, 0)
		address = anvilglade.Endpoint{IP: anvilglade.IPv4{10, 0, 0, 1}, Port: 8080}
		gate    *agopen.Gate
	)
	at := start.Add
	beat := func(born int64, sequence anvilglade.Sequence, d time.Duration) anvilglade.HostHeartbeat {
		heartbeat := anvilglade.HostHeartbeat{Host: "h1", Born: time.UnixMilli(born), Sequence: sequence, Service: "alerts", Address: address}
		Expect(gate.Heartbeat(heartbeat, at(d))).To(Equal(agopen.HeartbeatNew))
		return heartbeat
	}

	BeforeEach(func() {
		gate = agopen.NewGate(agopen.Options{Service: "alerts", Address: address, HeartbeatInterval: time.Second, ColdSlack: 5})
	})

	// Guards against a restarted agent that sends flows to a host which has
	// announced before the restart that it leaves.
	It("takes nothing before it knows its host and its data centre", func() {
		Expect(gate.AdmitFlow(at(0))).To(Equal(agopen.RefusalNoHeartbeat))
		beat(1, 1, 0)
		Expect(gate.AdmitFlow(at(0))).To(Equal(agopen.RefusalStale))
		gate.SetPolicy(false, 0, at(0))
		Expect(gate.AdmitFlow(at(0))).To(Equal(agopen.RefusalNone))
		Expect(gate.AdmitFlow(at(3100 * time.Millisecond))).To(Equal(agopen.RefusalNoHeartbeat))
	})

	// Guards against flows that pile up on the host that looked idle to all
	// balancers while others have free slots.
	It("sends new flows on while its requests would wait", func() {
		Expect(gate.Busy(100)).To(BeFalse())
		heartbeat := beat(1, 1, 0)
		heartbeat.Sequence, heartbeat.Slots = 2, 4
		Expect(gate.Heartbeat(heartbeat, at(1))).To(Equal(agopen.HeartbeatNew))
		Expect(gate.Busy(7)).To(BeFalse())
		Expect(gate.Busy(8)).To(BeTrue())
	})

	// Guards against searches for flows that wait for an agent without a host: all
	// callers of flows that were lost in an outage waited up to 7 s for a reset
	// (diskglas-net-grown trouble-2).
	It("knows from a refused connection that its host holds no flow", func() {
		Expect(gate.SawAllFlows()).To(BeFalse())
		Expect(gate.Ended()).To(BeFalse())
		gate.MarkHostDown()
		Expect(gate.Ended()).To(BeTrue())
		beat(1, 9, 0)
		Expect(gate.Ended()).To(BeFalse())
		Expect(gate.SawAllFlows()).To(BeTrue())
	})

	// Guards against flows for a host that leaves, also when a heartbeat of
	// before arrives late.
	It("refuses from the moment that it acknowledges draining", func() {
		gate.SetPolicy(false, 0, at(0))
		ready := beat(1, 1, 0)
		draining := ready
		draining.Sequence, draining.Draining = 2, true
		Expect(gate.Heartbeat(draining, at(1))).To(Equal(agopen.HeartbeatNew))
		Expect(gate.Heartbeat(ready, at(2))).To(Equal(agopen.HeartbeatOld))
		Expect(gate.AdmitFlow(at(3))).To(Equal(agopen.RefusalDraining))
		Expect(gate.Leave("h2")).To(BeFalse())
		Expect(gate.Leave("h1")).To(BeTrue())
		Expect(gate.Ended()).To(BeTrue())
	})

	// Guards against a heartbeat of an earlier boot, or of the former holder of
	// the address, that speaks for the present host.
	It("tells boots and services apart", func() {
		gate.SetPolicy(false, 0, at(0))
		old := beat(1000, 9, 0)
		beat(2000, 1, 1)
		old.Sequence, old.Draining = 10, true
		Expect(gate.Heartbeat(old, at(2))).To(Equal(agopen.HeartbeatOld))
		Expect(gate.AdmitFlow(at(3))).To(Equal(agopen.RefusalNone))
		foreign := old
		foreign.Service, foreign.Born = "archive", time.UnixMilli(3000)
		Expect(gate.Heartbeat(foreign, at(4))).To(Equal(agopen.HeartbeatForeign))
	})

	// Guards against a search that is answered wrongly by an agent that has
	// restarted beside a running host, and against one that asks every host
	// after a power loss of all (diskglas-net-grown trouble-1).
	It("knows whether it has seen all flows of its host", func() {
		for _, example := range []struct {
			born     time.Duration
			sequence anvilglade.Sequence
			complete bool
		}{{-time.Hour, 1, true}, {-time.Hour, 9, false}, {-300 * time.Millisecond, 3, true}, {-time.Second, 3, false}, {time.Second, 3, false}} {
			gate = agopen.NewGate(agopen.Options{Service: "alerts", Address: address, Started: start, HeartbeatInterval: time.Second})
			Expect(gate.SawAllFlows()).To(BeFalse())
			heartbeat := anvilglade.HostHeartbeat{Host: "h1", Born: at(example.born), Sequence: example.sequence, Service: "alerts", Address: address}
			Expect(gate.Heartbeat(heartbeat, at(100*time.Millisecond))).To(Equal(agopen.HeartbeatNew))
			Expect(gate.SawAllFlows()).To(Equal(example.complete), example.born.String())
			heartbeat.Born, heartbeat.Sequence = at(2*time.Second), 5
			Expect(gate.Heartbeat(heartbeat, at(3*time.Second))).To(Equal(agopen.HeartbeatNew))
			Expect(gate.SawAllFlows()).To(BeTrue(), "a boot that began under this agent")
		}
	})

	// Guards against an evacuated data centre that gets flows from a balancer
	// with old knowledge.
	It("refuses in an evacuated data centre and with old knowledge", func() {
		beat(1, 1, 0)
		gate.SetPolicy(true, 0, at(0))
		Expect(gate.AdmitFlow(at(0))).To(Equal(agopen.RefusalEvacuated))
		gate.SetPolicy(false, 0, at(0))
		beat(1, 2, 3*time.Second)
		Expect(gate.AdmitFlow(at(3100 * time.Millisecond))).To(Equal(agopen.RefusalStale))
	})

	// Guards against a cold host that gets more new flows in some second than
	// its rate and the slack allow.
	It("meters a cold host over any second", func() {
		heartbeat := anvilglade.HostHeartbeat{Host: "h1", Sequence: 1, Service: "alerts", Address: address, ColdLeft: 2 * time.Second}
		Expect(gate.Heartbeat(heartbeat, at(0))).To(Equal(agopen.HeartbeatNew))
		gate.SetPolicy(false, 10, at(0))
		var taken []time.Duration
		for d := time.Duration(0); d < 2*time.Second; d += 7 * time.Millisecond {
			if gate.AdmitFlow(at(d)) == agopen.RefusalNone {
				taken = append(taken, d)
			}
		}
		const bound = 10*1.5 + 5
		for i, from := range taken {
			within := 0
			for _, d := range taken[i:] {
				if d-from <= time.Second {
					within++
				}
			}
			Expect(within).To(BeNumerically("<=", bound))
		}
		Expect(len(taken)).To(BeNumerically(">=", 20))
		Expect(gate.Cold(at(2300 * time.Millisecond))).To(BeFalse())
	})
})
