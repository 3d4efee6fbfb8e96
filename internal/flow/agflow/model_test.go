package agflow_test

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/flow/agflow"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
)

const (
	modelFlows     = 6
	modelBalancers = 3
	modelHosts     = 9
	// modelMaxViewAge is the maximum age of a balancer's view and of an agent's
	// assignment: 10 s, as required.
	modelMaxViewAge = 10 * time.Second
)

// TestMain sets the seed and the size of the model test, so that every run checks
// the same cases. Command line flags override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "4000", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var modelServices = []anvilglade.ServiceID{"alerts", "archive"}

// modelHost is an agent in the model. snapshotIndex is the index in model.history of
// the snapshot from which its assignment was made.
type modelHost struct {
	machine       *agflow.Machine
	stamp         anvilglade.JoinStamp
	drained       bool
	full          bool
	flows         int
	snapshotIndex int
}

func (h *modelHost) OpenFlow(anvilglade.ServiceID) (anvilglade.Refusal, func()) {
	if h.full {
		return anvilglade.RefusalConnections, nil
	}
	h.flows++
	return anvilglade.RefusalNone, func() { h.flows-- }
}

func (*modelHost) StartRequest(anvilglade.ServiceID) (anvilglade.Refusal, func(anvilglade.Outcome)) {
	return anvilglade.RefusalNone, func(anvilglade.Outcome) {}
}

func (h *modelHost) Utilisation() anvilglade.Utilisation { return anvilglade.Utilisation(h.flows) }

// record is the replicated record of a host: the service of its pool, the service
// that the host itself announces, and the former services whose flows it may
// still hold.
type record struct {
	anvilglade.ServiceMember
	pool, service anvilglade.ServiceID
	former        []anvilglade.ServiceID
	draining      bool
}

// testFailer is implemented by testing.T and rapid.T.
type testFailer interface {
	Fatalf(format string, arguments ...any)
	Logf(format string, arguments ...any)
}

type snapshot struct {
	at    time.Time
	hosts []record
}

type datagram struct {
	to      netip.AddrPort
	kind    agheader.Kind
	header  agheader.Header
	service anvilglade.ServiceNumber
}

// model contains agents, balancers with views of different ages, and the datagrams
// in flight.
type model struct {
	now     time.Time
	history []snapshot
	hosts   map[netip.AddrPort]*modelHost
	// views has the index in history of each balancer's view.
	views    [modelBalancers]int
	inFlight []datagram
	// owners has the host of each flow, by its key XOR the service number, because
	// flows of two services may have the same key.
	owners map[anvilglade.FlowKey]netip.AddrPort
	joined int
}

func newModel() *model {
	m := &model{
		now: time.UnixMilli(1_800_000_000_000), hosts: make(map[netip.AddrPort]*modelHost),
		owners: make(map[anvilglade.FlowKey]netip.AddrPort), history: make([]snapshot, 1),
	}
	for range 4 {
		m.join()
	}
	for i := range m.views {
		m.views[i] = len(m.history) - 1
	}
	return m
}

func modelAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7300)
}

func (m *model) latest() *snapshot { return &m.history[len(m.history)-1] }

// change adds a snapshot with one changed record. It returns true, so that it can be
// the result of a step.
func (m *model) change(address netip.AddrPort, edit func(*record)) bool {
	next := snapshot{at: m.now, hosts: slices.Clone(m.latest().hosts)}
	for i := range next.hosts {
		if next.hosts[i].AgentAddress == address {
			edit(&next.hosts[i])
		}
	}
	m.history = append(m.history, next)
	return true
}

func (m *model) join() bool {
	if m.joined == modelHosts {
		return false
	}
	m.joined++
	return m.start(modelAddress(m.joined))
}

