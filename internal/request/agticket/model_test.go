package agticket_test

// Model of a report on its way through a fleet: a caller that keeps the rules
// of the caller package, three hosts whose tables are the real ones, and a
// network that loses, delays and repeats nothing on its own but lets the test
// pause, crash, restart and expire at every step.

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

const modelLife = time.Minute

type modelClock struct{ now time.Time }

func (m *modelClock) Now() time.Time { return m.now }

// message is an attempt that has left the caller and has not reached its host.
type message struct {
	report, host int
	text         string
	attempt      int
}

// running is a first attempt between Begin and Finish.
type running struct {
	host, report int
	text         string
	attempt      *agticket.Attempt
	sent         bool
}

type modelReport struct {
	ticket   string
	attempts int // under the current ticket
	ran      int
	done     bool // the caller has an answer or gave up as unknown
	unknown  bool
}

type model struct {
	clock   *modelClock
	tables  []*agticket.Table
	start   anvilglade.Incarnation
	network []message
	runs    []*running
	reports []*modelReport
	// refusedTickets are tickets of which "not run" was said.
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
	m.start++
	table, err := agticket.NewTable(agticket.Options{
		Issuer:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(host)}), 1),
		Incarnation: m.start, Life: modelLife, MaxTickets: 4, Clock: m.clock,
	})
	if err != nil {
		t.Fatal(err)
	}
	m.tables[host] = table
	// What ran in the old process ends without an answer.
	kept := m.runs[:0]
	for _, r := range m.runs {
		if r.host != host {
			kept = append(kept, r)
		}
	}
	m.runs = kept
}

// take gets a ticket for a report that has none.
func (m *model) take(t *rapid.T) {
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

// send starts an attempt at any host.
func (m *model) send(t *rapid.T) {
	index := rapid.IntRange(0, len(m.reports)-1).Draw(t, "report")
	report := m.reports[index]
	if report.ticket == "" || report.done || len(m.network) > 6 {
		return
	}
	report.attempts++
	m.network = append(m.network, message{report: index, host: rapid.IntRange(0, 2).Draw(t, "host"), text: report.ticket, attempt: report.attempts})
}

// lose drops an attempt before it arrives.
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

// deliver lets an attempt arrive; the host passes it to the issuer if that
// process still lives.
func (m *model) deliver(t *rapid.T) {
	if len(m.network) == 0 {
		return
	}
	arrived := m.pick(t)
	ticket, err := agticket.Decode(arrived.text)
	if err != nil {
		t.Fatal(err)
	}
	issuer := -1
	for host, table := range m.tables {
		if table.Issued(ticket) {
			issuer = host
		}
	}
	if issuer < 0 {
		m.attemptNotRun(arrived)
		return
	}
	attempt, err := m.tables[issuer].Begin(arrived.text, uint64(arrived.report))
	switch {
	case errors.Is(err, agticket.ErrExpired):
		m.attemptNotRun(arrived)
	case err != nil:
		t.Fatal(err)
	case attempt.First() && m.refusedTickets[arrived.text]:
		t.Fatalf("a report runs after it was refused")
	case attempt.First():
		m.runs = append(m.runs, &running{host: issuer, report: arrived.report, text: arrived.text, attempt: attempt})
	default:
		select {
		case <-attempt.Done():
			m.answer(t, arrived, attempt.Outcome())
		default:
		}
		attempt.Leave(false)
	}
}

// attemptNotRun is the caller's rule for an answer that speaks of the attempt
// only: the very first attempt may go on with a new ticket.
func (m *model) attemptNotRun(arrived message) {
	report := m.reports[arrived.report]
	if report.ticket != arrived.text {
		return
	}
	if arrived.attempt == 1 && report.attempts == 1 {
		report.ticket = ""
		return
	}
	report.done, report.unknown = true, true
}

// answer is the caller's rule for an outcome, if the answer is not lost.
func (m *model) answer(t *rapid.T, arrived message, outcome *agticket.Outcome) {
	if rapid.Bool().Draw(t, "answer lost") {
		return
	}
	report := m.reports[arrived.report]
	if report.ticket != arrived.text {
		return
	}
	switch outcome.State {
	case agticket.NotRun:
		if m.ranTickets[arrived.text] {
			t.Fatalf("a report that ran was refused as not run")
		}
		m.refusedTickets[arrived.text] = true
		report.ticket = ""
	case agticket.Answered:
		report.done = true
	case agticket.Unknown:
		report.done, report.unknown = true, true
	}
}

// step moves one running report: to the backend server, to its end, or back by
// a refusal. A report that is never moved is a paused process.
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
		if rapid.Bool().Draw(t, "server dies") {
			outcome.State = agticket.Unknown
		}
	}
	r.attempt.Finish(outcome)
	r.attempt.Leave(false)
	m.runs = append(m.runs[:at], m.runs[at+1:]...)
}

func (m *model) crash(t *rapid.T) {
	m.restart(t, rapid.IntRange(0, 2).Draw(t, "host"))
}

func (m *model) wait(t *rapid.T) {
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
			t.Fatalf("table holds %+v", usage)
		}
	}
}

// TestMain fixes the seed, so that every run of CI explores the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "8000", "rapid.steps": "80"} {
		if set[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// TestReportRunsAtMostOnce guards against every interleaving of send, loss,
// crash, pause, retry through other agents and expiry that runs a report twice,
// and against a ticket that runs after "not run" was said.
func TestReportRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"take": m.take, "send": m.send, "lose": m.lose, "deliver": m.deliver, "deliver again": m.deliver,
			"step": m.step, "step again": m.step, "crash": m.crash, "wait": m.wait, "": m.check,
		})
	})
}
