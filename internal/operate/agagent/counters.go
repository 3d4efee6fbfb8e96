// Counters of the agent, published in expvar and in the status.

package agagent

import (
	"expvar"
	"sync"
	"sync/atomic"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/admission/agadmit"
	"github.com/anvilglade/anvilglade/internal/flow/agflow"
)

// expvarName is the name under which the status is published in /debug/vars.
const expvarName = "Agent"

type counters struct {
	received, sent, delivered, sendFailures, revision atomic.Uint64

	mu    sync.Mutex
	drops map[anvilglade.Drop]uint64
}

func (c *counters) drop(reason anvilglade.Drop) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drops == nil {
		c.drops = make(map[anvilglade.Drop]uint64)
	}
	c.drops[reason]++
}

func (c *counters) copyDrops() map[anvilglade.Drop]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	drops := make(map[anvilglade.Drop]uint64, len(c.drops))
	for reason, count := range c.drops {
		drops[reason] = count
	}
	return drops
}

// Status is the state of an agent for operators.
type Status struct {
	Host            anvilglade.HostID
	DataCentre      anvilglade.DataCentreID
	Incarnation     anvilglade.Incarnation
	Service         anvilglade.ServiceID
	Revision        anvilglade.Revision
	KeysVersion     anvilglade.Version
	DataCentreState anvilglade.DataCentreState
	Draining        bool
	Stopping        bool
	Received        uint64
	Sent            uint64
	Delivered       uint64
	Answers         uint64
	SendFailures    uint64
	RelayFailures   uint64
	Drops           map[anvilglade.Drop]uint64
	Flow            agflow.Statistics
	// ConnectionKeys is the number of open QUIC connections by the key of their
	// first connection ids.
	ConnectionKeys map[anvilglade.KeyID]int
	// Admission is nil under AdmissionBaseline.
	Admission *agadmit.State
}

func (a *Agent) status() Status {
	s := Status{
		Host: a.settings.Host, DataCentre: a.settings.DataCentre, Incarnation: a.record.Incarnation,
		Stopping: a.stopping.Load(), Received: a.counters.received.Load(), Sent: a.counters.sent.Load(),
		Delivered: a.counters.delivered.Load(), Answers: a.relay.Answers(), SendFailures: a.counters.sendFailures.Load(),
		RelayFailures: a.relay.Failures(), Drops: a.counters.copyDrops(), Flow: a.machine.Statistics(),
	}
	if assignment, ok := a.reporter.Assignment(); ok {
		s.KeysVersion = assignment.KeysAt
		s.Service, s.Revision, s.DataCentreState, s.Draining = assignment.Service, assignment.Revision, assignment.DataCentreState, assignment.Draining
	}
	s.ConnectionKeys = make(map[anvilglade.KeyID]int)
	for _, server := range a.servers {
		for id, count := range server.ConnectionKeys() {
			s.ConnectionKeys[id] += count
		}
	}
	if a.limits != nil {
		state := a.limits.State()
		s.Admission = &state
	}
	return s
}

// publish publishes the status in /debug/vars. The variables are global to the
// process, so they show only the first of several agents in one test process.
func (a *Agent) publish() {
	if expvar.Get(expvarName) == nil {
		expvar.Publish(expvarName, expvar.Func(func() any { return a.status() }))
	}
}
