package agserve

// What callers and other agents ask for, and the problems that they get.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/request/aglife"
	"github.com/anvilglade/anvilglade/internal/request/agproblem"
	"github.com/anvilglade/anvilglade/internal/request/agticket"
)

// TicketsPath is where callers get tickets.
const TicketsPath = "/.anvilglade/tickets"

const (
	// retryElsewhere tells a caller to reconnect at once: another connection
	// reaches another host.
	retryElsewhere = time.Second
	repeatTicket   = "Ticket"
	repeatNever    = "Never"
)

// Names of events.
const (
	eventUnknown anvilglade.EventType = "RequestUnknown"
	eventBroken  anvilglade.EventType = "AnswerBroken"
)

// serveCaller handles a request of a caller.
func (s *Server) serveCaller(w http.ResponseWriter, r *http.Request) {
	connection := connectionOf(r.Context())
	connection.begin()
	defer func() { connection.end(s.options.Clock.Now()) }()
	s.counters.Add("Received", 1)
	if r.URL.Path == TicketsPath {
		s.serveTicket(w, r)
		return
	}
	s.serve(w, r, false)
}

// servePeer handles a request that another agent of the service sent.
func (s *Server) servePeer(w http.ResponseWriter, r *http.Request) {
	s.counters.Add("ReceivedFromPeers", 1)
	s.peerActive.Add(1)
	defer s.peerActive.Add(-1)
	w.Header().Set(headerUtilisation, strconv.Itoa(int(s.options.Admitter.Utilisation())))
	s.serve(w, r, true)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, peer bool) {
	now := s.options.Clock.Now()
	c, err := newCall(r, now)
	c.peer = peer
	body, release, bodyErr := s.readBody(r)
	if errors.Is(bodyErr, errIncomplete) {
		s.counters.Add("BrokenOffByCaller", 1)
		panic(http.ErrAbortHandler)
	}
	ticket := c.header.Get(agproblem.HeaderTicket)
	placed := r.Header.Get(headerForwarded) == forwardPlace && peer
	report := ticket != "" && !c.repeatable && !placed
	if err := errors.Join(err, bodyErr); err != nil {
		s.refuseMalformed(w, c, err, report)
		return
	}
	defer release()
	c.body = body
	if report {
		s.serveReport(w, r, c, ticket)
		return
	}
	s.serveCall(w, r, c)
}

// refuseMalformed answers a request that is wrong in itself. For a report it
// does not say "not run", as an earlier attempt under the ticket may have run.
func (s *Server) refuseMalformed(w http.ResponseWriter, c *call, err error, report bool) {
	kind := agproblem.BadRequest
	switch {
	case errors.Is(err, errTooLarge):
		kind = agproblem.TooLarge
	case errors.Is(err, errBuffersFull):
		kind = agproblem.NotRun
	}
	if report && kind == agproblem.NotRun {
		kind = agproblem.OutcomeUnknown
	}
	problem := agproblem.New(kind, err.Error())
	problem.AttemptNotRun, problem.NotRun = true, !report
	if errors.Is(err, errBuffersFull) {
		problem.RetryAfter = retryElsewhere
	}
	s.problem(w, c, problem)
}

func (s *Server) problem(w http.ResponseWriter, c *call, problem *agproblem.Problem) {
	problem.RequestID = string(c.id)
	s.counters.Add("Problem "+string(problem.Type), 1)
	problem.Write(w)
}

// serveCall handles a request without a ticket: one attempt that ends with the
// caller's stream, and repeats for GET and HEAD only.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request, c *call) {
	life := aglife.New()
	defer life.Release()
	if !c.repeatable {
		w.Header().Set(agproblem.HeaderRepeat, repeatNever)
	}
	if s.stopping.Load() {
		s.deliverRefusal(w, c, life, result{refusal: anvilglade.RefusalDraining})
		return
	}
	ctx, noDeadline, cancel := s.callContext(r.Context(), c)
	defer cancel()
	outcome := s.run(ctx, c, life)
	switch outcome.kind {
	case answered:
		s.deliverAnswer(ctx, w, c, life, outcome.answer, noDeadline)
	case refused:
		s.deliverRefusal(w, c, life, outcome)
	case lost:
		s.deliverLoss(w, r, c, life, outcome.err)
	}
}

func (s *Server) deliverAnswer(ctx context.Context, w http.ResponseWriter, c *call, life *aglife.Lifecycle, a *answer, noDeadline func()) {
	if err := s.pass(ctx, w, c, a, noDeadline); err != nil {
		a.release(failure(ctx))
		_ = life.Do(aglife.Lose)
		s.lose(ctx, err)
		s.record(eventBroken, c, err.Error())
		if !c.repeatable {
			s.unknown(c, "", fmt.Sprintf("answer with status %d broke off: %v", a.status, err))
		}
		panic(http.ErrAbortHandler)
	}
	a.release(a.outcome())
	s.counters.Add("Answered", 1)
	if err := life.Do(aglife.Answer); err != nil {
		s.record(eventBroken, c, err.Error())
	}
}

func (s *Server) deliverRefusal(w http.ResponseWriter, c *call, life *aglife.Lifecycle, outcome result) {
	if err := life.Do(aglife.Refuse); err != nil {
		s.problem(w, c, agproblem.New(agproblem.OutcomeUnknown, err.Error()))
		return
	}
	if c.peer && outcome.refusal != anvilglade.RefusalNone {
		w.Header().Set(headerRefusal, string(outcome.refusal))
	}
	s.problem(w, c, refusalProblem(outcome))
}

func refusalProblem(outcome result) *agproblem.Problem {
	if outcome.refusal == anvilglade.RefusalDeadline {
		return agproblem.New(agproblem.DeadlineTooShort, "the time left is too short")
	}
	detail := "no host of the service has capacity: " + string(outcome.refusal)
	if outcome.refusal == anvilglade.RefusalNone {
		detail = "the backend server could not be reached"
	}
	problem := agproblem.New(agproblem.NotRun, detail)
	problem.RetryAfter = retryElsewhere
	return problem
}

func (s *Server) deliverLoss(w http.ResponseWriter, r *http.Request, c *call, life *aglife.Lifecycle, cause error) {
	_ = life.Do(aglife.Lose)
	if c.repeatable {
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		problem := agproblem.New(agproblem.BadAnswer, cause.Error())
		if errors.Is(cause, errDeadline) {
			problem = agproblem.New(agproblem.DeadlineExceeded, "no whole answer within the deadline")
		}
		problem.RetryAfter = retryElsewhere
		s.problem(w, c, problem)
		return
	}
	s.unknown(c, "", cause.Error())
	s.problem(w, c, agproblem.New(agproblem.OutcomeUnknown, cause.Error()))
}

// unknown lists a request whose outcome is unknown.
func (s *Server) unknown(c *call, ticket, reason string) {
	s.counters.Add("Unknown", 1)
	s.record(eventUnknown, c, reason)
	s.options.Journal.Record(agticket.UnknownRequest{
		RequestID: c.id, Service: s.options.Service, Method: c.method, Path: c.path, Ticket: ticket, Reason: reason,
	})
	if ok, suppressed := s.logLimit.Allow(s.options.Clock.Now()); ok {
		s.log.Warnf("outcome of request %s is unknown: %s (%d similar lines suppressed)", c.id, reason, suppressed)
	}
}
