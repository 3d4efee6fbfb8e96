package agserve

// Reports with tickets. The issuer of the ticket runs a report once and responds
// to every attempt with its outcome. Other agents forward attempts to the issuer.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/request/aglife"
	"github.com/anvilglade/anvilglade/internal/request/agproblem"
	"github.com/anvilglade/anvilglade/internal/request/agticket"
)

const (
	// maxOutcomeBody is the maximum size in bytes of a report's response body
	// that is stored.
	maxOutcomeBody = 1 << 20
	// connLossGrace is the time to wait after the end of a stream for the end
	// of its connection. If only the stream ends, the caller reset it to cancel
	// the report. If the connection ends too, it was lost, and the report
	// continues for a retry.
	connLossGrace = 100 * time.Millisecond
)

// TicketAnswer is the response body of POST /.anvilglade/tickets.
type TicketAnswer struct {
	Ticket string
	// Life is the validity of the ticket in milliseconds from the response.
	Life int64
}

// serveTicket handles a request for a ticket.
func (s *Server) serveTicket(w http.ResponseWriter, r *http.Request) {
	c, _ := newCall(r, s.options.Clock.Now())
	if r.Method != http.MethodPost {
		problem := agproblem.New(agproblem.BadRequest, "tickets are issued by POST")
		problem.Status = http.StatusMethodNotAllowed
		s.problem(w, c, problem)
		return
	}
	text, expiry, err := "", time.Time{}, agticket.ErrClosed
	if s.options.Tickets != nil && !s.stopping.Load() {
		text, expiry, err = s.options.Tickets.Issue()
	}
	if err != nil {
		problem := agproblem.New(agproblem.NotRun, err.Error())
		problem.RetryAfter = retryElsewhere
		s.problem(w, c, problem)
		return
	}
	s.counters.Add("TicketsIssued", 1)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(TicketAnswer{Ticket: text, Life: expiry.Sub(s.options.Clock.Now()).Milliseconds()})
}

// serveReport handles an attempt to run a report.
func (s *Server) serveReport(w http.ResponseWriter, r *http.Request, c *call, text string) {
	w.Header().Set(agproblem.HeaderRepeat, repeatTicket)
	ticket, err := agticket.Decode(text)
	if err != nil || s.options.Tickets == nil {
		problem := agproblem.New(agproblem.TicketInvalid, "get a ticket by POST "+TicketsPath)
		problem.AttemptNotRun = true
		s.problem(w, c, problem)
		return
	}
	if !s.options.Tickets.IsIssuer(ticket) {
		s.forwardToIssuer(w, r, c, text, ticket)
		return
	}
	attempt, err := s.options.Tickets.Begin(text, agticket.Digest(c.method, c.path, c.body))
	if err != nil {
		s.problem(w, c, beginProblem(err))
		return
	}
	stop := context.AfterFunc(r.Context(), func() { detachAfterStreamEnd(r, attempt) })
	defer func() {
		if stop() {
			attempt.Detach(false)
		}
	}()
	if attempt.First() {
		s.runReport(c, attempt, text)
	} else {
		s.counters.Add("ReportsRetried", 1)
	}
	s.awaitOutcome(w, r, c, attempt)
}

func beginProblem(err error) *agproblem.Problem {
	kind := agproblem.TicketInvalid
	switch {
	case errors.Is(err, agticket.ErrExpired):
		kind = agproblem.TicketExpired
	case errors.Is(err, agticket.ErrReused):
		kind = agproblem.TicketReused
	}
	problem := agproblem.New(kind, err.Error())
	problem.AttemptNotRun = true
	return problem
}

// detachAfterStreamEnd detaches an attempt whose stream has ended. It cancels the
// report if the caller reset the stream, and lets it continue if the connection
// was lost. Attempts from other agents never cancel the report: an agent also
// resets its stream when the connection to its own caller is lost, so the reset
// does not show whether the caller canceled.
func detachAfterStreamEnd(r *http.Request, attempt *agticket.Attempt) {
	conn := connFromContext(r.Context())
	if conn.closed() {
		attempt.Detach(false)
		return
	}
	time.AfterFunc(connLossGrace, func() { attempt.Detach(!conn.closed()) })
}

