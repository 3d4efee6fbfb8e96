package agcaller

// Job reports: a caller that uses a ticket sends the report again under the
// same ticket until it has a verdict.

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
	ticketPath   = "/.anvilglade/tickets"
	maxTicket    = 1 << 12
	reportSends  = 6
	reportPause  = 200 * time.Millisecond
	ticketLimit  = 5 * time.Second
	ticketSource = "https://"
)

// report sends a report; with tickets it repeats it until the outcome is known
// or the sends are used up, without tickets it sends it once.
func (c *connection) report(ctx context.Context, item *order, tickets bool) Result {
	start := time.Now()
	if !tickets {
		return c.send(ctx, item)
	}
	ticket, err := c.ticket(ctx)
	if err != nil {
		result := Result{Start: start, Sends: 0, Report: strings.Fields(item.report)[0]}
		// Without a ticket nothing was sent, so the report did not run.
		result.finish(NotRun, fmt.Errorf("get a ticket: %w", err))
		return result
	}
	item.ticket = ticket
	var result Result
	for sends := 1; ; sends++ {
		result = c.send(ctx, item)
		result.Start, result.Sends, result.Ticket = start, sends, ticket
		final := result.Verdict == Answered || result.Verdict == NotRun || result.Verdict == Foreign
		if final || sends >= reportSends || ctx.Err() != nil {
			return result
		}
		time.Sleep(reportPause)
	}
}

func (c *connection) ticket(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, ticketLimit)
	defer cancel()
	client, conn, err := c.open(ctx)
	if err != nil {
		return "", err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, ticketSource+c.target.Service+ticketPath, nil)
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
	if err := json.NewDecoder(io.LimitReader(response.Body, maxTicket)).Decode(&answer); err != nil {
		return "", fmt.Errorf("status %d, no ticket: %w", response.StatusCode, err)
	}
	if answer.Ticket == "" {
		return "", fmt.Errorf("status %d without a ticket", response.StatusCode)
	}
	return answer.Ticket, nil
}