// start adds a host, or restarts one under a new incarnation. It returns true, so
// that it can be the result of a step.
func (m *model) start(address netip.AddrPort) bool {
	m.now = m.now.Add(time.Millisecond)
	host := &modelHost{}
	incarnation := anvilglade.Incarnation(m.now.UnixNano())
	host.stamp = anvilglade.JoinStamp(m.now.UnixMilli() << 16)
	host.machine = agflow.NewMachine(agflow.Options{
		Stamp: func() anvilglade.JoinStamp { return host.stamp },
		Self:  address, Host: anvilglade.HostID(address.String()), Incarnation: incarnation, Admitter: host,
		Random: rand.New(rand.NewPCG(1, uint64(m.now.UnixNano()))),
	})
	next := snapshot{at: m.now, hosts: slices.DeleteFunc(slices.Clone(m.latest().hosts), func(r record) bool { return r.AgentAddress == address })}
	// Hosts 6 and 7 have the second service, all others the first.
	service := modelServices[address.Addr().As4()[3]%8/6]
	next.hosts = append(next.hosts, record{pool: service, service: service, ServiceMember: anvilglade.ServiceMember{
		Host: anvilglade.HostID(address.String()), Incarnation: incarnation, State: anvilglade.HostActive,
		AgentAddress: address, JoinStamp: host.stamp,
	}})
	m.history = append(m.history, next)
	m.hosts[address] = host
	m.refreshHost(address)
	return true
}

// refreshHost sets the newest assignment of an agent. A host that is assigned to a
// new pool announces the new service in its record and joins it with the newest join
// stamp. A host that accepts new flows again also gets the newest join stamp.
func (m *model) refreshHost(address netip.AddrPort) {
	host := m.hosts[address]
	assignment := anvilglade.HostAssignment{Revision: anvilglade.Revision(len(m.history)), DataCentreState: anvilglade.DataCentreIn}
	var own record
	for _, r := range m.latest().hosts {
		if r.AgentAddress == address {
			own = r
		}
	}
	assignment.Service, assignment.Draining = own.pool, own.draining
	for _, r := range m.latest().hosts {
		if r.isMember() && (r.service == assignment.Service || slices.Contains(r.former, assignment.Service)) {
			r.Accepts, r.Former = r.accepts() && r.service == assignment.Service, r.service != assignment.Service
			assignment.Members = append(assignment.Members, r.ServiceMember)
		}
	}
	host.machine.SetAssignment(m.now, &assignment, nil)
	accepts := host.drained && !own.draining
	host.drained = own.draining
	if own.pool != own.service || accepts {
		m.renewStamp(address)
		m.change(address, func(r *record) {
			if r.pool != r.service {
				r.former = append(slices.Clone(r.former), r.service)
				r.service = r.pool
			}
		})
		m.refreshHost(address)
	}
	host.snapshotIndex = len(m.history) - 1
}

// renewStamp gives a host the newest join stamp, as agents do when they accept new
// flows again or are claimed to be Dead while they run.
func (m *model) renewStamp(address netip.AddrPort) bool {
	m.now = m.now.Add(time.Millisecond)
	m.hosts[address].stamp = anvilglade.JoinStamp(m.now.UnixMilli() << 16)
	return m.change(address, func(r *record) { r.JoinStamp = m.hosts[address].stamp })
}

// placeInFlight reports whether a Place sent by a host is in flight. Until it has
// arrived, the host does not leave and its stamp and assignment do not change: a
// Place arrives sooner than the update that its sender has left.
func (m *model) placeInFlight(address netip.AddrPort) bool {
	return slices.ContainsFunc(m.inFlight, func(d datagram) bool { return d.kind == agheader.KindPlace && d.header.Sender == address })
}

func (r *record) accepts() bool {
	return r.State == anvilglade.HostActive && !r.draining && r.pool == r.service
}

func (r *record) isMember() bool {
	return r.State == anvilglade.HostActive || r.State == anvilglade.HostDraining
}

// candidates returns the candidate list of a balancer whose view is the snapshot with
// the given index, as section 7.2 of the design defines it for services of up to 16
// hosts.
func (m *model) candidates(snapshotIndex int, service anvilglade.ServiceID, key anvilglade.FlowKey) []anvilglade.Candidate {
	var hosts []record
	for _, r := range m.history[snapshotIndex].hosts {
		if r.isMember() && (r.service == service || slices.Contains(r.former, service)) {
			hosts = append(hosts, r)
		}
	}
	score := func(r record) uint64 { return xxhash.Sum64String(fmt.Sprint(r.Host, key)) }
	slices.SortFunc(hosts, func(a, b record) int { return cmp.Compare(score(a), score(b)) })
	arbiter := -1
	for i, r := range hosts {
		if r.service == service && (arbiter < 0 || r.JoinStamp < hosts[arbiter].JoinStamp) {
			arbiter = i
		}
	}
	if arbiter < 0 {
		return nil
	}
	hosts = append(slices.Delete(slices.Clone(hosts), arbiter, arbiter+1), hosts[arbiter])
	list := make([]anvilglade.Candidate, 0, len(hosts))
	for _, r := range hosts {
		list = append(list, anvilglade.Candidate{Address: r.AgentAddress, Accepts: r.accepts() && r.service == service})
	}
	return list
}

