package agevent

// This file selects events of a merged time line and writes them as text, JSON
// lines or one HTML page.

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/anvilglade/anvilglade"
)

// Filter selects events. An empty field matches every event.
type Filter struct {
	Flow       anvilglade.FlowKey
	Request    anvilglade.RequestID
	Host       anvilglade.HostID
	DataCentre anvilglade.DataCentreID
	Revision   anvilglade.Revision
}

// Select returns the events that match every field.
func (f Filter) Select(events []anvilglade.Event) []anvilglade.Event {
	return slices.DeleteFunc(slices.Clone(events), func(event anvilglade.Event) bool {
		return f.Flow != 0 && event.Flow != f.Flow ||
			f.Request != "" && event.Request != f.Request ||
			f.Host != "" && event.Host != f.Host ||
			f.DataCentre != "" && event.DataCentre != f.DataCentre ||
			f.Revision != 0 && event.Revision != f.Revision
	})
}

// Writer writes a merged time line in one format.
type Writer func(w io.Writer, events []anvilglade.Event) error

// The writers of all formats have the type Writer.
var (
	_ Writer = WriteText
	_ Writer = WriteJSON
	_ Writer = WriteHTML
)

func clockTime(t anvilglade.Timestamp) string {
	return time.UnixMilli(UnixMilli(t)).UTC().Format("2006-01-02T15:04:05.000Z")
}

// describe returns the non-empty fields of an event as "Name=value" pairs.
func describe(event anvilglade.Event) string {
	var parts []string
	add := func(set bool, name string, value any) {
		if set {
			parts = append(parts, fmt.Sprintf("%s=%v", name, value))
		}
	}
	add(event.Flow != 0, "Flow", event.Flow)
	add(event.Request != "", "Request", event.Request)
	add(event.Host != "", "Host", event.Host)
	add(event.DataCentre != "", "DataCentre", event.DataCentre)
	add(event.Service != "", "Service", event.Service)
	add(event.Revision != 0, "Revision", event.Revision)
	add(event.Detail != "", "Detail", event.Detail)
	return strings.Join(parts, " ")
}

// WriteText writes one line of text per event.
func WriteText(w io.Writer, events []anvilglade.Event) error {
	for _, event := range events {
		if _, err := fmt.Fprintf(w, "%s %-20s %-18s %s\n", clockTime(event.Time), event.Process, event.Type, describe(event)); err != nil {
			return err
		}
	}
	return nil
}

// WriteJSON writes one JSON object per line.
func WriteJSON(w io.Writer, events []anvilglade.Event) error {
	encoder := json.NewEncoder(w)
	for _, event := range events {
		if err := encoder.Encode(event); err != nil {
			return err
		}
	}
	return nil
}

// Dimensions of the picture in pixels.
const (
	pictureWidth  = 1100
	pictureMargin = 180
	laneHeight    = 22
)

type picture struct {
	Width, Height int
	First, Last   string
	Lanes         []lane
	Marks         []mark
	Rows          []row
}

type lane struct {
	Process anvilglade.ProcessID
	Y, Text int
}

type mark struct {
	X, Y  int
	Hue   int
	Title string
}

type row struct {
	Time    string
	Process anvilglade.ProcessID
	Type    anvilglade.EventType
	Detail  string
}

var pageTemplate = template.Must(template.New("timeline").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>anvilglade timeline</title>
<style>body{font:13px sans-serif;margin:1em}td,th{text-align:left;padding:2px 8px}tr:nth-child(even){background:#f3f3f3}</style>
</head><body>
<h1>Timeline</h1><p>{{len .Rows}} events from {{.First}} to {{.Last}}</p>
<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}" role="img" aria-label="events by process and time">
{{range .Lanes}}<text x="4" y="{{.Text}}" font-size="12">{{.Process}}</text><line x1="180" x2="1100" y1="{{.Y}}" y2="{{.Y}}" stroke="#ccc"/>
{{end}}{{range .Marks}}<circle cx="{{.X}}" cy="{{.Y}}" r="4" fill="hsl({{.Hue}},65%,45%)"><title>{{.Title}}</title></circle>
{{end}}</svg>
<table><tr><th>Time</th><th>Process</th><th>Event</th><th>Details</th></tr>
{{range .Rows}}<tr><td>{{.Time}}</td><td>{{.Process}}</td><td>{{.Type}}</td><td>{{.Detail}}</td></tr>
{{end}}</table></body></html>
`))

// WriteHTML writes one self-contained page: a picture with one lane for each
// process and a table of the events.
func WriteHTML(w io.Writer, events []anvilglade.Event) error {
	return pageTemplate.Execute(w, draw(events))
}

func draw(events []anvilglade.Event) picture {
	p := picture{Width: pictureWidth, Height: laneHeight}
	if len(events) == 0 {
		return p
	}
	first, last := UnixMilli(events[0].Time), UnixMilli(events[len(events)-1].Time)
	p.First, p.Last = clockTime(events[0].Time), clockTime(events[len(events)-1].Time)
	lanes := map[anvilglade.ProcessID]int{}
	var processes []anvilglade.ProcessID
	for _, event := range events {
		processes = append(processes, event.Process)
	}
	slices.Sort(processes)
	for i, process := range slices.Compact(processes) {
		lanes[process] = laneHeight*i + laneHeight/2
		p.Lanes = append(p.Lanes, lane{Process: process, Y: lanes[process], Text: lanes[process] + 4})
	}
	p.Height = laneHeight * len(lanes)
	for _, event := range events {
		share := float64(UnixMilli(event.Time)-first) / float64(max(last-first, 1))
		x := pictureMargin + int(share*float64(pictureWidth-pictureMargin-8))
		detail := describe(event)
		title := fmt.Sprintf("%s %s %s", clockTime(event.Time), event.Type, detail)
		p.Marks = append(p.Marks, mark{X: x, Y: lanes[event.Process], Hue: hue(event.Type), Title: title})
		p.Rows = append(p.Rows, row{Time: clockTime(event.Time), Process: event.Process, Type: event.Type, Detail: detail})
	}
	return p
}

// hue returns the hue of a type of event, in degrees of the HSL colour circle.
func hue(kind anvilglade.EventType) int {
	sum := 0
	for _, r := range kind {
		sum = (sum*31 + int(r)) % 360
	}
	return sum
}
