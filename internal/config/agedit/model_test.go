package agedit_test

// This file tests a seeded model of several operators. Their store may respond late,
// with stale data or not at all. Every store call of an operator blocks until the
// test sends a reply, so that the test chooses the interleaving at random. An
// operator whose call is not chosen is paused.

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agconfig"
	"github.com/anvilglade/anvilglade/internal/config/agedit"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/stand/agapi"
)

func TestMain(m *testing.M) {
	// A fixed seed makes the result in CI reproducible; -rapid.seed replaces it.
	if err := errors.Join(flag.Set("rapid.seed", "20261204"), flag.Set("rapid.checks", "1000")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var errUnreachable = errors.New("platform is unreachable")

type modelClock struct{ now time.Time }

func (c *modelClock) Now() time.Time { return c.now }

// call is a store call that blocks until the test sends a reply.
type call struct {
	put       *anvilglade.Object
	ifVersion anvilglade.Version
	reply     chan reply
}

type reply struct {
	object  anvilglade.Object
	version anvilglade.Version
	err     error
}

type modelStore struct {
	anvilglade.Store
	calls chan *call
}

func (s *modelStore) wait(c *call) reply {
	c.reply = make(chan reply, 1)
	s.calls <- c
	return <-c.reply
}

func (s *modelStore) Get(context.Context, string, string) (anvilglade.Object, error) {
	r := s.wait(&call{})
	return r.object, r.err
}

func (s *modelStore) Put(_ context.Context, object anvilglade.Object, ifVersion anvilglade.Version) (anvilglade.Version, error) {
	r := s.wait(&call{put: &object, ifVersion: ifVersion})
	return r.version, r.err
}

// operator is one editing process.
type operator struct {
	editor     *agedit.Editor
	store      *modelStore
	pending    *call
	done       chan struct{}
	verdict    *agedit.Verdict
	unresolved *agedit.Verdict
	// wanted contains the rows as the last edit should leave them.
	wanted []anvilglade.DataCentre
}

type model struct {
	clock     *modelClock
	objects   *agapi.Objects
	group     *agtask.Group
	operators []*operator
	inFlight  []*call
	balancers []anvilglade.Revision

	documents map[anvilglade.Revision]agconfig.Document
	newest    anvilglade.Revision
	committed map[anvilglade.EditID]anvilglade.Revision
	verdicts  map[anvilglade.EditID]agedit.Verdict
	outcomes  map[agedit.Outcome]int
	ids       int
}

func newModel(group *agtask.Group, operators int) *model {
	clock := &modelClock{now: time.Unix(1_000_000, 0)}
	m := &model{
		clock: clock, objects: agapi.NewObjects(clock), group: group, balancers: make([]anvilglade.Revision, 2),
		documents: map[anvilglade.Revision]agconfig.Document{0: {}}, committed: map[anvilglade.EditID]anvilglade.Revision{},
		verdicts: map[anvilglade.EditID]agedit.Verdict{}, outcomes: map[agedit.Outcome]int{},
	}
	for i := range operators {
		store := &modelStore{calls: make(chan *call)}
		editor := agedit.NewEditor(agedit.Options{
			Store: store, Author: fmt.Sprintf("operator-%d", i), Clock: clock, Attempts: 5,
			Pause: func(context.Context, time.Duration) error { return nil },
			NewID: func() anvilglade.EditID { m.ids++; return anvilglade.EditID(fmt.Sprintf("edit-%d", m.ids)) },
		})
		m.operators = append(m.operators, &operator{editor: editor, store: store})
	}
	return m
}

// start starts an operation of an idle operator and waits for its first store call.
func (m *model) start(o *operator, work func() *agedit.Verdict) error {
	o.done = make(chan struct{})
	done := o.done
	if err := m.group.Start("operator", func(context.Context) error {
		o.verdict = work()
		close(done)
		return nil
	}); err != nil {
		return err
	}
	m.awaitCall(o)
	return nil
}

// awaitCall waits until the operator makes its next store call or its operation
// ends.
func (m *model) awaitCall(o *operator) {
	select {
	case o.pending = <-o.store.calls:
	case <-o.done:
		o.pending, o.done = nil, nil
	}
}

func (m *model) answer(o *operator, r reply) {
	o.pending.reply <- r
	m.awaitCall(o)
}

// put applies a write and checks its effect.
func (m *model) put(t *rapid.T, c *call) (anvilglade.Version, bool) {
	version, ok := m.objects.Put(*c.put, c.ifVersion)
	if !ok {
		return 0, false
	}
	revision := anvilglade.Revision(version)
	document, err := agconfig.Decode(c.put.Data)
	if err != nil {
		t.Fatalf("write at revision %d: %v", revision, err)
	}
	before := m.documents[m.newest]
	edit := document.History[len(document.History)-1]
	if previous, ok := m.committed[edit.ID]; ok {
		t.Fatalf("edit %s took effect at revision %d and again at %d", edit.ID, previous, revision)
	}
	if edit.Base != m.newest {
		t.Fatalf("edit %s has base %d, but replaced revision %d", edit.ID, edit.Base, m.newest)
	}
	// The tables must be the previous tables with exactly the changes of this edit;
	// otherwise an accepted edit would be overwritten.
	tables, _, conflicts, err := agconfig.Apply(before.Tables, edit.Changes)
	if err != nil || len(conflicts) > 0 {
		t.Fatalf("edit %s does not fit its base: %v %v", edit.ID, conflicts, err)
	}
	if rest, err := agconfig.Diff(tables, document.Tables); err != nil || len(rest) > 0 {
		t.Fatalf("edit %s changed rows that it does not list: %v %v", edit.ID, rest, err)
	}
	m.documents[revision], m.newest, m.committed[edit.ID] = document, revision, revision
	return version, true
}

// step answers the pending store call of an operator, with a fault that is drawn.
func (m *model) step(t *rapid.T, o *operator) {
	if o.pending.put == nil {
		m.stepGet(t, o)
		return
	}
	fault := rapid.SampledFrom([]string{"none", "none", "none", "lost after", "lost before", "late", "refused"}).Draw(t, "put")
	switch fault {
	case "refused":
		m.answer(o, reply{err: anvilglade.ErrOverloaded})
	case "lost before":
		m.answer(o, reply{err: anvilglade.ErrUnknownOutcome})
	case "late":
		m.inFlight = append(m.inFlight, o.pending)
		m.answer(o, reply{err: anvilglade.ErrUnknownOutcome})
	default:
		version, ok := m.put(t, o.pending)
		switch {
		case fault == "lost after":
			m.answer(o, reply{err: anvilglade.ErrUnknownOutcome})
		case ok:
			m.answer(o, reply{version: version})
		default:
			m.answer(o, reply{err: anvilglade.ErrConflict})
		}
	}
}

func (m *model) stepGet(t *rapid.T, o *operator) {
	switch rapid.SampledFrom([]string{"none", "none", "none", "stale", "unreachable"}).Draw(t, "get") {
	case "unreachable":
		m.answer(o, reply{err: errUnreachable})
	case "stale":
		m.answerGet(o, time.Duration(rapid.IntRange(1, 30).Draw(t, "age"))*time.Second)
	default:
		m.answerGet(o, 0)
	}
}

func (m *model) answerGet(o *operator, age time.Duration) {
	object, ok := m.objects.Get(agconfig.ObjectKind, agconfig.ObjectName, age)
	if !ok {
		m.answer(o, reply{err: anvilglade.ErrNotFound})
		return
	}
	m.answer(o, reply{object: object})
}

// edit reads the tables, changes one or two rows of a small table and submits the
// changes.
func (o *operator) edit(names []string, states []anvilglade.DataCentreState) *agedit.Verdict {
	snapshot, err := o.editor.Read(context.Background())
	if err != nil {
		return nil
	}
	o.wanted = nil
	wanted := anvilglade.Tables{DataCentres: slices.Clone(snapshot.Document.Tables.DataCentres)}
	for i, name := range names {
		row := anvilglade.DataCentre{Name: anvilglade.DataCentreID(name), Region: "dk", State: states[i]}
		o.wanted = append(o.wanted, row)
		index := slices.IndexFunc(wanted.DataCentres, func(d anvilglade.DataCentre) bool { return d.Name == row.Name })
		if index < 0 {
			wanted.DataCentres = append(wanted.DataCentres, row)
			continue
		}
		wanted.DataCentres[index] = row
	}
	changes, err := agconfig.Diff(snapshot.Document.Tables, wanted)
	if err != nil {
		panic(err)
	}
	for _, name := range names {
		if changes, err = agconfig.AddPrecondition(changes, snapshot.Document.Tables, agconfig.TableDataCentres, name); err != nil {
			panic(err)
		}
	}
	verdict := o.editor.Submit(context.Background(), agedit.Request{Base: snapshot.Revision, Changes: changes})
	return &verdict
}

// checkVerdicts compares every verdict with the writes that took effect.
func (m *model) checkVerdicts(t *rapid.T) {
	for _, o := range m.operators {
		if o.done == nil && o.verdict != nil {
			m.verdicts[o.verdict.EditID] = *o.verdict
			m.outcomes[o.verdict.Outcome]++
			o.unresolved = nil
			if o.verdict.Outcome == agedit.Unknown {
				o.unresolved = o.verdict
			}
			if o.verdict.Outcome == agedit.Accepted {
				m.checkWanted(t, o)
			}
			o.verdict = nil
		}
	}
	for id, verdict := range m.verdicts {
		revision, committed := m.committed[id]
		switch {
		case verdict.Outcome == agedit.Accepted && (!committed || revision != verdict.Revision):
			t.Fatalf("edit %s was reported as accepted at revision %d; it took effect: %v at %d", id, verdict.Revision, committed, revision)
		case verdict.Outcome == agedit.Rejected && committed:
			t.Fatalf("edit %s was reported as rejected (%s), but took effect at revision %d", id, verdict.Reason, revision)
		}
	}
}

// checkWanted checks that at the revision of an accepted verdict the rows are as the
// operator wanted. An edit whose rows have the wanted values in a stale read only
// must not be accepted.
func (m *model) checkWanted(t *rapid.T, o *operator) {
	tables := m.documents[o.verdict.Revision].Tables
	for _, row := range o.wanted {
		if !slices.Contains(tables.DataCentres, row) {
			t.Fatalf("edit %s was reported as accepted at revision %d, which has %v instead of %v", o.verdict.EditID, o.verdict.Revision, tables.DataCentres, row)
		}
	}
}

// adoptRead makes a balancer adopt the result of a read, which may be stale. The
// balancer must only change to higher revisions.
func (m *model) adoptRead(t *rapid.T) {
	i := rapid.IntRange(0, len(m.balancers)-1).Draw(t, "balancer")
	age := time.Duration(rapid.SampledFrom([]int{0, 0, 5, 30}).Draw(t, "age")) * time.Second
	object, ok := m.objects.Get(agconfig.ObjectKind, agconfig.ObjectName, age)
	if !ok {
		return
	}
	holder := agconfig.Holder{}
	if m.balancers[i] > 0 {
		former, err := agconfig.Encode(m.documents[m.balancers[i]])
		if err != nil {
			t.Fatal(err)
		}
		if _, err := holder.Adopt(anvilglade.Version(m.balancers[i]), former); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := holder.Adopt(object.Version, object.Data); err != nil {
		t.Fatal(err)
	}
	configuration, _ := holder.Current()
	if configuration.Revision < m.balancers[i] {
		t.Fatalf("balancer %d reverted from revision %d to %d", i, m.balancers[i], configuration.Revision)
	}
	if rest, err := agconfig.Diff(m.documents[configuration.Revision].Tables, configuration.Tables); err != nil || len(rest) > 0 {
		t.Fatalf("balancer %d has other tables at revision %d: %v %v", i, configuration.Revision, rest, err)
	}
	m.balancers[i] = configuration.Revision
}

func (m *model) actions() map[string]func(*rapid.T) {
	idle := func(o *operator) bool { return o.done == nil }
	pick := func(t *rapid.T, wanted func(*operator) bool) *operator {
		var found []*operator
		for _, o := range m.operators {
			if wanted(o) {
				found = append(found, o)
			}
		}
		if len(found) == 0 {
			t.Skip("no operator in the required state")
		}
		return rapid.SampledFrom(found).Draw(t, "operator")
	}
	proceed := func(t *rapid.T) { m.step(t, pick(t, func(o *operator) bool { return !idle(o) })) }
	return map[string]func(*rapid.T){
		"": m.checkVerdicts,
		// rapid chooses actions uniformly; further entries raise the share of one.
		"proceed":  proceed,
		"proceed2": proceed,
		"proceed3": proceed,
		"edit": func(t *rapid.T) {
			o := pick(t, func(o *operator) bool { return idle(o) && o.unresolved == nil })
			names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"dk1", "dk2", "dk3"}), 1, 2, rapid.ID[string]).Draw(t, "rows")
			states := rapid.SliceOfN(rapid.SampledFrom([]anvilglade.DataCentreState{"In", "Draining", "Out"}), 2, 2).Draw(t, "states")
			if err := m.start(o, func() *agedit.Verdict { return o.edit(names, states) }); err != nil {
				t.Fatal(err)
			}
		},
		"resolve": func(t *rapid.T) {
			o := pick(t, func(o *operator) bool { return idle(o) && o.unresolved != nil })
			unresolved := *o.unresolved
			if err := m.start(o, func() *agedit.Verdict {
				verdict := o.editor.Resolve(context.Background(), unresolved.EditID, unresolved.Base)
				return &verdict
			}); err != nil {
				t.Fatal(err)
			}
		},
		"deliver": func(t *rapid.T) {
			if len(m.inFlight) == 0 {
				t.Skip("no write in flight")
			}
			i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "write")
			m.put(t, m.inFlight[i])
			m.inFlight = slices.Delete(m.inFlight, i, i+1)
		},
		"watch":   m.adoptRead,
		"restart": func(t *rapid.T) { m.balancers[rapid.IntRange(0, len(m.balancers)-1).Draw(t, "balancer")] = 0 },
		"time passes": func(t *rapid.T) {
			m.clock.now = m.clock.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
		},
	}
}

