package agticket

// The journal lists requests whose outcome is unknown, so that an operator can
// resolve them. It keeps the newest ones and counts those that it dropped.

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/anvilglade/anvilglade"
)

// DefaultJournalEntries is the maximum number of entries, which take about 2 MB.
const DefaultJournalEntries = 4096

// UnknownRequest is a request that may or may not have run.
type UnknownRequest struct {
	// Time is the time of the newest attempt.
	Time      time.Time
	RequestID anvilglade.RequestID
	Service   anvilglade.ServiceID
	Method    string
	Path      string
	Ticket    string `json:",omitempty"`
	Reason    string
	// Attempts is the number of attempts under the ticket to which this agent
	// responded with an unknown outcome.
	Attempts int
}

// JournalPage is the response body of GET /requests/unknown.
type JournalPage struct {
	Entries []UnknownRequest
	// Dropped is the number of entries that were removed for lack of space.
	Dropped uint64
	// Total is the number of all entries since the start of the process.
	Total uint64
}

// Journal is a bounded list of requests with an unknown outcome. It is safe for
// concurrent use.
type Journal struct {
	clock anvilglade.Clock
	limit int

	mu      sync.Mutex
	entries []*UnknownRequest
	// tickets has the entry of each ticket. Requests without a ticket are only
	// in entries.
	tickets map[string]*UnknownRequest
	dropped uint64
	total   uint64
}

// NewJournal returns an empty journal for at most limit entries.
func NewJournal(limit int, clock anvilglade.Clock) *Journal {
	return &Journal{clock: clock, limit: limit, tickets: make(map[string]*UnknownRequest)}
}

// Record adds a request with the current time. A further attempt under the same
// ticket updates the entry.
func (j *Journal) Record(request UnknownRequest) {
	request.Time = j.clock.Now()
	request.Attempts = 1
	j.mu.Lock()
	defer j.mu.Unlock()
	if existing, ok := j.tickets[request.Ticket]; ok {
		request.Attempts = existing.Attempts + 1
		*existing = request
		return
	}
	j.total++
	j.entries = append(j.entries, &request)
	if request.Ticket != "" {
		j.tickets[request.Ticket] = &request
	}
	if len(j.entries) > j.limit {
		delete(j.tickets, j.entries[0].Ticket)
		j.entries = slices.Delete(j.entries, 0, 1)
		j.dropped++
	}
}

// Resolve removes the entry of a ticket whose outcome has been received.
func (j *Journal) Resolve(ticket string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	existing, ok := j.tickets[ticket]
	if !ok {
		return
	}
	delete(j.tickets, ticket)
	if at := slices.Index(j.entries, existing); at >= 0 {
		j.entries = slices.Delete(j.entries, at, at+1)
	}
}

// Page returns the entries, oldest first.
func (j *Journal) Page() JournalPage {
	j.mu.Lock()
	defer j.mu.Unlock()
	page := JournalPage{Entries: make([]UnknownRequest, 0, len(j.entries)), Dropped: j.dropped, Total: j.total}
	for _, request := range j.entries {
		page.Entries = append(page.Entries, *request)
	}
	return page
}

// ServeHTTP serves GET /requests/unknown on the admin address.
func (j *Journal) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(j.Page())
}
