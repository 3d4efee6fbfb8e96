package caller

// One attempt of a request: send it, read the response to its end and parse a
// problem.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/anvilglade/anvilglade/internal/request/agproblem"
)

// outgoing is a request that may be sent several times.
type outgoing struct {
	method, path string
	header       http.Header
	body         []byte
	// ticket is empty if the request is not a report.
	ticket string
}

// attemptResult is the result of one attempt. Exactly one of answer, problem and
// err is set.
type attemptResult struct {
	answer     *Answer
	problem    *Problem
	retryAfter time.Duration
	// reached is true if a connection to an agent was established.
	reached bool
	err     error
}

// attempt sends the request once. When an attempt of a report times out, it closes
// the connection, which no other request uses, instead of resetting the stream:
// an agent cancels a report when the caller resets the stream.
func (c *Client) attempt(ctx context.Context, s *session, o *outgoing) attemptResult {
	if o.method == http.MethodGet {
		attemptCtx, cancel := context.WithTimeout(ctx, c.options.AttemptTimeout)
		defer cancel()
		ctx = attemptCtx
	} else {
		timer := time.AfterFunc(c.options.AttemptTimeout, s.close)
		defer timer.Stop()
	}
	var result attemptResult
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { result.reached = true }}
	request, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), o)
	if err != nil {
		result.err = err
		return result
	}
	response, err := s.transport.RoundTrip(request)
	if err != nil {
		result.err = fmt.Errorf("%s %s: %w", o.method, o.path, err)
		return result
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, c.options.MaxAnswer+1))
	switch {
	case err != nil:
		result.err = fmt.Errorf("%s %s: answer broke off: %w", o.method, o.path, err)
	case int64(len(body)) > c.options.MaxAnswer:
		result.err = fmt.Errorf("%s %s: %w", o.method, o.path, errAnswerTooLarge)
	case response.Header.Get("Content-Type") == agproblem.ContentType:
		result.readProblem(response.Header, body)
	default:
		result.answer = &Answer{Status: response.StatusCode, Header: response.Header, Body: body, Ticket: o.ticket}
	}
	return result
}

var errAnswerTooLarge = errors.New("answer is larger than MaxAnswer")

func (r *attemptResult) readProblem(header http.Header, body []byte) {
	problem := new(Problem)
	if err := json.Unmarshal(body, problem); err != nil {
		r.err = fmt.Errorf("parse problem: %w", err)
		return
	}
	if seconds, err := strconv.Atoi(header.Get("Retry-After")); err == nil && seconds >= 0 {
		r.retryAfter = time.Duration(seconds) * time.Second
	}
	problem.RetryAfter = r.retryAfter
	r.problem = problem
}

func (c *Client) newRequest(ctx context.Context, o *outgoing) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, o.method, "https://"+c.options.Address+o.path, bytes.NewReader(o.body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	for name, values := range o.header {
		request.Header[name] = values
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(time.Until(deadline).Milliseconds(), 1)
		request.Header.Set(agproblem.HeaderTimeout, strconv.FormatInt(remaining, 10))
	}
	if o.ticket != "" {
		request.Header.Set(agproblem.HeaderTicket, o.ticket)
	}
	return request, nil
}
