package agedit_test

// A seeded model of several operators that edit through a store which answers
// late, falsely old or not at all. Every store call of every operator waits
// until the test lets it go, so the test draws the interleaving. An operator
// whose call is not drawn is paused.

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
	// A fixed seed gives CI the same verdict each time; -rapid.seed replaces it.
	if err := errors.Join(flag.Set("rapid.seed", "20261204"), flag.Set("rapid.checks", "1000")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var errUnreachable = errors.New("platform is unreachable")

type modelClock struct{ now time.Time }

func (c *modelClock) Now() time.Time { return c.now }

// call is a store call that waits for the test.
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
	editor  *agedit.Editor
	store   *modelStore
	pending *call
	done    chan struct{}
	verdict *agedit.Verdict
	open    *agedit.Verdict
	// wanted are the rows that the last edit asked for.
	wanted []anvilglade.DataCentre
}

type world struct {
	clock     *modelClock
	objects   *agapi.Objects
	group     *agtask.Group
	operators []*operator
	flying    []*call
	balancers []anvilglade.Revision

	documents map[anvilglade.Revision]agconfig.Document
	newest    anvilglade.Revision
	committed map[anvilglade.EditID]anvilglade.Revision
	verdicts  map[anvilglade.EditID]agedit.Verdict
	outcomes  map[agedit.Outcome]int
	ids       int
}

func newWorld(group *agtask.Group, operators int) *world {
	clock := &modelClock{now: time.Unix(1_000_000, 0)}
	w := &world{
		clock: clock, objects: agapi.NewObjects(clock), group: group, balancers: make([]anvilglade.Revision, 2),
		documents: map[anvilglade.Revision]agconfig.Document{0: {}}, committed: map[anvilglade.EditID]anvilglade.Revision{},
		verdicts: map[anvilglade.EditID]agedit.Verdict{}, outcomes: map[agedit.Outcome]int{},
	}
	for i := range operators {
		store := &modelStore{calls: make(chan *call)}
		editor := agedit.NewEditor(agedit.Options{
			Store: store, Author: fmt.Sprintf("operator-%d", i), Clock: clock, Attempts: 5,
			Pause: func(context.Context, time.Duration) error { return nil },
			NewID: func() anvilglade.EditID { w.ids++; return anvilglade.EditID(fmt.Sprintf("edit-%d", w.ids)) },
		})
		w.operators = append(w.operators, &operator{editor: editor, store: store})
	}
	return w
}

// start runs an operation of an idle operator up to its first store call.
func (w *world) start(o *operator, work func() *agedit.Verdict) error {
	o.done = make(chan struct{})
	done := o.done
	if err := w.group.Start("operator", func(context.Context) error {
		o.verdict = work()
		close(done)
		return nil
	}); err != nil {
		return err
	}
	w.settle(o)
	return nil
}

// settle waits until the operator has its next store call or has ended.
func (w *world) settle(o *operator) {
	select {
	case o.pending = <-o.store.calls:
	case <-o.done:
		o.pending, o.done = nil, nil
	}
}

func (w *world) answer(o *operator, r reply) {
	o.pending.reply <- r
	w.settle(o)
}

// put applies a write and checks what it did.
func (w *world) put(t *rapid.T, c *call) (anvilglade.Version, bool) {
	version, ok := w.objects.Put(*c.put, c.ifVersion)
	if !ok {
		return 0, false
	}
	revision := anvilglade.Revision(version)
	document, err := agconfig.Decode(c.put.Data)
	if err != nil {
		t.Fatalf("write at revision %d: %v", revision, err)
	}
	before := w.documents[w.newest]
	edit := document.History[len(document.History)-1]
	if former, ok := w.committed[edit.ID]; ok {
		t.Fatalf("edit %s took effect at revision %d and again at %d", edit.ID, former, revision)
	}
	if edit.Base != w.newest {
		t.Fatalf("edit %s names base %d, but replaced %d", edit.ID, edit.Base, w.newest)
	}
	// The tables are those before it with exactly the changes of this edit, so
	// no accepted edit is overwritten.
	tables, _, conflicts, err := agconfig.Apply(before.Tables, edit.Changes)
	if err != nil || len(conflicts) > 0 {
		t.Fatalf("edit %s does not fit its base: %v %v", edit.ID, conflicts, err)
	}
	if rest, err := agconfig.Diff(tables, document.Tables); err != nil || len(rest) > 0 {
		t.Fatalf("edit %s changed rows that it does not list: %v %v", edit.ID, rest, err)
	}
	w.documents[revision], w.newest, w.committed[edit.ID] = document, revision, revision
	return version, true
}