// flowOf returns a flow's service and key. Flows 0 and 1 belong to two services and
// have the same key, which can happen by chance.
func flowOf(flow int) (anvilglade.ServiceID, anvilglade.FlowKey) {
	return modelServices[flow%2], anvilglade.FlowKey(max(1, flow))
}

func (m *model) send(flow, balancer int) bool {
	service, key := flowOf(flow)
	list := m.candidates(m.views[balancer], service, key)
	if len(list) == 0 {
		return false
	}
	m.inFlight = append(m.inFlight, datagram{to: list[0].Address, kind: agheader.KindLookup, service: service.Number(), header: agheader.Header{
		Service: service.Number(), Protocol: anvilglade.ProtocolUDP, Flow: key, Candidates: list,
		Balancer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(balancer)}), 7200),
	}})
	return true
}

// receive passes a datagram to its agent and checks the resulting deliveries.
func (m *model) receive(t testFailer, item datagram) {
	host := m.hosts[item.to]
	if host == nil {
		return
	}
	item.header.Candidates = slices.Clone(item.header.Candidates)
	t.Logf("%v receives %v of flow %d from %v, step %d, hops %d, %v", item.to, item.kind, item.header.Flow, item.header.Sender, item.header.Step, item.header.Hops, item.header.Candidates)
	for _, action := range host.machine.Handle(m.now, item.kind, &item.header, nil, nil) {
		switch action.Kind {
		case agflow.ActionSend:
			action.Header.Candidates = slices.Clone(action.Header.Candidates)
			m.inFlight = append(m.inFlight, datagram{to: action.To, kind: action.Message, header: action.Header, service: item.service})
		case agflow.ActionDeliver:
			m.checkDelivery(t, item, action.Flow)
		case agflow.ActionDrop:
			if action.Drop == anvilglade.DropHops {
				t.Fatalf("packet of flow %d was forwarded in a loop", item.header.Flow)
			}
		}
	}
}

func (m *model) checkDelivery(t testFailer, item datagram, flow *agflow.Flow) {
	if flow.Service != item.service {
		t.Fatalf("packet of service %x reached a flow of service %x", item.service, flow.Service)
	}
	owner, exists := m.owners[flow.Key^anvilglade.FlowKey(flow.Service)]
	if exists && owner != item.to {
		t.Fatalf("flow %d moved from %v to %v", flow.Key, owner, item.to)
	}
	m.owners[flow.Key^anvilglade.FlowKey(flow.Service)] = item.to
}

// check fails the test if a flow has more than one owner.
func (m *model) check(t testFailer) {
	for key := range anvilglade.FlowKey(modelFlows) {
		for _, service := range modelServices {
			var owners []netip.AddrPort
			for address, host := range m.hosts {
				if found, ok := host.machine.Flow(key); ok && found.Service == service.Number() {
					owners = append(owners, address)
				}
			}
			if len(owners) > 1 {
				t.Fatalf("flow %d of %s is owned by %v", key, service, owners)
			}
		}
	}
}

func (m *model) remove(address netip.AddrPort) bool {
	maps.DeleteFunc(m.owners, func(_ anvilglade.FlowKey, owner netip.AddrPort) bool { return owner == address })
	delete(m.hosts, address)
	return true
}

// running returns the addresses of the running agents in ascending order.
func (m *model) running() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(m.hosts), func(a, b netip.AddrPort) int { return a.Compare(b) })
}

func (m *model) advance(d time.Duration) bool {
	m.now = m.now.Add(d)
	for _, address := range m.running() {
		m.hosts[address].machine.Tick(m.now, nil)
		if snapshotIndex := m.hosts[address].snapshotIndex; snapshotIndex+1 < len(m.history) && m.now.Sub(m.history[snapshotIndex+1].at) > modelMaxViewAge && !m.placeInFlight(address) {
			m.refreshHost(address)
		}
	}
	for i, snapshotIndex := range m.views {
		if snapshotIndex+1 < len(m.history) && m.now.Sub(m.history[snapshotIndex+1].at) > modelMaxViewAge {
			m.views[i] = len(m.history) - 1
		}
	}
	return true
}

