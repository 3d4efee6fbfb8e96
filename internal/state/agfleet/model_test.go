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
	// firstIncarnation is so large that an incarnation does not underflow when a
	// clock is set back.
	firstIncarnation = 1 << 60
	// statusDelay is the maximum delay of a status. It is below restartAfter: after
	// that time without a status, a late one would be adopted although it is older.
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

// TestVersionsNeverDecrease simulates a store, balancers and agents whose messages
// are delayed, duplicated and reordered, and which restart with clocks that may
// have been set back. The store is restored from older copies. No version may decrease
// between two restarts of a balancer, and an evacuation that it has received must stay in
// effect while operators want it. Once messages are delivered again, all balancers must
// have the newest state, also those that cannot reach the store.
func TestVersionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		// Rapid chooses actions uniformly; ReadStoreAgain makes reads more likely.
		t.Repeat(map[string]func(*rapid.T){
			"Operate":        m.changeDesired,
			"Evacuate":       m.evacuate,
			"Restore":        m.restore,
			"Rewrite":        m.rewrite,
			"ReadStore":      m.readStore,
			"Fetch":          m.fetch,
			"SendStatus":     m.sendBalancerStatus,
			"Report":         m.sendAgentStatus,
			"ChangeHost":     m.changeHost,
			"Restart":        m.restart,
			"RestartAgent":   m.restartAgent,
			"Deliver":        m.deliver,
			"Pass":           m.advanceTime,
			"":               m.check,
			"ReadStoreAgain": m.readStore,
		})
		m.converge()
		// An evacuation that the restored store lacks may stay in effect for this time.
		m.advance(maxHold)
		m.converge()
		m.checkConverged(t)
	})
}

// delayedMessage is a message that has been sent and not delivered yet.
type delayedMessage struct {
	sent   time.Time
	handle func()
	// isStatus is set for statuses, which are dropped after statusDelay.
	isStatus bool
}

type modelBalancer struct {
	fleet       *agfleet.Fleet
	incarnation anvilglade.Incarnation
	sequence    anvilglade.Sequence
	// version, position, evacuated and agents are what the last check has read from the
	// fleet; they are empty after a start. evacuated is set if the balancer has received
	// the operators' last decision and that is the evacuation written at writtenAt.
	version   anvilglade.DesiredVersion
	position  anvilglade.StorePosition
	evacuated bool
	writtenAt anvilglade.StorePosition
	agents    map[anvilglade.IPv4]anvilglade.AgentStatus
}

type model struct {
	now       time.Time
	desired   anvilglade.DesiredState
	store     *modelStore
	balancers []*modelBalancer
	agents    []*anvilglade.AgentStatus
	inFlight  []delayedMessage
	// restarts is the number of restarts of balancers and agents.
	restarts anvilglade.Incarnation
}

func newModel() *model {
	m := &model{now: time.Unix(1_000_000, 0), desired: anvilglade.DesiredState{Version: 1}, store: newModelStore()}
	for i := range modelBalancers {
		m.balancers = append(m.balancers, &modelBalancer{})
		m.startBalancer(i, firstIncarnation)
	}
	for i := range modelAgents {
		m.agents = append(m.agents, &anvilglade.AgentStatus{Agent: agentIP(i), Incarnation: firstIncarnation, Service: "alerts", Host: "h", Born: 1, Accepts: true})
	}
	return m
}

func balancerIP(i int) anvilglade.IPv4 { return anvilglade.IPv4{10, 0, 1, byte(i + 1)} }
func agentIP(i int) anvilglade.IPv4    { return anvilglade.IPv4{10, 0, 2, byte(i + 1)} }

func (m *model) startBalancer(i int, incarnation anvilglade.Incarnation) {
	fleet := agfleet.NewFleet(agfleet.Options{Self: balancerIP(i), DataCentre: "dk1"})
	for other := range modelBalancers {
		fleet.AddBalancers([]anvilglade.IPv4{balancerIP(other)}, m.now)
	}
	*m.balancers[i] = modelBalancer{fleet: fleet, incarnation: incarnation, agents: map[anvilglade.IPv4]anvilglade.AgentStatus{}}
}

func pick(t *rapid.T, count int, label string) int {
	return rapid.IntRange(0, count-1).Draw(t, label)
}

func (m *model) changeDesired(t *rapid.T) {
	m.desired.Version += anvilglade.DesiredVersion(1 + pick(t, 5, "step"))
}

func (m *model) send(isStatus bool, handle func()) {
	m.inFlight = append(m.inFlight, delayedMessage{sent: m.now, handle: handle, isStatus: isStatus})
}

// readStore reads the desired state and the evacuations. An answer that arrives after
// a restart of the balancer has no effect.
func (m *model) readStore(t *rapid.T) {
	fleet := m.balancers[pick(t, modelBalancers, "balancer")].fleet
	m.sendStoreAnswer(fleet)
}

func (m *model) sendStoreAnswer(fleet *agfleet.Fleet) {
	desired, evacuations := m.desired, m.store.list()
	m.send(false, func() {
		fleet.AdoptDesired(desired)
		fleet.AdoptEvacuations(evacuations, m.now)
	})
}

func (m *model) fetch(t *rapid.T) {
	m.fetchFor(pick(t, modelBalancers, "balancer"))
}

func (m *model) fetchFor(i int) {
	fleet := m.balancers[i].fleet
	peer, found := fleet.NewerPeer(m.now)
	if !found {
		return
	}
	// The last byte of balancerIP(i) is i+1.
	desired, ok := m.balancers[peer.Balancer[3]-1].fleet.Desired()
	if !ok {
		return
	}
	state := *desired
	m.send(false, func() { fleet.AdoptDesired(state) })
}

