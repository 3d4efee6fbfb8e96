package agcaller

// Alert lines: responses that stay open for hours. A line is broken when it
// ends or falls silent although its host lives.

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/stand/agbackend"
)

// LinesOptions describe a set of alert lines.
type LinesOptions struct {
	Service string
	Address netip.AddrPort
	// Sources are the callers; each keeps PerCaller lines on one connection.
	Sources   []netip.Addr
	PerCaller int
}

// Lines keeps alert lines open. It is safe for concurrent use.
type Lines struct {
	options LinesOptions

	mu      sync.Mutex
	lines   []*line
	gone    map[string]time.Time
	report  FlowReport
	reasons []string
}

type line struct {
	caller *connection
	number int
	host   string
	seen   time.Time
	cancel context.CancelFunc
}

const (
	// linesPause is the wait before a line that was refused or ended is opened
	// again. Thousands of lines that wait must not take the machine.
	linesPause = 2 * time.Second
	openLimit  = 5 * time.Second
)

// NewLines opens the lines. The returned function ends them.
func NewLines(options LinesOptions) (*Lines, func(), error) {
	group, stop, err := agtask.NewGroup(context.Background())
	if err != nil {
		return nil, nil, err
	}
	l := &Lines{options: options, gone: map[string]time.Time{}}
	var callers []*connection
	for _, source := range options.Sources {
		caller := newConnection(Target{Service: options.Service, Address: options.Address, Source: source})
		callers = append(callers, caller)
		for range options.PerCaller {
			item := &line{caller: caller, number: len(l.lines)}
			l.lines = append(l.lines, item)
			if err := group.Start("line", func(ctx context.Context) error {
				l.keep(ctx, item)
				return nil
			}); err != nil {
				stop()
				return nil, nil, err
			}
		}
	}
	return l, func() {
		stop()
		for _, caller := range callers {
			caller.close()
		}
	}, nil
}

// keep opens a line again whenever it ends.
func (l *Lines) keep(ctx context.Context, item *line) {
	for ctx.Err() == nil {
		err := l.read(ctx, item)
		if ctx.Err() != nil {
			return
		}
		l.ended(item, err)
		select {
		case <-ctx.Done():
		case <-time.After(linesPause):
		}
	}
}

func (l *Lines) read(ctx context.Context, item *line) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialing, stopDialing := context.WithTimeout(ctx, openLimit)
	client, conn, err := item.caller.open(dialing)
	stopDialing()
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+l.options.Service+"/alerts", nil)
	if err != nil {
		return err
	}
	// The watchdog ends a line that has been silent for too long.
	watchdog := time.AfterFunc(SilenceLimit, cancel)
	defer watchdog.Stop()
	response, err := client.RoundTrip(request)
	if err != nil {
		if ctx.Err() != nil {
			item.caller.drop(conn, "line is silent")
		}
		return err
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		watchdog.Reset(SilenceLimit)
		var received agbackend.Line
		if err := json.Unmarshal(scanner.Bytes(), &received); err != nil {
			return fmt.Errorf("line is not JSON: %w", err)
		}
		l.take(item, received, cancel)
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return errors.New("end of stream")
}

func (l *Lines) take(item *line, received agbackend.Line, cancel context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Received++
	if received.Service != l.options.Service {
		l.report.WrongService++
	}
	item.host, item.seen, item.cancel = received.Host, time.Now(), cancel
}

// ended counts a line that had a host and ended.
func (l *Lines) ended(item *line, cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	host := item.host
	item.host = ""
	if host == "" {
		return
	}
	if _, gone := l.gone[host]; gone {
		l.report.Lost++
		return
	}
	l.report.Broken++
	if len(l.reasons) < maxReasons {
		l.reasons = append(l.reasons, fmt.Sprintf("%s line %d from %s: %v", time.Now().Format("15:04:05.000"), item.number, host, cause))
	}
}

// HostGone says that a host ended or that its data centre was taken out.
func (l *Lines) HostGone(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gone[host] = time.Now()
	for _, item := range l.lines {
		if item.host == host && item.cancel != nil {
			item.cancel()
		}
	}
}

// HostBack says that a host lives again.
func (l *Lines) HostBack(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.gone, host)
}

// Settle waits until each line has brought something after the time of the
// call, at most SilenceLimit, and counts the silent ones as broken.
func (l *Lines) Settle(ctx context.Context) {
	start := time.Now()
	for time.Since(start) <= SilenceLimit+time.Second && l.silentSince(start) > 0 && ctx.Err() == nil {
		time.Sleep(sendTick)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, item := range l.lines {
		if item.host != "" && item.seen.Before(start) {
			l.report.Broken++
		}
	}
}

func (l *Lines) silentSince(start time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	silent := 0
	for _, item := range l.lines {
		if item.host != "" && item.seen.Before(start) {
			silent++
		}
	}
	return silent
}

// WaitOpen waits until every line has a host, and returns how many have none
// at the end of the wait.
func (l *Lines) WaitOpen(ctx context.Context, limit time.Duration) int {
	deadline := time.Now().Add(limit)
	for {
		report := l.Report()
		left := report.Flows - report.Answered
		if left == 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return left
		}
		time.Sleep(sendTick)
	}
}

// Report returns what happened so far.
func (l *Lines) Report() FlowReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := l.report
	report.Flows = len(l.lines)
	report.Hosts = map[string]int{}
	for _, item := range l.lines {
		if item.host != "" {
			report.Answered++
			report.Hosts[item.host]++
		}
	}
	report.Reasons = append([]string(nil), l.reasons...)
	return report
}
