package agcommand

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/caller"
	"github.com/anvilglade/anvilglade/internal/request/agproblem"
	"github.com/anvilglade/anvilglade/internal/request/agticket"
)

// Guards against exit codes with which a script mistakes an unknown outcome for a
// refusal, or a refusal for an answer.
func TestRequestExitCodes(t *testing.T) {
	for _, c := range []struct {
		answer *caller.Answer
		err    error
		result string
		code   int
	}{
		{&caller.Answer{Status: 200}, nil, "Answered", ExitDone},
		{&caller.Answer{Status: 500}, nil, "Answered", ExitFailed},
		{nil, &caller.ProblemError{Problem: *agproblem.New(agproblem.NotRun, "")}, "NotRun", ExitRejected},
		{nil, &caller.ProblemError{Problem: *agproblem.New(agproblem.OutcomeUnknown, "")}, "Unknown", ExitUnknown},
		{nil, &caller.ProblemError{Problem: *agproblem.New(agproblem.TicketExpired, "")}, "Unknown", ExitUnknown},
		{nil, &caller.ProblemError{Problem: *agproblem.New(agproblem.TicketReused, "")}, "Failed", ExitFailed},
		{nil, fmt.Errorf("%w: %w", anvilglade.ErrUnknownOutcome, caller.ErrLineRefused), "Unknown", ExitUnknown},
	} {
		g := NewWithT(t)
		result, code := requestOutcome(c.answer, c.err)
		g.Expect(result.Result).To(Equal(c.result))
		g.Expect(code).To(Equal(c.code))
	}
}

// Guards against a list that does not show that the journal of an agent is missing.
func TestRequestsUnknownNamesMissingAgents(t *testing.T) {
	g := NewWithT(t)
	journal := agticket.NewJournal(1, anvilglade.SystemClock{})
	journal.Record(agticket.UnknownRequest{RequestID: "first", Service: "alerts"})
	journal.Record(agticket.UnknownRequest{RequestID: "second", Service: "alerts", Reason: "connection lost"})
	mux := http.NewServeMux()
	mux.Handle("GET /requests/unknown", journal)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"Host":"dk1-a1"}`)) })
	server := httptest.NewServer(mux)
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	got := agentJournal{Agent: "agent/dk1-a1"}
	g.Expect(got.fetch(t.Context(), address)).To(Succeed())
	var output bytes.Buffer
	g.Expect(printJournals(&output, []agentJournal{got, {Agent: "agent/dk1-a2", Error: "no route"}}, false)).To(Succeed())
	g.Expect(output.String()).To(And(
		ContainSubstring("second"), ContainSubstring("connection lost"), ContainSubstring("1 older entries"),
		ContainSubstring("not asked: no route"), Not(ContainSubstring("first"))))
	g.Expect(Run([]string{"requests", "unknown", "--admin", address.String()})).To(Equal(ExitDone))
	closedServer := httptest.NewServer(mux)
	closedServer.Close()
	g.Expect(Run([]string{"requests", "unknown", "--admin", address.String() + "," + closedServer.Listener.Addr().String(), "--json"})).To(Equal(ExitFailed))
	g.Expect(Run([]string{"request", "PUT", "https://127.0.0.1:1/"})).To(Equal(ExitUsage))
}
