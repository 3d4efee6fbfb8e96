package agticket_test

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade/internal/request/agticket"
)

func newTable(g *WithT, clock *modelClock, change func(*agticket.Options)) *agticket.Table {
	options := agticket.Options{Issuer: netip.MustParseAddrPort("10.0.0.1:1"), Incarnation: 1, Lifetime: modelLifetime, Clock: clock}
	if change != nil {
		change(&options)
	}
	table, err := agticket.NewTable(options)
	g.Expect(err).NotTo(HaveOccurred())
	return table
}

func issue(g *WithT, table *agticket.Table) string {
	text, _, err := table.Issue()
	g.Expect(err).NotTo(HaveOccurred())
	return text
}

// TestFullTableRefusesAndEvictsNothing guards against unbounded memory, and
// against evicting a ticket before its expiry to make room.
func TestFullTableRefusesAndEvictsNothing(t *testing.T) {
	for name, change := range map[string]func(*agticket.Options){
		"by count": func(o *agticket.Options) { o.MaxTickets = 2 },
		"by bytes": func(o *agticket.Options) { o.MaxBytes = 2 * (agticket.EntryCost + agticket.DefaultReserve) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			clock := &modelClock{now: time.Now()}
			table := newTable(g, clock, change)
			first := issue(g, table)
			issue(g, table)
			_, _, err := table.Issue()
			g.Expect(err).To(MatchError(agticket.ErrFull))
			attempt, err := table.Begin(first, 1)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(attempt.First()).To(BeTrue())
			attempt.Finish(agticket.Outcome{State: agticket.Answered, Body: make([]byte, agticket.DefaultReserve)})
			clock.now = clock.now.Add(modelLifetime)
			issue(g, table)
			_, err = table.Begin(first, 1)
			g.Expect(err).To(MatchError(agticket.ErrExpired))
		})
	}
}

// TestOutcomeWithoutRoomKeepsItsState guards against losing an outcome because its
// response is large.
func TestOutcomeWithoutRoomKeepsItsState(t *testing.T) {
	g := NewWithT(t)
	table := newTable(g, &modelClock{now: time.Now()}, func(o *agticket.Options) { o.MaxBytes = 4 << 10 })
	attempt, err := table.Begin(issue(g, table), 1)
	g.Expect(err).NotTo(HaveOccurred())
	attempt.Finish(agticket.Outcome{State: agticket.Answered, Status: 201, Body: make([]byte, 8<<10)})
	g.Expect(*attempt.Outcome()).To(Equal(agticket.Outcome{State: agticket.Answered, Status: 201, Dropped: true}))
	g.Expect(table.Usage().Bytes).To(Equal(int64(agticket.EntryCost)))
}

// TestReportThatOutlivesItsTicketKeepsItsOutcome guards against a retry that does
// not receive the outcome because the report ran longer than the lifetime of its
// ticket.
func TestReportThatOutlivesItsTicketKeepsItsOutcome(t *testing.T) {
	g := NewWithT(t)
	clock := &modelClock{now: time.Now()}
	table := newTable(g, clock, nil)
	text := issue(g, table)
	attempt, err := table.Begin(text, 1)
	g.Expect(err).NotTo(HaveOccurred())
	clock.now = clock.now.Add(2 * modelLifetime)
	g.Expect(table.Usage().Tickets).To(Equal(1))
	attempt.Finish(agticket.Outcome{State: agticket.Answered, Status: 200})
	clock.now = clock.now.Add(modelLifetime / 2)
	again, err := table.Begin(text, 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Outcome().Status).To(Equal(200))
	clock.now = clock.now.Add(modelLifetime)
	g.Expect(table.Usage()).To(Equal(agticket.Usage{}))
}

// TestClockStepExpiresNothing guards against tickets that expire by a step of the
// wall clock: expiry uses the monotonic clock reading of time.Time.
func TestClockStepExpiresNothing(t *testing.T) {
	g := NewWithT(t)
	clock := &modelClock{now: time.Now()}
	table := newTable(g, clock, nil)
	text, expiry, err := table.Issue()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(expiry.String()).To(ContainSubstring("m=+"), "the expiry must carry a monotonic reading")
	clock.now = time.Now()
	_, err = table.Begin(text, 1)
	g.Expect(err).NotTo(HaveOccurred())
}

// TestForgedTicketIsInvalid guards against accepting a ticket whose content was
// changed.
func TestForgedTicketIsInvalid(t *testing.T) {
	g := NewWithT(t)
	table := newTable(g, &modelClock{now: time.Now()}, nil)
	ticket, err := agticket.Decode(issue(g, table))
	g.Expect(err).NotTo(HaveOccurred())
	ticket.Number++
	_, err = table.Begin(ticket.Encode(), 1)
	g.Expect(errors.Is(err, agticket.ErrInvalid)).To(BeTrue())
}

// TestJournalIsBoundedAndMergesRetries guards against a journal that grows without
// bound, or that lists the retries of one report as several reports.
func TestJournalIsBoundedAndMergesRetries(t *testing.T) {
	g := NewWithT(t)
	journal := agticket.NewJournal(2, &modelClock{now: time.Now()})
	for _, ticket := range []string{"a", "a", "b", "c"} {
		journal.Record(agticket.UnknownRequest{Ticket: ticket})
	}
	journal.Record(agticket.UnknownRequest{RequestID: "r"})
	journal.Record(agticket.UnknownRequest{RequestID: "r"})
	page := journal.Page()
	g.Expect(page.Entries).To(HaveLen(2))
	g.Expect(page.Entries[0].RequestID).To(BeEquivalentTo("r"))
	g.Expect(page.Total).To(Equal(uint64(5)))
	g.Expect(page.Dropped).To(Equal(uint64(3)))
}
