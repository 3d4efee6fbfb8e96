package agfleet_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/state/agfleet"
)

const (
	modelBalancers = 3
	modelAgents    = 3
	// firstIncarnation leaves room for clocks that jump back.
	firstIncarnation = 1 << 60
	// statusDelay bounds how late a status may arrive. One that comes later can
	// be told from a newer one only while its sender is still heard.
	statusDelay = 600 * time.Millisecond
)

// TestMain fixes the seed and the size of the model test, so that every run
// checks the same cases. Flags of the command line override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.steps": "80"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestHigherVersionWins plays a store, balancers and agents whose messages are
// late, repeated and out of order, and which restart with clocks that may have
// jumped back. Nothing goes backwards within a boot, and once messages arrive
// again all balancers know the newest state, also those without the store.
func TestHigherVersionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"Operate":        m.operate,
			"Evacuate":       m.evacuate,
			"ReadStore":      m.readStore,
			"Fetch":          m.fetch,
			"TellPeers":      m.tellPeers,
			"Report":         m.report,
			"ChangeHost":     m.changeHost,
			"Restart":        m.restart,
			"RestartAgent":   m.restartAgent,
			"Deliver":        m.deliver,
			"Pass":           m.pass,
			"":               m.check,
			"ReadStoreAgain": m.readStore,
		})
		m.settle()
		m.checkSettled(t)
	})
}

// late is a message that has not arrived yet.
type late struct {
	sent   time.Time
	arrive func()
	// status is set for messages that are lost after statusDelay.
	status bool
}

type modelBalancer struct {
	fleet       *agfleet.Fleet
	incarnation anvilglade.Incarnation
	sequence    anvilglade.Sequence
	// version and revision are the highest ones of this boot, and sequences the
	// newest status of each agent.
	version   anvilglade.DesiredVersion
	revision  anvilglade.StoreRevision
	sequences map[anvilglade.IPv4]anvilglade.AgentStatus
}

type model struct {
	now         time.Time
	desired     anvilglade.DesiredState
	evacuations anvilglade.Evacuations
	balancers   []*modelBalancer
	agents      []*anvilglade.AgentStatus
	flight      []late
	// boots counts restarts.
	boots anvilglade.Incarnation
}

func newModel() *model {
	m := &model{now: time.Unix(1_000_000, 0), desired: anvilglade.DesiredState{Version: 1}, evacuations: anvilglade.Evacuations{Revision: 1}}
	for i := range modelBalancers {
		m.balancers = append(m.balancers, &modelBalancer{})
		m.boot(i, firstIncarnation)
	}
	for i := range modelAgents {
		m.agents = append(m.agents, &anvilglade.AgentStatus{Agent: agentIP(i), Incarnation: firstIncarnation, Service: "alerts", Host: "h", Born: 1, Accepts: true})
	}
	return m
}

func balancerIP(i int) anvilglade.IPv4 { return anvilglade.IPv4{10, 0, 1, byte(i + 1)} }
func agentIP(i int) anvilglade.IPv4    { return anvilglade.IPv4{10, 0, 2, byte(i + 1)} }

func (m *model) boot(i int, incarnation anvilglade.Incarnation) {
	fleet := agfleet.NewFleet(agfleet.Options{Self: balancerIP(i), DataCentre: "dk1"})
	for other := range modelBalancers {
		fleet.AddBalancers([]anvilglade.IPv4{balancerIP(other)})
	}
	*m.balancers[i] = modelBalancer{fleet: fleet, incarnation: incarnation, sequences: map[anvilglade.IPv4]anvilglade.AgentStatus{}}
}

func pick(t *rapid.T, count int, label string) int {
	return rapid.IntRange(0, count-1).Draw(t, label)
}

func (m *model) operate(t *rapid.T) {
	m.desired.Version += anvilglade.DesiredVersion(1 + pick(t, 5, "step"))
}

func (m *model) evacuate(t *rapid.T) {
	m.evacuations = anvilglade.Evacuations{Revision: m.evacuations.Revision + anvilglade.StoreRevision(1+pick(t, 5, "step"))}
	if rapid.Bool().Draw(t, "evacuated") {
		m.evacuations.DataCentres = []anvilglade.DataCentreID{"dk2"}
	}
}

func (m *model) send(status bool, arrive func()) {
	m.flight = append(m.flight, late{sent: m.now, arrive: arrive, status: status})
}

// readStore reads both objects; the answer of a call of an earlier boot reaches
// nobody.
func (m *model) readStore(t *rapid.T) {
	fleet := m.balancers[pick(t, modelBalancers, "balancer")].fleet
	m.answer(fleet)
}

func (m *model) answer(fleet *agfleet.Fleet) {
	desired, evacuations := m.desired, m.evacuations
	m.send(false, func() {
		fleet.AdoptDesired(desired)
		fleet.AdoptEvacuations(evacuations)
	})
}

func (m *model) fetch(t *rapid.T) {
	m.fetchFor(pick(t, modelBalancers, "balancer"))
}

func (m *model) fetchFor(i int) {
	fleet := m.balancers[i].fleet
	peer, ahead := fleet.NewerPeer(m.now)
	if !ahead {
		return
	}
	desired, known := m.balancers[peer[3]-1].fleet.Desired()
	if !known {
		return
	}
	state := *desired
	m.send(false, func() { fleet.AdoptDesired(state) })
}

