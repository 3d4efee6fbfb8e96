package agscenario

// Verbs that edit the configuration through the operator commands. Every edit sets or clears the override of
// a host that does not exist, so that edits affect nothing else.

import (
	"context"
	"encoding/json"
	"fmt"
	"os/exec"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/stand/agapi"
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
