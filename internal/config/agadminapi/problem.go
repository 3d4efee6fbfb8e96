package agadminapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agedit"
)

// problemType is a type of problem. Clients distinguish problems by the URI, which
// must not change.
type problemType struct {
	uri    string
	title  string
	status int
}

const problemBase = "urn:anvilglade:problem:"

// Types of problems.
var (
	typeUnauthenticated   = problemType{"unauthenticated", "Unknown token", http.StatusUnauthorized}
	typeForbidden         = problemType{"forbidden", "Not allowed for this team", http.StatusForbidden}
	typeNotFound          = problemType{"not-found", "No such table, row or edit", http.StatusNotFound}
	typeMalformed         = problemType{"malformed", "Malformed request", http.StatusBadRequest}
	typeConflict          = problemType{"conflict", "Another edit changed the same rows", http.StatusPreconditionFailed}
	typeConditionRequired = problemType{"condition-required", "If-Match or If-None-Match is missing", http.StatusPreconditionRequired}
	typeFaults            = problemType{"faults", "The result has faults", http.StatusUnprocessableEntity}
	typeRateLimit         = problemType{"rate-limit", "Too many requests", http.StatusTooManyRequests}
	typeUnavailable       = problemType{"unavailable", "Nothing was written", http.StatusServiceUnavailable}
	typeUnknownOutcome    = problemType{"unknown-outcome", "The edit may have taken effect or still may", http.StatusGatewayTimeout}
)

// problemError is an error that is sent as problem details (RFC 9457).
type problemError struct {
	kind    problemType
	detail  string
	verdict *agedit.Verdict
}

// Error returns the title and the detail.
func (p *problemError) Error() string {
	return p.kind.title + ": " + p.detail
}

func newProblem(kind problemType, detail string) *problemError {
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

// newVerdictProblem returns the problem for the verdict on an edit that was not
// accepted.
func newVerdictProblem(verdict agedit.Verdict) *problemError {
	kind := typeUnavailable
	switch {
	case verdict.Outcome == agedit.Unknown:
		kind = typeUnknownOutcome
	case len(verdict.Conflicts) > 0 || verdict.Outdated:
		kind = typeConflict
	case len(verdict.Faults) > 0:
		kind = typeFaults
	}
	return &problemError{kind: kind, detail: verdict.Reason, verdict: &verdict}
}

// response is the result of an operation, with the revision that is sent as ETag.
type response struct {
	revision anvilglade.Revision
	value    any
}

func etag(revision anvilglade.Revision) string {
	return `"` + strconv.FormatUint(uint64(revision), 10) + `"`
}

func (a response) write(w http.ResponseWriter, r *http.Request) {
	tag := etag(a.revision)
	w.Header().Set("ETag", tag)
	if r.Method == http.MethodGet && strings.Contains(r.Header.Get("If-None-Match"), tag) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.value)
}