// leave makes a host without flows leave. The step Exit terminates it later.
func (m *model) leave(address netip.AddrPort) bool {
	if m.hosts[address].flows > 0 || m.placeInFlight(address) {
		return false
	}
	m.hosts[address].machine.Leave()
	return m.change(address, func(r *record) { r.State, r.draining = anvilglade.HostLeft, true })
}

// step is one event in the model. Its numbers a and b depend on the event, such as
// flow and balancer for Send or the index of a datagram for Deliver. It returns false
// if it is not possible in the present state.
type step func(m *model, t testFailer, host netip.AddrPort, a, b int) bool

var steps = map[string]step{
	"Send": func(m *model, _ testFailer, _ netip.AddrPort, a, b int) bool { return m.send(a, b) },
	"Deliver": func(m *model, t testFailer, _ netip.AddrPort, a, _ int) bool {
		return m.take(a, func(d datagram) { m.receive(t, d) })
	},
	"Lose": func(m *model, _ testFailer, _ netip.AddrPort, a, _ int) bool { return m.take(a, func(datagram) {}) },
	"Duplicate": func(m *model, _ testFailer, _ netip.AddrPort, a, _ int) bool {
		return m.take(a, func(d datagram) { m.inFlight = slices.Insert(m.inFlight, a, d, d) })
	},
	"DeliverAll": func(m *model, t testFailer, _ netip.AddrPort, _, _ int) bool {
		for m.take(0, func(d datagram) { m.receive(t, d) }) {
			continue
		}
		return true
	},
	"RefreshBalancer": func(m *model, _ testFailer, _ netip.AddrPort, a, _ int) bool {
		m.views[a] = len(m.history) - 1
		return true
	},
	"RefreshHost": func(m *model, _ testFailer, host netip.AddrPort, _, _ int) bool {
		if m.placeInFlight(host) {
			return false
		}
		m.refreshHost(host)
		return true
	},
	"Join": func(m *model, _ testFailer, _ netip.AddrPort, _, _ int) bool { return m.join() },
	"Drain": func(m *model, _ testFailer, host netip.AddrPort, _, _ int) bool {
		return m.change(host, func(r *record) { r.draining = !r.draining })
	},
	"Refute": func(m *model, _ testFailer, host netip.AddrPort, _, _ int) bool {
		return !m.placeInFlight(host) && m.renewStamp(host)
	},
	"Fill": func(m *model, _ testFailer, host netip.AddrPort, _, _ int) bool {
		m.hosts[host].full = !m.hosts[host].full
		return true
	},
	"Leave": func(m *model, _ testFailer, host netip.AddrPort, _, _ int) bool { return m.leave(host) },
	"Exit":  func(m *model, _ testFailer, host netip.AddrPort, _, _ int) bool { return m.exit(host) },
	"Die": func(m *model, _ testFailer, host netip.AddrPort, _, _ int) bool {
		return len(m.inFlight) == 0 && len(m.hosts) > 2 && m.remove(host) &&
			m.change(host, func(r *record) { r.State = anvilglade.HostDead })
	},
	"Restart": func(m *model, _ testFailer, host netip.AddrPort, _, _ int) bool {
		return len(m.inFlight) == 0 && m.remove(host) && m.start(host)
	},
	"Move": func(m *model, _ testFailer, host netip.AddrPort, a, _ int) bool {
		return m.change(host, func(r *record) { r.pool = modelServices[a] })
	},
	"Pass": func(m *model, _ testFailer, _ netip.AddrPort, a, _ int) bool {
		return m.advance(time.Duration(a) * time.Millisecond)
	},
}

// take removes datagram i from those in flight and calls handle with it. It returns
// false if there is no datagram i.
func (m *model) take(i int, handle func(datagram)) bool {
	if i >= len(m.inFlight) {
		return false
	}
	item := m.inFlight[i]
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
	handle(item)
	return true
}

func (m *model) step(t testFailer, name string, host netip.AddrPort, a, b int) bool {
	if host.IsValid() && m.hosts[host] == nil {
		return false
	}
	return steps[name](m, t, host, a, b)
}

