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

	// Guards against a restarted agent that forwards flows to a host which
	// announced its end before the restart.
	It("refuses flows until it has the state of its host and of its data centre", func() {
		Expect(gate.AdmitFlow(at(0))).To(Equal(agopen.RefusalNoHeartbeat))
		beat(1, 1, 0)
		Expect(gate.AdmitFlow(at(0))).To(Equal(agopen.RefusalStale))
		gate.SetPolicy(false, 0, at(0))
		Expect(gate.AdmitFlow(at(0))).To(Equal(agopen.RefusalNone))
		Expect(gate.AdmitFlow(at(3100 * time.Millisecond))).To(Equal(agopen.RefusalNoHeartbeat))
	})

	// Guards against flows that accumulate on a host which appeared idle to all
	// balancers, while other hosts have free slots.
	It("is busy while new requests would wait for a slot", func() {
		Expect(gate.Busy(100)).To(BeFalse())
		heartbeat := beat(1, 1, 0)
		heartbeat.Sequence, heartbeat.Slots = 2, 4
		Expect(gate.Heartbeat(heartbeat, at(1))).To(Equal(agopen.HeartbeatNew))
		Expect(gate.Busy(7)).To(BeFalse())
		Expect(gate.Busy(8)).To(BeTrue())
	})

	// Guards against a crashed host that returns each opening packet at once: it had no
	// load, attracted all new flows of its service until three heartbeats were missing,
	// and all of them were reset.
	It("takes no flows for a growing time after its host has returned some", func() {
		beat(1, 1, 0)
		gate.SetPolicy(false, 0, at(0))
		now := time.Duration(0)
		for _, holdOff := range []time.Duration{250, 500, 1000, 2000, 4000, 4000} {
			Expect(gate.AdmitFlow(at(now))).To(Equal(agopen.RefusalNone))
			gate.FlowReturned(at(now))
			gate.FlowReturned(at(now + time.Millisecond))
			gate.FlowAccepted(at(now + time.Millisecond))
			end := now + holdOff*time.Millisecond
			gate.SetPolicy(false, 0, at(end))
			beat(1, anvilglade.Sequence(2+end/time.Millisecond), end-time.Millisecond)
			Expect(gate.AdmissionState(at(end - 1))).To(Equal(agopen.RefusalReturned))
			Expect(gate.AdmissionState(at(end))).To(Equal(agopen.RefusalNone))
			now = end
		}
	})

	// Guards against a flood of flows to a host that has returned some, before it has
	// accepted one again, and against a hold-off that outlives a restart of the host.
	It("takes one flow at a time until its host has accepted one", func() {
		beat(1, 1, 0)
		gate.SetPolicy(false, 0, at(0))
		gate.FlowReturned(at(0))
		Expect(gate.AdmitFlow(at(250 * time.Millisecond))).To(Equal(agopen.RefusalNone))
		Expect(gate.AdmitFlow(at(251 * time.Millisecond))).To(Equal(agopen.RefusalReturned))
		Expect(gate.AdmitFlow(at(450 * time.Millisecond))).To(Equal(agopen.RefusalNone))
		gate.FlowAccepted(at(451 * time.Millisecond))
		Expect(gate.AdmitFlow(at(452 * time.Millisecond))).To(Equal(agopen.RefusalNone))
		Expect(gate.AdmitFlow(at(452 * time.Millisecond))).To(Equal(agopen.RefusalNone))
		gate.FlowReturned(at(453 * time.Millisecond))
		beat(2, 1, 454*time.Millisecond)
		Expect(gate.AdmitFlow(at(454 * time.Millisecond))).To(Equal(agopen.RefusalNone))
	})

	// Guards against searches that wait for an agent without a host. In the case
	// diskglas-net-grown trouble-2 all callers whose flows were lost in an outage
	// waited up to 7 s for a reset.
	It("infers from a refused connection that its host holds no flow", func() {
		Expect(gate.HasAllFlows()).To(BeFalse())
		Expect(gate.Ended()).To(BeFalse())
		gate.MarkHostDown()
		Expect(gate.Ended()).To(BeTrue())
		beat(1, 9, 0)
		Expect(gate.Ended()).To(BeFalse())
		Expect(gate.HasAllFlows()).To(BeTrue())
	})

	// Guards against flows for a host that is draining, also if an earlier heartbeat
	// arrives late.
	It("refuses flows once it has acknowledged draining", func() {
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

	// Guards against a heartbeat of an earlier boot, or of the previous host of the
	// address, that changes the state of the current host.
	It("distinguishes boots and services", func() {
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

	// Guards against a wrong answer to a search by an agent that has restarted
	// beside a running host, and against searches that have to probe every host after
	// a power loss of all of them, as in the case diskglas-net-grown trouble-1.
	It("reports whether all flows of its host have passed through it", func() {
		for _, example := range []struct {
			born     time.Duration
			sequence anvilglade.Sequence
			complete bool
		}{{-time.Hour, 1, true}, {-time.Hour, 9, false}, {-300 * time.Millisecond, 3, true}, {-time.Second, 3, false}, {time.Second, 3, false}} {
			gate = agopen.NewGate(agopen.Options{Service: "alerts", Address: address, Started: start, HeartbeatInterval: time.Second})
			Expect(gate.HasAllFlows()).To(BeFalse())
			heartbeat := anvilglade.HostHeartbeat{Host: "h1", Born: at(example.born), Sequence: example.sequence, Service: "alerts", Address: address}
			Expect(gate.Heartbeat(heartbeat, at(100*time.Millisecond))).To(Equal(agopen.HeartbeatNew))
			Expect(gate.HasAllFlows()).To(Equal(example.complete), example.born.String())
			heartbeat.Born, heartbeat.Sequence = at(2*time.Second), 5
			Expect(gate.Heartbeat(heartbeat, at(3*time.Second))).To(Equal(agopen.HeartbeatNew))
			Expect(gate.HasAllFlows()).To(BeTrue(), "a boot that started while this agent was running")
		}
	})

	// Guards against an evacuated data centre that receives flows from a balancer
	// with outdated state.
	It("refuses flows in an evacuated data centre and with outdated state", func() {
		beat(1, 1, 0)
		gate.SetPolicy(true, 0, at(0))
		Expect(gate.AdmitFlow(at(0))).To(Equal(agopen.RefusalEvacuated))
		gate.SetPolicy(false, 0, at(0))
		beat(1, 2, 3*time.Second)
		Expect(gate.AdmitFlow(at(3100 * time.Millisecond))).To(Equal(agopen.RefusalStale))
	})

	// Guards against a cold host that receives more new flows in any second than
	// its rate and the slack allow.
	It("limits the flows of a cold host in any second", func() {
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
