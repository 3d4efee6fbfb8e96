package agscenario

// The demonstration: both deployments at a small size, callers over UDP and
// HTTP/3, and a data centre that is taken out of service and put back.

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/stand/agcaller"
)

// DemoOptions holds the paths of the binaries and the output of the
// demonstration.
type DemoOptions struct {
	Anvilglade string
	Agstand    string
	Output     io.Writer
}

// demoScript is the script of the demonstration, in the language of the case files.
const demoScript = `
deployment denmark
deployment scotland
set service-time 10ms
start 4 balancers
open 200 flows to alerts every 500ms
open 200 flows to jobs every 500ms
load guides to archive rate 60 from 12 callers max-size 100000 timeout 2s sends 3
load sheets to jobs rate 120 from 20 callers max-size 20000 timeout 2s sends 3
wait 1s
mark
wait 3s
datacentre out dk2
wait 7s
datacentre in dk2
wait 5s
`

// demoLimit is the maximum duration of the demonstration.
const demoLimit = 58 * time.Second

// Demo runs the demonstration and prints its result table. When ctx ends, it
// stops every process that it started.
func Demo(ctx context.Context, options DemoOptions) error {
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	dir, err := os.MkdirTemp("", "agstand-demo-")
	if err != nil {
		return fmt.Errorf("create folder for logs: %w", err)
	}
	steps, err := parseDemo()
	if err != nil {
		return err
	}
	fleet, stopFleet, err := NewFleet(ctx, FleetOptions{Anvilglade: options.Anvilglade, Agstand: options.Agstand, Seed: 1, Dir: dir})
	if err != nil {
		return err
	}
	defer stopFleet()
	current, stopRun, err := newCaseRun("demo", fleet, options.Output)
	if err != nil {
		return err
	}
	defer stopRun()
	for _, item := range steps {
		current.logf("%s", item.text)
		if strings.HasPrefix(item.text, "datacentre out") {
			if err := current.saveUtilisations(ctx); err != nil {
				return err
			}
		}
		if err := item.verb.run(ctx, current, item); err != nil {
			return fmt.Errorf("logs are in %s: %w", dir, item.errorf("%w", err))
		}
	}
	current.settle(ctx)
	if err := current.table(ctx, options.Output); err != nil {
		return err
	}
	return os.RemoveAll(dir)
}

func parseDemo() ([]*step, error) {
	var steps []*step
	for number, line := range strings.Split(demoScript, "\n") {
		if line == "" {
			continue
		}
		item := &step{file: "demo", line: number + 1, text: line}
		if err := item.parse(); err != nil {
			return nil, err
		}
		steps = append(steps, item)
	}
	return steps, nil
}

// saveUtilisations saves the utilisation of the hosts since the mark. It runs
// before a data centre is taken out of service, whose idle hosts would distort
// the result.
func (s *caseRun) saveUtilisations(ctx context.Context) error {
	journals, err := s.fleet.journals(ctx)
	if err != nil {
		return err
	}
	s.finalJournals = journals
	s.savedUtilisations = map[string]map[string]float64{}
	for _, service := range s.fleet.services {
		s.savedUtilisations[service.spec.name] = s.utilisations(service.spec.name)
	}
	return nil
}

// table prints the results, one row for each service and each change.
func (s *caseRun) table(ctx context.Context, output io.Writer) error {
	writer := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(writer, format+"\n", args...) }
	report := s.flows.Report()
	row("")
	row("UDP FLOWS\tBROKEN\tLOST WITH THE DATA CENTRE\tWRONG SERVICE\tP99 TO FIRST ANSWER")
	row("%d\t%d\t%d\t%d\t%s", report.Flows, report.Broken, report.Lost, report.WrongService, report.OpenP99.Round(time.Millisecond))
	row("")
	row("SERVICE\tREQUESTS\tANSWERED\tREFUSED\tOTHER\tP99\tIMBALANCE BEFORE THE CHANGE")
	for _, name := range []string{"guides", "sheets"} {
		results, _ := s.loads[name].Results()
		answered, refused := withVerdict(results, agcaller.Answered), withVerdict(results, agcaller.NotRun)
		var times []time.Duration
		for _, result := range results {
			times = append(times, result.End.Sub(result.Start))
		}
		service := s.loadService[name]
		row("%s\t%d\t%d\t%d\t%d\t%s\t%.2f", service, len(results), answered, refused, len(results)-answered-refused,
			agcaller.Percentile(times, 99).Round(time.Millisecond), maxOverMean(s.savedUtilisations[service]))
	}
	row("")
	row("CHANGE\tIN EFFECT AFTER")
	for _, change := range s.dcChanges {
		verb := "out of service"
		if change.state == anvilglade.DataCentreIn {
			verb = "back in service"
		}
		row("%s %s\t%s", change.name, verb, change.accepted.Sub(change.start).Round(time.Millisecond))
	}
	packets := measurePacketsAfterOut(ctx, s, "")
	row("packets to it after %s\t%.0f", outGrace, packets.value)
	return writer.Flush()
}
