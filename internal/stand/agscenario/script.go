package agscenario

// Case files: one verb per line. The pattern of a verb consists of words, typed
// values in angle brackets, and options in square brackets, which stand at the end
// in any order.

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// step is one line of a case file.
type step struct {
	file   string
	line   int
	text   string
	verb   *verb
	values map[string]string
}

func (s *step) errorf(format string, args ...any) error {
	return fmt.Errorf("%s:%d: %s: %w", s.file, s.line, s.text, fmt.Errorf(format, args...))
}

func (s *step) value(name string) string { return s.values[name] }

func (s *step) has(name string) bool {
	_, ok := s.values[name]
	return ok
}

// The getters ignore parse errors, because the types were checked when the file
// was read.
func (s *step) count(name string) int {
	value, _ := strconv.Atoi(s.values[name])
	return value
}

func (s *step) number(name string) float64 {
	value, _ := strconv.ParseFloat(s.values[name], 64)
	return value
}

func (s *step) duration(name string) time.Duration {
	value, _ := time.ParseDuration(s.values[name])
	return value
}

// share returns the value of a share, such as "10%" or "0.1".
func (s *step) share(name string) float64 {
	value, _ := parseShare(s.values[name])
	return value
}

func parseShare(text string) (float64, error) {
	trimmed, percent := strings.CutSuffix(text, "%")
	value, err := strconv.ParseFloat(trimmed, 64)
	if percent {
		value /= 100
	}
	if err == nil && (value < 0 || value > 1) {
		return 0, errors.New("not between 0% and 100%")
	}
	return value, err
}

// valueTypes maps the types in patterns to the checks of their values.
var valueTypes = map[string]struct {
	expected string
	check    func(string) error
}{
	"name":     {"a name", func(string) error { return nil }},
	"count":    {"a whole number", func(text string) error { _, err := strconv.ParseUint(text, 10, 31); return err }},
	"number":   {"a number", func(text string) error { _, err := strconv.ParseFloat(text, 64); return err }},
	"duration": {"a duration such as 500ms or 10s", func(text string) error { _, err := time.ParseDuration(text); return err }},
	"share":    {"a share such as 10%", func(text string) error { _, err := parseShare(text); return err }},
	"op": {"one of = <= >= < >", func(text string) error {
		if !slices.Contains([]string{"=", "<=", ">=", "<", ">"}, text) {
			return errors.New("not a comparison")
		}
		return nil
	}},
}

// readScript reads a case file. The returned error lists all invalid lines.
func readScript(path string) ([]*step, error) {
	file, err := os.Open(path) //nolint:gosec // the path is a setting
	if err != nil {
		return nil, fmt.Errorf("open case: %w", err)
	}
	defer func() { _ = file.Close() }()
	var steps []*step
	var faults []error
	scanner := bufio.NewScanner(file)
	for number := 1; scanner.Scan(); number++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		item := &step{file: path, line: number, text: text}
		if err := item.parse(); err != nil {
			faults = append(faults, err)
			continue
		}
		steps = append(steps, item)
	}
	if err := scanner.Err(); err != nil {
		faults = append(faults, fmt.Errorf("read case %s: %w", path, err))
	}
	return steps, errors.Join(faults...)
}

// parse finds the verb of the line. If no pattern matches, the error lists the
// patterns that begin with the same word.
func (s *step) parse() error {
	words := strings.Fields(s.text)
	var candidates []string
	var matchErr error
	for i := range verbs {
		values, err := match(verbs[i].pattern, words)
		if err == nil {
			s.verb, s.values = &verbs[i], values
			return nil
		}
		first, _, _ := strings.Cut(verbs[i].pattern, " ")
		if first == words[0] {
			candidates = append(candidates, verbs[i].pattern)
			matchErr = err
		}
	}
	if len(candidates) == 0 {
		for _, item := range verbs {
			first, _, _ := strings.Cut(item.pattern, " ")
			candidates = append(candidates, first)
		}
		slices.Sort(candidates)
		return s.errorf("unknown verb, expected one of: %s", strings.Join(slices.Compact(candidates), ", "))
	}
	if len(candidates) == 1 {
		return s.errorf("%w, expected: %s", matchErr, candidates[0])
	}
	return s.errorf("no such form of the verb, expected one of: %s", strings.Join(candidates, " | "))
}

// match parses the words of a line by a pattern and returns the values by name.
func match(pattern string, words []string) (map[string]string, error) {
	fixed, options, _ := strings.Cut(pattern, " [")
	values := map[string]string{}
	parts := strings.Fields(fixed)
	for i, part := range parts {
		if i >= len(words) {
			return nil, fmt.Errorf("the line ends before %s", part)
		}
		if !strings.HasPrefix(part, "<") {
			if words[i] != part {
				return nil, fmt.Errorf("found %q instead of %q", words[i], part)
			}
			continue
		}
		if err := parseValue(values, part, words[i]); err != nil {
			return nil, err
		}
	}
	rest := words[len(parts):]
	optionTypes := map[string]string{}
	for option := range strings.SplitSeq(strings.TrimSuffix(options, "]"), "] [") {
		name, value, _ := strings.Cut(option, " ")
		optionTypes[name] = value
	}
	for len(rest) > 0 {
		value, ok := optionTypes[rest[0]]
		if !ok || rest[0] == "" {
			return nil, fmt.Errorf("%q is not an option", rest[0])
		}
		if value == "" {
			values[rest[0]] = "true"
			rest = rest[1:]
			continue
		}
		if len(rest) < 2 {
			return nil, fmt.Errorf("option %q has no value", rest[0])
		}
		if err := parseValue(values, "<"+rest[0]+strings.TrimPrefix(value, "<"), rest[1]); err != nil {
			return nil, err
		}
		rest = rest[2:]
	}
	return values, nil
}

// parseValue checks a word against a placeholder <name:type> and stores it in
// values.
func parseValue(values map[string]string, placeholder, word string) error {
	name, kind, _ := strings.Cut(strings.Trim(placeholder, "<>"), ":")
	rule, ok := valueTypes[kind]
	if !ok {
		return fmt.Errorf("the pattern has the unknown type %q", kind)
	}
	if err := rule.check(word); err != nil {
		return fmt.Errorf("%s is %q, expected %s", name, word, rule.expected)
	}
	values[name] = word
	return nil
}
