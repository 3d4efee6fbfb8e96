// Package agcaller simulates the callers of a scenario: plain UDP flows, HTTP/3
// requests, job reports and alert lines.
//
// Callers verify what they receive. A UDP flow is broken when another host or
// another incarnation of its host answers, or when it receives no answer for ten
// seconds while its host is available. A response counts as complete only if its
// body is the one that the request asked for.
//
// # Usage
//
//	flows, stop, err := agcaller.NewFlows(agcaller.FlowsOptions{Prefix: prefix, Port: 20001, Interval: time.Second})
//	if err != nil {
//		return err
//	}
//	defer stop()
//	flows.Open("alerts", serviceAddress, 2000)
//	report := flows.Report()
package agcaller

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/ipv4"

	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/stand/agbackend"
)

const (
	socketBuffer = 8 << 20
	datagramSize = 2048
	// AnswerTimeout is how long a flow may stay without an answer while its
	// host is available.
	AnswerTimeout = 10 * time.Second
	// openRetry is the maximum time between two datagrams of a flow that has
	// received no answer yet.
	openRetry    = time.Second
	sendInterval = 5 * time.Millisecond
	maxReasons   = 10
)

// FlowsOptions describe a set of UDP flows.
type FlowsOptions struct {
	// Prefix holds the source IP addresses, one for each flow; all flows
	// share the source port Port.
	Prefix netip.Prefix
	Port   uint16
	// Interval is the time between two datagrams of a flow.
	Interval time.Duration
}

// Flows sends and receives the datagrams of UDP flows. It is safe for concurrent
// use. All flows share one wildcard socket; the control message of each datagram
// carries the IP address of the flow, so that two tasks serve thousands of flows.
type Flows struct {
	options FlowsOptions
	socket  *net.UDPConn
	packets *ipv4.PacketConn

	mu          sync.Mutex
	nextSource  netip.Addr
	bySource    map[netip.Addr]*flow
	flows       []*flow
	unavailable map[string]time.Time
	report      FlowReport
	reasons     []string
	openTimes   []time.Duration
}

type flow struct {
	service     string
	to          netip.AddrPort
	source      netip.Addr
	number      int
	due         time.Time
	opened      time.Time
	lastAnswer  time.Time
	sequence    int
	host        string
	incarnation int64
}

// FlowReport holds the counters of a set of flows since its start.
type FlowReport struct {
	Flows int
	// Answered is the number of flows that are assigned to a host.
	Answered int
	// Broken counts flows that lost their host while it was available; Lost
	// counts flows whose host became unavailable.
	Broken       int
	Lost         int
	WrongService int
	Sent         int
	Received     int
	// Reasons describes the first broken flows.
	Reasons []string
	// OpenP99 is the 99th percentile of the time to the first answer.
	OpenP99 time.Duration
	// Hosts is the number of flows of each host.
	Hosts map[string]int
}

// NewFlows opens the socket and starts the send and receive tasks. The returned
// function stops them.
func NewFlows(options FlowsOptions) (*Flows, func(), error) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{Port: int(options.Port)})
	if err != nil {
		return nil, nil, fmt.Errorf("open caller socket: %w", err)
	}
	if err := errors.Join(socket.SetReadBuffer(socketBuffer), socket.SetWriteBuffer(socketBuffer)); err != nil {
		return nil, nil, errors.Join(err, socket.Close())
	}
	f := &Flows{
		options:     options,
		socket:      socket,
		packets:     ipv4.NewPacketConn(socket),
		nextSource:  options.Prefix.Addr().Next(),
		bySource:    map[netip.Addr]*flow{},
		unavailable: map[string]time.Time{},
	}
	if err := f.packets.SetControlMessage(ipv4.FlagDst, true); err != nil {
		return nil, nil, errors.Join(err, socket.Close())
	}
	group, stop, err := agtask.NewGroup(context.Background())
	if err != nil {
		return nil, nil, errors.Join(err, socket.Close())
	}
	if err := errors.Join(group.Start("send", f.send), group.Start("receive", f.receive)); err != nil {
		stop()
		return nil, nil, err
	}
	return f, stop, nil
}

// Open adds count flows to a service. Their first datagrams are spread over one
// second.
func (f *Flows) Open(service string, to netip.AddrPort, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for i := range count {
		item := &flow{service: service, to: to, number: len(f.flows)}
		item.due = now.Add(time.Duration(i) * time.Second / time.Duration(count))
		f.flows = append(f.flows, item)
		f.assignSource(item, item.due)
	}
}

// assignSource restarts a flow from a source address that was not used before.
func (f *Flows) assignSource(item *flow, now time.Time) {
	if item.source.IsValid() {
		delete(f.bySource, item.source)
	}
	item.source = f.nextSource
	f.nextSource = f.nextSource.Next()
	f.bySource[item.source] = item
	item.host, item.incarnation, item.opened, item.lastAnswer = "", 0, now, time.Time{}
}

// MarkHostUnavailable records that a host was stopped or that its data centre was
// taken out of service. Its flows count as lost, not as broken, and restart.
func (f *Flows) MarkHostUnavailable(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unavailable[host] = time.Now()
	for _, item := range f.flows {
		if item.host == host {
			f.report.Lost++
			f.assignSource(item, time.Now())
		}
	}
}

