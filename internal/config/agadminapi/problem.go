package agadminapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agedit"
)

// problemType is a stable kind of problem; clients decide by its URI.
type problemType struct {
	uri    string
	title  string
	status int
}

const problemBase = "urn:anvilglade:problem:"

// Types of problems.
var (
	typeUnauthenticated = problemType{"unauthenticated", "Unknown token", http.StatusUnauthorized}
	typeForbidden       = problemType{"forbidden", "Not allowed for this team", http.StatusForbidden}
	typeNotFound        = problemType{"not-found", "No such table, row or edit", http.StatusNotFound}
	typeMalformed       = problemType{"malformed", "Malformed request", http.StatusBadRequest}
	typeConflict        = problemType{"conflict", "Another edit changed the same rows", http.StatusPreconditionFailed}
	typeUnconditional   = problemType{"condition-required", "If-Match or If-None-Match is missing", http.StatusPreconditionRequired}
	typeFaults          = problemType{"faults", "The result has faults", http.StatusUnprocessableEntity}
	typeRateLimit       = problemType{"rate-limit", "Too many requests", http.StatusTooManyRequests}
	typeUnavailable     = problemType{"unavailable", "Nothing was written", http.StatusServiceUnavailable}
	typeUnknown         = problemType{"unknown-outcome", "The edit may have taken effect or still may", http.StatusGatewayTimeout}
)

// problemError is an answer with problem details (RFC 9457).
type problemError struct {
	kind    problemType
	detail  string
	verdict *agedit.Verdict
}

// Error returns title and detail.
func (p *problemError) Error() string {
	return p.kind.title + ": " + p.detail
}

func problemOf(kind problemType, detail string) *problemError {
	return &problemError{kind: kind, detail: detail}
}

func (p *problemError) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.kind.status)
	_ = json.NewEncoder(w).Encode(struct {
		Type    string          `json:"type"`
		Title   string          `json:"title"`
		Status  int             `json:"status"`
		Detail  string          `json:"detail"`
		Verdict *agedit.Verdict `json:"verdict,omitempty"`
	}{problemBase + p.kind.uri, p.kind.title, p.kind.status, p.detail, p.verdict})
}

// problemOfVerdict returns the problem of an edit that was not accepted.
func problemOfVerdict(verdict agedit.Verdict) *problemError {
	kind := typeUnavailable
	switch {
	case verdict.Outcome == agedit.Unknown:
		kind = typeUnknown
	case len(verdict.Conflicts) > 0 || verdict.Outdated:
		kind = typeConflict
	case len(verdict.Faults) > 0:
		kind = typeFaults
	}
	return &problemError{kind: kind, detail: verdict.Reason, verdict: &verdict}
}

// answer is a result with the revision as its ETag.
type answer struct {
	revision anvilglade.Revision
	value    any
}

func etag(revision anvilglade.Revision) string {
	return `"` + strconv.FormatUint(uint64(revision), 10) + `"`
}

func (a answer) write(w http.ResponseWriter, r *http.Request) {
	tag := etag(a.revision)
	w.Header().Set("ETag", tag)
	if r.Method == http.MethodGet && strings.Contains(r.Header.Get("If-None-Match"), tag) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.value)
}
