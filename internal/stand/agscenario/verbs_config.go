package agscenario

// Verbs that edit the configuration through the operator commands, and the
// measures of what became of the edits. Every edit sets or clears the override
// of a host that does not exist, so that edits disturb nothing else.

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/anvilglade/anvilglade/internal/operate/agtask"
	"github.com/anvilglade/anvilglade/internal/stand/agcaller"
)

// Exit codes of the operator commands.
const (
	exitAccepted = 0
	exitRejected = 3
	exitUnknown  = 4
)

// sharedRows is the number of rows that racing operators all edit.
const sharedRows = 2

type edit struct {
	row        string
	drain      bool
	start, end time.Time
	code       int
	revision   uint64
	output     string
}

// configRecord is what happened to the configuration in a case.
type configRecord struct {
	mu    sync.Mutex
	edits []edit
	// seen holds, for each balancer process, when it first showed a revision.
	seen     map[string][]sighting
	reverted int
	watching bool
}

type sighting struct {
	at       time.Time
	revision uint64
}

var revisionPattern = regexp.MustCompile(`"Revision":\s*"?(\d+)`)

func revisionIn(data []byte) (uint64, bool) {
	found := revisionPattern.FindSubmatch(data)
	if found == nil {
		return 0, false
	}
	revision, err := strconv.ParseUint(string(found[1]), 10, 64)
	return revision, err == nil
}

const watchInterval = 20 * time.Millisecond

// runWatch records from now on which revision each balancer has.
func runWatch(_ context.Context, s *scene, _ *step) error {
	if s.config.watching {
		return nil
	}
	s.config.watching = true
	s.config.seen = map[string][]sighting{}
	return s.background.Start("watch revisions", func(ctx context.Context) error {
		ticker := time.NewTicker(watchInterval)
		defer ticker.Stop()
		for {
			s.look(ctx)
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.C:
			}
		}
	})
}

func (s *scene) look(ctx context.Context) {
	s.fleet.mu.Lock()
	names := s.fleet.livingBalancers()
	s.fleet.mu.Unlock()
	for _, name := range names {
		data, err := call(ctx, "GET", s.fleet.adminOfBalancer(name)+"/status", nil)
		if err != nil {
			continue
		}
		if revision, ok := revisionIn(data); ok {
			s.config.saw(name, revision, time.Now())
		}
	}
}

func (c *configRecord) saw(name string, revision uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.seen[name]
	if len(list) > 0 && list[len(list)-1].revision == revision {
		return
	}
	if len(list) > 0 && list[len(list)-1].revision > revision {
		c.reverted++
	}
	c.seen[name] = append(list, sighting{at: now, revision: revision})
}

// runEdits lets operators work at the same time. Each edits rows of its own
// and, with several operators, in every third edit a row that all share.
func runEdits(ctx context.Context, s *scene, step *step) error {
	operators := max(step.count("operators"), 1)
	group, stop, err := agtask.NewGroup(ctx)
	if err != nil {
		return err
	}
	defer stop()
	for operator := range operators {
		if err := group.Start("operator", func(ctx context.Context) error {
			for n := range step.count("count") / operators {
				row := fmt.Sprintf("edit-%d-%d-%d", step.line, operator, n)
				drain := true
				if operators > 1 && n%3 == 2 {
					row, drain = fmt.Sprintf("shared-%d", n%sharedRows), (operator+n)%2 == 0
				}
				if err := s.edit(ctx, row, drain); err != nil {
					return err
				}
				if pause := step.duration("pause"); pause > 0 {
					time.Sleep(pause)
				}
			}
			return nil
		}); err != nil {
			return err
		}
	}
	return group.Wait()
}

func editArguments(row string, drain bool) []string {
	if drain {
		return []string{"hosts", "drain", row, "--json"}
	}
	return []string{"hosts", "undrain", row, "--json"}
}

