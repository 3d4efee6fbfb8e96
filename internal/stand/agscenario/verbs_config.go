package agscenario

// Verbs that edit the configuration through the operator commands, and the
// measures of the results of the edits. Every edit sets or clears the override of
// a host that does not exist, so that edits affect nothing else.

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
	// exitFailed means that nothing was written, for a reason other than the
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

// configRecord records the edits of the configuration in a case and the revisions
// that the balancers reported.
type configRecord struct {
	mu    sync.Mutex
	edits []edit
	// observations holds, for each balancer process, the revisions that it
	// reported, each with the time at which it was first observed.
	observations map[string][]observation
	reverted     int
	watching     bool
	// paused is the number of races with a paused operator.
	paused int
}

type observation struct {
	at       time.Time
	revision uint64
}

var revisionPattern = regexp.MustCompile(`"Revision":\s*"?(\d+)`)

func parseRevision(data []byte) (uint64, bool) {
	found := revisionPattern.FindSubmatch(data)
	if found == nil {
		return 0, false
	}
	revision, err := strconv.ParseUint(string(found[1]), 10, 64)
	return revision, err == nil
}

const watchInterval = 20 * time.Millisecond

// runWatch starts to record the revision of each balancer.
func runWatch(_ context.Context, s *caseRun, _ *step) error {
	if s.config.watching {
		return nil
	}
	s.config.watching = true
	s.config.observations = map[string][]observation{}
	return s.background.Start("watch revisions", func(ctx context.Context) error {
		ticker := time.NewTicker(watchInterval)
		defer ticker.Stop()
		for {
			s.pollRevisions(ctx)
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.C:
			}
		}
	})
}

func (s *caseRun) pollRevisions(ctx context.Context) {
	s.fleet.mu.Lock()
	names := s.fleet.runningBalancers()
	s.fleet.mu.Unlock()
	for _, name := range names {
		data, err := call(ctx, "GET", s.fleet.adminOfBalancer(name)+"/status", nil)
		if err != nil {
			continue
		}
		if revision, ok := parseRevision(data); ok {
			s.config.recordRevision(name, revision, time.Now())
		}
	}
}

func (c *configRecord) recordRevision(name string, revision uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.observations[name]
	if len(list) > 0 && list[len(list)-1].revision == revision {
		return
	}
	if len(list) > 0 && list[len(list)-1].revision > revision {
		c.reverted++
	}
	c.observations[name] = append(list, observation{at: now, revision: revision})
}

