package agserve

// The attempts of one call: on this host, on other hosts while nothing has run,
// and for GET and HEAD once more on another host after a failure.

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

// maxPlacements bounds the other hosts to which a call is offered.
const maxPlacements = 2

type resultKind int

const (
	// refused: the call has not run.
	refused resultKind = iota
	// answered: the head of an answer is there.
	answered
	// lost: the call was sent and has no answer.
	lost
)

type result struct {
	kind    resultKind
	answer  *answer
	refusal anvilglade.Refusal
	err     error
}

func (r result) failed() bool {
	return r.kind == lost || r.kind == answered && r.answer.status >= http.StatusInternalServerError
}

// run makes all attempts. Every event of the life that is refused ends in lost,
// so a fault in this code cannot become a false "not run".
func (s *Server) run(ctx context.Context, c *call, life *aglife.Lifecycle) result {
	s.budget.earn()
	tried := make(map[netip.AddrPort]bool, maxPlacements)
	if r, ok := s.spill(ctx, c, life, tried); ok {
		return r
	}
	r := s.runLocal(ctx, c, life)
	if c.peer {
		return r
	}
	if r.kind == refused && r.refusal != anvilglade.RefusalDeadline && ctx.Err() == nil {
		r = s.place(ctx, c, life, r, tried)
	}
	for attempt := 1; attempt < s.options.MaxAttempts && c.repeatable && r.failed() && ctx.Err() == nil; attempt++ {
		next, ok := s.repeat(ctx, c, life, tried)
		if !ok {
			break
		}
		if next.kind != answered && r.kind == answered {
			break
		}
		if r.kind == answered {
			r.answer.close()
			r.answer.release(anvilglade.OutcomeFailed)
		}
		r = next
	}
	return r
}

// spill offers a call of a caller to a host that is used much less, before this
// host takes it. It returns false if there is none or it refused.
func (s *Server) spill(ctx context.Context, c *call, life *aglife.Lifecycle, tried map[netip.AddrPort]bool) (result, bool) {
	if c.peer || s.options.Spill == nil || s.options.Peers == nil {
		return result{}, false
	}
	member, ok := s.options.Spill()
	if !ok {
		return result{}, false
	}
	tried[member.ControlAddress] = true
	if err := life.Do(aglife.Send); err != nil {
		return result{kind: lost, err: err}, true
	}
	s.counters.Add("Spilled", 1)
	r := s.runPeer(ctx, c, life, member.ControlAddress)
	return r, r.kind != refused
}

// runLocal admits the call on this host and sends it to the backend server.
func (s *Server) runLocal(ctx context.Context, c *call, life *aglife.Lifecycle) result {
	refusal, done := s.options.Admitter.StartRequest(s.options.Service)
	if refusal != anvilglade.RefusalNone {
		s.counters.Add("Refused"+string(refusal), 1)
		return result{kind: refused, refusal: refusal}
	}
	var once sync.Once
	release := func(outcome anvilglade.Outcome) { once.Do(func() { done(outcome) }) }
	if err := life.Do(aglife.Admit); err != nil {
		release(anvilglade.OutcomeFailed)
		return result{kind: lost, err: err}
	}
	started := s.options.Clock.Now()
	check := func() error { return s.stillWanted(ctx, c) }
	if err := check(); err != nil {
		release(anvilglade.OutcomeCanceled)
		return result{kind: refused, refusal: anvilglade.RefusalDeadline, err: err}
	}
	if err := life.Do(aglife.Send); err != nil {
		release(anvilglade.OutcomeFailed)
		return result{kind: lost, err: err}
	}
	s.counters.Add("Sent", 1)
	response, sent, err := s.backend.send(ctx, c, started, check)
	if !sent {
		release(failure(ctx))
		if errors.Is(err, errDeadline) || ctx.Err() != nil {
			return notSent(life, anvilglade.RefusalDeadline, err)
		}
		return notSent(life, anvilglade.RefusalNone, err)
	}
	if err != nil {
		release(failure(ctx))
		return s.lose(ctx, err)
	}
	a, err := s.readAnswer(response, c.method)
	if err != nil {
		release(cutOff(ctx))
		return s.lose(ctx, err)
	}
	a.release = release
	if a.notRun() && a.rest == nil {
		release(anvilglade.OutcomeShed)
		s.counters.Add("Shed", 1)
		return refusedBy(life, a)
	}
	if a.rest == nil {
		s.durations.add(s.options.Clock.Now().Sub(started))
		release(a.outcome())
	}
	return result{kind: answered, answer: a}
}

