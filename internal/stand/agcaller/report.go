package agcaller

// Job reports: a caller that uses a ticket repeats the report under the same
// ticket until it receives a final verdict.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	ticketPath       = "/.anvilglade/tickets"
	maxTicketSize    = 1 << 12
	maxReportSends   = 6
	reportRetryDelay = 200 * time.Millisecond
	ticketTimeout    = 5 * time.Second
	ticketScheme     = "https://"
)

// report sends a job report. With tickets it repeats the report until its outcome
// is final or maxReportSends is reached; without tickets it sends it once.
func (c *connection) report(ctx context.Context, item *requestSpec, tickets bool) Result {
	start := time.Now()
	if !tickets {
		return c.send(ctx, item)
	}
	ticket, err := c.ticket(ctx)
	if err != nil {
		result := Result{Start: start, Sends: 0, Report: strings.Fields(item.report)[0]}
		// The report is only sent with a ticket, so it did not run.
		result.finish(NotRun, fmt.Errorf("get a ticket: %w", err))
		return result
	}
	item.ticket = ticket
	var result Result
	for sends := 1; ; sends++ {
		result = c.send(ctx, item)
		result.Start, result.Sends, result.Ticket = start, sends, ticket
		final := result.Verdict == Answered || result.Verdict == NotRun || result.Verdict == Foreign
		if final || sends >= maxReportSends || ctx.Err() != nil {
			return result
		}
		time.Sleep(reportRetryDelay)
	}
}

func (c *connection) ticket(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, ticketTimeout)
	defer cancel()
	client, conn, err := c.open(ctx)
	if err != nil {
		return "", err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, ticketScheme+c.target.Service+ticketPath, nil)
	if err != nil {
		return "", err
	}
	response, err := client.RoundTrip(request)
	if err != nil {
		c.drop(conn, "no ticket")
		return "", err
	}
	defer closeBody(response)
	var answer struct{ Ticket string }
	if err := json.NewDecoder(io.LimitReader(response.Body, maxTicketSize)).Decode(&answer); err != nil {
		return "", fmt.Errorf("status %d, no ticket: %w", response.StatusCode, err)
	}
	if answer.Ticket == "" {
		return "", fmt.Errorf("status %d without a ticket", response.StatusCode)
	}
	return answer.Ticket, nil
}
