package agcaller

// A single request and its outcome for the caller.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/anvilglade/anvilglade/internal/stand/agbackend"
)

// Verdict is the outcome of a request for its caller.
type Verdict string

// Verdicts. Lost means that the connection or the stream ended without an
// answer, Foreign that the answer ended normally but has another body than the
// requested one.
const (
	Answered Verdict = "Answered"
	NotRun   Verdict = "NotRun"
	Unknown  Verdict = "Unknown"
	Failed   Verdict = "Failed"
	Lost     Verdict = "Lost"
	Foreign  Verdict = "Foreign"
	Canceled Verdict = "Canceled"
)

// Result is one finished request.
type Result struct {
	// Seed identifies a GET request, Report a POST request; both are unique in
	// a scenario.
	Seed     string
	Report   string
	Ticket   string
	Start    time.Time
	End      time.Time
	Deadline time.Time
	Verdict  Verdict
	Status   int
	Detail   string
	// Host is the backend server that answered.
	Host string
	// Caller is the number of the caller in its load.
	Caller int
	// Sends is how often the caller sent the request.
	Sends int
}

const (
	problemContent = "application/problem+json"
	maxProblemSize = 1 << 16
)

// requestSpec describes a request to be sent.
type requestSpec struct {
	seed    string
	size    int
	work    time.Duration
	timeout time.Duration
	// report is the body of a POST; empty for a GET.
	report string
	ticket string
	// cancelAfter is the time after which the caller cancels the request; 0
	// disables it.
	cancelAfter time.Duration
	// reconnect makes the caller retire its connection after the request.
	reconnect bool
}