func (s *scene) edit(ctx context.Context, row string, drain bool) error {
	one := edit{row: row, drain: drain, start: time.Now()}
	result, err := s.fleet.operate(ctx, editArguments(row, drain)...)
	if err != nil {
		return fmt.Errorf("edit %s: %w", row, err)
	}
	one.end, one.code = time.Now(), result.code
	one.revision, _ = revisionIn(result.output)
	one.output = string(result.output) + string(result.errors)
	s.config.mu.Lock()
	defer s.config.mu.Unlock()
	s.config.edits = append(s.config.edits, one)
	return nil
}

// runPauseOperator stops an operator command in the middle of its edit, lets
// another operator change the same row, and lets the first go on.
func runPauseOperator(ctx context.Context, s *scene, step *step) error {
	const row = "paused-row"
	args := append(editArguments(row, true), "--platform", "http://"+s.fleet.plan.relay(0).String())
	for delay := time.Millisecond; delay <= 16*time.Millisecond; delay *= 2 {
		command := exec.CommandContext(ctx, s.fleet.options.Anvilglade, args...) //nolint:gosec // the program is the caller's own setting
		if err := command.Start(); err != nil {
			return err
		}
		time.Sleep(delay)
		if err := command.Process.Signal(syscall.SIGSTOP); err != nil {
			continue
		}
		before := time.Now()
		if err := s.edit(ctx, row, false); err != nil {
			return err
		}
		time.Sleep(step.duration("time") / 5)
		if err := command.Process.Signal(syscall.SIGCONT); err != nil {
			return err
		}
		err := command.Wait()
		s.note("operator paused after %s for %s, ended with %v", delay, time.Since(before).Round(time.Millisecond), err)
	}
	return nil
}

// finalRows returns the overrides that are in the table at the end.
func (s *scene) finalRows(ctx context.Context) (map[string]bool, error) {
	result, err := s.fleet.operate(ctx, "hosts", "get", "--json")
	if err != nil || result.code != 0 {
		return nil, fmt.Errorf("anvilglade hosts get: exit code %d, %w: %s", result.code, err, result.errors)
	}
	return rowsIn(result.output)
}

// rowsIn finds {"Name", "Draining"} at any depth, because the command may wrap
// the rows.
func rowsIn(data []byte) (map[string]bool, error) {
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		return nil, fmt.Errorf("parse rows: %w", err)
	}
	rows := map[string]bool{}
	collectRows(tree, rows)
	return rows, nil
}

func collectRows(tree any, rows map[string]bool) {
	switch node := tree.(type) {
	case []any:
		for _, item := range node {
			collectRows(item, rows)
		}
	case map[string]any:
		name, named := node["Name"].(string)
		if draining, ok := node["Draining"].(bool); ok && named {
			rows[name] = draining
		}
		for _, item := range node {
			collectRows(item, rows)
		}
	}
}

// lags returns, for each accepted edit, the time from the start of the command
// until every balancer had its revision.
func (s *scene) lags() (lags []time.Duration, never int) {
	s.fleet.mu.Lock()
	living := s.fleet.livingBalancers()
	s.fleet.mu.Unlock()
	s.config.mu.Lock()
	defer s.config.mu.Unlock()
	for _, one := range s.config.edits {
		if one.code != exitAccepted || one.revision == 0 || one.start.Before(s.marked) {
			continue
		}
		latest, complete := one.start, true
		for _, name := range living {
			at, ok := firstAtLeast(s.config.seen[name], one.revision)
			complete = complete && ok
			if at.After(latest) {
				latest = at
			}
		}
		if !complete {
			never++
			continue
		}
		lags = append(lags, latest.Sub(one.start))
	}
	return lags, never
}

func firstAtLeast(list []sighting, revision uint64) (time.Time, bool) {
	for _, item := range list {
		if item.revision >= revision {
			return item.at, true
		}
	}
	return time.Time{}, false
}

func (s *scene) inForce(percent int) value {
	lags, never := s.lags()
	if len(lags) == 0 {
		return missing("no accepted edit came into force; %d never did", never)
	}
	if never > 0 {
		return missing("%d of %d accepted edits never came into force on every balancer", never, never+len(lags))
	}
	return value{value: agcaller.Percentile(lags, percent).Seconds(), of: float64(len(lags)), unit: "s"}
}

