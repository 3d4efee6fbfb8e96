package agtable

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/anvilglade/anvilglade"
)

// TestMain fixes the seed of the model tests, so that every run checks the same
// cases. The flag -rapid.seed sets another seed.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// flowsPerStep is large enough for the model to find a builder that ignores
// pauses or accept times within the 100 cases of a run.
const flowsPerStep = 16

const testService = anvilglade.ServiceID("alerts")

func inService(anvilglade.HostID) (anvilglade.ServiceID, bool) { return testService, true }

type testClock struct{ now time.Time }

func (c *testClock) Now() time.Time { return c.now }

func (c *testClock) stamp() anvilglade.JoinStamp {
	return anvilglade.JoinStamp(c.now.UnixMilli()) << 16
}

func testRecord(i int, join anvilglade.JoinStamp) anvilglade.HostRecord {
	return anvilglade.HostRecord{
		Host: anvilglade.HostID(fmt.Sprintf("dk1-h%04d", i)), Incarnation: 1, State: anvilglade.HostActive, DataCentre: anvilglade.DataCentreID(fmt.Sprintf("dk%d", 1+i%3)),
		AgentAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
		JoinStamp:    join, AcceptStamp: join,
	}
}

// modelHost is a host with all versions of its record. A version applies from its
// time on and reaches a balancer at most HolderWindow later.
type modelHost struct {
	times        []time.Time
	versions     []anvilglade.HostRecord
	seenVersions int // number of versions that the long-running balancer has received
}

func (h *modelHost) set(at time.Time, record anvilglade.HostRecord) {
	h.times, h.versions = append(h.times, at), append(h.versions, record)
}

func (h *modelHost) last() anvilglade.HostRecord { return h.versions[len(h.versions)-1] }

// at returns the number of versions that exist at a time.
func (h *modelHost) at(t time.Time) int {
	n := 0
	for n < len(h.times) && !h.times[n].After(t) {
		n++
	}
	return n
}

type modelFlow struct {
	bucket int
	host   int
	at     time.Time
}

type model struct {
	clock         testClock
	hosts         []*modelHost
	draining      map[anvilglade.HostID]bool
	dataCentreOut map[anvilglade.DataCentreID]bool
	revision      anvilglade.Revision
	longRunning   *Builder
	flows         []modelFlow
}

func (m *model) join() {
	host := &modelHost{}
	host.set(m.clock.now, testRecord(len(m.hosts), m.clock.stamp()))
	m.hosts = append(m.hosts, host)
}

// change sets another state. When a host returns to Active, its agent sets a new
// AcceptStamp.
func (m *model) change(i int, state anvilglade.HostState) {
	record := m.hosts[i].last()
	if state == anvilglade.HostActive && record.State != anvilglade.HostSuspect {
		record.AcceptStamp = m.clock.stamp()
	}
	record.State = state
	m.hosts[i].set(m.clock.now, record)
}

// override starts or ends an operator's drain of a host.
func (m *model) override(t *rapid.T, i int) {
	name := m.hosts[i].last().Host
	m.revision++
	m.draining[name] = !m.draining[name]
	if !m.draining[name] {
		m.resume(t, m.hosts[i])
	}
}

// resume sets a new AcceptStamp when the agent receives that it may accept again, up
// to 3 s later.
func (m *model) resume(t *rapid.T, host *modelHost) {
	at := m.clock.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "learn ms")) * time.Millisecond)
	if last := host.times[len(host.times)-1]; at.Before(last) {
		at = last
	}
	record := host.last()
	record.AcceptStamp = anvilglade.JoinStamp(at.UnixMilli()) << 16
	host.set(at, record)
}

// toggleCentre takes a data centre out of service, which ends its flows, or
// back in.
func (m *model) toggleCentre(t *rapid.T, centre anvilglade.DataCentreID) {
	m.revision++
	m.dataCentreOut[centre] = !m.dataCentreOut[centre]
	for _, host := range m.hosts {
		if host.last().DataCentre == centre && !m.dataCentreOut[centre] {
			m.resume(t, host)
		}
	}
	m.flows = slices.DeleteFunc(m.flows, func(flow modelFlow) bool {
		return m.hosts[flow.host].last().DataCentre == centre
	})
}