func (o *requestSpec) request(ctx context.Context, target Target, deadline time.Time) (*http.Request, error) {
	query := url.Values{}
	method, path := http.MethodGet, "/echo"
	var body io.Reader
	if o.report != "" {
		method, path, body = http.MethodPost, "/reports", strings.NewReader(o.report)
	} else {
		query.Set("seed", o.seed)
		query.Set("size", strconv.Itoa(o.size))
	}
	if o.work > 0 {
		query.Set("work", o.work.String())
	}
	// A repeated report needs the same request target, because the ticket is
	// bound to it. A deadline would differ between attempts.
	if o.timeout > 0 && o.report == "" {
		query.Set("deadline", strconv.FormatInt(deadline.UnixMilli(), 10))
	}
	address := url.URL{Scheme: "https", Host: target.Service, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, address.String(), body)
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	if o.timeout > 0 {
		request.Header.Set(agbackend.HeaderTimeout, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	if o.ticket != "" {
		request.Header.Set(agbackend.HeaderKey, o.ticket)
	}
	return request, nil
}

// send sends a request once.
func (c *connection) send(ctx context.Context, item *requestSpec) Result {
	result := Result{Seed: item.seed, Start: time.Now(), Sends: 1}
	if item.report != "" {
		result.Report, _, _ = strings.Cut(item.report, " ")
		result.Seed = ""
	}
	limit := item.timeout
	if limit == 0 {
		limit = AnswerTimeout
	}
	result.Deadline = result.Start.Add(limit)
	// The caller waits beyond its deadline, by half of the timeout, for the
	// verdict.
	ctx, cancel := context.WithDeadline(ctx, result.Deadline.Add(limit/2))
	defer cancel()
	if item.cancelAfter > 0 {
		ctx, cancel = context.WithTimeout(ctx, item.cancelAfter)
		defer cancel()
	}
	client, conn, err := c.open(ctx)
	if err != nil {
		result.finish(Lost, err)
		result.Detail = "dial: " + result.Detail
		return result
	}
	// The dial may have been delayed by another request of this caller.
	if !time.Now().Before(result.Deadline) {
		result.finish(Lost, errors.New("deadline passed before a connection was open"))
		return result
	}
	request, err := item.request(ctx, c.target, result.Deadline)
	if err != nil {
		result.finish(Lost, err)
		return result
	}
	response, err := client.RoundTrip(request)
	if err != nil {
		c.handleFailure(ctx, conn, item, &result, err)
		return result
	}
	defer closeBody(response)
	result.Status, result.Host = response.StatusCode, response.Header.Get(agbackend.HeaderHost)
	if response.StatusCode != http.StatusOK {
		result.problem(response)
		return result
	}
	if err := item.check(response.Body, &result); err != nil {
		c.handleFailure(ctx, conn, item, &result, err)
	}
	return result
}

// handleFailure ends a request that received no complete answer. A connection on
// which a request timed out may belong to a host that no longer exists, so it is
// dropped.
func (c *connection) handleFailure(ctx context.Context, conn *quic.Conn, item *requestSpec, result *Result, err error) {
	if item.cancelAfter > 0 && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		result.finish(Canceled, err)
		return
	}
	// RFC 9114: a rejected request was not processed and may be sent again.
	if fault, ok := errors.AsType[*http3.Error](err); ok && fault.Remote && fault.ErrorCode == http3.ErrCodeRequestRejected {
		result.finish(NotRun, err)
		return
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.drop(conn, "request timed out")
	}
	result.finish(Lost, err)
}

func (r *Result) finish(verdict Verdict, err error) {
	r.End, r.Verdict = time.Now(), verdict
	if err != nil {
		r.Detail = err.Error()
	}
}

// check compares the body of a response with the expected one and records the
// verdict. It returns an error if the body could not be read to its end.
func (o *requestSpec) check(body io.Reader, result *Result) error {
	expected := agbackend.NewBody(o.seed, o.size)
	if o.report != "" {
		first, err := readLine(body)
		if err != nil {
			return err
		}
		if !strings.HasPrefix(first, "run ") {
			result.finish(Foreign, fmt.Errorf("report answered with %q", first))
			return nil
		}
		expected = strings.NewReader(o.report)
	}
	same, err := equal(body, expected)
	if err != nil {
		return err
	}
	if !same {
		result.finish(Foreign, errors.New("the body is complete but not the one asked for"))
		return nil
	}
	result.finish(Answered, nil)
	return nil
}

const (
	chunkSize     = 32 << 10
	maxFirstLine  = 64
	typeNotRun    = "urn:anvilglade:problem:not-run"
	typeUnknown   = "urn:anvilglade:problem:outcome-unknown"
	typeRunning   = "urn:anvilglade:problem:report-running"
	typeExpired   = "urn:anvilglade:problem:ticket-expired"
	typeNotKept   = "urn:anvilglade:problem:answer-not-kept"
	typeTooShort  = "urn:anvilglade:problem:deadline-too-short"
	typeBadAnswer = "urn:anvilglade:problem:bad-answer"
)

func readLine(body io.Reader) (string, error) {
	var line []byte
	one := make([]byte, 1)
	for len(line) < maxFirstLine {
		if _, err := io.ReadFull(body, one); err != nil {
			return "", err
		}
		if one[0] == '\n' {
			break
		}
		line = append(line, one[0])
	}
	return string(line), nil
}

// equal reports whether two streams have the same bytes. It returns read errors
// of the first stream. Only io.EOF counts as a complete end, which distinguishes a
// stream that was reset or truncated from one that ended.
func equal(got, expected io.Reader) (bool, error) {
	left, right := make([]byte, chunkSize), make([]byte, chunkSize)
	for {
		n, err := got.Read(left)
		m, _ := io.ReadFull(expected, right[:n])
		if n != m || !bytes.Equal(left[:n], right[:m]) {
			return false, nil
		}
		if errors.Is(err, io.EOF) {
			rest, _ := expected.Read(right)
			return rest == 0, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// problemBody is the part of problem details (RFC 9457) that callers read.
type problemBody struct {
	Type   string `json:"type"`
	Detail string `json:"detail"`
	NotRun bool   `json:"NotRun"`
}

// verdicts maps problem types to verdicts; NotRun in the body takes precedence.
var verdicts = map[string]Verdict{
	typeNotRun:    NotRun,
	typeTooShort:  NotRun,
	typeUnknown:   Unknown,
	typeRunning:   Unknown,
	typeExpired:   Unknown,
	typeNotKept:   Answered,
	typeBadAnswer: Failed,
}

func (r *Result) problem(response *http.Response) {
	var body problemBody
	data, err := io.ReadAll(io.LimitReader(response.Body, maxProblemSize))
	if err != nil {
		r.finish(Lost, err)
		return
	}
	verdict := Failed
	if response.Header.Get("Content-Type") == problemContent && json.Unmarshal(data, &body) == nil {
		if found, ok := verdicts[body.Type]; ok {
			verdict = found
		}
		if body.NotRun {
			verdict = NotRun
		}
	} else if response.Header.Get(agbackend.HeaderNotRun) == "true" {
		verdict = NotRun
	}
	r.finish(verdict, nil)
	r.Detail = body.Type + " " + body.Detail
}