// finish delivers late writes, completes all operations without faults and checks
// the verdicts again, because a Rejected edit must not take effect afterwards.
func (m *model) finish(t *rapid.T) {
	for _, late := range m.inFlight {
		m.put(t, late)
	}
	for _, o := range m.operators {
		for o.done != nil {
			if o.pending.put == nil {
				m.answerGet(o, 0)
				continue
			}
			version, ok := m.put(t, o.pending)
			if !ok {
				m.answer(o, reply{err: anvilglade.ErrConflict})
				continue
			}
			m.answer(o, reply{version: version})
		}
	}
	m.checkVerdicts(t)
}

// TestEditsUnderAnyInterleaving guards against edits that are lost, applied twice
// or overwritten, against wrong verdicts and against balancers that revert to an
// older revision, under any interleaving of operators, lost and late writes, stale
// reads and restarts.
func TestEditsUnderAnyInterleaving(t *testing.T) {
	group, stop, err := agtask.NewGroup(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	total := map[agedit.Outcome]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(group, 3)
		// If a draw or a check fails, rapid panics. Operators that still wait for a
		// reply of the store must then be stopped.
		defer m.stopOperators()
		t.Repeat(m.actions())
		m.finish(t)
		for outcome, count := range m.outcomes {
			total[outcome] += count
		}
	})
	t.Logf("verdicts: %v", total)
	for _, outcome := range []agedit.Outcome{agedit.Accepted, agedit.Rejected, agedit.Unknown} {
		if !slices.Contains(slices.Collect(maps.Keys(total)), outcome) {
			t.Errorf("no run had the verdict %s, so it was not tested", outcome)
		}
	}
}

// stopOperators ends the operations that a failed run has left.
func (m *model) stopOperators() {
	for _, o := range m.operators {
		for o.done != nil {
			m.answer(o, reply{err: errUnreachable})
		}
	}
}
