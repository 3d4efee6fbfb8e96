package agflow_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/flow/agflow"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
)

// fleet simulates the load of a service. Flows differ in load, and every third
// host has 30% less capacity.
type fleet struct {
	capacity, load []float64
	members        []anvilglade.ServiceMember
	random         *rand.Rand
	now            time.Time
	ends           []flowEnd
	ranks          [512][]int
}

type flowEnd struct {
	at   time.Time
	host int
	load float64
}

func newFleet(hosts int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(1, 2)), now: time.UnixMilli(1_800_000_000_000)}
	for i := range hosts {
		capacity := 1.0
		if i%3 == 1 {
			capacity = 0.7
		}
		f.capacity, f.load = append(f.capacity, capacity), append(f.load, 0)
		f.members = append(f.members, anvilglade.ServiceMember{
			Host: anvilglade.HostID(fmt.Sprint("h", i)), Incarnation: 1, State: anvilglade.HostActive, Accepts: true,
			DataCentre: anvilglade.DataCentreID(fmt.Sprint("dc", i%3)), AgentAddress: modelAddress(i + 1), JoinStamp: anvilglade.JoinStamp(i + 1),
		})
	}
	return f
}

func (f *fleet) utilisation(host int) anvilglade.Utilisation {
	return anvilglade.Utilisation(min(1000, 1000*f.load[host]/f.capacity[host]))
}

// arbiterAdmitter is the admitter of the arbiter, host 0.
type arbiterAdmitter struct{ *fleet }

func (arbiterAdmitter) OpenFlow(anvilglade.ServiceID) (anvilglade.Refusal, func()) {
	return anvilglade.RefusalNone, func() {}
}
func (arbiterAdmitter) StartRequest(anvilglade.ServiceID) (anvilglade.Refusal, func(anvilglade.Outcome)) {
	return anvilglade.RefusalNone, func(anvilglade.Outcome) {}
}
func (a arbiterAdmitter) Utilisation() anvilglade.Utilisation { return a.utilisation(0) }

// run opens flows and returns the ratio of the greatest to the mean utilisation,
// averaged over the second half of the time.
func (f *fleet) run(place func(key anvilglade.FlowKey) int, report func()) float64 {
	const flows, perSecond = 12000, 100
	flowLifetime := 30 * time.Second
	// The mean load is 60% of the capacity of the fleet.
	total := 0.0
	for _, capacity := range f.capacity {
		total += capacity
	}
	size := 0.6 * total / (perSecond * flowLifetime.Seconds())
	sum, samples := 0.0, 0
	for i := range flows {
		f.now = f.now.Add(time.Second / perSecond)
		f.endFlows()
		if i%perSecond == 0 {
			report()
			if i > flows/2 {
				sum += f.imbalance()
				samples++
			}
		}
		host := place(anvilglade.FlowKey(f.random.Uint64()))
		// One flow in ten causes half of the load.
		load := size * 5 / 9
		if f.random.IntN(10) == 0 {
			load = size * 5
		}
		f.load[host] += load
		f.ends = append(f.ends, flowEnd{at: f.now.Add(flowLifetime/2 + time.Duration(f.random.Int64N(int64(flowLifetime)))), host: host, load: load})
	}
	return sum / float64(samples)
}

func (f *fleet) endFlows() {
	f.ends = slices.DeleteFunc(f.ends, func(e flowEnd) bool {
		ended := !f.now.Before(e.at)
		if ended {
			f.load[e.host] -= e.load
		}
		return ended
	})
}

func (f *fleet) imbalance() float64 {
	sum, most := 0.0, 0.0
	for i := range f.load {
		utilisation := f.load[i] / f.capacity[i]
		sum += utilisation
		most = max(most, utilisation)
	}
	return most * float64(len(f.load)) / sum
}

// ranked returns the hosts in the order of rendezvous hashing.
func (f *fleet) ranked(key anvilglade.FlowKey) []int {
	bucket := key % 512
	if f.ranks[bucket] != nil {
		return f.ranks[bucket]
	}
	order := make([]int, len(f.members))
	scores := make([]uint64, len(f.members))
	for i := range order {
		order[i] = i
		scores[i] = xxhash.Sum64String(fmt.Sprint(f.members[i].Host, bucket))
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[a], scores[b]) })
	f.ranks[bucket] = order
	return order
}