// stillWanted returns why the call should not begin any more, or nil.
func (s *Server) stillWanted(ctx context.Context, c *call) error {
	if err := ctxError(ctx); err != nil {
		return err
	}
	if s.tooLate(c) {
		return errDeadline
	}
	return nil
}

// tooLate reports whether the call cannot end within its deadline.
func (s *Server) tooLate(c *call) bool {
	if c.deadline.IsZero() {
		return false
	}
	left := c.deadline.Sub(s.options.Clock.Now())
	return left <= 0 || left < s.durations.shortest()
}

// place offers a call that has not run to other hosts, each once.
func (s *Server) place(ctx context.Context, c *call, life *aglife.Lifecycle, first result, tried map[netip.AddrPort]bool) result {
	for range maxPlacements {
		member, ok := s.choose(tried)
		if !ok {
			break
		}
		tried[member.ControlAddress] = true
		if err := life.Do(aglife.Send); err != nil {
			return result{kind: lost, err: err}
		}
		s.counters.Add("Placed", 1)
		r := s.runPeer(ctx, c, life, member.ControlAddress)
		if r.kind != refused {
			return r
		}
		if r.refusal == anvilglade.RefusalDeadline || ctx.Err() != nil {
			return r
		}
	}
	return first
}

// repeat sends a GET or HEAD once more on another host. It returns false if
// there is no token or no host.
func (s *Server) repeat(ctx context.Context, c *call, life *aglife.Lifecycle, tried map[netip.AddrPort]bool) (result, bool) {
	member, ok := s.choose(tried)
	if !ok {
		return result{}, false
	}
	if !s.budget.take() {
		s.counters.Add("RepeatsOverBudget", 1)
		return result{}, false
	}
	tried[member.ControlAddress] = true
	if err := life.Do(aglife.Resend); err != nil {
		return result{}, false
	}
	s.counters.Add("Repeated", 1)
	r := s.runPeer(ctx, c, life, member.ControlAddress)
	if r.kind == refused {
		r.kind = lost
	}
	return r, true
}

// runPeer sends the call to another agent, which only tries its own host.
func (s *Server) runPeer(ctx context.Context, c *call, life *aglife.Lifecycle, address netip.AddrPort) result {
	response, reached, err := s.options.Peers.send(ctx, address, s.options.Service, forwardPlace, c)
	if !reached {
		return notSent(life, anvilglade.RefusalConnections, err)
	}
	var a *answer
	if err == nil {
		a, err = s.readAnswer(response, c.method)
	}
	if err != nil {
		return s.lose(ctx, err)
	}
	a.release = func(anvilglade.Outcome) {}
	if a.notRun() && a.rest == nil {
		return refusedBy(life, a)
	}
	return result{kind: answered, answer: a}
}

func notSent(life *aglife.Lifecycle, refusal anvilglade.Refusal, cause error) result {
	if life.State() == aglife.Resent {
		return result{kind: lost, err: cause}
	}
	if err := life.Do(aglife.NotReached); err != nil {
		return result{kind: lost, err: err}
	}
	return result{kind: refused, refusal: refusal, err: cause}
}

func refusedBy(life *aglife.Lifecycle, a *answer) result {
	err := fmt.Errorf("receiver refused: %.200s", a.head)
	if life.State() == aglife.Resent {
		return result{kind: lost, err: err}
	}
	if err := life.Do(aglife.ReceiverRefused); err != nil {
		return result{kind: lost, err: err}
	}
	return result{kind: refused, refusal: anvilglade.RefusalLimit, err: err}
}

// lose counts why a call that was sent has no answer.
func (s *Server) lose(ctx context.Context, err error) result {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errDeadline):
		s.counters.Add("DroppedLate", 1)
		err = errDeadline
	case cause != nil:
		s.counters.Add("DroppedCanceled", 1)
		err = cause
	case errors.Is(err, errForeign):
		s.counters.Add("DroppedForeign", 1)
	default:
		s.counters.Add("DroppedBroken", 1)
	}
	return result{kind: lost, err: err}
}

// cutOff returns the outcome of an answer that ended early. The server did
// answer, so it can bear the load: as a failure it lowered the limits, and 6% of
// cut answers kept healthy servers on their ramp.
func cutOff(ctx context.Context) anvilglade.Outcome {
	if outcome := failure(ctx); outcome != anvilglade.OutcomeFailed {
		return outcome
	}
	return anvilglade.OutcomeError
}

func failure(ctx context.Context) anvilglade.Outcome {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errDeadline):
		return anvilglade.OutcomeTimedOut
	case cause != nil:
		return anvilglade.OutcomeCanceled
	default:
		return anvilglade.OutcomeFailed
	}
}
