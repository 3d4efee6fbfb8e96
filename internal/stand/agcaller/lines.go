package agcaller

// Alert lines: streamed responses that stay open for hours. A line that a host has
// served is broken when it ends or times out while that host is available.

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
	// Sources holds the IP addresses of the callers; each caller keeps
	// PerCaller lines open on one connection.
	Sources   []netip.Addr
	PerCaller int
}

// Lines keeps alert lines open. It is safe for concurrent use.
type Lines struct {
	options LinesOptions

	mu          sync.Mutex
	lines       []*line
	unavailable map[string]time.Time
	report      FlowReport
	reasons     []string
}

type line struct {
	caller       *connection
	number       int
	host         string
	lastReceived time.Time
	cancel       context.CancelFunc
}

const (
	// reopenDelay is the delay before a line that was refused or ended is opened
	// again. It limits the CPU load of thousands of lines that are retried.
	reopenDelay = 2 * time.Second
	openTimeout = 5 * time.Second
)

// NewLines starts to open the lines. The returned function closes them.
func NewLines(options LinesOptions) (*Lines, func(), error) {
	group, stop, err := agtask.NewGroup(context.Background())
	if err != nil {
		return nil, nil, err
	}
	l := &Lines{options: options, unavailable: map[string]time.Time{}}
	var callers []*connection
	for _, source := range options.Sources {
		caller := newConnection(Target{Service: options.Service, Address: options.Address, Source: source})
		callers = append(callers, caller)
		for range options.PerCaller {
			item := &line{caller: caller, number: len(l.lines)}
			l.lines = append(l.lines, item)
			if err := group.Start("line", func(ctx context.Context) error {
				l.maintain(ctx, item)
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

// maintain opens a line and reopens it whenever it ends, until ctx ends.
func (l *Lines) maintain(ctx context.Context, item *line) {
	for ctx.Err() == nil {
		err := l.read(ctx, item)
		if ctx.Err() != nil {
			return
		}
		l.recordEnd(item, err)
		select {
		case <-ctx.Done():
		case <-time.After(reopenDelay):
		}
	}
}

func (l *Lines) read(ctx context.Context, item *line) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialing, stopDialing := context.WithTimeout(ctx, openTimeout)
	client, conn, err := item.caller.open(dialing)
	stopDialing()
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+l.options.Service+"/alerts", nil)
	if err != nil {
		return err
	}
	// The watchdog ends a line that has received nothing for AnswerTimeout.
	watchdog := time.AfterFunc(AnswerTimeout, cancel)
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
		watchdog.Reset(AnswerTimeout)
		var received agbackend.Alert
		if err := json.Unmarshal(scanner.Bytes(), &received); err != nil {
			return fmt.Errorf("line is not JSON: %w", err)
		}
		l.handleLine(item, received, cancel)
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return errors.New("end of stream")
}

func (l *Lines) handleLine(item *line, received agbackend.Alert, cancel context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Received++
	if received.Service != l.options.Service {
		l.report.WrongService++
	}
	item.host, item.lastReceived, item.cancel = received.Host, time.Now(), cancel
}

// recordEnd counts the end of a line that was served by a host.
func (l *Lines) recordEnd(item *line, cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	host := item.host
	item.host = ""
	if host == "" {
		return
	}
	if _, unavailable := l.unavailable[host]; unavailable {
		l.report.Lost++
		return
	}
	l.report.Broken++
	if len(l.reasons) < maxReasons {
		l.reasons = append(l.reasons, fmt.Sprintf("%s line %d from %s: %v", time.Now().Format("15:04:05.000"), item.number, host, cause))
	}
}

// MarkHostUnavailable records that a host was stopped or that its data centre was
// taken out of service. Its lines are cancelled and count as lost.
func (l *Lines) MarkHostUnavailable(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable[host] = time.Now()
	for _, item := range l.lines {
		if item.host == host && item.cancel != nil {
			item.cancel()
		}
	}
}

// MarkHostAvailable records that a host is available again.
func (l *Lines) MarkHostAvailable(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.unavailable, host)
}

// Settle waits until each line that is served by a host has received data since the
// call, for at most AnswerTimeout plus one second, or until ctx ends. It counts the
// other such lines as broken.
func (l *Lines) Settle(ctx context.Context) {
	start := time.Now()
	for time.Since(start) <= AnswerTimeout+time.Second && l.countIdle(start) > 0 && ctx.Err() == nil {
		time.Sleep(sendInterval)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, item := range l.lines {
		if item.host != "" && item.lastReceived.Before(start) {
			l.report.Broken++
		}
	}
}

func (l *Lines) countIdle(start time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	idle := 0
	for _, item := range l.lines {
		if item.host != "" && item.lastReceived.Before(start) {
			idle++
		}
	}
	return idle
}

// WaitOpen waits until every line is served by a host, and returns how many are
// not when limit has passed or ctx ends.
func (l *Lines) WaitOpen(ctx context.Context, limit time.Duration) int {
	deadline := time.Now().Add(limit)
	for {
		report := l.Report()
		left := report.Flows - report.Answered
		if left == 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return left
		}
		time.Sleep(sendInterval)
	}
}

// Report returns the current counters.
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
