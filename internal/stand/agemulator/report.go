package agemulator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Report is the result of a run.
type Report struct {
	Name    string
	Seed    uint64
	Seconds []Second
	// Demands has the counts by class, or by service in a scenario without classes.
	Demands map[string]Second
	P50     time.Duration
	P99     time.Duration
	Broken  map[Promise]int
	// Notes describes the first broken promises, at most maxNotes.
	Notes    []string
	Troubles []Trouble
}

func newReport(options *Options, ledger *Ledger) *Report {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	latencyAt := func(quantile float64) time.Duration {
		return time.Duration(ledger.latency.ValueAtQuantile(quantile)) * time.Microsecond
	}
	demands := make(map[string]Second, len(ledger.byDemand))
	for name, counts := range ledger.byDemand {
		demands[name] = *counts
	}
	return &Report{
		Demands: demands, Name: options.Scenario.Name, Seed: options.Seed, Seconds: slices.Clone(ledger.seconds), P50: latencyAt(50), P99: latencyAt(99),
		Broken: ledger.violations, Notes: ledger.notes, Troubles: options.Scenario.Troubles,
	}
}

// Total returns the sum over all seconds.
func (r *Report) Total() Second {
	var total Second
	for _, second := range r.Seconds {
		total.Asked += second.Asked
		total.InTime += second.InTime
		total.Late += second.Late
		total.Refused += second.Refused
		total.Failed += second.Failed
	}
	return total
}

// Served returns the share of requests that were answered, 0 to 1.
func (r *Report) Served() float64 {
	total := r.Total()
	if total.Asked == 0 {
		return 0
	}
	return float64(total.InTime+total.Late) / float64(total.Asked)
}

// BrokenPromises returns the number of violations over all promises.
func (r *Report) BrokenPromises() int {
	count := 0
	for _, times := range r.Broken {
		count += times
	}
	return count
}

// WriteTable writes the result as a text table with one row per second.
func (r *Report) WriteTable(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%s, seed %d\n%-10s %7s %7s %7s %7s %7s\n", r.Name, r.Seed, "second", "asked", "in time", "late", "refused", "failed")
	row := func(name string, s Second) {
		fmt.Fprintf(&text, "%-10s %7d %7d %7d %7d %7d\n", name, s.Asked, s.InTime, s.Late, s.Refused, s.Failed)
	}
	for i, second := range r.Seconds {
		row(fmt.Sprint(i), second)
	}
	row("all", r.Total())
	for _, name := range slices.Sorted(maps.Keys(r.Demands)) {
		row(name, r.Demands[name])
	}
	fmt.Fprintf(&text, "served %.4f, p50 %s, p99 %s\n", r.Served(), r.P50, r.P99)
	for _, trouble := range r.Troubles {
		fmt.Fprintf(&text, "trouble at %s for %s: %s %d\n", time.Duration(trouble.At), time.Duration(trouble.For), trouble.Kind, trouble.Index)
	}
	fmt.Fprintf(&text, "broken promises: %d\n", r.BrokenPromises())
	for _, note := range r.Notes {
		fmt.Fprintln(&text, "  "+note)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// WritePlot plots the result to a file. The extension of path selects the format,
// such as SVG or PNG.
func (r *Report) WritePlot(path string) error {
	picture := plot.New()
	picture.Title.Text = r.Name
	picture.X.Label.Text = "second"
	picture.Y.Label.Text = "requests"
	inTime, late, lost := make(plotter.XYs, len(r.Seconds)), make(plotter.XYs, len(r.Seconds)), make(plotter.XYs, len(r.Seconds))
	for i, second := range r.Seconds {
		inTime[i] = plotter.XY{X: float64(i), Y: float64(second.InTime)}
		late[i] = plotter.XY{X: float64(i), Y: float64(second.Late)}
		lost[i] = plotter.XY{X: float64(i), Y: float64(second.Refused + second.Failed)}
	}
	if err := plotutil.AddLinePoints(picture, "in time", inTime, "late", late, "refused or failed", lost); err != nil {
		return fmt.Errorf("plot %s: %w", r.Name, err)
	}
	return picture.Save(18*vg.Centimeter, 10*vg.Centimeter, path)
}
