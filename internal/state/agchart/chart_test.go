package agchart_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/anvilglade/anvilglade/internal/state/agchart"
)

// charts are the data files, each with the heading of its diagram in
// docs/state-machines.md.
var charts = []struct{ heading, path string }{
	{heading: "Host", path: "../../membership/agmember/host.yaml"},
	{heading: "Balancer", path: "../../membership/agmember/balancer.yaml"},
	{heading: "Request", path: "../../request/aglife/life.yaml"},
	{heading: "Data centre", path: "../../config/agconfig/datacentre.yaml"},
}

const page = "../../../docs/state-machines.md"

// Guards against diagrams that differ from the charts that the code interprets.
// With AGCHART_WRITE=1 in the environment the test regenerates the page.
func TestDiagramsMatchCharts(t *testing.T) {
	var b strings.Builder
	b.WriteString("# State machines\n\nThe diagrams are written from the data files that the code interprets: `AGCHART_WRITE=1 go test ./internal/state/agchart`.\n")
	for _, c := range charts {
		data, err := os.ReadFile(c.path)
		if err != nil {
			t.Fatal(err)
		}
		chart, err := agchart.Load(data)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "\n## %s\n\nFile `%s`.\n\n```mermaid\n%s```\n", c.heading, strings.Replace(c.path, "../..", "internal", 1), chart.Mermaid())
	}
	if os.Getenv("AGCHART_WRITE") != "" {
		if err := os.WriteFile(page, []byte(b.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	written, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if string(written) != b.String() {
		t.Errorf("%s differs from the charts; regenerate it with AGCHART_WRITE=1", page)
	}
}

// Guards against a data file with a misspelt field or a missing one that is
// loaded with an empty value.
func TestLoadRefusesFaultyCharts(t *testing.T) {
	for name, text := range map[string]string{
		"unknown field":  "Name: X\nInitial: A\nTransition: []\n",
		"no initial":     "Name: X\n",
		"no event":       "Name: X\nInitial: A\nTransitions: [{From: [A], To: B}]\n",
		"not a document": "- A\n",
	} {
		if _, err := agchart.Load([]byte(text)); err == nil {
			t.Errorf("%s: got no error", name)
		}
	}
}
