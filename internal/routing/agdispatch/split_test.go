package agdispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/routing/agdispatch"
	"github.com/anvilglade/anvilglade/internal/state/agfleet"
)

// splitFleet is a dispatcher with a route to two services of one host each.
type splitFleet struct {
	*agdispatch.Dispatcher
	fleet    *agfleet.Fleet
	sequence anvilglade.Sequence
}

func newSplitFleet(class anvilglade.RequestClass, started time.Time) *splitFleet {
	fleet := agfleet.NewFleet(agfleet.Options{Self: ipOf("b1"), DataCentre: "dk1"})
	fleet.AdoptDesired(anvilglade.DesiredState{Version: 1, Routes: []anvilglade.PacketRoute{{
		Name: "live", Address: serviceOf("s1"), Class: class,
		Backends: []anvilglade.WeightedService{{Service: "alerts", Weight: 90}, {Service: "archive", Weight: 10}},
	}}})
	return &splitFleet{Dispatcher: agdispatch.NewDispatcher(fleet, rand.New(rand.NewPCG(1, 1)), started), fleet: fleet}
}

// report sends the status of the host of each service.
func (f *splitFleet) report(alertsAccepts bool, now time.Time) {
	f.sequence++
	for agent, service := range map[string]anvilglade.ServiceID{"a1": "alerts", "a2": "archive"} {
		f.fleet.UpdateAgent(anvilglade.AgentStatus{
			Agent: ipOf(agent), Incarnation: 1, Sequence: f.sequence, Service: service, DataCentre: "dk1", Slots: 2,
			Accepts: alertsAccepts || service == "archive", ServiceTime: 10 * time.Millisecond,
		}, now)
	}
}

// open sends an opening packet and returns its verdict.
func (f *splitFleet) open(port uint16, now time.Time) agdispatch.Verdict {
	packet := packetOf([]string{"c1", "s1"}, anvilglade.FlagSYN)
	packet.Source.Port = port
	var verdict agdispatch.Verdict
	f.FromCaller(packet, now, &verdict)
	return verdict
}

// Guards against flows that are reset although the route has a service with a host,
// against a retransmission that is sent to another service than the first packet, and
// against a step that does not end.
func TestRouteUsesServiceWithHosts(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	f := newSplitFleet(anvilglade.RequestClass{}, now.Add(-time.Minute))
	f.report(false, now)
	for port := range uint16(100) {
		if verdict := f.open(port, now); verdict.Reason != agdispatch.ReasonPlaced || verdict.Split.Service != "archive" {
			t.Fatalf("port %d: %+v", port, verdict)
		}
	}
	if shifted := f.ShiftedFlows(); shifted < 80 || shifted > 99 {
		t.Errorf("%d of 100 flows were shifted", shifted)
	}
	now = now.Add(time.Second)
	f.report(true, now)
	f.RefreshSplits(now)
	if shifts := f.Shifts(); len(shifts) != 0 {
		t.Errorf("steps remain: %v", shifts)
	}
	for port := range uint16(100) {
		if verdict := f.open(port, now); verdict.Split.Service != "archive" {
			t.Fatalf("retransmission of port %d: %+v", port, verdict)
		}
	}
}

// Guards against a balancer that has just started and takes services whose statuses are
// missing yet for services without hosts, or begins at step 0 during an overload.
func TestStepsAfterStart(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	f := newSplitFleet(anvilglade.RequestClass{Target: 200 * time.Millisecond}, now)
	f.open(1, now)
	if shifts := f.Shifts(); len(shifts) != 0 {
		t.Errorf("steps without any status: %v", shifts)
	}
	shifts := []anvilglade.RouteShift{{Route: "live", Service: "alerts", Step: 7}}
	f.ObserveShifts(&anvilglade.BalancerStatus{Balancer: ipOf("b2"), DataCentre: "dk1", Shifts: shifts}, now)
	f.RefreshSplits(now.Add(200 * time.Millisecond))
	if got := f.Shifts(); len(got) != 1 || got[0] != shifts[0] {
		t.Errorf("steps are %v, reported were %v", got, shifts)
	}
}

// BenchmarkOpenSplit measures the placement of a new flow on a split route.
func BenchmarkOpenSplit(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	f := newSplitFleet(anvilglade.RequestClass{Target: 200 * time.Millisecond}, now.Add(-time.Minute))
	f.report(true, now)
	packet := packetOf([]string{"c1", "s1"}, anvilglade.FlagSYN)
	var verdict agdispatch.Verdict
	b.ReportAllocs()
	for b.Loop() {
		packet.Source.Port++
		f.FromCaller(packet, now, &verdict)
	}
}