// table builds the table of a balancer that receives each record up to HolderWindow
// late, either with the long-running builder, which has built all tables, or with a
// new one.
func (m *model) table(t *rapid.T, longRunning bool) *Table {
	builder := NewBuilder(Options{Clock: &m.clock})
	if longRunning {
		builder = m.longRunning
	}
	configuration := &anvilglade.Configuration{Revision: m.revision}
	for host, draining := range m.draining {
		configuration.Tables.Hosts = append(configuration.Tables.Hosts, anvilglade.HostOverride{Name: host, Draining: draining})
	}
	for centre, dataCentreOut := range m.dataCentreOut {
		if dataCentreOut {
			configuration.Tables.DataCentres = append(configuration.Tables.DataCentres, anvilglade.DataCentre{Name: centre, State: anvilglade.DataCentreOut})
		}
	}
	members := &anvilglade.Members{}
	for _, host := range m.hosts {
		delay := time.Duration(rapid.Int64Range(0, int64(HolderWindow/time.Millisecond)).Draw(t, "delay ms")) * time.Millisecond
		n := host.at(m.clock.now.Add(-delay))
		if longRunning {
			n = max(n, host.seenVersions)
			host.seenVersions = n
		}
		if n > 0 {
			members.Hosts = append(members.Hosts, host.versions[n-1])
		}
	}
	table, stats := builder.Build(configuration, inService, members)
	if stats.Cut > 0 {
		t.Fatalf("%d lists were cut at %d hosts", stats.Cut, len(m.hosts))
	}
	return table
}

// place places a flow of each of several buckets on one of the Placements best
// accepting hosts of its list.
func (m *model) place(t *rapid.T, table *Table) {
	service := table.Service(testService)
	if service == nil {
		return
	}
	first := rapid.IntRange(0, Buckets-1).Draw(t, "bucket")
	for i := range flowsPerStep {
		m.placeOne(t, service, (first+i)%Buckets)
	}
}

func (m *model) placeOne(t *rapid.T, service *Service, bucket int) {
	var accepting []anvilglade.HostID
	for _, slot := range service.Order(bucket) {
		if service.Hosts()[slot].Accepts && len(accepting) < Placements {
			accepting = append(accepting, service.HostAt(slot))
		}
	}
	if len(accepting) == 0 {
		return
	}
	name := rapid.SampledFrom(accepting).Draw(t, "host")
	i := slices.IndexFunc(m.hosts, func(h *modelHost) bool { return h.last().Host == name })
	m.flows = append(m.flows, modelFlow{bucket: bucket, host: i, at: m.clock.now})
}

// check fails if a host that holds a flow is a member of the table's service but not
// in the list of the flow. Up to HolderWindow after the placement the host may be
// missing from the list, because the arbiter still has an entry that names it.
func (m *model) check(t *rapid.T, table *Table) {
	service := table.Service(testService)
	for _, flow := range m.flows {
		record := m.hosts[flow.host].last()
		if service == nil || m.clock.now.Sub(flow.at) <= HolderWindow {
			continue
		}
		known := slices.ContainsFunc(service.members, func(other member) bool { return other.host == record.Host })
		if !known {
			continue
		}
		if !slices.ContainsFunc(service.Order(flow.bucket), func(slot uint16) bool { return service.HostAt(slot) == record.Host }) {
			t.Fatalf("host %s holds a flow of bucket %d since %s and is not in its list", record.Host, flow.bucket, flow.at)
		}
	}
}

func (m *model) step(t *rapid.T, operators bool) {
	m.clock.now = m.clock.now.Add(time.Duration(rapid.IntRange(0, 40000).Draw(t, "wait ms")) * time.Millisecond)
	i := rapid.IntRange(0, len(m.hosts)-1).Draw(t, "subject")
	state := m.hosts[i].last().State
	if m.hosts[i].at(m.clock.now) < len(m.hosts[i].times) {
		return // the agent has not received its last change yet
	}
	switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
	case action < 4:
		m.join()
	case action < 6 && operators:
		m.override(t, i)
	case action == 6 && operators:
		m.toggleCentre(t, m.hosts[i].last().DataCentre)
	case state == anvilglade.HostActive && action < 6:
		m.change(i, anvilglade.HostDraining)
	case state == anvilglade.HostActive && action == 6:
		m.change(i, anvilglade.HostSuspect)
	case state == anvilglade.HostActive || state == anvilglade.HostSuspect && action < 6:
		m.change(i, anvilglade.HostDead)
	default:
		m.change(i, anvilglade.HostActive)
	}
}

func checkModel(t *rapid.T, operators bool) {
	m := &model{clock: testClock{now: time.Unix(1_800_000_000, 0)}, draining: map[anvilglade.HostID]bool{}, dataCentreOut: map[anvilglade.DataCentreID]bool{}, revision: 1}
	m.longRunning = NewBuilder(Options{Clock: &m.clock})
	for range rapid.IntRange(3, 30).Draw(t, "hosts at start") {
		m.join()
		m.clock.now = m.clock.now.Add(time.Duration(rapid.IntRange(0, 70000).Draw(t, "gap ms")) * time.Millisecond)
	}
	for range rapid.IntRange(5, 40).Draw(t, "steps") {
		m.step(t, operators)
		// A balancer that started after the end of an operator's drain has no
		// state of it, and its lists may lack a holder. With operators only the
		// long-running builder is therefore checked.
		longRunning := operators || rapid.Bool().Draw(t, "lasting")
		table := m.table(t, longRunning)
		m.check(t, table)
		m.place(t, table)
	}
}