// step lets one store call go, with a fault that is drawn.
func (w *world) step(t *rapid.T, o *operator) {
	if o.pending.put == nil {
		w.stepGet(t, o)
		return
	}
	fault := rapid.SampledFrom([]string{"none", "none", "none", "lost after", "lost before", "late", "refused"}).Draw(t, "put")
	switch fault {
	case "refused":
		w.answer(o, reply{err: anvilglade.ErrOverloaded})
	case "lost before":
		w.answer(o, reply{err: anvilglade.ErrUnknownOutcome})
	case "late":
		w.flying = append(w.flying, o.pending)
		w.answer(o, reply{err: anvilglade.ErrUnknownOutcome})
	default:
		version, ok := w.put(t, o.pending)
		switch {
		case fault == "lost after":
			w.answer(o, reply{err: anvilglade.ErrUnknownOutcome})
		case ok:
			w.answer(o, reply{version: version})
		default:
			w.answer(o, reply{err: anvilglade.ErrConflict})
		}
	}
}

func (w *world) stepGet(t *rapid.T, o *operator) {
	switch rapid.SampledFrom([]string{"none", "none", "none", "stale", "unreachable"}).Draw(t, "get") {
	case "unreachable":
		w.answer(o, reply{err: errUnreachable})
	case "stale":
		w.get(o, time.Duration(rapid.IntRange(1, 30).Draw(t, "age"))*time.Second)
	default:
		w.get(o, 0)
	}
}

func (w *world) get(o *operator, age time.Duration) {
	object, ok := w.objects.Get(agconfig.ObjectKind, agconfig.ObjectName, age)
	if !ok {
		w.answer(o, reply{err: anvilglade.ErrNotFound})
		return
	}
	w.answer(o, reply{object: object})
}

// edit reads, changes one or two rows of a small table and submits.
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

// check compares every verdict with what took effect.
func (w *world) check(t *rapid.T) {
	for _, o := range w.operators {
		if o.done == nil && o.verdict != nil {
			w.verdicts[o.verdict.EditID] = *o.verdict
			w.outcomes[o.verdict.Outcome]++
			o.open = nil
			if o.verdict.Outcome == agedit.Unknown {
				o.open = o.verdict
			}
			if o.verdict.Outcome == agedit.Accepted {
				w.checkWanted(t, o)
			}
			o.verdict = nil
		}
	}
	for id, verdict := range w.verdicts {
		revision, committed := w.committed[id]
		switch {
		case verdict.Outcome == agedit.Accepted && (!committed || revision != verdict.Revision):
			t.Fatalf("edit %s was called accepted at revision %d; it took effect: %v at %d", id, verdict.Revision, committed, revision)
		case verdict.Outcome == agedit.Rejected && committed:
			t.Fatalf("edit %s was called rejected (%s), but took effect at revision %d", id, verdict.Reason, revision)
		}
	}
}

// checkWanted checks that the rows are as the operator asked, at the revision
// that it was told. An edit that found nothing to change must not be accepted on
// the ground of a stale read.
func (w *world) checkWanted(t *rapid.T, o *operator) {
	tables := w.documents[o.verdict.Revision].Tables
	for _, row := range o.wanted {
		if !slices.Contains(tables.DataCentres, row) {
			t.Fatalf("edit %s was called accepted at revision %d, which has %v instead of %v", o.verdict.EditID, o.verdict.Revision, tables.DataCentres, row)
		}
	}
}

