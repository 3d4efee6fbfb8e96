package agserve

// The attempts of one request: on this host, on other hosts as long as it has
// not run, and for GET and HEAD a retry on another host after a failure.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/request/aglife"
)

// maxOffers is the maximum number of other hosts to which a request is offered
// after this host has refused it.
const maxOffers = 2

type resultKind int

const (
	// resultRefused: the request has not run.
	resultRefused resultKind = iota
	// resultAnswered: the response headers and the first part of the body were
	// received.
	resultAnswered
	// resultLost: the request was sent and no usable response was received.
	resultLost
)

type result struct {
	kind    resultKind
	answer  *answer
	refusal anvilglade.Refusal
	err     error
}

func (r result) failed() bool {
	return r.kind == resultLost || r.kind == resultAnswered && r.answer.status >= http.StatusInternalServerError
}

// run makes all attempts. An event that the lifecycle rejects gives resultLost, or
// in retry keeps the result of the former attempt, so a bug in this code cannot
// cause a false "not run".
func (s *Server) run(ctx context.Context, c *call, lifecycle *aglife.Lifecycle) result {
	s.retryBudget.deposit()
	tried := make(map[netip.AddrPort]bool, maxOffers)
	if r, ok := s.offerBeforeLocal(ctx, c, lifecycle, tried); ok {
		return r
	}
	r := s.runLocal(ctx, c, lifecycle)
	if c.fromPeer {
		return r
	}
	if r.kind == resultRefused && r.refusal != anvilglade.RefusalDeadline && ctx.Err() == nil {
		r = s.offerToPeers(ctx, c, lifecycle, r, tried)
	}
	for attempt := 1; attempt < s.options.MaxAttempts && c.retryable && r.failed() && ctx.Err() == nil; attempt++ {
		next, ok := s.retry(ctx, c, lifecycle, tried)
		if !ok {
			break
		}
		if next.kind != resultAnswered && r.kind == resultAnswered {
			// A response with status 5xx is more useful to the caller than none.
			break
		}
		if r.kind == resultAnswered {
			r.answer.close()
			r.answer.release(anvilglade.OutcomeFailed)
		}
		r = next
	}
	return r
}

// offerBeforeLocal offers a caller's request to the agent of a host with a much
// lower utilisation before it is admitted on this host. It returns false if there
// is no such host or the agent refused.
func (s *Server) offerBeforeLocal(ctx context.Context, c *call, lifecycle *aglife.Lifecycle, tried map[netip.AddrPort]bool) (result, bool) {
	if c.fromPeer || s.options.Spill == nil || s.options.Peers == nil {
		return result{}, false
	}
	peer, ok := s.options.Spill()
	if !ok {
		return result{}, false
	}
	tried[peer.ControlAddress] = true
	if err := lifecycle.Do(aglife.Send); err != nil {
		return result{kind: resultLost, err: err}, true
	}
	s.counters.Add("Spilled", 1)
	r := s.runPeer(ctx, c, lifecycle, peer.ControlAddress)
	return r, r.kind != resultRefused
}

// runLocal admits the request on this host and sends it to the backend server.
func (s *Server) runLocal(ctx context.Context, c *call, lifecycle *aglife.Lifecycle) result {
	refusal, done := s.options.Admitter.StartRequest(s.options.Service)
	if refusal != anvilglade.RefusalNone {
		s.counters.Add("Refused"+string(refusal), 1)
		return result{kind: resultRefused, refusal: refusal}
	}
	var once sync.Once
	release := func(outcome anvilglade.Outcome) { once.Do(func() { done(outcome) }) }
	if err := lifecycle.Do(aglife.Admit); err != nil {
		release(anvilglade.OutcomeFailed)
		return result{kind: resultLost, err: err}
	}
	started := s.options.Clock.Now()
	check := func() error { return s.checkStart(ctx, c) }
	if err := check(); err != nil {
		release(anvilglade.OutcomeCanceled)
		return result{kind: resultRefused, refusal: anvilglade.RefusalDeadline, err: err}
	}
	if err := lifecycle.Do(aglife.Send); err != nil {
		release(anvilglade.OutcomeFailed)
		return result{kind: resultLost, err: err}
	}
	s.counters.Add("Sent", 1)
	response, sent, err := s.backend.send(ctx, c, started, check)
	if !sent {
		release(failureOutcome(ctx))
		if errors.Is(err, errDeadline) || ctx.Err() != nil {
			return notSentResult(lifecycle, anvilglade.RefusalDeadline, err)
		}
		return notSentResult(lifecycle, anvilglade.RefusalNone, err)
	}
	if err != nil {
		release(failureOutcome(ctx))
		return s.lostResult(ctx, err)
	}
	a, err := s.readAnswer(response, c.method)
	if err != nil {
		release(truncatedOutcome(ctx))
		return s.lostResult(ctx, err)
	}
	a.release = release
	if a.notRun() && a.rest == nil {
		release(anvilglade.OutcomeShed)
		s.counters.Add("Shed", 1)
		return refusedResult(lifecycle, a)
	}
	if a.rest == nil {
		s.minDuration.add(s.options.Clock.Now().Sub(started))
		release(a.outcome())
	}
	return result{kind: resultAnswered, answer: a}
}

