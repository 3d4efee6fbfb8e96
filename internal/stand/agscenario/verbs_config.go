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
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agconfig"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/stand/agapi"
	"github.com/anvilglade/anvilglade/internal/stand/agcaller"
)

// Exit codes of the operator commands.
const (
	exitAccepted = 0
	// exitFailed says that nothing was written, for a reason other than the
	// edit itself, such as an outage.
	exitFailed   = 1
	exitUsage    = 2
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
	// paused counts the races with a paused operator.
	paused int
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
	result, err := s.fleet.operate(ctx, s.fleet.edits(editArguments(row, drain)...)...)
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

// pausedRead is the delay of the object API while an operator is paused. The
// first operator stops in the middle of its read, which then takes effect before
// the write of the second one.
const pausedRead = 400 * time.Millisecond

// pausedRounds is how often the race is run.
const pausedRounds = 4

// runPauseOperator stops an operator's command between its read and its write,
// lets another operator change the same row, and lets the first go on. The
// first must not replace what it has not seen.
func runPauseOperator(ctx context.Context, s *scene, step *step) error {
	if err := s.fleet.apiFaults(ctx, agapi.Faults{Delay: anvilglade.Duration(pausedRead)}); err != nil {
		return err
	}
	for round := range pausedRounds {
		code, err := s.pausedRound(ctx, round, step.duration("time"))
		if err != nil {
			return err
		}
		s.config.paused++
		if code == exitAccepted {
			s.violation("EditsOverwritten", "round %d: the edit of the paused operator replaced a newer one", round)
		}
	}
	return s.fleet.apiFaults(ctx, agapi.Faults{})
}

func (s *scene) pausedRound(ctx context.Context, round int, length time.Duration) (int, error) {
	arguments := func(author string) []string {
		return s.fleet.edits("datacentres", "set", "dk3", "--region", fmt.Sprintf("%s-%d", author, round), "--json")
	}
	command := exec.CommandContext(ctx, s.fleet.options.Anvilglade, arguments("paused")...) //nolint:gosec // the program is the caller's own setting
	if err := command.Start(); err != nil {
		return 0, err
	}
	time.Sleep(pausedRead / 2)
	if err := command.Process.Signal(syscall.SIGSTOP); err != nil {
		return 0, err
	}
	other, err := s.fleet.operate(ctx, arguments("other")...)
	if err != nil {
		return 0, err
	}
	if other.code != exitAccepted {
		return 0, fmt.Errorf("edit of the second operator: exit code %d: %s%s", other.code, other.output, other.errors)
	}
	time.Sleep(length)
	if err := command.Process.Signal(syscall.SIGCONT); err != nil {
		return 0, err
	}
	// The exit code is in the process state; the error repeats it.
	_ = command.Wait()
	return command.ProcessState.ExitCode(), nil
}

// finalRows returns the overrides that are in the table at the end.
func (s *scene) finalRows(ctx context.Context) (map[string]bool, error) {
	result, err := s.fleet.operate(ctx, s.fleet.edits("hosts", "list", "--json")...)
	if err != nil || result.code != 0 {
		return nil, fmt.Errorf("anvilglade hosts list: exit code %d, %w: %s", result.code, err, result.errors)
	}
	return rowsIn(result.output)
}

// rowsIn finds {"Host", "Draining"} at any depth, because the command may wrap
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
		name, named := node["Host"].(string)
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
			(one.code == exitRejected || one.code == exitFailed) && own && rows[one.row] == one.drain,
			one.code > exitUnknown || one.code == exitUsage:
			wrong++
			s.note("edit of %s ended with %d: %s", one.row, one.code, one.output)
		}
	}
	s.note("edits by exit code: %v", codes)
	return count(wrong, len(s.config.edits), "edits")
}

// measureEditsTwice counts edits that are more than once in the history of the
// configuration object: by their id, or by a row that was edited once.
func measureEditsTwice(ctx context.Context, s *scene, _ string) value {
	object, err := readObject(ctx, s.fleet.plan.api(), agconfig.ObjectKind, agconfig.ObjectName)
	if err != nil {
		return missing("read the configuration: %w", err)
	}
	document, err := agconfig.Decode(object.Data)
	if err != nil {
		return missing("%w", err)
	}
	ids, rows := map[string]int{}, map[string]int{}
	for _, one := range document.History {
		ids[string(one.ID)]++
		for _, change := range one.Changes {
			if strings.HasPrefix(change.Row, "edit-") {
				rows[change.Row]++
			}
		}
	}
	twice := 0
	for _, times := range []map[string]int{ids, rows} {
		for name, n := range times {
			if n > 1 {
				twice++
				s.note("edit %s is %d times in the history", name, n)
			}
		}
	}
	return count(twice, len(document.History), "edits")
}

// measureEditsOverwritten counts accepted edits that a paused operator replaced
// without having seen them.
func measureEditsOverwritten(_ context.Context, s *scene, _ string) value {
	if s.config.paused == 0 {
		return missing("no operator was paused")
	}
	return count(s.violated("EditsOverwritten"), s.config.paused, "edits")
}