// watch lets a balancer adopt what a read shows; only higher revisions count.
func (w *world) watch(t *rapid.T) {
	i := rapid.IntRange(0, len(w.balancers)-1).Draw(t, "balancer")
	age := time.Duration(rapid.SampledFrom([]int{0, 0, 5, 30}).Draw(t, "age")) * time.Second
	object, ok := w.objects.Get(agconfig.ObjectKind, agconfig.ObjectName, age)
	if !ok {
		return
	}
	holder := agconfig.Holder{}
	if w.balancers[i] > 0 {
		former, err := agconfig.Encode(w.documents[w.balancers[i]])
		if err != nil {
			t.Fatal(err)
		}
		if _, err := holder.Adopt(anvilglade.Version(w.balancers[i]), former); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := holder.Adopt(object.Version, object.Data); err != nil {
		t.Fatal(err)
	}
	configuration, _ := holder.Current()
	if configuration.Revision < w.balancers[i] {
		t.Fatalf("balancer %d fell from revision %d to %d", i, w.balancers[i], configuration.Revision)
	}
	if rest, err := agconfig.Diff(w.documents[configuration.Revision].Tables, configuration.Tables); err != nil || len(rest) > 0 {
		t.Fatalf("balancer %d has other tables at revision %d: %v %v", i, configuration.Revision, rest, err)
	}
	w.balancers[i] = configuration.Revision
}

func (w *world) actions() map[string]func(*rapid.T) {
	idle := func(o *operator) bool { return o.done == nil }
	pick := func(t *rapid.T, wanted func(*operator) bool) *operator {
		var found []*operator
		for _, o := range w.operators {
			if wanted(o) {
				found = append(found, o)
			}
		}
		if len(found) == 0 {
			t.Skip("no operator in this state")
		}
		return rapid.SampledFrom(found).Draw(t, "operator")
	}
	proceed := func(t *rapid.T) { w.step(t, pick(t, func(o *operator) bool { return !idle(o) })) }
	return map[string]func(*rapid.T){
		"":         w.check,
		"proceed":  proceed,
		"proceed2": proceed,
		"proceed3": proceed,
		"edit": func(t *rapid.T) {
			o := pick(t, func(o *operator) bool { return idle(o) && o.open == nil })
			names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"dk1", "dk2", "dk3"}), 1, 2, rapid.ID[string]).Draw(t, "rows")
			states := rapid.SliceOfN(rapid.SampledFrom([]anvilglade.DataCentreState{"In", "Draining", "Out"}), 2, 2).Draw(t, "states")
			if err := w.start(o, func() *agedit.Verdict { return o.edit(names, states) }); err != nil {
				t.Fatal(err)
			}
		},
		"resolve": func(t *rapid.T) {
			o := pick(t, func(o *operator) bool { return idle(o) && o.open != nil })
			open := *o.open
			if err := w.start(o, func() *agedit.Verdict {
				verdict := o.editor.Resolve(context.Background(), open.EditID, open.Base)
				return &verdict
			}); err != nil {
				t.Fatal(err)
			}
		},
		"deliver": func(t *rapid.T) {
			if len(w.flying) == 0 {
				t.Skip("no write on its way")
			}
			i := rapid.IntRange(0, len(w.flying)-1).Draw(t, "write")
			w.put(t, w.flying[i])
			w.flying = slices.Delete(w.flying, i, i+1)
		},
		"watch":   w.watch,
		"restart": func(t *rapid.T) { w.balancers[rapid.IntRange(0, len(w.balancers)-1).Draw(t, "balancer")] = 0 },
		"time passes": func(t *rapid.T) {
			w.clock.now = w.clock.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
		},
	}
}

// finish delivers late writes, ends all operations without faults and checks
// the verdicts once more: a Rejected edit must not take effect afterwards.
func (w *world) finish(t *rapid.T) {
	for _, late := range w.flying {
		w.put(t, late)
	}
	for _, o := range w.operators {
		for o.done != nil {
			if o.pending.put == nil {
				w.get(o, 0)
				continue
			}
			version, ok := w.put(t, o.pending)
			if !ok {
				w.answer(o, reply{err: anvilglade.ErrConflict})
				continue
			}
			w.answer(o, reply{version: version})
		}
	}
	w.check(t)
}

// Guards against edits that are lost, applied twice or overwritten, against
// verdicts that are not true, and against balancers that revert, over any
// interleaving of operators, lost and late writes, stale reads and restarts.
func TestEditsUnderAnyInterleaving(t *testing.T) {
	group, stop, err := agtask.NewGroup(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	total := map[agedit.Outcome]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(group, 3)
		// A failed draw panics; the operators then still wait and must end.
		defer w.release()
		t.Repeat(w.actions())
		w.finish(t)
		for outcome, count := range w.outcomes {
			total[outcome] += count
		}
	})
	t.Logf("verdicts: %v", total)
	for _, outcome := range []agedit.Outcome{agedit.Accepted, agedit.Rejected, agedit.Unknown} {
		if !slices.Contains(slices.Collect(maps.Keys(total)), outcome) {
			t.Errorf("no run had the verdict %s, so its truth was not tested", outcome)
		}
	}
}

// release ends the operators of a run that failed.
func (w *world) release() {
	for _, o := range w.operators {
		for o.done != nil {
			w.answer(o, reply{err: errUnreachable})
		}
	}
}
