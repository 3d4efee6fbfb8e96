package agcommand

// The subcommand "requests unknown" lists the requests whose outcome is unknown.
// It reads the journals of the agents at the given addresses and of the agents in
// the member lists of the given balancers.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"text/tabwriter"
	"time"

	"github.com/anvilglade/anvilglade/internal/request/agticket"
)

func newRequestsVerb() Verb {
	return newOperatorVerb(action{
		name: "unknown", summary: "list requests whose outcome is unknown",
		example: "anvilglade requests unknown --admin 10.0.0.1:7900 --json",
		run:     listUnknownRequests,
	})
}

// agentJournal is the journal of one agent.
type agentJournal struct {
	Agent string
	// Error is set if the journal could not be fetched; its entries are then
	// missing.
	Error string `json:",omitempty"`
	agticket.JournalPage
}

// listUnknownRequests prints the journals of all agents. The exit code is 1 if a
// journal could not be fetched, because the list is then incomplete.
func listUnknownRequests(ctx context.Context, c *operatorCommand) int {
	if len(c.admin) == 0 {
		return c.fail(fmt.Errorf("%w: give at least one address with --admin", errUsage))
	}
	var journals []agentJournal
	var addresses []netip.AddrPort
	for _, answer := range c.queryProcesses(ctx, true) {
		if answer.Status.Balancer != "" {
			continue
		}
		journals = append(journals, agentJournal{Agent: answer.name()})
		addresses = append(addresses, answer.Address)
	}
	if err := fetchAll(ctx, len(journals), func(ctx context.Context, i int) {
		if err := journals[i].fetch(ctx, addresses[i]); err != nil {
			journals[i].Error = err.Error()
		}
	}); err != nil {
		return c.fail(err)
	}
	if err := printJournals(os.Stdout, journals, c.json); err != nil {
		return c.fail(err)
	}
	for _, journal := range journals {
		if journal.Error != "" {
			return ExitFailed
		}
	}
	return ExitDone
}

func (j *agentJournal) fetch(ctx context.Context, address netip.AddrPort) error {
	body, code, err := fetch(ctx, address, "/requests/unknown")
	if err != nil {
		return err
	}
	if code != http.StatusOK {
		return fmt.Errorf("answered %d", code)
	}
	if err := json.Unmarshal(body, &j.JournalPage); err != nil {
		return fmt.Errorf("parse journal: %w", err)
	}
	return nil
}

func printJournals(w io.Writer, journals []agentJournal, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(journals)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, err := fmt.Fprintln(table, "AGENT\tTIME\tSERVICE\tMETHOD\tPATH\tREQUEST\tATTEMPTS\tREASON")
	faults := []error{err}
	for _, journal := range journals {
		if journal.Error != "" {
			_, err = fmt.Fprintf(table, "%s\t-\t-\t-\t-\t-\t-\tnot asked: %s\n", journal.Agent, journal.Error)
			faults = append(faults, err)
		}
		for _, entry := range journal.Entries {
			_, err = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n", journal.Agent, entry.Time.Format(time.RFC3339), entry.Service, entry.Method, entry.Path, entry.RequestID, entry.Attempts, entry.Reason)
			faults = append(faults, err)
		}
		if journal.Dropped > 0 {
			_, err = fmt.Fprintf(table, "%s\t-\t-\t-\t-\t-\t-\t%d older entries were dropped\n", journal.Agent, journal.Dropped)
			faults = append(faults, err)
		}
	}
	return errors.Join(append(faults, table.Flush())...)
}