// exit terminates a host that has left, if no datagram to it is in flight.
func (m *model) exit(address netip.AddrPort) bool {
	isForHost := func(d datagram) bool { return d.to == address }
	hasLeft := func(r record) bool { return r.AgentAddress == address && r.State == anvilglade.HostLeft }
	if !slices.ContainsFunc(m.latest().hosts, hasLeft) || slices.ContainsFunc(m.inFlight, isForHost) {
		return false
	}
	return m.remove(address)
}

// actions returns the steps for rapid, with arguments drawn at random.
func (m *model) actions() map[string]func(*rapid.T) {
	number := func(low, high int) func(*rapid.T) int {
		return func(t *rapid.T) int { return rapid.IntRange(low, max(low, high)).Draw(t, "number") }
	}
	zero := func(*rapid.T) int { return 0 }
	datagrams := func(t *rapid.T) int { return number(0, len(m.inFlight)-1)(t) }
	drawStep := func(name string, withHost bool, a, b func(*rapid.T) int) func(*rapid.T) {
		return func(t *rapid.T) {
			var host netip.AddrPort
			if withHost && len(m.hosts) > 0 {
				host = rapid.SampledFrom(m.running()).Draw(t, "host")
			}
			first, second := a(t), b(t)
			t.Logf("%s %d %d %d", name, host.Addr().AsSlice(), first, second)
			if withHost && !host.IsValid() || !m.step(t, name, host, first, second) {
				t.Skip("step is not possible in this state")
			}
		}
	}
	send := drawStep("Send", false, number(0, modelFlows-1), number(0, modelBalancers-1))
	deliver := drawStep("Deliver", false, datagrams, zero)
	// Rapid chooses actions uniformly; further entries of a step make it more likely.
	return map[string]func(*rapid.T){
		"Send": send, "SendMore": send, "Deliver": deliver, "DeliverMore": deliver, "DeliverMost": deliver,
		"DeliverAll":      drawStep("DeliverAll", false, zero, zero),
		"Duplicate":       drawStep("Duplicate", false, datagrams, zero),
		"Lose":            drawStep("Lose", false, datagrams, zero),
		"RefreshBalancer": drawStep("RefreshBalancer", false, number(0, modelBalancers-1), zero),
		"RefreshHost":     drawStep("RefreshHost", true, zero, zero),
		"Join":            drawStep("Join", false, zero, zero),
		"Drain":           drawStep("Drain", true, zero, zero),
		"Refute":          drawStep("Refute", true, zero, zero),
		"Fill":            drawStep("Fill", true, zero, zero),
		"Leave":           drawStep("Leave", true, zero, zero),
		"Exit":            drawStep("Exit", true, zero, zero),
		"Die":             drawStep("Die", true, zero, zero),
		"Restart":         drawStep("Restart", true, zero, zero),
		"Move":            drawStep("Move", true, number(0, 1), zero),
		"Pass":            drawStep("Pass", false, number(1, 3000), zero),
		"":                func(t *rapid.T) { m.check(t) },
	}
}

// TestOwnership guards against a flow with two owners, a flow that moves to
// another host and a packet that reaches another service. The model includes
// duplicates, reordering, packet loss, outdated views, joins, drains, leaves, lost
// hosts, restarts and hosts that change their pool.
func TestOwnership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(m.actions())
	})
}

// TestScripts runs the regression cases in testdata/ownership. A line consists of a
// step with its host and numbers. A line Owner consists of a flow and the host that
// must own it, h0 for no owner.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/ownership/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			m := newModel()
			for line := range strings.Lines(string(text)) {
				if fields := strings.Fields(line); len(fields) > 0 && fields[0] != "#" {
					m.runLine(t, fields)
					m.check(t)
				}
			}
		})
	}
}

func (m *model) runLine(t *testing.T, fields []string) {
	var host netip.AddrPort
	var numbers [2]int
	count := 0
	for _, field := range fields[1:] {
		value, err := strconv.Atoi(strings.TrimPrefix(field, "h"))
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(field, "h") {
			if value > 0 {
				host = modelAddress(value)
			}
			continue
		}
		numbers[count] = value
		count++
	}
	if fields[0] == "Owner" {
		service, key := flowOf(numbers[0])
		if owner := m.owners[key^anvilglade.FlowKey(service.Number())]; owner != host {
			t.Fatalf("flow %d is owned by %v, want %v", numbers[0], owner, host)
		}
		return
	}
	if !m.step(t, fields[0], host, numbers[0], numbers[1]) {
		t.Fatalf("step %v is not possible", fields)
	}
}
