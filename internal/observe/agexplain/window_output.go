package agexplain

// Output of the effects in a span as text, JSON and HTML.

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
)

// timeFormat is the format of the start of a step.
const timeFormat = "15:04:05.000"

// WriteStepsText writes a table with a row for each step and a row of totals. It
// returns the error of the writer.
func WriteStepsText(output io.Writer, steps []Step) error {
	writer := tabwriter.NewWriter(output, 0, 4, 2, ' ', tabwriter.AlignRight)
	header := []string{"From", "Started"}
	for _, effect := range Effects {
		header = append(header, string(effect))
	}
	rows := [][]string{header}
	total := Step{Counts: make(map[Effect]uint64)}
	for i := range steps {
		rows = append(rows, steps[i].cells(steps[i].Start.Format(timeFormat)))
		total.Started += steps[i].Started
		for effect, count := range steps[i].Counts {
			total.Counts[effect] += count
		}
	}
	for _, row := range append(rows, total.cells("all")) {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")+"\t"); err != nil {
			return err
		}
	}
	return writer.Flush()
}

// cells returns the row of a step with the given first cell.
func (s *Step) cells(first string) []string {
	cells := []string{first, strconv.FormatUint(s.Started, 10)}
	for _, effect := range Effects {
		cells = append(cells, strconv.FormatUint(s.Counts[effect], 10))
	}
	return cells
}

// WriteStepsJSON writes one JSON object a line for each step. It returns the error of
// the writer.
func WriteStepsJSON(output io.Writer, steps []Step) error {
	encoder := json.NewEncoder(output)
	for i := range steps {
		if err := encoder.Encode(&steps[i]); err != nil {
			return err
		}
	}
	return nil
}

// Sizes of the plot, in pixels.
const (
	plotWidth  = 960
	plotHeight = 300
)

// bar is a part of a column of the plot.
type bar struct {
	X, Y, Width, Height float64
	Hue                 int
	Title               string
}

// legend is the colour of an effect.
type legend struct {
	Effect Effect
	Hue    int
}

// plot is the stacked plot of the effects over time.
type plot struct {
	Width, Height int
	Bars          []bar
	Legends       []legend
	From, To      string
	Highest       uint64
}

var plotTemplate = template.Must(template.New("plot").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Effects on callers</title></head>
<body style="font-family: sans-serif">
<h1>Effects on callers, {{.From}} to {{.To}}</h1>
<p>Decisions in a step, at most {{.Highest}}.</p>
<svg width="{{.Width}}" height="{{.Height}}" style="border: 1px solid #999">
{{range .Bars}}<rect x="{{.X}}" y="{{.Y}}" width="{{.Width}}" height="{{.Height}}" fill="hsl({{.Hue}},65%,50%)"><title>{{.Title}}</title></rect>
{{end}}</svg>
<p>{{range .Legends}}<span style="color: hsl({{.Hue}},65%,40%)">&#9632; {{.Effect}}</span> {{end}}</p>
</body></html>
`))

// WriteStepsHTML writes one self-contained page with a stacked plot over time. It
// returns the error of the writer.
func WriteStepsHTML(output io.Writer, steps []Step) error {
	return plotTemplate.Execute(output, drawSteps(steps))
}

func drawSteps(steps []Step) plot {
	p := plot{Width: plotWidth, Height: plotHeight}
	for i, effect := range Effects {
		p.Legends = append(p.Legends, legend{Effect: effect, Hue: 360 * i / len(Effects)})
	}
	if len(steps) == 0 {
		return p
	}
	p.From, p.To = steps[0].Start.Format(timeFormat), steps[len(steps)-1].Start.Format(timeFormat)
	for i := range steps {
		p.Highest = max(p.Highest, steps[i].sum())
	}
	width := float64(plotWidth) / float64(len(steps))
	scale := float64(plotHeight) / float64(max(p.Highest, 1))
	for i := range steps {
		top := float64(plotHeight)
		for _, entry := range p.Legends {
			count := steps[i].Counts[entry.Effect]
			if count == 0 {
				continue
			}
			height := scale * float64(count)
			top -= height
			title := fmt.Sprintf("%s %s: %d", steps[i].Start.Format(timeFormat), entry.Effect, count)
			p.Bars = append(p.Bars, bar{X: width * float64(i), Y: top, Width: width, Height: height, Hue: entry.Hue, Title: title})
		}
	}
	return p
}

// sum returns the number of decisions in a step.
func (s *Step) sum() uint64 {
	total := uint64(0)
	for _, count := range s.Counts {
		total += count
	}
	return total
}
