package agscenario

// Runs cases, several in parallel, and prints their measures in the order of the
// cases.

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
)

// MeasureOptions selects the cases to run and how.
type MeasureOptions struct {
	Anvilglade string
	Agstand    string
	// Cases is the folder of the cases; Case selects one of them.
	Cases string
	Case  string
	Seed  uint64
	// Parallel is the maximum number of fleets that run at once.
	Parallel int
	// Output receives the JSON lines, Notes the log of the run.
	Output io.Writer
	Notes  io.Writer
}

// caseFile is the name of the script in the folder of a case.
const caseFile = "case.txt"

type outcome struct {
	line    MeasureLine
	missing bool
}

// job is one run of a case.
type job struct {
	name     string
	steps    []*step
	baseline bool
	outcomes []outcome
	err      error
	done     chan struct{}
}

// RunCases runs the cases. It returns false if a target was missed or a case did
// not complete, and an error if the cases cannot be read or set up.
func RunCases(ctx context.Context, options MeasureOptions) (bool, error) {
	if options.Parallel < 1 {
		options.Parallel = 1
	}
	options.Notes = &lockedWriter{writer: options.Notes}
	jobs, err := readCases(options)
	if err != nil {
		return false, err
	}
	dir, err := os.MkdirTemp("", "agstand-")
	if err != nil {
		return false, fmt.Errorf("create folder for logs: %w", err)
	}
	// The group outlives ctx: when ctx ends, the jobs stop their processes and
	// return.
	group, stop, err := agtask.NewGroup(context.WithoutCancel(ctx))
	if err != nil {
		return false, err
	}
	defer stop()
	slots := make(chan struct{}, options.Parallel)
	if err := group.Start("cases", func(context.Context) error {
		for _, item := range longestFirst(jobs) {
			slots <- struct{}{}
			if err := group.Start(item.name, func(context.Context) error {
				defer func() { <-slots }()
				defer close(item.done)
				item.run(ctx, options, dir)
				return nil
			}); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		return false, err
	}
	good := report(options, jobs)
	if good {
		return true, os.RemoveAll(dir)
	}
	_, _ = fmt.Fprintln(options.Notes, "logs are in", dir)
	return false, nil
}

func readCases(options MeasureOptions) ([]*job, error) {
	paths, err := filepath.Glob(filepath.Join(options.Cases, "*", caseFile))
	if err != nil {
		return nil, err
	}
	var jobs []*job
	var faults []error
	for _, path := range paths {
		name := filepath.Base(filepath.Dir(path))
		if options.Case != "" && options.Case != name {
			continue
		}
		steps, err := readScript(path)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		jobs = append(jobs, &job{name: name, steps: steps, done: make(chan struct{})})
		if slices.ContainsFunc(steps, func(s *step) bool { return s.verb.pattern == "baseline" }) {
			jobs = append(jobs, &job{name: name, steps: steps, baseline: true, done: make(chan struct{})})
		}
	}
	if len(jobs) == 0 && len(faults) == 0 {
		return nil, fmt.Errorf("no case %q below %s", options.Case, options.Cases)
	}
	return jobs, errors.Join(faults...)
}

// longestFirst sorts the jobs by their wait time in descending order, so that a
// long case does not run alone at the end.
func longestFirst(jobs []*job) []*job {
	sorted := slices.Clone(jobs)
	slices.SortStableFunc(sorted, func(a, b *job) int { return cmp.Compare(b.waitTime(), a.waitTime()) })
	return sorted
}

func (j *job) waitTime() time.Duration {
	total := time.Duration(0)
	for _, item := range j.steps {
		if item.verb.pattern == "wait <time:duration>" {
			total += item.duration("time")
		}
	}
	return total
}

func (j *job) label() string {
	if j.baseline {
		return j.name + "(baseline)"
	}
	return j.name
}

func (j *job) run(ctx context.Context, options MeasureOptions, dir string) {
	if ctx.Err() != nil {
		j.err = ctx.Err()
		return
	}
	own := filepath.Join(dir, j.label())
	if err := os.MkdirAll(own, 0o700); err != nil {
		j.err = err
		return
	}
	fleet, stopFleet, err := NewFleet(ctx, FleetOptions{
		Anvilglade: options.Anvilglade, Agstand: options.Agstand, Seed: options.Seed, Baseline: j.baseline, Dir: own,
	})
	if err != nil {
		j.err = err
		return
	}
	defer stopFleet()
	current, stopRun, err := newCaseRun(j.label(), fleet, options.Notes)
	if err != nil {
		j.err = err
		return
	}
	defer stopRun()
	start := time.Now()
	for _, item := range j.steps {
		if err := item.verb.run(ctx, current, item); err != nil {
			j.err = item.errorf("%w", err)
			current.logf("stopped: %v", j.err)
			break
		}
	}
	current.logf("took %s", time.Since(start).Round(100*time.Millisecond))
	j.outcomes = current.output
}

// report prints the lines of each case when it has ended, and reports whether all
// targets were met. A case that stopped early has a line with the measure
// Completed.
func report(options MeasureOptions, jobs []*job) bool {
	good := true
	for i, item := range jobs {
		<-item.done
		if item.baseline {
			continue
		}
		var baseline []outcome
		if i+1 < len(jobs) && jobs[i+1].baseline {
			<-jobs[i+1].done
			baseline = jobs[i+1].outcomes
		}
		for _, one := range item.outcomes {
			for _, other := range baseline {
				if other.line.Measure == one.line.Measure && !other.missing && one.line.Baseline == nil {
					value := other.line.Value
					one.line.Baseline = &value
				}
			}
			met := !one.missing && !math.IsInf(one.line.Value, 0) && compare(one.line.Value, one.line.Op, one.line.Target)
			good = good && met
			if !met {
				_, _ = fmt.Fprintf(options.Notes, "%s missed its target: %s\n", item.name, one.line.Measure)
			}
			one.write(options.Output)
		}
		if item.err != nil {
			good = false
			_, _ = fmt.Fprintf(options.Notes, "%s did not complete: %v\n", item.name, item.err)
			stopped := outcome{line: MeasureLine{Case: item.name, Measure: "Completed", Op: "=", Target: 1, Unit: "runs", Seed: options.Seed}}
			stopped.write(options.Output)
		}
	}
	return good
}

// write prints the line. A measure without a finite value is written as null,
// because JSON has no number for it.
func (o *outcome) write(output io.Writer) {
	type alias MeasureLine
	line := struct {
		Case    string
		Measure string
		Value   *float64
		*alias
	}{Case: o.line.Case, Measure: o.line.Measure, Value: &o.line.Value, alias: (*alias)(&o.line)}
	if o.missing || math.IsNaN(o.line.Value) || math.IsInf(o.line.Value, 0) {
		line.Value = nil
	}
	if math.IsNaN(o.line.Of) {
		o.line.Of = 0
	}
	_ = json.NewEncoder(output).Encode(line)
}

// lockedWriter serialises the writes of cases that run in parallel, so that their
// lines do not mix.
type lockedWriter struct {
	mu     sync.Mutex
	writer io.Writer
}

// Write writes the data to the underlying writer under a lock.
func (l *lockedWriter) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writer.Write(data)
}
