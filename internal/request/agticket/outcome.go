package agticket

import (
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// State is the final state of a report.
type State string

// States of an outcome. All are final.
const (
	// Answered: the backend server responded; the report ran.
	Answered State = "Answered"
	// NotRun: the report did not run and never will under this ticket.
	NotRun State = "NotRun"
	// Unknown: the report was sent and no complete response was received.
	Unknown State = "Unknown"
)

// Outcome is the result of a report. It must not change after Finish.
type Outcome struct {
	State  State
	Status int
	Header http.Header
	Body   []byte
	// Dropped is set if the response was too large to store. State and Status
	// are still valid.
	Dropped bool
	// Detail is the reason for the states NotRun and Unknown.
	Detail string
}

// size returns the memory that the table accounts for the outcome, in bytes.
// headerLineCost is the overhead of the map entry and the slice of a header.
func (o *Outcome) size() int64 {
	const headerLineCost = 64
	total := int64(len(o.Body) + len(o.Detail))
	for name, values := range o.Header {
		for _, value := range values {
			total += int64(len(name) + len(value) + headerLineCost)
		}
	}
	return total
}

// Digest returns a hash of a report, by which the table detects a ticket that is
// used for another report. The query is not included: callers put values of an
// attempt there, such as a deadline, which differ in a retry.
func Digest(method, path string, body []byte) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(method)
	_, _ = hash.WriteString(" ")
	_, _ = hash.WriteString(path)
	_, _ = hash.WriteString("\n")
	_, _ = hash.Write(body)
	return hash.Sum64()
}