// TestHolderRule guards against lists that lack a host that holds a flow, after
// joins, drains, losses and returns of hosts, at balancers with outdated records.
func TestHolderRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkModel(t, false) })
}

// TestHolderRuleOperators guards against lists that lack a host that holds a flow,
// while operators drain hosts and take data centres out of service, end both, and
// agents receive these changes later than balancers.
func TestHolderRuleOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkModel(t, true) })
}

// TestJoinKeepsArbiter guards against two arbiters that each place the same flow: a
// host that joins or returns must not become arbiter while an older host is running.
func TestJoinKeepsArbiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := &testClock{now: time.Unix(1_800_000_000, 0)}
		members := &anvilglade.Members{}
		for i := range rapid.IntRange(1, 40).Draw(t, "hosts") {
			clock.now = clock.now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "gap s")) * time.Second)
			record := testRecord(i, clock.stamp())
			record.State = rapid.SampledFrom([]anvilglade.HostState{anvilglade.HostActive, anvilglade.HostDraining, anvilglade.HostSuspect}).Draw(t, "state")
			members.Hosts = append(members.Hosts, record)
		}
		builder := NewBuilder(Options{Clock: clock})
		configuration := &anvilglade.Configuration{Revision: 1}
		before, _ := builder.Build(configuration, inService, members)
		newcomer := testRecord(rapid.IntRange(1000, 9000).Draw(t, "name"), clock.stamp()+1)
		newcomer.Host = anvilglade.HostID(rapid.SampledFrom([]string{"a", "z"}).Draw(t, "prefix")) + newcomer.Host
		joined := &anvilglade.Members{Hosts: append(slices.Clone(members.Hosts), newcomer)}
		after, _ := builder.Build(configuration, inService, joined)
		if was, is := before.Service(testService).Arbiter(), after.Service(testService).Arbiter(); was != is {
			t.Fatalf("the join of %s changed the arbiter from %s to %s", newcomer.Host, was, is)
		}
	})
}

// TestExtendEqualsRank guards against an incremental update whose lists differ from
// those of building anew: balancers would then differ until they are restarted.
func TestExtendEqualsRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := &testClock{now: time.Unix(1_800_000_000, 0)}
		group := make([]member, 0, 200)
		created := 0
		add := func() {
			clock.now = clock.now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "gap s")) * time.Second)
			record := testRecord(created, clock.stamp())
			created++
			r := role{listed: true, accepts: true, blocks: true, arbitrates: true, stamp: clock.stamp()}
			group = append(group, r.member(&record, true, true))
		}
		for range rapid.IntRange(40, 120).Draw(t, "hosts") {
			add()
		}
		service := newLargeService(testService, slices.Clone(group))
		for range 5 {
			for range rapid.IntRange(0, 3).Draw(t, "joins") {
				add()
			}
			for range rapid.IntRange(0, 2).Draw(t, "changes") {
				i := rapid.IntRange(1, len(group)-1).Draw(t, "subject")
				switch rapid.IntRange(0, 2).Draw(t, "change") {
				case 0:
					group = slices.Delete(group, i, i+1)
				case 1:
					group[i].blocksFrom = noStamp
				default:
					group[i].blocksFrom = max(group[i].join, clock.stamp())
				}
			}
			extended := service.extend(slices.Clone(group))
			if extended == nil {
				t.Fatalf("a small change was not an update")
			}
			compareLists(t, extended, newLargeService(testService, slices.Clone(group)))
			service = extended
		}
	})
}

func compareLists(t *rapid.T, a, b *Service) {
	for bucket := range Buckets {
		rowA, rowB := a.Order(bucket), b.Order(bucket)
		equal := slices.EqualFunc(rowA, rowB, func(x, y uint16) bool { return a.HostAt(x) == b.HostAt(y) })
		if !equal {
			t.Fatalf("bucket %d has %v after the update and %v when built anew", bucket, names(a, rowA), names(b, rowB))
		}
	}
}

func names(s *Service, row []uint16) []anvilglade.HostID {
	var hosts []anvilglade.HostID
	for _, slot := range row {
		hosts = append(hosts, s.HostAt(slot))
	}
	return hosts
}