// checkStart returns an error if the request was canceled or must be refused
// because of its deadline.
func (s *Server) checkStart(ctx context.Context, c *call) error {
	if err := ctxError(ctx); err != nil {
		return err
	}
	if s.cannotMeetDeadline(c) {
		return errDeadline
	}
	return nil
}

// cannotMeetDeadline reports whether the deadline has passed or is nearer than the
// shortest recent duration of a request.
func (s *Server) cannotMeetDeadline(c *call) bool {
	if c.deadline.IsZero() {
		return false
	}
	remaining := c.deadline.Sub(s.options.Clock.Now())
	return remaining <= 0 || remaining < s.minDuration.shortest()
}

// offerToPeers offers a request that has not run to the agents of other hosts,
// once to each. It returns first, the refusal of this host, if every offer is
// refused for lack of capacity.
func (s *Server) offerToPeers(ctx context.Context, c *call, lifecycle *aglife.Lifecycle, first result, tried map[netip.AddrPort]bool) result {
	for range maxOffers {
		peer, ok := s.choosePeer(tried)
		if !ok {
			break
		}
		tried[peer.ControlAddress] = true
		if err := lifecycle.Do(aglife.Send); err != nil {
			return result{kind: resultLost, err: err}
		}
		s.counters.Add("Placed", 1)
		r := s.runPeer(ctx, c, lifecycle, peer.ControlAddress)
		if r.kind != resultRefused {
			return r
		}
		if r.refusal == anvilglade.RefusalDeadline || ctx.Err() != nil {
			return r
		}
	}
	return first
}

// retry sends a GET or HEAD to another host. It returns false if the retry
// budget is exhausted or there is no other host.
func (s *Server) retry(ctx context.Context, c *call, lifecycle *aglife.Lifecycle, tried map[netip.AddrPort]bool) (result, bool) {
	peer, ok := s.choosePeer(tried)
	if !ok {
		return result{}, false
	}
	if !s.retryBudget.withdraw() {
		s.counters.Add("RepeatsOverBudget", 1)
		return result{}, false
	}
	tried[peer.ControlAddress] = true
	if err := lifecycle.Do(aglife.Resend); err != nil {
		return result{}, false
	}
	s.counters.Add("Repeated", 1)
	r := s.runPeer(ctx, c, lifecycle, peer.ControlAddress)
	if r.kind == resultRefused {
		// An earlier attempt may have run, so the request must not end as
		// refused.
		r.kind = resultLost
	}
	return r, true
}

// runPeer sends the request to another agent, which runs it on its own host or
// refuses it.
func (s *Server) runPeer(ctx context.Context, c *call, lifecycle *aglife.Lifecycle, address netip.AddrPort) result {
	response, reached, err := s.options.Peers.send(ctx, address, s.options.Service, forwardOffer, c)
	if !reached {
		return notSentResult(lifecycle, anvilglade.RefusalConnections, err)
	}
	var a *answer
	if err == nil {
		a, err = s.readAnswer(response, c.method)
	}
	if err != nil {
		return s.lostResult(ctx, err)
	}
	a.release = func(anvilglade.Outcome) {}
	if a.notRun() && a.rest == nil {
		return refusedResult(lifecycle, a)
	}
	return result{kind: resultAnswered, answer: a}
}

func notSentResult(lifecycle *aglife.Lifecycle, refusal anvilglade.Refusal, cause error) result {
	if lifecycle.State() == aglife.Resent {
		// An earlier attempt may have run.
		return result{kind: resultLost, err: cause}
	}
	if err := lifecycle.Do(aglife.NotReached); err != nil {
		return result{kind: resultLost, err: err}
	}
	return result{kind: resultRefused, refusal: refusal, err: cause}
}

func refusedResult(lifecycle *aglife.Lifecycle, a *answer) result {
	err := fmt.Errorf("receiver refused: %.200s", a.prefix)
	if lifecycle.State() == aglife.Resent {
		// An earlier attempt may have run.
		return result{kind: resultLost, err: err}
	}
	if err := lifecycle.Do(aglife.ReceiverRefused); err != nil {
		return result{kind: resultLost, err: err}
	}
	return result{kind: resultRefused, refusal: anvilglade.RefusalLimit, err: err}
}

// lostResult returns the result of a request that was sent and has no usable
// response, and counts the cause.
func (s *Server) lostResult(ctx context.Context, err error) result {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errDeadline):
		s.counters.Add("DroppedLate", 1)
		err = errDeadline
	case cause != nil:
		s.counters.Add("DroppedCanceled", 1)
		err = cause
	case errors.Is(err, errWrongRequest):
		s.counters.Add("DroppedForeign", 1)
	default:
		s.counters.Add("DroppedBroken", 1)
	}
	return result{kind: resultLost, err: err}
}

// truncatedOutcome returns the outcome of a request whose response was
// truncated. It is an error and not a failure, because the server responds and
// is not overloaded. Failures lower the admission limits: with 6% of responses
// truncated, healthy servers would not leave their cold-start ramp.
func truncatedOutcome(ctx context.Context) anvilglade.Outcome {
	if outcome := failureOutcome(ctx); outcome != anvilglade.OutcomeFailed {
		return outcome
	}
	return anvilglade.OutcomeError
}

func failureOutcome(ctx context.Context) anvilglade.Outcome {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errDeadline):
		return anvilglade.OutcomeTimedOut
	case cause != nil:
		return anvilglade.OutcomeCanceled
	default:
		return anvilglade.OutcomeFailed
	}
}
