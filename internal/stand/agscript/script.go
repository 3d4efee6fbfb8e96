// Package agscript reads test scripts: text files whose lines are the steps of a
// test of one component.
//
// A line consists of the time since the start, a verb with its arguments and, after
// "=>", the expected result. The result of a step without "=>" is not checked.
// Empty lines and lines that begin with "#" are skipped. A script begins with a
// comment that states which failure the script detects.
//
// # Usage
//
//	agscript.Run(t, func() agscript.Player {
//		component := agfoo.New()
//		return func(t *testing.T, step *agscript.Step, now time.Time) string {
//			return component.Handle(step.Verb, step.Args, now)
//		}
//	})
package agscript

import (
	"fmt"
	"io/fs"
	"strings"
	"time"
)

// Script is a test script.
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
	// Source is the number and the text of the line. Failure messages contain it.
	Source  string
	want    string
	hasWant bool
}

// Matches reports whether got equals the expected result of the step. It is true for
// a step without an expected result. A run of white space in the expected result of
// a script counts as one space.
func (s *Step) Matches(got string) bool {
	return !s.hasWant || got == s.want
}

// extension is the file name extension of scripts.
const extension = ".txt"

// Load reads the scripts of a directory. It returns an error if there are none or
// one is malformed.
func Load(directory fs.FS) ([]Script, error) {
	files, err := fs.Glob(directory, "*"+extension)
	if err != nil {
		return nil, fmt.Errorf("find scripts: %w", err)
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("find scripts: no file name ends in %s", extension)
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

// Parse reads the steps of a script. The error gives the number of the first
// malformed line.
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
	command, want, hasWant := strings.Cut(line, "=>")
	words := strings.Fields(command)
	if len(words) < 2 {
		return Step{}, fmt.Errorf("step %q has no time or no verb", line)
	}
	at, err := time.ParseDuration(words[0])
	if err != nil {
		return Step{}, fmt.Errorf("time of a step: %w", err)
	}
	return Step{At: at, Verb: words[1], Args: words[2:], want: strings.Join(strings.Fields(want), " "), hasWant: hasWant}, nil
}

// Option returns the value of the argument NAME=VALUE, or the fallback if there is
// no such argument.
func Option(args []string, name, fallback string) string {
	for _, arg := range args {
		if value, found := strings.CutPrefix(arg, name+"="); found {
			return value
		}
	}
	return fallback
}
