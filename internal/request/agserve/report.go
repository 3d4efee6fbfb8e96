package agserve

// Reports under tickets. The issuer starts a report once and answers every
// attempt from the outcome; other agents only pass attempts to the issuer.

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
	// maxOutcomeBody bounds the answer to a report that is kept, in bytes.
	maxOutcomeBody = 1 << 20
	// lossGrace is the time after the end of a stream in which the end of its
	// connection is noticed. A stream that ends alone was reset by the caller
	// on purpose; one that ends with its connection was lost, and the report
	// goes on for the retry.
	lossGrace = 100 * time.Millisecond
)

// TicketAnswer is the answer of POST /.anvilglade/tickets.
type TicketAnswer struct {
	Ticket string
	// Life is how long the ticket is valid, in milliseconds from the answer.
	Life int64
}

// serveTicket issues a ticket.
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

// serveReport handles an attempt of a report.
func (s *Server) serveReport(w http.ResponseWriter, r *http.Request, c *call, text string) {
	w.Header().Set(agproblem.HeaderRepeat, repeatTicket)
	ticket, err := agticket.Decode(text)
	if err != nil || s.options.Tickets == nil {
		problem := agproblem.New(agproblem.TicketInvalid, "get a ticket by POST "+TicketsPath)
		problem.AttemptNotRun = true
		s.problem(w, c, problem)
		return
	}
	if !s.options.Tickets.Issued(ticket) {
		s.passToIssuer(w, r, c, text, ticket)
		return
	}
	attempt, err := s.options.Tickets.Begin(text, agticket.Digest(c.method, c.path, c.body))
	if err != nil {
		s.problem(w, c, beginProblem(err))
		return
	}
	stop := context.AfterFunc(r.Context(), func() { leaveAfterEnd(r, attempt) })
	defer func() {
		if stop() {
			attempt.Leave(false)
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

// leaveAfterEnd ends an attempt whose stream has ended. It cancels the report if
// the caller reset the stream, and keeps it running if the connection was lost.
// Another agent that passes an attempt on resets its stream when its own caller
// is gone, which says nothing about the caller's wish; so attempts from agents
// never cancel.
func leaveAfterEnd(r *http.Request, attempt *agticket.Attempt) {
	connection := connectionOf(r.Context())
	if connection.lost() {
		attempt.Leave(false)
		return
	}
	time.AfterFunc(lossGrace, func() { attempt.Leave(!connection.lost()) })
}

// runReport runs the report and stores its outcome. It goes on after the
// caller's connection is lost, until the deadline of this first attempt.
func (s *Server) runReport(c *call, attempt *agticket.Attempt, text string) {
	outcome := agticket.Outcome{State: agticket.Unknown, Detail: "agent failed"}
	// The deferred call also covers a panic, so that no retry waits for ever.
	defer func() {
		if outcome.State == agticket.Unknown {
			s.unknown(c, text, outcome.Detail)
		}
		attempt.Finish(outcome)
	}()
	life := aglife.New()
	defer life.Release()
	ctx, _, cancel := s.callContext(attempt.Context(), c)
	defer cancel()
	if s.stopping.Load() {
		outcome = endReport(life, aglife.Refuse, agticket.Outcome{State: agticket.NotRun, Detail: "agent is stopping"})
		return
	}
	switch r := s.run(ctx, c, life); r.kind {
	case refused:
		problem := refusalProblem(r)
		outcome = endReport(life, aglife.Refuse, agticket.Outcome{State: agticket.NotRun, Detail: problem.Detail})
	case lost:
		outcome = endReport(life, aglife.Lose, agticket.Outcome{State: agticket.Unknown, Detail: r.err.Error()})
	case answered:
		outcome = s.keepAnswer(ctx, life, r.answer)
	}
}

// endReport turns an outcome that the life does not allow into Unknown.
func endReport(life *aglife.Lifecycle, event aglife.Event, outcome agticket.Outcome) agticket.Outcome {
	if err := life.Do(event); err != nil {
		return agticket.Outcome{State: agticket.Unknown, Detail: err.Error()}
	}
	return outcome
}

// keepAnswer reads the rest of the answer. One that is too large is read to its
// end, so that the server is not cut off, but not kept.
func (s *Server) keepAnswer(ctx context.Context, life *aglife.Lifecycle, a *answer) agticket.Outcome {
	defer a.close()
	// The head may be memory that is used again.
	body, dropped := bytes.Clone(a.head), false
	if len(body) > maxOutcomeBody {
		body, dropped = nil, true
	}
	if a.rest != nil && !dropped {
		rest, err := io.ReadAll(io.LimitReader(a.rest, maxOutcomeBody-int64(len(a.head))+1))
		body = append(body, rest...)
		if err == nil && len(body) > maxOutcomeBody {
			dropped = true
			_, err = io.Copy(io.Discard, a.rest)
		}
		if err == nil && !dropped && a.length >= 0 && int64(len(body)) != a.length {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			a.release(failure(ctx))
			lostAnswer := s.lose(ctx, err)
			return endReport(life, aglife.Lose, agticket.Outcome{State: agticket.Unknown, Detail: lostAnswer.err.Error()})
		}
	}
	a.release(a.outcome())
	outcome := agticket.Outcome{State: agticket.Answered, Status: a.status, Header: a.header, Body: body}
	if dropped {
		outcome = agticket.Outcome{State: agticket.Answered, Status: a.status, Dropped: true}
	}
	return endReport(life, aglife.Answer, outcome)
}

// awaitOutcome answers one attempt. The wait ends with the attempt's own
// deadline; the report goes on.
func (s *Server) awaitOutcome(w http.ResponseWriter, r *http.Request, c *call, attempt *agticket.Attempt) {
	ctx, _, cancel := s.callContext(r.Context(), c)
	defer cancel()
	select {
	case <-attempt.Done():
		s.deliverOutcome(w, c, attempt.Outcome())
	case <-ctx.Done():
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		problem := agproblem.New(agproblem.ReportRunning, "the outcome is not known yet; ask again under the same ticket")
		problem.RetryAfter = retryElsewhere
		s.problem(w, c, problem)
	}
}

func (s *Server) deliverOutcome(w http.ResponseWriter, c *call, outcome *agticket.Outcome) {
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
		//nolint:gosec // the agent relays the backend server's own answer with its media type
		if _, err := w.Write(outcome.Body); err != nil && len(outcome.Body) > 0 {
			panic(http.ErrAbortHandler)
		}
		s.counters.Add("Answered", 1)
	}
}

// passToIssuer passes an attempt to the process that issued the ticket. This
// agent never runs the report itself.
func (s *Server) passToIssuer(w http.ResponseWriter, r *http.Request, c *call, text string, ticket agticket.Ticket) {
	if reason, retryAfter := s.issuerGone(c, ticket); reason != "" {
		s.deliverUnknown(w, c, text, reason, true, retryAfter)
		return
	}
	ctx, noDeadline, cancel := s.callContext(r.Context(), c)
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
		s.deliverUnknown(w, c, text, fmt.Sprintf("issuer of the ticket: %v", err), !reached, retryElsewhere)
		return
	}
	if err := s.pass(ctx, w, c, a, noDeadline); err != nil {
		panic(http.ErrAbortHandler)
	}
	s.options.Journal.Resolve(text)
}

// issuerGone returns why the issuer cannot have the outcome. Only addresses of
// known hosts are contacted, so a forged ticket cannot make this agent contact
// another address.
//
// RetryAfter is 0 if the process is gone for good. A host that is not known may
// be paused or cut off and come back with its outcomes.
func (s *Server) issuerGone(c *call, ticket agticket.Ticket) (reason string, retryAfter time.Duration) {
	if c.peer || s.options.Peers == nil {
		return "the process that issued the ticket is gone", 0
	}
	if ticket.Issuer == s.options.Peers.options.Address {
		return "the process that issued the ticket was restarted", 0
	}
	incarnation, ok := s.memberAt(ticket.Issuer)
	if !ok {
		return fmt.Sprintf("the host that issued the ticket, %s, is not known", ticket.Issuer), retryElsewhere
	}
	if incarnation > ticket.Incarnation {
		return "the process that issued the ticket was restarted", 0
	}
	return "", 0
}

func (s *Server) memberAt(address netip.AddrPort) (anvilglade.Incarnation, bool) {
	for _, member := range s.options.Members() {
		if member.ControlAddress == address {
			return member.Incarnation, true
		}
	}
	return 0, false
}

// deliverUnknown answers an attempt whose report may have run at the issuer.
func (s *Server) deliverUnknown(w http.ResponseWriter, c *call, text, reason string, attemptNotRun bool, retryAfter time.Duration) {
	s.unknown(c, text, reason)
	problem := agproblem.New(agproblem.OutcomeUnknown, reason)
	problem.AttemptNotRun = attemptNotRun
	problem.RetryAfter = retryAfter
	s.problem(w, c, problem)
}
