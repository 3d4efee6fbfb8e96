package agserve

// Handlers for requests from callers and other agents, and the problems with
// which they respond.

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

// TicketsPath is the path of the endpoint that issues tickets.
const TicketsPath = "/.anvilglade/tickets"

const (
	// retryElsewhere is the Retry-After of a request that another host may be
	// able to run: a new connection may reach another host.
	retryElsewhere = time.Second
	repeatTicket   = "Ticket"
	repeatNever    = "Never"
)

// Types of events.
const (
	eventUnknown anvilglade.EventType = "RequestUnknown"
	eventBroken  anvilglade.EventType = "AnswerBroken"
)

// serveCaller handles a request from a caller.
func (s *Server) serveCaller(w http.ResponseWriter, r *http.Request) {
	conn := connFromContext(r.Context())
	conn.begin()
	defer func() { conn.end(s.options.Clock.Now()) }()
	s.counters.Add("Received", 1)
	if r.URL.Path == TicketsPath {
		s.serveTicket(w, r)
		return
	}
	s.serve(w, r, false)
}

// servePeer handles a request from another agent of the service.
func (s *Server) servePeer(w http.ResponseWriter, r *http.Request) {
	s.counters.Add("ReceivedFromPeers", 1)
	s.peerActive.Add(1)
	defer s.peerActive.Add(-1)
	w.Header().Set(headerUtilisation, strconv.Itoa(int(s.options.Admitter.Utilisation())))
	s.serve(w, r, true)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, fromPeer bool) {
	now := s.options.Clock.Now()
	c, err := newCall(r, now)
	c.fromPeer = fromPeer
	body, release, bodyErr := s.readBody(r)
	if errors.Is(bodyErr, errIncomplete) {
		s.counters.Add("BrokenOffByCaller", 1)
		panic(http.ErrAbortHandler)
	}
	ticket := c.header.Get(agproblem.HeaderTicket)
	offered := r.Header.Get(headerForwarded) == forwardOffer && fromPeer
	report := ticket != "" && !c.retryable && !offered
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

// refuseMalformed responds to a request that is invalid or whose body does not
// fit into memory. For a report the problem does not state "not run", because an
// earlier attempt under the ticket may have run.
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

// serveCall handles a request without a ticket. The request is canceled when
// the caller's stream ends; only GET and HEAD are retried.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request, c *call) {
	lifecycle := aglife.New()
	defer lifecycle.Release()
	if !c.retryable {
		w.Header().Set(agproblem.HeaderRepeat, repeatNever)
	}
	if s.stopping.Load() {
		s.writeRefusal(w, c, lifecycle, result{refusal: anvilglade.RefusalDraining})
		return
	}
	ctx, clearDeadline, cancel := s.callContext(r.Context(), c)
	defer cancel()
	res := s.run(ctx, c, lifecycle)
	switch res.kind {
	case resultAnswered:
		s.writeAnswer(ctx, w, c, lifecycle, res.answer, clearDeadline)
	case resultRefused:
		s.writeRefusal(w, c, lifecycle, res)
	case resultLost:
		s.writeLost(w, r, c, lifecycle, res.err)
	}
}

func (s *Server) writeAnswer(ctx context.Context, w http.ResponseWriter, c *call, lifecycle *aglife.Lifecycle, a *answer, clearDeadline func()) {
	if err := s.relay(ctx, w, c, a, clearDeadline); err != nil {
		a.release(failureOutcome(ctx))
		_ = lifecycle.Do(aglife.Lose)
		s.lostResult(ctx, err)
		s.recordEvent(eventBroken, c, err.Error())
		if !c.retryable {
			s.recordUnknown(c, "", fmt.Sprintf("answer with status %d broke off: %v", a.status, err))
		}
		panic(http.ErrAbortHandler)
	}
	a.release(a.outcome())
	s.counters.Add("Answered", 1)
	if err := lifecycle.Do(aglife.Answer); err != nil {
		s.recordEvent(eventBroken, c, err.Error())
	}
}

func (s *Server) writeRefusal(w http.ResponseWriter, c *call, lifecycle *aglife.Lifecycle, res result) {
	if err := lifecycle.Do(aglife.Refuse); err != nil {
		s.problem(w, c, agproblem.New(agproblem.OutcomeUnknown, err.Error()))
		return
	}
	if c.fromPeer && res.refusal != anvilglade.RefusalNone {
		w.Header().Set(headerRefusal, string(res.refusal))
	}
	s.problem(w, c, refusalProblem(res))
}

func refusalProblem(res result) *agproblem.Problem {
	if res.refusal == anvilglade.RefusalDeadline {
		return agproblem.New(agproblem.DeadlineTooShort, "the time left is too short")
	}
	detail := "no host of the service has capacity: " + string(res.refusal)
	if res.refusal == anvilglade.RefusalNone {
		detail = "the backend server could not be reached"
	}
	problem := agproblem.New(agproblem.NotRun, detail)
	problem.RetryAfter = retryElsewhere
	return problem
}

func (s *Server) writeLost(w http.ResponseWriter, r *http.Request, c *call, lifecycle *aglife.Lifecycle, cause error) {
	_ = lifecycle.Do(aglife.Lose)
	if c.retryable {
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
	s.recordUnknown(c, "", cause.Error())
	s.problem(w, c, agproblem.New(agproblem.OutcomeUnknown, cause.Error()))
}

// recordUnknown records a request whose outcome is unknown in the journal, the
// events and the log.
func (s *Server) recordUnknown(c *call, ticket, reason string) {
	s.counters.Add("Unknown", 1)
	s.recordEvent(eventUnknown, c, reason)
	s.options.Journal.Record(agticket.UnknownRequest{
		RequestID: c.id, Service: s.options.Service, Method: c.method, Path: c.path, Ticket: ticket, Reason: reason,
	})
	if ok, suppressed := s.logLimit.Allow(s.options.Clock.Now()); ok {
		s.log.Warnf("outcome of request %s is unknown: %s (%d similar lines suppressed)", c.id, reason, suppressed)
	}
}
