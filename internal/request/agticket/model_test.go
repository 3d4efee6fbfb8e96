package agticket_test

// Model of reports in a deployment: callers that follow the rules of the caller
// package, three hosts with real tables, and a network. Messages are lost and
// delayed, processes pause, crash and restart, and tickets expire, but only by
// the steps of the test.

import (
	"errors"
	"flag"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/request/agticket"
)

const modelLifetime = time.Minute

type modelClock struct{ now time.Time }

func (m *modelClock) Now() time.Time { return m.now }

// message is an attempt in transit from the caller to a host.
type message struct {
	report, host int
	text         string
	attempt      int
}

// runningReport is a first attempt between Begin and Finish.
type runningReport struct {
	host, report int
	text         string
	attempt      *agticket.Attempt
	sent         bool
}

type modelReport struct {
	ticket   string
	attempts int // sent under the current ticket
	ran      int
	done     bool // the caller has the response, or the outcome is unknown for good
	unknown  bool
}

type model struct {
	clock       *modelClock
	tables      []*agticket.Table
	incarnation anvilglade.Incarnation
	network     []message
	runs        []*runningReport
	reports     []*modelReport
	// refusedTickets are tickets for which the caller received "not run".
	refusedTickets map[string]bool
	// ranTickets are tickets whose report reached a backend server.
	ranTickets map[string]bool
}

func newModel(t *rapid.T) *model {
	m := &model{clock: &modelClock{now: time.Unix(1e9, 0)}, refusedTickets: map[string]bool{}, ranTickets: map[string]bool{}}
	for host := range 3 {
		m.tables = append(m.tables, nil)
		m.restart(t, host)
	}
	for range 2 {
		m.reports = append(m.reports, &modelReport{})
	}
	return m
}

func (m *model) restart(t *rapid.T, host int) {
	m.incarnation++
	table, err := agticket.NewTable(agticket.Options{
		Issuer:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(host)}), 1),
		Incarnation: m.incarnation, Lifetime: modelLifetime, MaxTickets: 4, Clock: m.clock,
	})
	if err != nil {
		t.Fatal(err)
	}
	m.tables[host] = table
	// The reports of the old process end without a response.
	remaining := m.runs[:0]
	for _, r := range m.runs {
		if r.host != host {
			remaining = append(remaining, r)
		}
	}
	m.runs = remaining
}

