// Package agproblem holds the header names and the problem details (RFC 9457)
// that agents, tickets and the caller package share.
//
// The type of a problem is stable, so programs can compare it. NotRun in a
// problem guarantees that no backend server started to process the request; for
// a report with a ticket it also guarantees that none will. Retry-After is
// present only if a retry is safe.
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
	// HeaderTimeout is the remaining time of the request in milliseconds.
	HeaderTimeout = "Anvilglade-Timeout"
	// HeaderRequestID is the ID of the request. If a backend server echoes it
	// in the response, the agent can detect a response to another request.
	HeaderRequestID = "Anvilglade-Request-Id"
	// HeaderNotRun is "true" in a response to a request that did not run.
	HeaderNotRun = "Anvilglade-Not-Run"
	// HeaderTicket is the ticket of a report.
	HeaderTicket = "Idempotency-Key"
	// HeaderRepeat states in a response whether retries of the request are
	// deduplicated: "Ticket" if by the ticket, "Never" if not.
	HeaderRepeat = "Anvilglade-Repeat"
)

// ContentType is the media type of problem details in JSON.
const ContentType = "application/problem+json"

// Type is the stable identifier of a problem.
type Type string

// Types of problems.
const (
	// NotRun: the request did not run and will not; it may be sent again.
	NotRun Type = "urn:anvilglade:problem:not-run"
	// DeadlineTooShort: the request was refused before it ran, because it could
	// not complete within its deadline.
	DeadlineTooShort Type = "urn:anvilglade:problem:deadline-too-short"
	// OutcomeUnknown: the request may or may not have run.
	OutcomeUnknown Type = "urn:anvilglade:problem:outcome-unknown"
	// ReportRunning: an attempt under the same ticket is still running.
	ReportRunning Type = "urn:anvilglade:problem:report-running"
	// TicketExpired: the issuer no longer stores the outcome for the ticket.
	TicketExpired Type = "urn:anvilglade:problem:ticket-expired"
	// TicketInvalid: the value of HeaderTicket is not a valid ticket.
	TicketInvalid Type = "urn:anvilglade:problem:ticket-invalid"
	// TicketReused: the ticket was used for another report.
	TicketReused Type = "urn:anvilglade:problem:ticket-reused"
	// AnswerNotKept: the report ran, but its response was too large to store.
	AnswerNotKept Type = "urn:anvilglade:problem:answer-not-kept"
	// BadAnswer: the backend server sent no usable response to a request that
	// may be retried.
	BadAnswer Type = "urn:anvilglade:problem:bad-answer"
	// DeadlineExceeded: no complete response to a request that may be retried
	// was received within its deadline.
	DeadlineExceeded Type = "urn:anvilglade:problem:deadline-exceeded"
	// BadRequest: the request is malformed; it did not run.
	BadRequest Type = "urn:anvilglade:problem:bad-request"
	// TooLarge: the request body is above the size limit; it did not run.
	TooLarge Type = "urn:anvilglade:problem:too-large"
)

// definition is the fixed part of the problems of one type.
type definition struct {
	status int
	title  string
	notRun bool
}

// definitions has one entry for each type.
var definitions = map[Type]definition{
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

// Problem is the body of a response that the agent generates itself.
type Problem struct {
	Type   Type   `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// RequestID is the ID of the request in logs and in the journal.
	RequestID string `json:"RequestId,omitempty"`
	// NotRun is set if neither this attempt nor any other under the same ticket
	// ran or will run.
	NotRun bool `json:"NotRun"`
	// AttemptNotRun is set if this attempt did not run. Others under the ticket
	// may have run; a caller that made no other attempt may use a new ticket.
	AttemptNotRun bool `json:"AttemptNotRun"`
	// AnswerStatus is the HTTP status of a response that was not stored.
	AnswerStatus int `json:"AnswerStatus,omitempty"`
	// RetryAfter is the value of the Retry-After header. It is above 0 only if
	// a retry is safe.
	RetryAfter time.Duration `json:"-"`
}

// New returns a problem of a type with the status and title of that type.
func New(problemType Type, detail string) *Problem {
	def := definitions[problemType]
	return &Problem{Type: problemType, Title: def.title, Status: def.status, Detail: detail, NotRun: def.notRun, AttemptNotRun: def.notRun}
}

// Write writes the problem as the response.
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
