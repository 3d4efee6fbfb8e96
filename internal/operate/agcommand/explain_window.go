package agcommand

// The part of 'explain' that counts what delayed or failed callers in a span of time.

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/anvilglade/anvilglade/internal/observe/agexplain"
)

// minStep and maxSteps limit the size of the table.
const (
	minStep  = 10 * time.Millisecond
	maxSteps = 10_000
)

// stepsWriters maps the formats to their writers.
var stepsWriters = map[string]func(io.Writer, []agexplain.Step) error{
	formatText: agexplain.WriteStepsText,
	"json":     agexplain.WriteStepsJSON,
	"html":     agexplain.WriteStepsHTML,
}

// windowWork returns the function that reads the logs and writes the steps of --window.
func (v *explainVerb) windowWork() (func(io.Writer) error, error) {
	span, err := v.span()
	if err != nil {
		return nil, err
	}
	write, ok := stepsWriters[v.format]
	if !ok {
		return nil, fmt.Errorf("--format %q is not text, json or html", v.format)
	}
	return func(output io.Writer) error {
		log, err := v.read()
		if err != nil {
			return err
		}
		return write(output, log.CountEffects(span))
	}, nil
}

func (v *explainVerb) span() (agexplain.Span, error) {
	span := agexplain.Span{Step: v.step}
	from, to, found := strings.Cut(v.window, ",")
	if !found {
		return span, errors.New("--window is not FROM,TO")
	}
	var err error
	if span.From, err = time.Parse(time.RFC3339Nano, from); err != nil {
		return span, fmt.Errorf("--window: %w", err)
	}
	if span.To, err = time.Parse(time.RFC3339Nano, to); err != nil {
		return span, fmt.Errorf("--window: %w", err)
	}
	if length := span.To.Sub(span.From); length <= 0 || length > maxSteps*span.Step {
		return span, fmt.Errorf("--window has to be longer than 0 and at most %d times --step", maxSteps)
	}
	return span, nil
}