func measureInForceP99(_ context.Context, s *scene, _ string) value { return s.inForce(99) }

func measureInForceMax(_ context.Context, s *scene, _ string) value { return s.inForce(100) }

func measureReverted(_ context.Context, s *scene, _ string) value {
	if !s.config.watching {
		return missing("the case does not watch revisions")
	}
	s.config.mu.Lock()
	defer s.config.mu.Unlock()
	seen := 0
	for _, list := range s.config.seen {
		seen += len(list)
	}
	if seen == 0 {
		return missing("no balancer showed a revision")
	}
	return count(s.config.reverted, seen, "revisions")
}

// newestOf returns, for each row, the accepted edit with the highest revision,
// and whether an edit of the row ended with an unknown outcome.
func (s *scene) newestOf() (newest map[string]edit, unknown map[string]bool) {
	newest, unknown = map[string]edit{}, map[string]bool{}
	s.config.mu.Lock()
	defer s.config.mu.Unlock()
	for _, one := range s.config.edits {
		if one.code == exitUnknown {
			unknown[one.row] = true
		}
		if one.code == exitAccepted && one.revision >= newest[one.row].revision {
			newest[one.row] = one
		}
	}
	return newest, unknown
}

// measureEditsLost counts rows whose newest accepted edit is not in the table.
func measureEditsLost(ctx context.Context, s *scene, _ string) value {
	rows, err := s.finalRows(ctx)
	if err != nil {
		return missing("%w", err)
	}
	newest, unknown := s.newestOf()
	lost := 0
	for _, row := range slices.Sorted(maps.Keys(newest)) {
		if one := newest[row]; rows[row] != one.drain && !unknown[row] {
			lost++
			s.note("edit of %s (revision %d, draining %t) is not in the table", row, one.revision, one.drain)
		}
	}
	if len(newest) == 0 {
		return missing("no edit was accepted")
	}
	return count(lost, len(newest), "rows")
}

// measureEditsWrongVerdict counts edits of rows of their own that were said to
// be rejected and are in the table, or failed in another way than by a verdict.
func measureEditsWrongVerdict(ctx context.Context, s *scene, _ string) value {
	rows, err := s.finalRows(ctx)
	if err != nil {
		return missing("%w", err)
	}
	s.config.mu.Lock()
	defer s.config.mu.Unlock()
	touched := map[string]int{}
	for _, one := range s.config.edits {
		touched[one.row]++
	}
	wrong := 0
	codes := map[int]int{}
	for _, one := range s.config.edits {
		codes[one.code]++
		own := touched[one.row] == 1
		switch {
		case one.code == exitAccepted && own && rows[one.row] != one.drain,
			one.code == exitRejected && own && rows[one.row] == one.drain,
			one.code != exitAccepted && one.code != exitRejected && one.code != exitUnknown:
			wrong++
			s.note("edit of %s ended with %d: %s", one.row, one.code, one.output)
		}
	}
	s.note("edits by exit code: %v", codes)
	return count(wrong, len(s.config.edits), "edits")
}

// measureEditsTwice counts accepted edits beyond one for each revision of the
// configuration object: an edit that was applied twice raises the revision
// twice.
func measureEditsTwice(_ context.Context, s *scene, _ string) value {
	s.config.mu.Lock()
	defer s.config.mu.Unlock()
	byRevision := map[uint64]int{}
	for _, one := range s.config.edits {
		if one.code == exitAccepted && one.revision > 0 {
			byRevision[one.revision]++
		}
	}
	twice := 0
	for _, n := range byRevision {
		twice += n - 1
	}
	return count(twice, len(s.config.edits), "edits")
}

// measureEditsOverwritten counts rows in which an accepted edit of another
// operator was replaced by the one of a paused operator.
func measureEditsOverwritten(ctx context.Context, s *scene, of string) value {
	return measureEditsLost(ctx, s, of)
}
