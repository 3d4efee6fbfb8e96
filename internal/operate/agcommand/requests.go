package agcommand

// The subcommand requests unknown lists requests whose outcome is unknown, from
// the admin addresses of agents.

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

	"github.com/integrii/flaggy"

	"github.com/anvilglade/anvilglade/internal/operate/agsettings"
	"github.com/anvilglade/anvilglade/internal/request/agticket"
)

const (
	journalTimeout = 5 * time.Second
	maxJournalPage = 16 << 20
)

type requestsVerb struct {
	unknown *flaggy.Subcommand
	agents  []netip.AddrPort
	json    bool
	set     *agsettings.Set
}

func newRequestsVerb() Verb {
	return &requestsVerb{}
}

// Bind adds the nested subcommand unknown.
func (v *requestsVerb) Bind(subcommand *flaggy.Subcommand) {
	v.unknown = flaggy.NewSubcommand("unknown")
	v.unknown.Description = "list requests whose outcome is unknown"
	v.unknown.AdditionalHelpAppend = "\nExample:\n  anvilglade requests unknown --agents 10.0.0.1:7900,10.0.0.2:7900 --json"
	v.set = agsettings.NewSet(v.unknown)
	v.set.AddrList(&v.agents, "agents", "admin addresses of the agents to ask", agsettings.Required)
	v.unknown.Bool(&v.json, "", "json", "print JSON")
	subcommand.AttachSubcommand(v.unknown, 1)
}

// agentJournal is what one agent answered.
type agentJournal struct {
	Agent netip.AddrPort
	// Error is set if the agent could not be asked; its list is then missing.
	Error string `json:",omitempty"`
	agticket.JournalPage
}

// Run asks every agent. It exits with 1 if one could not be asked, because the
// list is then not complete.
func (v *requestsVerb) Run(ctx context.Context) int {
	if !v.unknown.Used {
		fmt.Fprintln(os.Stderr, "anvilglade requests: the subcommand is missing, allowed: unknown")
		return ExitUsage
	}
	if err := v.set.Check(); err != nil {
		fmt.Fprintln(os.Stderr, "anvilglade requests unknown:", err)
		return ExitUsage
	}
	code := ExitDone
	journals := make([]agentJournal, 0, len(v.agents))
	for _, agent := range v.agents {
		journal, err := fetchJournal(ctx, agent)
		if err != nil {
			code = ExitFailed
			journal.Error = err.Error()
		}
		journals = append(journals, journal)
	}
	if err := printJournals(os.Stdout, journals, v.json); err != nil {
		fmt.Fprintln(os.Stderr, "anvilglade requests unknown:", err)
		return ExitFailed
	}
	return code
}

func fetchJournal(ctx context.Context, agent netip.AddrPort) (agentJournal, error) {
	ctx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	journal := agentJournal{Agent: agent}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+agent.String()+"/requests/unknown", http.NoBody)
	if err != nil {
		return journal, fmt.Errorf("build request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return journal, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return journal, fmt.Errorf("agent %s answered with status %d", agent, response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxJournalPage)).Decode(&journal.JournalPage); err != nil {
		return journal, fmt.Errorf("parse journal of agent %s: %w", agent, err)
	}
	return journal, nil
}

func printJournals(w io.Writer, journals []agentJournal, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(journals)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	var faults []error
	_, err := fmt.Fprintln(table, "AGENT\tTIME\tSERVICE\tMETHOD\tPATH\tREQUEST\tATTEMPTS\tREASON")
	faults = append(faults, err)
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
