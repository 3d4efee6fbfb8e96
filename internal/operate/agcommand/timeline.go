package agcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strconv"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
)

// timelineFlags are the filters and the output format of the time line.
type timelineFlags struct {
	flow, request, host, dataCentre, revision, format string
}

func newTimelineVerb() Verb {
	return newOperatorVerb(action{
		bind: func(c *operatorCommand) {
			flags := &c.timeline
			c.settings.Text(&flags.flow, "flow", "only events of this flow, in hexadecimal", "")
			c.settings.Text(&flags.request, "request", "only events of this request", "")
			c.settings.Text(&flags.host, "host", "only events of this host", "")
			c.settings.Text(&flags.dataCentre, "in-data-centre", "only events of this data centre", "")
			c.settings.Text(&flags.revision, "revision", "only events of this revision", "")
			c.settings.Text(&flags.format, "format", "text, json (one event a line) or html", "text")
		},
		run: showTimeline,
	})
}

func (f *timelineFlags) filter() (agevent.Filter, error) {
	filter := agevent.Filter{
		Request: anvilglade.RequestID(f.request), Host: anvilglade.HostID(f.host), DataCentre: anvilglade.DataCentreID(f.dataCentre),
	}
	if f.flow != "" {
		flow, err := strconv.ParseUint(f.flow, 16, 64)
		if err != nil {
			return filter, fmt.Errorf("%w: --flow %q is not a hexadecimal number", errUsage, f.flow)
		}
		filter.Flow = anvilglade.FlowKey(flow)
	}
	if f.revision != "" {
		revision, err := strconv.ParseUint(f.revision, 10, 64)
		if err != nil {
			return filter, fmt.Errorf("%w: --revision %q is not a number", errUsage, f.revision)
		}
		filter.Revision = anvilglade.Revision(revision)
	}
	return filter, nil
}

// showTimeline fetches the events of all processes, merges and prints them. It
// names the processes that do not answer, because their events are missing.
func showTimeline(ctx context.Context, c *operatorCommand) int {
	filter, err := c.timeline.filter()
	if err != nil {
		return c.fail(err)
	}
	write, err := eventWriter(c.timeline.format)
	if err != nil {
		return c.fail(err)
	}
	if c.json {
		write = agevent.WriteJSON
	}
	if len(c.admin) == 0 {
		return c.fail(fmt.Errorf("%w: give at least one address with --admin", errUsage))
	}
	answers := c.queryProcesses(ctx, true)
	rings := make([][]anvilglade.Event, len(answers))
	missing := make([]error, len(answers))
	if err := fetchAll(ctx, len(answers), func(ctx context.Context, i int) {
		rings[i], missing[i] = fetchEvents(ctx, answers[i].Address)
	}); err != nil {
		return c.fail(err)
	}
	code := ExitDone
	for i, err := range missing {
		if err != nil {
			fmt.Fprintf(os.Stderr, "anvilglade: events of %s are missing: %v\n", answers[i].name(), err)
			code = ExitFailed
		}
	}
	if err := write(os.Stdout, filter.Select(agevent.Merge(rings...))); err != nil {
		return c.fail(err)
	}
	return code
}

func fetchEvents(ctx context.Context, address netip.AddrPort) ([]anvilglade.Event, error) {
	body, code, err := fetch(ctx, address, "/events")
	if err != nil {
		return nil, err
	}
	if code != http.StatusOK {
		return nil, fmt.Errorf("answered %d", code)
	}
	var events []anvilglade.Event
	if err := json.Unmarshal(body, &events); err != nil {
		return nil, err
	}
	return events, nil
}
