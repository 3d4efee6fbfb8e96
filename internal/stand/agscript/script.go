// Package agscript reads the scripts of tests: text files whose lines are steps
// in the life of one part.
//
// A line is a time since the start, a verb with its arguments and, after "=>",
// the result that the step must have. A step without "=>" is not compared. Empty
// lines and lines that begin with "#" are skipped; the comment at the top says
// which failure a script guards against.
//
// # Usage
//
//	scripts, err := agscript.Load(os.DirFS("testdata"))
//	for _, script := range scripts {
//		for _, step := range script.Steps {
//			got := play(start.Add(step.At), step.Verb, step.Args)
//			if !step.Matches(got) {
//				t.Errorf("%s: %s", step.Source, got)
//			}
//		}
//	}
package agscript

import (
	"fmt"
	"io/fs"
	"strings"
	"time"
)

// Script is one file of steps.
type Script struct {
	// Name is the name of the file without its extension.
	Name  string
	Steps []Step
}

// Step is one line of a script.
type Step struct {
	At   time.Duration
	Verb string
	Args []string
	// Source is the line as it stands in the file, with its number.
	Source string
	want   string
	check  bool
}

// Matches reports whether a result is the one that the step must have. Spaces
// count as one.
func (s *Step) Matches(got string) bool {
	return !s.check || got == s.want
}

// extension is the end of the names of scripts.
const extension = ".txt"

// Load reads the scripts of a directory. It is an error if there are none.
func Load(directory fs.FS) ([]Script, error) {
	files, err := fs.Glob(directory, "*"+extension)
	if err != nil {
		return nil, fmt.Errorf("find scripts: %w", err)
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("find scripts: no file ends in %s", extension)
	}
	scripts := make([]Script, 0, len(files))
	for _, file := range files {
		data, err := fs.ReadFile(directory, file)
		if err != nil {
			return nil, fmt.Errorf("read script: %w", err)
		}
		steps, err := Parse(string(data))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		scripts = append(scripts, Script{Name: strings.TrimSuffix(file, extension), Steps: steps})
	}
	return scripts, nil
}

// Parse reads the steps of a text. The error names the first line that is
// malformed.
func Parse(text string) ([]Step, error) {
	var steps []Step
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		step, err := parseStep(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		step.Source = fmt.Sprintf("line %d: %s", i+1, line)
		steps = append(steps, step)
	}
	return steps, nil
}

func parseStep(line string) (Step, error) {
	command, want, check := strings.Cut(line, "=>")
	words := strings.Fields(command)
	if len(words) < 2 {
		return Step{}, fmt.Errorf("step %q has no time or no verb", line)
	}
	at, err := time.ParseDuration(words[0])
	if err != nil {
		return Step{}, fmt.Errorf("time of a step: %w", err)
	}
	return Step{At: at, Verb: words[1], Args: words[2:], want: strings.Join(strings.Fields(want), " "), check: check}, nil
}

// Option returns the value of an argument NAME=VALUE, or the fallback.
func Option(args []string, name, fallback string) string {
	for _, arg := range args {
		if value, found := strings.CutPrefix(arg, name+"="); found {
			return value
		}
	}
	return fallback
}