// runEdits runs several operators concurrently. Each edits its own rows. With more
// than one operator, every third edit is of a row that all operators share.
func runEdits(ctx context.Context, s *caseRun, step *step) error {
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

func (s *caseRun) edit(ctx context.Context, row string, drain bool) error {
	one := edit{row: row, drain: drain, start: time.Now()}
	result, err := s.fleet.runOperator(ctx, s.fleet.edits(editArguments(row, drain)...)...)
	if err != nil {
		return fmt.Errorf("edit %s: %w", row, err)
	}
	one.end, one.code = time.Now(), result.code
	one.revision, _ = parseRevision(result.output)
	one.output = string(result.output) + string(result.errors)
	s.config.mu.Lock()
	defer s.config.mu.Unlock()
	s.config.edits = append(s.config.edits, one)
	return nil
}

// pausedReadDelay is the delay of the object API while an operator is paused. The
// first operator is stopped during its read, which therefore takes effect before
// the write of the second operator.
const pausedReadDelay = 400 * time.Millisecond

// pausedRounds is the number of runs of the race.
const pausedRounds = 4

// runPauseOperator stops an operator's command between its read and its write,
// changes the same row as another operator, and resumes the first command. The
// first command must not overwrite a change that it has not read.
func runPauseOperator(ctx context.Context, s *caseRun, step *step) error {
	if err := s.fleet.apiFaults(ctx, agapi.Faults{Delay: anvilglade.Duration(pausedReadDelay)}); err != nil {
		return err
	}
	for round := range pausedRounds {
		code, err := s.pausedRound(ctx, round, step.duration("time"))
		if err != nil {
			return err
		}
		s.config.paused++
		if code == exitAccepted {
			s.recordViolation("EditsOverwritten", "round %d: the edit of the paused operator overwrote a newer one", round)
		}
	}
	return s.fleet.apiFaults(ctx, agapi.Faults{})
}

func (s *caseRun) pausedRound(ctx context.Context, round int, length time.Duration) (int, error) {
	arguments := func(author string) []string {
		return s.fleet.edits("datacentres", "set", "dk3", "--region", fmt.Sprintf("%s-%d", author, round), "--json")
	}
	command := exec.CommandContext(ctx, s.fleet.options.Anvilglade, arguments("paused")...) //nolint:gosec // the path of the program is a setting
	if err := command.Start(); err != nil {
		return 0, err
	}
	time.Sleep(pausedReadDelay / 2)
	if err := command.Process.Signal(syscall.SIGSTOP); err != nil {
		return 0, err
	}
	other, err := s.fleet.runOperator(ctx, arguments("other")...)
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

// finalRows returns the host overrides in the table at the end, by host name.
func (s *caseRun) finalRows(ctx context.Context) (map[string]bool, error) {
	result, err := s.fleet.runOperator(ctx, s.fleet.edits("hosts", "list", "--json")...)
	if err != nil || result.code != 0 {
		return nil, fmt.Errorf("anvilglade hosts list: exit code %d, %w: %s", result.code, err, result.errors)
	}
	return parseRows(result.output)
}

// parseRows finds objects with "Host" and "Draining" at any depth, because the
// command may wrap the rows.
func parseRows(data []byte) (map[string]bool, error) {
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

// lags returns, for each accepted edit since the mark, the time from the start of
// the command until every running balancer had its revision, and the number of
// edits whose revision some balancer never had.
func (s *caseRun) lags() (lags []time.Duration, never int) {
	s.fleet.mu.Lock()
	balancers := s.fleet.runningBalancers()
	s.fleet.mu.Unlock()
	s.config.mu.Lock()
	defer s.config.mu.Unlock()
	for _, one := range s.config.edits {
		if one.code != exitAccepted || one.revision == 0 || one.start.Before(s.markTime) {
			continue
		}
		latest, complete := one.start, true
		for _, name := range balancers {
			at, ok := firstAtLeast(s.config.observations[name], one.revision)
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

func firstAtLeast(list []observation, revision uint64) (time.Time, bool) {
	for _, item := range list {
		if item.revision >= revision {
			return item.at, true
		}
	}
	return time.Time{}, false
}

func (s *caseRun) inForce(percent int) value {
	lags, never := s.lags()
	if len(lags) == 0 {
		return missing("no accepted edit came into force; %d never did", never)
	}
	if never > 0 {
		return missing("%d of %d accepted edits never came into force on every balancer", never, never+len(lags))
	}
	return value{value: agcaller.Percentile(lags, percent).Seconds(), of: float64(len(lags)), unit: "s"}
}

func measureInForceP99(_ context.Context, s *caseRun, _ string) value { return s.inForce(99) }

func measureInForceMax(_ context.Context, s *caseRun, _ string) value { return s.inForce(100) }

func measureReverted(_ context.Context, s *caseRun, _ string) value {
	if !s.config.watching {
		return missing("the case does not watch revisions")
	}
	s.config.mu.Lock()
	defer s.config.mu.Unlock()
	observations := 0
	for _, list := range s.config.observations {
		observations += len(list)
	}
	if observations == 0 {
		return missing("no balancer reported a revision")
	}
	return count(s.config.reverted, observations, "revisions")
}

// newestEdits returns, for each row, the accepted edit with the highest revision,
// and whether an edit of the row ended with an unknown outcome.
func (s *caseRun) newestEdits() (newest map[string]edit, unknown map[string]bool) {
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
func measureEditsLost(ctx context.Context, s *caseRun, _ string) value {
	rows, err := s.finalRows(ctx)
	if err != nil {
		return missing("%w", err)
	}
	newest, unknown := s.newestEdits()
	lost := 0
	for _, row := range slices.Sorted(maps.Keys(newest)) {
		if one := newest[row]; rows[row] != one.drain && !unknown[row] {
			lost++
			s.logf("edit of %s (revision %d, draining %t) is not in the table", row, one.revision, one.drain)
		}
	}
	if len(newest) == 0 {
		return missing("no edit was accepted")
	}
	return count(lost, len(newest), "rows")
}

// measureEditsWrongVerdict counts edits whose exit code is wrong: edits of unshared
// rows that were accepted and are not in the table, or were rejected or failed and
// are in it, and commands that ended with a usage error or an undefined exit code.
func measureEditsWrongVerdict(ctx context.Context, s *caseRun, _ string) value {
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
			s.logf("edit of %s ended with exit code %d: %s", one.row, one.code, one.output)
		}
	}
	s.logf("edits by exit code: %v", codes)
	return count(wrong, len(s.config.edits), "edits")
}

// measureEditsTwice counts edits that occur more than once in the history of the
// configuration object, by their ID or by a row that was edited only once.
func measureEditsTwice(ctx context.Context, s *caseRun, _ string) value {
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
				s.logf("edit %s occurs %d times in the history", name, n)
			}
		}
	}
	return count(twice, len(document.History), "edits")
}

// measureEditsOverwritten counts accepted edits that a paused operator overwrote
// without having read them.
func measureEditsOverwritten(_ context.Context, s *caseRun, _ string) value {
	if s.config.paused == 0 {
		return missing("no operator was paused")
	}
	return count(s.violationCount("EditsOverwritten"), s.config.paused, "edits")
}
