package agticket

// The journal lists requests whose outcome is unknown, so that an operator can
// settle them. It keeps the newest ones and counts those that it dropped.

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/anvilglade/anvilglade"
)

// DefaultJournalEntries bounds the journal: about 2 MB.
const DefaultJournalEntries = 4096

// UnknownRequest is a request that may or may not have run.
type UnknownRequest struct {
	// Time is that of the newest attempt.
	Time      time.Time
	RequestID anvilglade.RequestID
	Service   anvilglade.ServiceID
	Method    string
	Path      string
	Ticket    string `json:",omitempty"`
	Reason    string
	// Attempts is how often this agent answered "unknown" for the ticket.
	Attempts int
}

// JournalPage is the answer of the handler.
type JournalPage struct {
	Entries []UnknownRequest
	// Dropped counts entries that are no longer kept.
	Dropped uint64
	// Total counts all entries since the start of the process.
	Total uint64
}

// Journal is safe for concurrent use.
type Journal struct {
	clock anvilglade.Clock
	limit int

	mu      sync.Mutex
	entries []*UnknownRequest
	// tickets finds the entry of a ticket; requests without one have none.
	tickets map[string]*UnknownRequest
	dropped uint64
	total   uint64
}

// NewJournal returns an empty journal for at most limit entries.
func NewJournal(limit int, clock anvilglade.Clock) *Journal {
	return &Journal{clock: clock, limit: limit, tickets: make(map[string]*UnknownRequest)}
}

// Record adds a request and sets its Time. A further attempt under the same
// ticket updates the entry.
func (j *Journal) Record(request UnknownRequest) {
	request.Time = j.clock.Now()
	request.Attempts = 1
	j.mu.Lock()
	defer j.mu.Unlock()
	if known, ok := j.tickets[request.Ticket]; ok {
		request.Attempts = known.Attempts + 1
		*known = request
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

// Resolve removes a ticket whose outcome has become known after all.
func (j *Journal) Resolve(ticket string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	known, ok := j.tickets[ticket]
	if !ok {
		return
	}
	delete(j.tickets, ticket)
	if at := slices.Index(j.entries, known); at >= 0 {
		j.entries = slices.Delete(j.entries, at, at+1)
	}
}

// Page returns the entries, oldest first.
func (j *Journal) Page() JournalPage {
	j.mu.Lock()
	defer j.mu.Unlock()
	page := JournalPage{Entries: make([]UnknownRequest, 0, len(j.entries)), Dropped: j.dropped, Total: j.total}
	for _, known := range j.entries {
		page.Entries = append(page.Entries, *known)
	}
	return page
}

// ServeHTTP answers GET /requests/unknown of the admin address.
func (j *Journal) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(j.Page())
}