// runReport runs the report and stores its outcome. It continues after the
// caller's connection is lost, until the deadline of this first attempt.
func (s *Server) runReport(c *call, attempt *agticket.Attempt, text string) {
	outcome := agticket.Outcome{State: agticket.Unknown, Detail: "agent failed"}
	// Deferred, so that the outcome is stored after a panic too and no retry
	// waits forever.
	defer func() {
		if outcome.State == agticket.Unknown {
			s.recordUnknown(c, text, outcome.Detail)
		}
		attempt.Finish(outcome)
	}()
	lifecycle := aglife.New()
	defer lifecycle.Release()
	ctx, _, cancel := s.callContext(attempt.Context(), c)
	defer cancel()
	if s.stopping.Load() {
		outcome = finalOutcome(lifecycle, aglife.Refuse, agticket.Outcome{State: agticket.NotRun, Detail: "agent is stopping"})
		return
	}
	switch r := s.run(ctx, c, lifecycle); r.kind {
	case resultRefused:
		problem := refusalProblem(r)
		outcome = finalOutcome(lifecycle, aglife.Refuse, agticket.Outcome{State: agticket.NotRun, Detail: problem.Detail})
	case resultLost:
		outcome = finalOutcome(lifecycle, aglife.Lose, agticket.Outcome{State: agticket.Unknown, Detail: r.err.Error()})
	case resultAnswered:
		outcome = s.collectOutcome(ctx, lifecycle, r.answer)
	}
}

// finalOutcome applies the event to the lifecycle and returns the outcome. If the
// lifecycle rejects the event, the outcome is Unknown.
func finalOutcome(lifecycle *aglife.Lifecycle, event aglife.Event, outcome agticket.Outcome) agticket.Outcome {
	if err := lifecycle.Do(event); err != nil {
		return agticket.Outcome{State: agticket.Unknown, Detail: err.Error()}
	}
	return outcome
}

// collectOutcome reads the rest of the response and returns the outcome. A
// response over maxOutcomeBody is read to its end, so that the backend server can
// complete it, but its body is not stored.
func (s *Server) collectOutcome(ctx context.Context, lifecycle *aglife.Lifecycle, a *answer) agticket.Outcome {
	defer a.close()
	// The prefix may be in a buffer that is reused.
	body, dropped := bytes.Clone(a.prefix), false
	if len(body) > maxOutcomeBody {
		body, dropped = nil, true
	}
	if a.rest != nil && !dropped {
		rest, err := io.ReadAll(io.LimitReader(a.rest, maxOutcomeBody-int64(len(a.prefix))+1))
		body = append(body, rest...)
		if err == nil && len(body) > maxOutcomeBody {
			dropped = true
			_, err = io.Copy(io.Discard, a.rest)
		}
		if err == nil && !dropped && a.length >= 0 && int64(len(body)) != a.length {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			a.release(failureOutcome(ctx))
			res := s.lostResult(ctx, err)
			return finalOutcome(lifecycle, aglife.Lose, agticket.Outcome{State: agticket.Unknown, Detail: res.err.Error()})
		}
	}
	a.release(a.outcome())
	outcome := agticket.Outcome{State: agticket.Answered, Status: a.status, Header: a.header, Body: body}
	if dropped {
		outcome = agticket.Outcome{State: agticket.Answered, Status: a.status, Dropped: true}
	}
	return finalOutcome(lifecycle, aglife.Answer, outcome)
}

// awaitOutcome waits for the outcome and responds to one attempt. The wait ends
// at the deadline of the attempt; the report continues.
func (s *Server) awaitOutcome(w http.ResponseWriter, r *http.Request, c *call, attempt *agticket.Attempt) {
	ctx, _, cancel := s.callContext(r.Context(), c)
	defer cancel()
	select {
	case <-attempt.Done():
		s.writeOutcome(w, c, attempt.Outcome())
	case <-ctx.Done():
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		problem := agproblem.New(agproblem.ReportRunning, "the outcome is not known yet; ask again under the same ticket")
		problem.RetryAfter = retryElsewhere
		s.problem(w, c, problem)
	}
}

