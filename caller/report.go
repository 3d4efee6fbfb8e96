package caller

// Reports that must not run twice. The rules are those of the model test of
// internal/request/agticket.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/request/agproblem"
	"github.com/anvilglade/anvilglade/internal/request/agserve"
)

// next is what follows an attempt.
type next int

const (
	nextDone  next = iota // the result is final
	nextAgain             // same ticket, new connection
	nextNew               // new ticket: nothing ran and nothing will
)

// Report sends a POST that must run at most once and returns the answer to the
// run. It gets a ticket and retries until the context ends or, without a
// deadline in the context, for Options.Timeout.
//
// The error wraps anvilglade.ErrNotRun if the report did not run and will not,
// and anvilglade.ErrUnknownOutcome if it may have run. The context's end resets
// the stream and so cancels the report; the outcome is then unknown.
func (c *Client) Report(ctx context.Context, path, contentType string, body []byte) (*Answer, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	attempts := 0
	for round := 0; ; round++ {
		answer, again, err := c.round(ctx, newReport(path, contentType, body), &attempts)
		if !again {
			return answer, err
		}
		if err := pause(ctx, round, retryAfter(err)); err != nil {
			return nil, fmt.Errorf("%w: no host took the report: %w", anvilglade.ErrNotRun, err)
		}
	}
}

// ReportWithTicket sends a report under a ticket from an earlier attempt, also
// to learn its outcome. It never takes another ticket; path, contentType and
// body must be those of the earlier attempt. The errors are those of Report.
func (c *Client) ReportWithTicket(ctx context.Context, ticket, path, contentType string, body []byte) (*Answer, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	o := newReport(path, contentType, body)
	o.ticket = ticket
	attempts := 0
	// The earlier attempts may have run, so this one does not count as the
	// first.
	answer, _, err := c.underTicket(ctx, c.newSession(), o, 1, &attempts)
	return answer, err
}

func newReport(path, contentType string, body []byte) *outgoing {
	return &outgoing{method: http.MethodPost, path: path, body: body, header: http.Header{"Content-Type": {contentType}}}
}

// round takes a ticket and sends the report under it. It returns again if the
// report did not run and may go on under a new ticket.
func (c *Client) round(ctx context.Context, o *outgoing, attempts *int) (answer *Answer, again bool, err error) {
	s := c.newSession()
	if o.ticket, err = c.takeTicket(ctx, s); err != nil {
		s.close()
		return nil, true, err
	}
	return c.underTicket(ctx, s, o, 0, attempts)
}

func retryAfter(err error) time.Duration {
	var problem *ProblemError
	if errors.As(err, &problem) {
		return problem.Problem.RetryAfter
	}
	return 0
}

// takeTicket gets a ticket on a connection. It runs nothing.
func (c *Client) takeTicket(ctx context.Context, s *session) (string, error) {
	result := c.attempt(ctx, s, &outgoing{method: http.MethodPost, path: agserve.TicketsPath})
	if result.problem != nil {
		return "", &ProblemError{Problem: *result.problem}
	}
	if result.err != nil {
		return "", result.err
	}
	var answer agserve.TicketAnswer
	if err := json.Unmarshal(result.answer.Body, &answer); err != nil || answer.Ticket == "" {
		return "", fmt.Errorf("answer to %s is no ticket: status %d: %w", agserve.TicketsPath, result.answer.Status, err)
	}
	return answer.Ticket, nil
}

// underTicket sends the report under one ticket until its outcome is known.
// Sent is the number of earlier attempts under the ticket.
func (c *Client) underTicket(ctx context.Context, s *session, o *outgoing, sent int, attempts *int) (*Answer, bool, error) {
	for {
		result := c.attempt(ctx, s, o)
		s.close()
		if result.reached {
			sent++
			*attempts++
		}
		step, err := judge(&result, sent, o.ticket)
		switch step {
		case nextDone:
			if result.answer != nil {
				result.answer.Attempts = *attempts
			}
			return result.answer, false, err
		case nextNew:
			return nil, true, err
		case nextAgain:
		}
		if stop := pause(ctx, sent, result.retryAfter); stop != nil {
			verdict := anvilglade.ErrUnknownOutcome
			if sent == 0 {
				verdict = anvilglade.ErrNotRun
			}
			return nil, false, fmt.Errorf("%w: ticket %s: %w; last attempt: %w", verdict, o.ticket, stop, err)
		}
		s = c.newSession()
	}
}

// judge decides what follows an attempt. Sent counts the attempts under the
// ticket that reached an agent, this one included.
func judge(result *attemptResult, sent int, ticket string) (next, error) {
	if result.answer != nil {
		return nextDone, nil
	}
	if result.problem == nil {
		if errors.Is(result.err, errAnswerTooLarge) {
			return nextDone, result.err
		}
		return nextAgain, result.err
	}
	problem := result.problem
	err := &ProblemError{Problem: *problem, Ticket: ticket}
	switch problem.Type {
	case agproblem.NotRun, agproblem.DeadlineTooShort:
		return nextNew, err
	case agproblem.ReportRunning:
		return nextAgain, err
	case agproblem.TicketExpired, agproblem.OutcomeUnknown:
		// Only the very first attempt knows that no other is on its way.
		if problem.AttemptNotRun && sent <= 1 {
			return nextNew, err
		}
		if result.retryAfter > 0 {
			return nextAgain, err
		}
		return nextDone, err
	default:
		return nextDone, err
	}
}
