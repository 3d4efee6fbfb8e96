package caller

// Sending of reports, which must run at most once. The model test of
// internal/request/agticket checks the same rules.

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

// step is the step that follows an attempt.
type step int

const (
	stepDone      step = iota // return the result
	stepRetry                 // retry with the same ticket on a new connection
	stepNewTicket             // retry with a new ticket: the report did not run and will not
)

// Report sends a POST that must run at most once and returns the response. It
// requests a ticket and retries until the context ends or, if the context has no
// deadline, for Options.Timeout.
//
// The error wraps anvilglade.ErrNotRun if the report did not run and will not, and
// anvilglade.ErrUnknownOutcome if it may have run. The end of the context resets
// the stream and thus cancels the report; the outcome is then unknown.
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

// ReportWithTicket sends a report with the ticket of an earlier attempt, for
// example to obtain its outcome. It never requests another ticket; path,
// contentType and body must be those of the earlier attempt. It returns the same
// errors as Report.
func (c *Client) ReportWithTicket(ctx context.Context, ticket, path, contentType string, body []byte) (*Answer, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	o := newReport(path, contentType, body)
	o.ticket = ticket
	attempts := 0
	// Pass 1 for the number of earlier attempts, because one of them may have
	// run.
	answer, _, err := c.sendWithTicket(ctx, c.newSession(), o, 1, &attempts)
	return answer, err
}

func newReport(path, contentType string, body []byte) *outgoing {
	return &outgoing{method: http.MethodPost, path: path, body: body, header: http.Header{"Content-Type": {contentType}}}
}

// round requests a ticket and sends the report with it. It returns again if the
// report did not run and may be sent with another ticket.
func (c *Client) round(ctx context.Context, o *outgoing, attempts *int) (answer *Answer, again bool, err error) {
	s := c.newSession()
	if o.ticket, err = c.requestTicket(ctx, s); err != nil {
		s.close()
		return nil, true, err
	}
	return c.sendWithTicket(ctx, s, o, 0, attempts)
}

func retryAfter(err error) time.Duration {
	var problem *ProblemError
	if errors.As(err, &problem) {
		return problem.Problem.RetryAfter
	}
	return 0
}

// requestTicket requests a ticket. It does not run a report.
func (c *Client) requestTicket(ctx context.Context, s *session) (string, error) {
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

// sendWithTicket sends the report with one ticket until its outcome is known or ctx
// ends. Sent is the number of earlier attempts with the ticket, attempts counts
// those with all tickets.
func (c *Client) sendWithTicket(ctx context.Context, s *session, o *outgoing, sent int, attempts *int) (*Answer, bool, error) {
	for {
		result := c.attempt(ctx, s, o)
		s.close()
		if result.reached {
			sent++
			*attempts++
		}
		next, err := nextStep(&result, sent, o.ticket)
		switch next {
		case stepDone:
			if result.answer != nil {
				result.answer.Attempts = *attempts
			}
			return result.answer, false, err
		case stepNewTicket:
			return nil, true, err
		case stepRetry:
		}
		if pauseErr := pause(ctx, sent, result.retryAfter); pauseErr != nil {
			outcome := anvilglade.ErrUnknownOutcome
			if sent == 0 {
				outcome = anvilglade.ErrNotRun
			}
			return nil, false, fmt.Errorf("%w: ticket %s: %w; last attempt: %w", outcome, o.ticket, pauseErr, err)
		}
		s = c.newSession()
	}
}

// nextStep returns the step that follows an attempt. Sent is the number of
// attempts with the ticket that reached an agent, including this one.
func nextStep(result *attemptResult, sent int, ticket string) (step, error) {
	if result.answer != nil {
		return stepDone, nil
	}
	if result.problem == nil {
		if errors.Is(result.err, errAnswerTooLarge) {
			return stepDone, result.err
		}
		return stepRetry, result.err
	}
	problem := result.problem
	err := &ProblemError{Problem: *problem, Ticket: ticket}
	switch problem.Type {
	case agproblem.NotRun, agproblem.DeadlineTooShort:
		return stepNewTicket, err
	case agproblem.ReportRunning:
		return stepRetry, err
	case agproblem.TicketExpired, agproblem.OutcomeUnknown:
		// If this was the first attempt under the ticket, no other can be in transit.
		if problem.AttemptNotRun && sent <= 1 {
			return stepNewTicket, err
		}
		if result.retryAfter > 0 {
			return stepRetry, err
		}
		return stepDone, err
	default:
		return stepDone, err
	}
}