func (s *Server) writeOutcome(w http.ResponseWriter, c *call, outcome *agticket.Outcome) {
	switch {
	case outcome.State == agticket.NotRun:
		problem := agproblem.New(agproblem.NotRun, outcome.Detail)
		problem.RetryAfter = retryElsewhere
		s.problem(w, c, problem)
	case outcome.State == agticket.Unknown:
		s.problem(w, c, agproblem.New(agproblem.OutcomeUnknown, outcome.Detail))
	case outcome.Dropped:
		problem := agproblem.New(agproblem.AnswerNotKept, "")
		problem.AnswerStatus = outcome.Status
		s.problem(w, c, problem)
	default:
		header := w.Header()
		for name, values := range outcome.Header {
			header[name] = values
		}
		header.Set(agproblem.HeaderRequestID, string(c.id))
		if bodyAllowed(outcome.Status) {
			header.Set("Content-Length", strconv.Itoa(len(outcome.Body)))
		}
		w.WriteHeader(outcome.Status)
		//nolint:gosec // the agent relays the backend server's own response with its media type
		if _, err := w.Write(outcome.Body); err != nil && len(outcome.Body) > 0 {
			panic(http.ErrAbortHandler)
		}
		s.counters.Add("Answered", 1)
	}
}

// forwardToIssuer forwards an attempt to the process that issued the ticket. This
// agent never runs the report itself.
func (s *Server) forwardToIssuer(w http.ResponseWriter, r *http.Request, c *call, text string, ticket agticket.Ticket) {
	if reason, retryAfter := s.issuerUnavailable(c, ticket); reason != "" {
		s.writeUnknown(w, c, text, reason, true, retryAfter)
		return
	}
	ctx, clearDeadline, cancel := s.callContext(r.Context(), c)
	defer cancel()
	s.counters.Add("ReportsPassed", 1)
	response, reached, err := s.options.Peers.send(ctx, ticket.Issuer, s.options.Service, forwardTicket, c)
	var a *answer
	if err == nil {
		a, err = s.readAnswer(response, c.method)
	}
	if err != nil {
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		s.writeUnknown(w, c, text, fmt.Sprintf("issuer of the ticket: %v", err), !reached, retryElsewhere)
		return
	}
	if err := s.relay(ctx, w, c, a, clearDeadline); err != nil {
		panic(http.ErrAbortHandler)
	}
	s.options.Journal.Resolve(text)
}

// issuerUnavailable returns the reason why the attempt cannot be forwarded to the
// issuer, or "" if it can. Agents connect to addresses of member hosts only, so
// a forged ticket cannot make them connect to another address.
//
// RetryAfter is 0 if the process has ended. A host that is not a member may be
// paused or partitioned, and return with its outcomes.
func (s *Server) issuerUnavailable(c *call, ticket agticket.Ticket) (reason string, retryAfter time.Duration) {
	if c.fromPeer || s.options.Peers == nil {
		return "the process that issued the ticket is gone", 0
	}
	if ticket.Issuer == s.options.Peers.options.Address {
		return "the process that issued the ticket was restarted", 0
	}
	incarnation, ok := s.incarnationAt(ticket.Issuer)
	if !ok {
		return fmt.Sprintf("the host that issued the ticket, %s, is not known", ticket.Issuer), retryElsewhere
	}
	if incarnation > ticket.Incarnation {
		return "the process that issued the ticket was restarted", 0
	}
	return "", 0
}

func (s *Server) incarnationAt(address netip.AddrPort) (anvilglade.Incarnation, bool) {
	for _, member := range s.options.Members() {
		if member.ControlAddress == address {
			return member.Incarnation, true
		}
	}
	return 0, false
}

// writeUnknown responds to an attempt whose report may have run at the issuer, and
// records it.
func (s *Server) writeUnknown(w http.ResponseWriter, c *call, text, reason string, attemptNotRun bool, retryAfter time.Duration) {
	s.recordUnknown(c, text, reason)
	problem := agproblem.New(agproblem.OutcomeUnknown, reason)
	problem.AttemptNotRun = attemptNotRun
	problem.RetryAfter = retryAfter
	s.problem(w, c, problem)
}
