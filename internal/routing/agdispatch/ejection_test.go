package agdispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/routing/agdispatch"
	"github.com/anvilglade/anvilglade/internal/state/agfleet"
)

// newFlapping returns a dispatcher with four hosts of a route with a class, and a function
// that sends the status of a host.
func newFlapping(now time.Time) (*agdispatch.Dispatcher, *agfleet.Fleet, func(n int, accepts bool, now time.Time)) {
	fleet := agfleet.NewFleet(agfleet.Options{Self: ipOf("b1"), DataCentre: "dk1"})
	fleet.AdoptDesired(anvilglade.DesiredState{Version: 1, Routes: []anvilglade.PacketRoute{{
		Address: serviceOf("s1"), Backends: []anvilglade.WeightedService{{Service: "alerts", Weight: 1}}, Class: anvilglade.RequestClass{Target: 200 * time.Millisecond},
	}}})
	sequence := anvilglade.Sequence(0)
	report := func(n int, accepts bool, now time.Time) {
		sequence++
		fleet.UpdateAgent(anvilglade.AgentStatus{
			Agent: anvilglade.IPv4{10, 0, 0, byte(n)}, Incarnation: 1, Sequence: sequence, Service: "alerts", DataCentre: "dk1", Slots: 2,
			Accepts: accepts, ServiceTime: 15 * time.Millisecond,
		}, now)
	}
	for n := range 4 {
		report(n, true, now)
	}
	return agdispatch.NewDispatcher(fleet, rand.New(rand.NewPCG(1, 1)), now), fleet, report
}

// hostsOf returns the hosts on which 200 new flows are placed.
func hostsOf(dispatcher *agdispatch.Dispatcher, port *uint16, now time.Time) map[byte]int {
	placed := make(map[byte]int)
	packet := packetOf([]string{"c1", "s1"}, anvilglade.FlagSYN)
	var verdict agdispatch.Verdict
	for range 200 {
		*port++
		packet.Source.Port = *port
		dispatcher.FromCaller(packet, now, &verdict)
		placed[verdict.To[0][3]]++
	}
	return placed
}

// Guards against a flapping host that gets flows again after each status that accepts.
func TestFlappingHostIsReadmittedLaterAndLater(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	dispatcher, fleet, report := newFlapping(now)
	former, port := time.Duration(0), uint16(0)
	for stop := range 4 {
		report(0, false, now)
		stopped := now
		for now = now.Add(10 * time.Millisecond); ; now = now.Add(50 * time.Millisecond) {
			for n := range 4 {
				report(n, true, now)
			}
			if hostsOf(dispatcher, &port, now)[0] > 0 {
				break
			}
		}
		if length := now.Sub(stopped); length < former*3/2 {
			t.Errorf("stop %d: readmitted after %s, the time before was %s", stop, length, former)
		} else {
			former = length
		}
	}
	if ejected := fleet.TakeEjected(); len(ejected) != 4 || ejected[0].Ejection().Stops != 4 {
		t.Errorf("%d ejections", len(ejected))
	}
}

// Guards against a reset for lack of hosts because the balancer has ejected all of them.
func TestAllHostsEjected(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	dispatcher, _, report := newFlapping(now)
	port := uint16(0)
	hostsOf(dispatcher, &port, now)
	for n := range 4 {
		report(n, false, now)
		report(n, true, now)
	}
	if placed := hostsOf(dispatcher, &port, now.Add(time.Millisecond)); len(placed) != 4 {
		t.Errorf("flows are placed on %v", placed)
	}
}

// Guards against load that is concentrated on the last hosts when most have failed.
func TestLoadIsSpreadWhenMostHostsFail(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	dispatcher, _, report := newFlapping(now)
	for n := range 3 {
		report(n, false, now)
		report(n, true, now)
	}
	port := uint16(0)
	placed := hostsOf(dispatcher, &port, now.Add(100*time.Millisecond))
	for n := range byte(4) {
		if placed[n] < 20 {
			t.Errorf("host %d has %d of 200 flows", n, placed[n])
		}
	}
}