// requestTicket requests a ticket for a report that has none.
func (m *model) requestTicket(t *rapid.T) {
	report := m.reports[rapid.IntRange(0, len(m.reports)-1).Draw(t, "report")]
	if report.ticket != "" || report.done {
		return
	}
	text, _, err := m.tables[rapid.IntRange(0, 2).Draw(t, "issuer")].Issue()
	if errors.Is(err, agticket.ErrFull) {
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	report.ticket, report.attempts = text, 0
}

// send sends an attempt to any host.
func (m *model) send(t *rapid.T) {
	index := rapid.IntRange(0, len(m.reports)-1).Draw(t, "report")
	report := m.reports[index]
	if report.ticket == "" || report.done || len(m.network) > 6 {
		return
	}
	report.attempts++
	m.network = append(m.network, message{report: index, host: rapid.IntRange(0, 2).Draw(t, "host"), text: report.ticket, attempt: report.attempts})
}

// lose drops a message.
func (m *model) lose(t *rapid.T) {
	if len(m.network) > 0 {
		m.pick(t)
	}
}

func (m *model) pick(t *rapid.T) message {
	at := rapid.IntRange(0, len(m.network)-1).Draw(t, "message")
	picked := m.network[at]
	m.network = append(m.network[:at], m.network[at+1:]...)
	return picked
}

// deliver delivers a message. The host forwards it to the issuer of the ticket if
// that process is still running.
func (m *model) deliver(t *rapid.T) {
	if len(m.network) == 0 {
		return
	}
	msg := m.pick(t)
	ticket, err := agticket.Decode(msg.text)
	if err != nil {
		t.Fatal(err)
	}
	issuer := -1
	for host, table := range m.tables {
		if table.IsIssuer(ticket) {
			issuer = host
		}
	}
	if issuer < 0 {
		m.attemptNotRun(msg)
		return
	}
	attempt, err := m.tables[issuer].Begin(msg.text, uint64(msg.report))
	switch {
	case errors.Is(err, agticket.ErrExpired):
		m.attemptNotRun(msg)
	case err != nil:
		t.Fatal(err)
	case attempt.First() && m.refusedTickets[msg.text]:
		t.Fatalf("a report runs after it was refused")
	case attempt.First():
		m.runs = append(m.runs, &runningReport{host: issuer, report: msg.report, text: msg.text, attempt: attempt})
	default:
		select {
		case <-attempt.Done():
			m.answer(t, msg, attempt.Outcome())
		default:
		}
		attempt.Detach(false)
	}
}

// attemptNotRun applies the caller's rule for a response that covers only the
// attempt: after the first and only attempt, the caller may use a new ticket.
func (m *model) attemptNotRun(msg message) {
	report := m.reports[msg.report]
	if report.ticket != msg.text {
		return
	}
	if msg.attempt == 1 && report.attempts == 1 {
		report.ticket = ""
		return
	}
	report.done, report.unknown = true, true
}

// answer applies the caller's rule for an outcome, unless the response is lost.
func (m *model) answer(t *rapid.T, msg message, outcome *agticket.Outcome) {
	if rapid.Bool().Draw(t, "response lost") {
		return
	}
	report := m.reports[msg.report]
	if report.ticket != msg.text {
		return
	}
	switch outcome.State {
	case agticket.NotRun:
		if m.ranTickets[msg.text] {
			t.Fatalf("a report that ran was refused as not run")
		}
		m.refusedTickets[msg.text] = true
		report.ticket = ""
	case agticket.Answered:
		report.done = true
	case agticket.Unknown:
		report.done, report.unknown = true, true
	}
}

// step advances one running report: it is sent to the backend server, ends, or is
// refused. A report that does not advance models a paused process.
func (m *model) step(t *rapid.T) {
	if len(m.runs) == 0 {
		return
	}
	at := rapid.IntRange(0, len(m.runs)-1).Draw(t, "run")
	r := m.runs[at]
	if !r.sent && rapid.Bool().Draw(t, "sends") {
		r.sent = true
		m.reports[r.report].ran++
		m.ranTickets[r.text] = true
		return
	}
	outcome := agticket.Outcome{State: agticket.NotRun}
	if r.sent {
		outcome.State = agticket.Answered
		if rapid.Bool().Draw(t, "server fails") {
			outcome.State = agticket.Unknown
		}
	}
	r.attempt.Finish(outcome)
	r.attempt.Detach(false)
	m.runs = append(m.runs[:at], m.runs[at+1:]...)
}

func (m *model) crash(t *rapid.T) {
	m.restart(t, rapid.IntRange(0, 2).Draw(t, "host"))
}

func (m *model) advanceTime(t *rapid.T) {
	m.clock.now = m.clock.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
}

func (m *model) check(t *rapid.T) {
	for index, report := range m.reports {
		if report.ran > 1 {
			t.Fatalf("report %d ran %d times", index, report.ran)
		}
		if report.done && !report.unknown && report.ran != 1 {
			t.Fatalf("report %d was answered and ran %d times", index, report.ran)
		}
	}
	for _, table := range m.tables {
		if usage := table.Usage(); usage.Tickets > 4 || usage.Bytes < 0 || usage.Running < 0 {
			t.Fatalf("usage of a table is %+v, want at most 4 tickets and no negative number", usage)
		}
	}
}

// TestMain sets a fixed seed, so that every run explores the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	explicit := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { explicit[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "8000", "rapid.steps": "80"} {
		if explicit[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// TestReportRunsAtMostOnce guards against an interleaving of sends, losses,
// crashes, pauses, retries through other agents and expiries that runs a report
// twice, and against running a report after "not run" was reported.
func TestReportRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		// rapid chooses actions uniformly; the entries "again" raise the share of one.
		t.Repeat(map[string]func(*rapid.T){
			"ticket request": m.requestTicket, "send": m.send, "lose": m.lose, "deliver": m.deliver, "deliver again": m.deliver,
			"step": m.step, "step again": m.step, "crash": m.crash, "wait": m.advanceTime, "": m.check,
		})
	})
}
