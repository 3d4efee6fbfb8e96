// Package agproblem holds the header names and the problem details (RFC 9457)
// that agents, tickets and the caller package share.
//
// The type of a problem is stable and is what programs test. A problem that
// says NotRun guarantees that no backend server began the request; for a report
// with a ticket it also guarantees that none will. Retry-After is present
// exactly where a retry is safe.
//
// # Usage
//
//	problem := agproblem.New(agproblem.NotRun, "no capacity")
//	problem.RetryAfter = time.Second
//	problem.Write(w)
package agproblem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Headers of the interface between callers, agents and backend servers.
const (
	// HeaderTimeout is the time left for the request, in milliseconds.
	HeaderTimeout = "Anvilglade-Timeout"
	// HeaderRequestID names the request. A backend server that repeats it in
	// its answer lets the agent recognise an answer to another request.
	HeaderRequestID = "Anvilglade-Request-Id"
	// HeaderNotRun is "true" on an answer that says the request did not run.
	HeaderNotRun = "Anvilglade-Not-Run"
	// HeaderTicket carries the ticket of a report.
	HeaderTicket = "Idempotency-Key"
	// HeaderRepeat says on the answer to a report whether a retry is
	// recognised: "Ticket" or "Never".
	HeaderRepeat = "Anvilglade-Repeat"
)

// ContentType is the media type of problem details in JSON.
const ContentType = "application/problem+json"

// Type is the stable identifier of a problem.
type Type string

// Types of problems.
const (
	// NotRun: the request did not run and will not; it may be sent anew.
	NotRun Type = "urn:anvilglade:problem:not-run"
	// DeadlineTooShort: refused before it ran, as it could not end in time.
	DeadlineTooShort Type = "urn:anvilglade:problem:deadline-too-short"
	// OutcomeUnknown: the request may or may not have run.
	OutcomeUnknown Type = "urn:anvilglade:problem:outcome-unknown"
	// ReportRunning: an attempt under the same ticket is still running.
	ReportRunning Type = "urn:anvilglade:problem:report-running"
	// TicketExpired: the issuer no longer knows the ticket's outcome.
	TicketExpired Type = "urn:anvilglade:problem:ticket-expired"
	// TicketInvalid: the key of the report is not a ticket.
	TicketInvalid Type = "urn:anvilglade:problem:ticket-invalid"
	// TicketReused: the ticket was used for another report.
	TicketReused Type = "urn:anvilglade:problem:ticket-reused"
	// AnswerNotKept: the report ran, its answer was too large to keep.
	AnswerNotKept Type = "urn:anvilglade:problem:answer-not-kept"
	// BadAnswer: the backend server gave no usable answer to a request that
	// may be repeated.
	BadAnswer Type = "urn:anvilglade:problem:bad-answer"
	// DeadlineExceeded: no whole answer to a request that may be repeated came
	// within its deadline.
	DeadlineExceeded Type = "urn:anvilglade:problem:deadline-exceeded"
	// BadRequest: the request itself is wrong; it did not run.
	BadRequest Type = "urn:anvilglade:problem:bad-request"
	// TooLarge: the body of the request is over the limit; it did not run.
	TooLarge Type = "urn:anvilglade:problem:too-large"
)

type kind struct {
	status int
	title  string
	notRun bool
}

// kinds has one row for each type.
var kinds = map[Type]kind{
	NotRun:           {http.StatusServiceUnavailable, "Request was not run", true},
	DeadlineTooShort: {http.StatusServiceUnavailable, "Request was not run: it cannot end within its deadline", true},
	OutcomeUnknown:   {http.StatusBadGateway, "Outcome of the request is unknown", false},
	ReportRunning:    {http.StatusConflict, "Report is still running", false},
	TicketExpired:    {http.StatusGone, "Ticket has expired; whether an earlier attempt ran is unknown", false},
	TicketInvalid:    {http.StatusBadRequest, "Idempotency-Key is not a ticket", false},
	TicketReused:     {http.StatusUnprocessableEntity, "Ticket was used for another report", false},
	AnswerNotKept:    {http.StatusBadGateway, "Report ran; its answer was too large to keep", false},
	BadAnswer:        {http.StatusBadGateway, "Backend server gave no whole answer", false},
	DeadlineExceeded: {http.StatusGatewayTimeout, "Deadline has passed", false},
	BadRequest:       {http.StatusBadRequest, "Request is malformed", true},
	TooLarge:         {http.StatusRequestEntityTooLarge, "Request body is too large", true},
}

// Problem is the body of an answer that the agent gives itself.
type Problem struct {
	Type   Type   `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// RequestID is the id under which logs and the journal name the request.
	RequestID string `json:"RequestId,omitempty"`
	// NotRun: neither this attempt nor, under the same ticket, any other ran
	// or will run.
	NotRun bool `json:"NotRun"`
	// AttemptNotRun: this attempt did not run. Others under the ticket may
	// have; a caller that made no other attempt may take a new ticket.
	AttemptNotRun bool `json:"AttemptNotRun"`
	// AnswerStatus is the status of an answer that was not kept.
	AnswerStatus int `json:"AnswerStatus,omitempty"`
	// RetryAfter is above 0 where a retry is safe.
	RetryAfter time.Duration `json:"-"`
}

// New returns a problem of a type with the status and title of that type.
func New(problem Type, detail string) *Problem {
	row := kinds[problem]
	return &Problem{Type: problem, Title: row.title, Status: row.status, Detail: detail, NotRun: row.notRun, AttemptNotRun: row.notRun}
}

// Write sends the problem as an answer.
func (p *Problem) Write(w http.ResponseWriter) {
	body, err := json.Marshal(p)
	if err != nil {
		http.Error(w, p.Title, p.Status)
		return
	}
	header := w.Header()
	header.Set("Content-Type", ContentType)
	header.Set("Cache-Control", "no-store")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if p.RequestID != "" {
		header.Set(HeaderRequestID, p.RequestID)
	}
	if p.NotRun {
		header.Set(HeaderNotRun, "true")
	}
	if p.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}