// arbitrated runs the simulation with placements by the arbiter's Machine.
// Balancers are distributed unevenly: two of four are in the first data centre.
func (f *fleet) arbitrated(t *testing.T) float64 {
	machine := agflow.NewMachine(agflow.Options{
		Self: f.members[0].AgentAddress, Host: "h0", Incarnation: 1, Admitter: arbiterAdmitter{f}, IdleTimeout: time.Second,
		Random: rand.New(rand.NewPCG(3, 4)),
	})
	assignment := anvilglade.HostAssignment{Service: "alerts", DataCentreState: anvilglade.DataCentreIn, Members: f.members, Pool: anvilglade.Pool{Connections: 2000}}
	centres := []anvilglade.DataCentreID{"dc0", "dc0", "dc1", "dc2"}
	for i, centre := range centres {
		assignment.Balancers = append(assignment.Balancers, anvilglade.BalancerRecord{DataCentre: centre, DatagramAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7200)})
	}
	machine.SetAssignment(f.now, &assignment, nil)
	number := assignment.Service.Number()
	reportUtilisation := func(host int, kind agheader.Kind) {
		machine.Handle(f.now, kind, &agheader.Header{Service: number, Sender: f.members[host].AgentAddress, Utilisation: f.utilisation(host)}, nil, nil)
	}
	place := func(key anvilglade.FlowKey) int {
		header := agheader.Header{Service: number, Protocol: anvilglade.ProtocolUDP, Flow: key, Balancer: assignment.Balancers[f.random.IntN(len(centres))].DatagramAddress}
		for _, i := range f.ranked(key) {
			if i != 0 {
				header.Candidates = append(header.Candidates, anvilglade.Candidate{Address: f.members[i].AgentAddress, Accepts: true})
			}
		}
		header.Candidates = append(header.Candidates, anvilglade.Candidate{Address: f.members[0].AgentAddress, Accepts: true})
		header.Step = uint8(len(header.Candidates) - 1)
		action := machine.Handle(f.now, agheader.KindLookup, &header, nil, nil)[0]
		if action.Kind == agflow.ActionDeliver {
			return 0
		}
		host := slices.IndexFunc(f.members, func(m anvilglade.ServiceMember) bool { return m.AgentAddress == action.To })
		if host < 0 {
			t.Fatalf("flow is not placed: %+v", action)
		}
		reportUtilisation(host, agheader.KindPlaced)
		return host
	}
	return f.run(place, func() {
		machine.Tick(f.now, nil)
		for i := 1; i < len(f.members); i++ {
			reportUtilisation(i, agheader.KindUtilisation)
		}
	})
}

// TestImbalance guards against placements that overload some hosts while others
// have free capacity, with flows of different load, unevenly distributed balancers
// and slower servers.
func TestImbalance(t *testing.T) {
	for _, hosts := range []int{3, 7, 16} {
		noReports := func() {}
		arbitrated := newFleet(hosts).arbitrated(t)
		random := newFleet(hosts)
		byChance := random.run(func(anvilglade.FlowKey) int { return random.random.IntN(hosts) }, noReports)
		plain := newFleet(hosts)
		byHash := plain.run(func(key anvilglade.FlowKey) int { return plain.ranked(key)[0] }, noReports)
		t.Logf("%d hosts, greatest to mean utilisation: arbitrated %.3f, random %.3f, rendezvous %.3f", hosts, arbitrated, byChance, byHash)
		// The target is at most 1.15, and less than both others in the same run.
		if arbitrated > 1.15 || arbitrated >= byChance || arbitrated >= byHash {
			t.Errorf("%d hosts: %.3f is above the target", hosts, arbitrated)
		}
	}
}

// TestBaseline guards against a baseline mode that drops every packet, which would
// invalidate measurements against it.
func TestBaseline(t *testing.T) {
	_, candidates := benchMachine(2)
	machine := agflow.NewMachine(agflow.Options{Self: candidates[0].Address, Ownership: agflow.OwnershipBaseline, Admitter: &benchHost{}})
	machine.SetAssignment(time.Unix(1, 0), &anvilglade.HostAssignment{Service: "alerts", DataCentreState: anvilglade.DataCentreIn}, nil)
	header := benchHeader(1, candidates)
	header.Direct = true
	if actions := machine.Handle(time.Unix(1, 0), agheader.KindLookup, &header, nil, nil); actions[0].Kind != agflow.ActionDeliver {
		t.Fatalf("packet is not delivered: %+v", actions[0])
	}
}

// TestSpill guards against requests that stay on a host far above the mean, and
// against hosts near the mean that forward requests back and forth.
func TestSpill(t *testing.T) {
	f := newFleet(3)
	machine := agflow.NewMachine(agflow.Options{Self: f.members[0].AgentAddress, Incarnation: 1, Admitter: arbiterAdmitter{f}})
	if _, ok := machine.Spill(); ok {
		t.Fatal("a host without an assignment forwards requests to others")
	}
	machine.SetAssignment(f.now, &anvilglade.HostAssignment{Service: "alerts", DataCentreState: anvilglade.DataCentreIn, Members: f.members, Pool: anvilglade.Pool{Connections: 2000}}, nil)
	report := func(loads ...float64) {
		copy(f.load, loads)
		f.now = f.now.Add(time.Second)
		machine.Tick(f.now, nil)
		for i := 1; i < len(loads); i++ {
			machine.Handle(f.now, agheader.KindUtilisation, &agheader.Header{Sender: f.members[i].AgentAddress, Utilisation: f.utilisation(i)}, nil, nil)
		}
	}
	report(0.50, 0.35, 0.48)
	if member, ok := machine.Spill(); ok {
		t.Fatalf("a host near the mean forwards a request to %s", member.Host)
	}
	report(0.9, 0.63, 0.2)
	if member, ok := machine.Spill(); !ok || member.Host != "h2" {
		t.Fatalf("a host above the mean forwards its request to %q, want h2", member.Host)
	}
}