func (m *model) sendBalancerStatus(t *rapid.T) {
	m.sendBalancerStatusFrom(pick(t, modelBalancers, "balancer"))
}

func (m *model) sendBalancerStatusFrom(i int) {
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

func (m *model) sendAgentStatus(t *rapid.T) {
	m.sendAgentStatusFrom(pick(t, modelAgents, "agent"))
}

func (m *model) sendAgentStatusFrom(i int) {
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

// incarnation returns a unique incarnation for a restarted process. Its clock may
// have been set back by more than the time for which the process ran.
func (m *model) incarnation(t *rapid.T, former anvilglade.Incarnation) anvilglade.Incarnation {
	const jump = 1_000_000
	m.restarts++
	if rapid.Bool().Draw(t, "jumped") {
		return former - jump + m.restarts
	}
	return former + jump + m.restarts
}

func (m *model) restart(t *rapid.T) {
	i := pick(t, modelBalancers, "balancer")
	former := m.balancers[i].incarnation
	m.balancers[i].fleet = nil
	m.advance(time.Second)
	m.startBalancer(i, m.incarnation(t, former))
}

func (m *model) restartAgent(t *rapid.T) {
	agent := m.agents[pick(t, modelAgents, "agent")]
	m.advance(time.Second)
	agent.Incarnation, agent.Sequence = m.incarnation(t, agent.Incarnation), 0
}

func (m *model) deliver(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	i := pick(t, len(m.inFlight), "message")
	message := m.inFlight[i]
	if !rapid.Bool().Draw(t, "repeated") {
		m.inFlight = slices.Delete(m.inFlight, i, i+1)
	}
	message.handle()
}

func (m *model) advanceTime(t *rapid.T) {
	m.advance(time.Duration(1+pick(t, 300, "milliseconds")) * time.Millisecond)
}

func (m *model) advance(time time.Duration) {
	m.now = m.now.Add(time)
	if m.now.Sub(m.store.restoredAt) > maxRewriteDelay {
		m.store.rewrite()
	}
	m.inFlight = slices.DeleteFunc(m.inFlight, func(message delayedMessage) bool {
		return message.isStatus && m.now.Sub(message.sent) > statusDelay
	})
}

// check fails if a version, a position or the sequence number of an agent has
// decreased since the balancer started, or if an evacuation has ended early.
func (m *model) check(t *rapid.T) {
	for i, balancer := range m.balancers {
		desired, _ := balancer.fleet.Desired()
		if desired.Version < balancer.version {
			t.Fatalf("balancer %d: desired version decreased from %d to %d", i, balancer.version, desired.Version)
		}
		evacuations := balancer.fleet.Evacuations()
		if evacuations.Position().Before(balancer.position) {
			t.Fatalf("balancer %d: position of the evacuations decreased from %v to %v", i, balancer.position, evacuations.Position())
		}
		if balancer.evacuated && balancer.writtenAt == m.store.writtenAt && !evacuations.Has("dk2") {
			t.Fatalf("balancer %d: the evacuation of position %v has ended although operators want it", i, balancer.writtenAt)
		}
		balancer.version, balancer.position = desired.Version, evacuations.Position()
		if balancer.writtenAt != m.store.writtenAt {
			balancer.evacuated, balancer.writtenAt = false, m.store.writtenAt
		}
		balancer.evacuated = balancer.evacuated || m.hasDecision(evacuations)
		for _, host := range balancer.fleet.AllHosts() {
			former := balancer.agents[host.Agent]
			if host.Incarnation == former.Incarnation && host.Sequence < former.Sequence {
				t.Fatalf("balancer %d: sequence %d of agent %s decreased to %d", i, former.Sequence, host.Agent, host.Sequence)
			}
			balancer.agents[host.Agent] = host.AgentStatus
		}
	}
}

// converge delivers all messages in order. Only the first balancer reaches the
// store.
func (m *model) converge() {
	m.store.rewrite()
	m.deliverAll()
	m.advance(time.Second)
	m.sendStoreAnswer(m.balancers[0].fleet)
	for i := range m.agents {
		m.sendAgentStatusFrom(i)
	}
	// The statuses of the first round are sent before balancer 0 has received the
	// store's answer.
	for range 2 {
		for i := range m.balancers {
			m.sendBalancerStatusFrom(i)
		}
		m.deliverAll()
		for i := range m.balancers {
			m.fetchFor(i)
		}
		m.deliverAll()
	}
}

func (m *model) deliverAll() {
	inFlight := m.inFlight
	m.inFlight = nil
	for _, message := range inFlight {
		message.handle()
	}
}

func (m *model) checkConverged(t *rapid.T) {
	for i, balancer := range m.balancers {
		if desired, _ := balancer.fleet.Desired(); desired.Version != m.desired.Version {
			t.Errorf("balancer %d has version %d, the store %d", i, desired.Version, m.desired.Version)
		}
		evacuations := balancer.fleet.Evacuations()
		if position := evacuations.Position(); position != m.store.position() {
			t.Errorf("balancer %d has position %v, the store %v", i, position, m.store.position())
		}
		if evacuations.Has("dk2") != m.store.wanted {
			t.Errorf("balancer %d has %v as evacuated, operators want an evacuation of dk2: %t", i, evacuations.DataCentres, m.store.wanted)
		}
		for _, agent := range m.agents {
			host, exists := balancer.fleet.Host(agent.Agent)
			if !exists || host.Born != agent.Born || host.Accepts != agent.Accepts {
				t.Errorf("balancer %d has no current state of agent %s", i, agent.Agent)
			}
		}
	}
}
