// Package agcaller is the callers of a scenario: plain UDP flows, HTTP/3
// requests, job reports and alert lines.
//
// Callers check what they get. A UDP flow is broken when another host or
// another incarnation answers, or when nothing answers for ten seconds while
// its host lives. A response counts as whole only if its body is the one that
// the request asked for.
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
	// SilenceLimit is how long a flow may stay without an answer while its
	// host lives.
	SilenceLimit = 10 * time.Second
	// openRetry is the wait before a flow that has no answer yet sends again.
	openRetry  = time.Second
	sendTick   = 5 * time.Millisecond
	maxReasons = 10
)

// FlowsOptions describe a set of UDP flows.
type FlowsOptions struct {
	// Prefix gives each flow an IP of its own; Port is common to all.
	Prefix netip.Prefix
	Port   uint16
	// Interval is the time between two datagrams of a flow.
	Interval time.Duration
}

// Flows keeps UDP flows alive. It is safe for concurrent use. All flows share
// one wildcard socket; the control message of each datagram names the flow's
// IP, so that thousands of flows need two tasks.
type Flows struct {
	options FlowsOptions
	socket  *net.UDPConn
	packets *ipv4.PacketConn

	mu      sync.Mutex
	next    netip.Addr
	byAddr  map[netip.Addr]*flow
	flows   []*flow
	gone    map[string]time.Time
	report  FlowReport
	reasons []string
	opening []time.Duration
}

type flow struct {
	service  string
	to       netip.AddrPort
	source   netip.Addr
	number   int
	due      time.Time
	opened   time.Time
	answered time.Time
	sequence int
	host     string
	started  int64
}

// FlowReport is what happened to the flows so far.
type FlowReport struct {
	Flows int
	// Answered is the number of flows that have a host.
	Answered int
	// Broken flows lost their host although it lives; Lost ones with it.
	Broken       int
	Lost         int
	WrongService int
	Sent         int
	Received     int
	// Reasons describe the first broken flows.
	Reasons []string
	// OpenP99 is the 99th percentile of the time to the first answer.
	OpenP99 time.Duration
	// Hosts counts the flows of each host.
	Hosts map[string]int
}

// NewFlows opens the socket and starts the tasks. The returned function ends
// them.
func NewFlows(options FlowsOptions) (*Flows, func(), error) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{Port: int(options.Port)})
	if err != nil {
		return nil, nil, fmt.Errorf("open caller socket: %w", err)
	}
	if err := errors.Join(socket.SetReadBuffer(socketBuffer), socket.SetWriteBuffer(socketBuffer)); err != nil {
		return nil, nil, errors.Join(err, socket.Close())
	}
	f := &Flows{
		options: options,
		socket:  socket,
		packets: ipv4.NewPacketConn(socket),
		next:    options.Prefix.Addr().Next(),
		byAddr:  map[netip.Addr]*flow{},
		gone:    map[string]time.Time{},
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

// Open adds flows. Their first datagrams are spread over one second.
func (f *Flows) Open(service string, to netip.AddrPort, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for i := range count {
		item := &flow{service: service, to: to, number: len(f.flows)}
		item.due = now.Add(time.Duration(i) * time.Second / time.Duration(count))
		f.flows = append(f.flows, item)
		f.assign(item, item.due)
	}
}

// assign starts a flow anew from an address that was never used.
func (f *Flows) assign(item *flow, now time.Time) {
	if item.source.IsValid() {
		delete(f.byAddr, item.source)
	}
	item.source = f.next
	f.next = f.next.Next()
	f.byAddr[item.source] = item
	item.host, item.started, item.opened, item.answered = "", 0, now, time.Time{}
}

// HostGone says that a host ended or that its data centre was taken out. Its
// flows are lost, not broken, and start anew.
func (f *Flows) HostGone(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gone[host] = time.Now()
	for _, item := range f.flows {
		if item.host == host {
			f.report.Lost++
			f.assign(item, time.Now())
		}
	}
}

// HostBack says that a host lives again.
func (f *Flows) HostBack(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.gone, host)
}

func (f *Flows) send(ctx context.Context) error {
	ticker := time.NewTicker(sendTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			for _, item := range f.due(now) {
				control := &ipv4.ControlMessage{Src: item.source.AsSlice()}
				// A full socket buffer loses the datagram, as a network may.
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
		f.checkSilence(item, now)
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

func (f *Flows) checkSilence(item *flow, now time.Time) {
	if item.host != "" && now.Sub(item.answered) > SilenceLimit {
		f.broken(item, now, "no answer for 10 s from "+item.host)
	}
}

func (f *Flows) broken(item *flow, now time.Time, reason string) {
	f.report.Broken++
	if len(f.reasons) < maxReasons {
		f.reasons = append(f.reasons, fmt.Sprintf("%s flow %s of service %s: %s", now.Format("15:04:05.000"), item.source, item.service, reason))
	}
	f.assign(item, now)
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
		f.take(address, answer, time.Now())
	}
}

func (f *Flows) take(address netip.Addr, answer agbackend.Datagram, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	item, known := f.byAddr[address]
	if !known {
		return
	}
	number, _, _ := strings.Cut(answer.Echo, " ")
	if number != strconv.Itoa(item.number) {
		f.broken(item, now, fmt.Sprintf("answer of flow %s, expected flow %d", number, item.number))
		return
	}
	f.report.Received++
	if answer.Service != item.service {
		f.report.WrongService++
	}
	_, gone := f.gone[answer.Host]
	switch {
	case item.host == "" && gone:
		// A late answer of a host that has ended meanwhile.
	case item.host == "":
		item.host, item.started, item.answered = answer.Host, answer.Incarnation, now
		f.opening = append(f.opening, now.Sub(item.opened))
	case item.host != answer.Host || item.started != answer.Incarnation:
		f.broken(item, now, fmt.Sprintf("answered by %s/%d, began with %s/%d", answer.Host, answer.Incarnation, item.host, item.started))
	default:
		item.answered = now
	}
}

// Settle waits until every flow has had an answer after the time of the call,
// at most SilenceLimit. Flows that stay silent are broken.
func (f *Flows) Settle(ctx context.Context) {
	start := time.Now()
	for time.Since(start) <= SilenceLimit && f.silentSince(start) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(sendTick):
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, item := range f.flows {
		if item.host != "" && item.answered.Before(start) {
			f.broken(item, time.Now(), "no answer for 10 s from "+item.host)
		}
	}
}

// WaitOpen waits until every flow has a host, and returns how many have none
// at the end of the wait.
func (f *Flows) WaitOpen(ctx context.Context, limit time.Duration) int {
	deadline := time.Now().Add(limit)
	for {
		report := f.Report()
		left := report.Flows - report.Answered
		if left == 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return left
		}
		time.Sleep(sendTick)
	}
}

func (f *Flows) silentSince(start time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	silent := 0
	for _, item := range f.flows {
		if item.answered.Before(start) {
			silent++
		}
	}
	return silent
}

// Report returns what happened so far.
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
	report.OpenP99 = Percentile(f.opening, 99)
	return report
}

// Percentile returns the value below which the given percentage of the values
// lies, 0 without values.
func Percentile(values []time.Duration, percent int) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.SortFunc(sorted, cmp.Compare)
	return sorted[min(len(sorted)*percent/100, len(sorted)-1)]
}
