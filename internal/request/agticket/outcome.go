package agticket

import (
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// State is how a report ended.
type State string

// States of an outcome. All are final.
const (
	// Answered: the backend server answered; the report ran.
	Answered State = "Answered"
	// NotRun: the report did not run and never will under this ticket.
	NotRun State = "NotRun"
	// Unknown: the report was sent and no whole answer came.
	Unknown State = "Unknown"
)

// Outcome is the result of a report. It must not change after Finish.
type Outcome struct {
	State  State
	Status int
	Header http.Header
	Body   []byte
	// Dropped: the answer did not fit into the memory of the table; State and
	// Status are still right.
	Dropped bool
	// Detail says why a report is not run or unknown.
	Detail string
}

// size is the memory that the table counts for the outcome, in bytes. The
// overhead of a header line is that of its map entry and slice.
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

// Digest identifies the content of a report, so that a ticket that is used for
// another report is noticed. The query is left out: callers put values of the
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
