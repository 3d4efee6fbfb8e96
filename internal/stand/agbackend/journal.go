package agbackend

// The journal is the authoritative record of a scenario: every request that the
// server received, with its outcome, in the order of the start.

import (
	"sync"
	"time"
)

// Outcomes of journal entries. OutcomeRunning is the outcome of an unfinished request.
const (
	OutcomeRunning   = "Running"
	OutcomeAnswered  = "Answered"
	OutcomeFailed    = "Failed"
	OutcomeTruncated = "Truncated"
	OutcomeReset     = "Reset"
	OutcomeShed      = "Shed"
	OutcomeCanceled  = "Canceled"
	OutcomeHung      = "Hung"
	OutcomeTimedOut  = "TimedOut"
)

// Entry is one request in the journal.
type Entry struct {
	ID      string
	Key     string `json:",omitempty"`
	Report  string `json:",omitempty"`
	Seed    string `json:",omitempty"`
	Path    string
	Service string
	Start   time.Time
	End     time.Time
	Outcome string
	// Ran is true if the server started to execute the request. It is false for
	// shed requests.
	Ran bool
	// Load is the number of concurrent requests, including this one. Limit is the
	// number that the server could handle at that time.
	Load  int
	Limit int
	Over  bool
	// Noticed is false for requests that arrived after the server turned cold and
	// before the agent could detect that from an answer.
	Noticed bool
	// TimeoutMillis is the received timeout header in milliseconds, 0 if there was
	// none.
	TimeoutMillis int64
	// DeadlineMillis is the caller's absolute deadline in Unix milliseconds, 0 if
	// the caller sent none.
	DeadlineMillis int64
}

// Journal is the answer to GET /journal.
type Journal struct {
	Host        string
	Incarnation int64
	Slots       int
	Busy        time.Duration
	FellOver    []time.Time
	TurnedCold  []time.Time
	Entries     []Entry
}

type journal struct {
	mu      sync.Mutex
	entries []Entry
}

func (j *journal) add(entry Entry) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries = append(j.entries, entry)
	return len(j.entries) - 1
}

func (j *journal) finish(index int, outcome string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries[index].End = time.Now()
	j.entries[index].Outcome = outcome
}

func (j *journal) list() []Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Entry(nil), j.entries...)
}

// journalSnapshot returns the journal and the state of the load model.
func (s *Server) journalSnapshot() Journal {
	s.load.mu.Lock()
	defer s.load.mu.Unlock()
	return Journal{
		Host:        s.options.Host,
		Incarnation: s.incarnation,
		Slots:       s.load.slots(),
		Busy:        s.load.busyTime,
		FellOver:    append([]time.Time(nil), s.load.overloadedAt...),
		TurnedCold:  append([]time.Time(nil), s.load.turnedCold...),
		Entries:     s.journal.list(),
	}
}