// MarkHostAvailable records that a host is available again.
func (f *Flows) MarkHostAvailable(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.unavailable, host)
}

func (f *Flows) send(ctx context.Context) error {
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			for _, item := range f.due(now) {
				control := &ipv4.ControlMessage{Src: item.source.AsSlice()}
				// If the socket buffer is full, the datagram is lost, as it may be
				// in a network.
				_, _ = f.packets.WriteTo([]byte(item.payload), control, net.UDPAddrFromAddrPort(item.to))
			}
		}
	}
}

type outgoing struct {
	source  netip.Addr
	to      netip.AddrPort
	payload string
}

func (f *Flows) due(now time.Time) []outgoing {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []outgoing
	for _, item := range f.flows {
		if now.Before(item.due) {
			continue
		}
		f.checkTimeout(item, now)
		item.sequence++
		item.due = now.Add(f.options.Interval)
		if item.host == "" {
			item.due = now.Add(min(openRetry, f.options.Interval))
		}
		f.report.Sent++
		found = append(found, outgoing{
			source:  item.source,
			to:      item.to,
			payload: strconv.Itoa(item.number) + " " + strconv.Itoa(item.sequence),
		})
	}
	return found
}

func (f *Flows) checkTimeout(item *flow, now time.Time) {
	if item.host != "" && now.Sub(item.lastAnswer) > AnswerTimeout {
		f.recordBroken(item, now, "no answer for 10 s from "+item.host)
	}
}

func (f *Flows) recordBroken(item *flow, now time.Time, reason string) {
	f.report.Broken++
	if len(f.reasons) < maxReasons {
		f.reasons = append(f.reasons, fmt.Sprintf("%s flow %s of service %s: %s", now.Format("15:04:05.000"), item.source, item.service, reason))
	}
	f.assignSource(item, now)
}

func (f *Flows) receive(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _ = f.socket.Close() })()
	buf := make([]byte, datagramSize)
	for {
		n, control, _, err := f.packets.ReadFrom(buf)
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return fmt.Errorf("read caller datagrams: %w", err)
		}
		if control == nil {
			continue
		}
		address, ok := netip.AddrFromSlice(control.Dst.To4())
		var answer agbackend.Datagram
		if !ok || json.Unmarshal(buf[:n], &answer) != nil {
			continue
		}
		f.handleAnswer(address, answer, time.Now())
	}
}

func (f *Flows) handleAnswer(address netip.Addr, answer agbackend.Datagram, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	item, ok := f.bySource[address]
	if !ok {
		return
	}
	number, _, _ := strings.Cut(answer.Echo, " ")
	if number != strconv.Itoa(item.number) {
		f.recordBroken(item, now, fmt.Sprintf("answer of flow %s, expected flow %d", number, item.number))
		return
	}
	f.report.Received++
	if answer.Service != item.service {
		f.report.WrongService++
	}
	_, unavailable := f.unavailable[answer.Host]
	switch {
	case item.host == "" && unavailable:
		// A late answer from a host that has become unavailable.
	case item.host == "":
		item.host, item.incarnation, item.lastAnswer = answer.Host, answer.Incarnation, now
		f.openTimes = append(f.openTimes, now.Sub(item.opened))
	case item.host != answer.Host || item.incarnation != answer.Incarnation:
		f.recordBroken(item, now, fmt.Sprintf("answered by %s/%d, began with %s/%d", answer.Host, answer.Incarnation, item.host, item.incarnation))
	default:
		item.lastAnswer = now
	}
}

// Settle waits until every flow has received an answer since the call, for at
// most AnswerTimeout. Flows that have received none by then count as broken.
func (f *Flows) Settle(ctx context.Context) {
	start := time.Now()
	for time.Since(start) <= AnswerTimeout && f.countUnanswered(start) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(sendInterval):
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, item := range f.flows {
		if item.host != "" && item.lastAnswer.Before(start) {
			f.recordBroken(item, time.Now(), "no answer for 10 s from "+item.host)
		}
	}
}

// WaitOpen waits until every flow is assigned to a host, and returns how many are
// not when limit has passed or ctx ends.
func (f *Flows) WaitOpen(ctx context.Context, limit time.Duration) int {
	deadline := time.Now().Add(limit)
	for {
		report := f.Report()
		left := report.Flows - report.Answered
		if left == 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return left
		}
		time.Sleep(sendInterval)
	}
}

func (f *Flows) countUnanswered(start time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	unanswered := 0
	for _, item := range f.flows {
		if item.lastAnswer.Before(start) {
			unanswered++
		}
	}
	return unanswered
}

// Report returns the current counters.
func (f *Flows) Report() FlowReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	report := f.report
	report.Flows = len(f.flows)
	report.Hosts = map[string]int{}
	for _, item := range f.flows {
		if item.host != "" {
			report.Answered++
			report.Hosts[item.host]++
		}
	}
	report.Reasons = slices.Clone(f.reasons)
	report.OpenP99 = Percentile(f.openTimes, 99)
	return report
}

// Percentile returns the value below which the given percentage of the values
// lies, or 0 if there are no values.
func Percentile(values []time.Duration, percent int) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.SortFunc(sorted, cmp.Compare)
	return sorted[min(len(sorted)*percent/100, len(sorted)-1)]
}