func (m *model) tellPeers(t *rapid.T) {
	m.tellFrom(pick(t, modelBalancers, "balancer"))
}

func (m *model) tellFrom(i int) {
	from := m.balancers[i]
	from.sequence++
	desired, _ := from.fleet.Desired()
	status := anvilglade.BalancerStatus{
		Balancer: balancerIP(i), Incarnation: from.incarnation, Sequence: from.sequence,
		Desired: desired.Version, Evacuations: *from.fleet.Evacuations(),
	}
	for to := range modelBalancers {
		if to != i {
			m.send(true, func() { m.balancers[to].fleet.UpdateBalancer(status, m.now) })
		}
	}
}

func (m *model) report(t *rapid.T) {
	m.reportFrom(pick(t, modelAgents, "agent"))
}

func (m *model) reportFrom(i int) {
	m.agents[i].Sequence++
	status := *m.agents[i]
	for to := range modelBalancers {
		m.send(true, func() { m.balancers[to].fleet.UpdateAgent(status, m.now) })
	}
}

func (m *model) changeHost(t *rapid.T) {
	agent := m.agents[pick(t, modelAgents, "agent")]
	if rapid.Bool().Draw(t, "restarts") {
		agent.Born++
	}
	agent.Accepts = rapid.Bool().Draw(t, "accepts")
}

// incarnation returns that of a restarted process, whose clock may have jumped
// back by more than its life. No two are the same.
func (m *model) incarnation(t *rapid.T, former anvilglade.Incarnation) anvilglade.Incarnation {
	const jump = 1_000_000
	m.boots++
	if rapid.Bool().Draw(t, "jumped") {
		return former - jump + m.boots
	}
	return former + jump + m.boots
}

func (m *model) restart(t *rapid.T) {
	i := pick(t, modelBalancers, "balancer")
	former := m.balancers[i].incarnation
	m.balancers[i].fleet = nil
	m.wait(time.Second)
	m.boot(i, m.incarnation(t, former))
}

func (m *model) restartAgent(t *rapid.T) {
	agent := m.agents[pick(t, modelAgents, "agent")]
	m.wait(time.Second)
	agent.Incarnation, agent.Sequence = m.incarnation(t, agent.Incarnation), 0
}

func (m *model) deliver(t *rapid.T) {
	if len(m.flight) == 0 {
		return
	}
	i := pick(t, len(m.flight), "message")
	message := m.flight[i]
	if !rapid.Bool().Draw(t, "repeated") {
		m.flight = slices.Delete(m.flight, i, i+1)
	}
	message.arrive()
}

func (m *model) pass(t *rapid.T) {
	m.wait(time.Duration(1+pick(t, 300, "milliseconds")) * time.Millisecond)
}

func (m *model) wait(time time.Duration) {
	m.now = m.now.Add(time)
	m.flight = slices.DeleteFunc(m.flight, func(message late) bool {
		return message.status && m.now.Sub(message.sent) > statusDelay
	})
}

// check fails if knowledge of a boot goes backwards.
func (m *model) check(t *rapid.T) {
	for i, balancer := range m.balancers {
		desired, _ := balancer.fleet.Desired()
		if desired.Version < balancer.version {
			t.Fatalf("balancer %d went from version %d to %d", i, balancer.version, desired.Version)
		}
		if revision := balancer.fleet.Evacuations().Revision; revision < balancer.revision {
			t.Fatalf("balancer %d went from revision %d to %d", i, balancer.revision, revision)
		}
		balancer.version, balancer.revision = desired.Version, balancer.fleet.Evacuations().Revision
		for _, host := range balancer.fleet.AllHosts() {
			former := balancer.sequences[host.Agent]
			if host.Incarnation == former.Incarnation && host.Sequence < former.Sequence {
				t.Fatalf("balancer %d went from status %d of agent %s to %d", i, former.Sequence, host.Agent, host.Sequence)
			}
			balancer.sequences[host.Agent] = host.AgentStatus
		}
	}
}

// settle lets everything arrive in order. Only the first balancer reaches the
// store.
func (m *model) settle() {
	m.arriveAll()
	m.wait(time.Second)
	m.answer(m.balancers[0].fleet)
	for i := range m.agents {
		m.reportFrom(i)
	}
	for range 2 {
		for i := range m.balancers {
			m.tellFrom(i)
		}
		m.arriveAll()
		for i := range m.balancers {
			m.fetchFor(i)
		}
		m.arriveAll()
	}
}

func (m *model) arriveAll() {
	flight := m.flight
	m.flight = nil
	for _, message := range flight {
		message.arrive()
	}
}

func (m *model) checkSettled(t *rapid.T) {
	for i, balancer := range m.balancers {
		if desired, _ := balancer.fleet.Desired(); desired.Version != m.desired.Version {
			t.Errorf("balancer %d has version %d, the store %d", i, desired.Version, m.desired.Version)
		}
		if revision := balancer.fleet.Evacuations().Revision; revision != m.evacuations.Revision {
			t.Errorf("balancer %d has revision %d, the store %d", i, revision, m.evacuations.Revision)
		}
		for _, agent := range m.agents {
			host, known := balancer.fleet.Host(agent.Agent)
			if !known || host.Born != agent.Born || host.Accepts != agent.Accepts {
				t.Errorf("balancer %d does not know agent %s as it is", i, agent.Agent)
			}
		}
	}
}
