package agcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/anvilglade/anvilglade/internal/observe/agevent"
	"github.com/anvilglade/anvilglade/internal/observe/agexplain"
	"github.com/anvilglade/anvilglade/internal/operate/agsettings"
)

// explainVerb reconstructs from the logs of processes what happened to a flow or
// host.
type explainVerb struct {
	set    *agsettings.Set
	logs   string
	flow   string
	host   string
	at     string
	window string
	step   time.Duration
	margin time.Duration
	format string
}

func newExplainVerb() Verb {
	return &explainVerb{}
}

// Bind declares the flags.
func (v *explainVerb) Bind(subcommand *flaggy.Subcommand) {
	v.set = agsettings.NewSet(subcommand)
	v.set.Text(&v.logs, "logs", "log files separated by commas; - stands for standard input", "-")
	v.set.Text(&v.flow, "flow", "CALLER:PORT or CALLER:PORT>SERVICE:PORT of a flow", "")
	v.set.Text(&v.host, "host", "name of a host", "")
	v.set.Text(&v.at, "at", "a moment, such as 2026-04-17T04:41:25.7Z", "")
	v.set.Text(&v.window, "window", "FROM,TO: count what delayed or failed callers in a span of time", "")
	v.set.Duration(&v.step, "step", "length of a row of --window", "500ms", minStep, time.Hour)
	v.set.Duration(&v.margin, "margin", "time before and after from which the context is taken", "2s", 0, time.Hour)
	v.set.Text(&v.format, "format", "text, json (one event a line) or html (with a picture)", "text")
}

// Run reads the logs, prints the explanation and returns the exit code.
func (v *explainVerb) Run(_ context.Context) int {
	if err := v.set.Check(); err != nil {
		fmt.Fprintln(os.Stderr, "anvilglade explain:", err)
		return ExitUsage
	}
	work, err := v.work()
	if err != nil {
		fmt.Fprintln(os.Stderr, "anvilglade explain:", err)
		return ExitUsage
	}
	if err := work(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "anvilglade explain:", err)
		return ExitFailed
	}
	return ExitDone
}

// work returns the function that writes the result, or an error if the settings do not
// fit together.
func (v *explainVerb) work() (func(io.Writer) error, error) {
	subjects := 0
	for _, subject := range []string{v.flow, v.host, v.at, v.window} {
		if subject != "" {
			subjects++
		}
	}
	if subjects != 1 {
		return nil, errors.New("give one of --flow, --host, --at and --window")
	}
	if v.window != "" {
		return v.windowWork()
	}
	query, err := v.query()
	if err != nil {
		return nil, err
	}
	return func(output io.Writer) error { return v.explain(query, output) }, nil
}

func (v *explainVerb) query() (agexplain.Query, error) {
	query := agexplain.Query{Flow: v.flow, Host: v.host, Margin: v.margin}
	if v.at != "" {
		at, err := time.Parse(time.RFC3339Nano, v.at)
		if err != nil {
			return query, fmt.Errorf("--at: %w", err)
		}
		query.At = at
	}
	if _, err := eventWriter(v.format); err != nil {
		return query, err
	}
	return query, nil
}

// read reads the logs. It returns an error if a file cannot be opened or read.
func (v *explainVerb) read() (*agexplain.Log, error) {
	var readers []io.Reader
	for path := range strings.SplitSeq(v.logs, ",") {
		if path == "-" {
			readers = append(readers, os.Stdin)
			continue
		}
		file, err := os.Open(path) //nolint:gosec // the path is the user's own argument
		if err != nil {
			return nil, err
		}
		defer func() { _ = file.Close() }()
		readers = append(readers, file)
	}
	return agexplain.Read(readers...)
}

func (v *explainVerb) explain(query agexplain.Query, output io.Writer) error {
	log, err := v.read()
	if err != nil {
		return err
	}
	explanation := log.Explain(query)
	write, err := eventWriter(v.format)
	if err != nil {
		return err
	}
	if err := write(output, explanation.Events()); err != nil {
		return err
	}
	if v.format == formatText {
		return writeSummary(output, log, explanation)
	}
	return nil
}

// writeSummary writes the causes and the numbers of decisions and lines that the
// explanation does not cover.
func writeSummary(output io.Writer, log *agexplain.Log, explanation *agexplain.Explanation) error {
	var text strings.Builder
	if len(explanation.Lines) == 0 {
		text.WriteString("No line names the subject: it was not logged, or its log is missing.\n")
	}
	for _, cause := range explanation.Causes {
		fmt.Fprintf(&text, "Cause: %s.\n", cause)
	}
	for _, shift := range explanation.Shifts {
		fmt.Fprintf(&text, "Shifted: %s.\n", shift)
	}
	kinds := make([]string, 0, len(explanation.Omitted))
	for kind := range explanation.Omitted {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	for _, kind := range kinds {
		fmt.Fprintf(&text, "Left out of the logs in this time: %d lines of %s.\n", explanation.Omitted[kind], kind)
	}
	fmt.Fprintf(&text, "Read %d lines, skipped %d that are no log lines.\n", len(log.Lines), log.Skipped)
	_, err := io.WriteString(output, text.String())
	return err
}

const formatText = "text"

// eventWriter returns the writer of events in a format: text, json or html. It
// returns an error that wraps errUsage for any other format.
func eventWriter(format string) (agevent.Writer, error) {
	write, ok := map[string]agevent.Writer{formatText: agevent.WriteText, "json": agevent.WriteJSON, "html": agevent.WriteHTML}[format]
	if !ok {
		return nil, fmt.Errorf("%w: --format %q is not text, json or html", errUsage, format)
	}
	return write, nil
}
