package agadminapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agconfig"
	"github.com/anvilglade/anvilglade/internal/config/agedit"
)

const (
	// maxStaleReads and staleReadPause limit how often and at which interval a read
	// is repeated that is older than the revision in If-Match.
	maxStaleReads  = 20
	staleReadPause = 50 * time.Millisecond
)

func (s *Server) editor(team Team) *agedit.Editor {
	return agedit.NewEditor(agedit.Options{Store: s.options.Store, Author: team.Name, Clock: s.options.Clock})
}

func (s *Server) getTable(r *http.Request, team Team) (response, error) {
	snapshot, err := s.editor(team).Read(r.Context())
	if err != nil {
		return response{}, err
	}
	rows, err := agconfig.Rows(snapshot.Document.Tables, r.PathValue("table"))
	if err != nil {
		return response{}, newProblem(typeNotFound, err.Error())
	}
	return response{snapshot.Revision, struct {
		Revision anvilglade.Revision
		Rows     []json.RawMessage
	}{snapshot.Revision, rows}}, nil
}

func (s *Server) getRow(r *http.Request, team Team) (response, error) {
	snapshot, err := s.editor(team).Read(r.Context())
	if err != nil {
		return response{}, err
	}
	row, err := agconfig.FindRow(snapshot.Document.Tables, r.PathValue("table"), r.PathValue("key"))
	if err != nil {
		return response{}, newProblem(typeNotFound, err.Error())
	}
	if len(row) == 0 {
		return response{}, newProblem(typeNotFound, fmt.Sprintf("no row %q at revision %d", r.PathValue("key"), snapshot.Revision))
	}
	return response{snapshot.Revision, row}, nil
}

func (s *Server) putRow(r *http.Request, team Team) (response, error) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return response{}, newProblem(typeMalformed, err.Error())
	}
	key, row, err := agconfig.Row(r.PathValue("table"), raw)
	if errors.Is(err, agconfig.ErrNoTable) {
		return response{}, newProblem(typeNotFound, err.Error())
	}
	if err != nil {
		return response{}, newProblem(typeMalformed, err.Error())
	}
	if key != r.PathValue("key") {
		return response{}, newProblem(typeMalformed, fmt.Sprintf("the body has the key %q, the path %q", key, r.PathValue("key")))
	}
	return s.changeRow(r, team, row)
}

func (s *Server) deleteRow(r *http.Request, team Team) (response, error) {
	return s.changeRow(r, team, nil)
}

// changeRow replaces or deletes a row if it still is as in the revision that the
// client has read. An empty after deletes the row.
func (s *Server) changeRow(r *http.Request, team Team, after json.RawMessage) (response, error) {
	change := agconfig.Change{Table: r.PathValue("table"), Row: r.PathValue("key"), After: after}
	snapshot, base, err := s.readBase(r, team)
	if err != nil {
		return response{}, err
	}
	tables, err := agedit.TablesAt(snapshot, base)
	if err != nil {
		return response{}, newProblem(typeConflict, err.Error()+"; read the row again")
	}
	if change.Before, err = agconfig.FindRow(tables, change.Table, change.Row); err != nil {
		return response{}, newProblem(typeNotFound, err.Error())
	}
	if r.Header.Get("If-None-Match") == "*" {
		change.Before = nil
	}
	if len(change.Before) == 0 && len(change.After) == 0 {
		return response{}, newProblem(typeNotFound, fmt.Sprintf("no row %q at revision %d", change.Row, base))
	}
	return s.submit(r, team, base, []agconfig.Change{change}, false)
}

// readBase returns the configuration and the revision from If-Match that the client
// has read. For "If-Match: *" and for If-None-Match it is the revision of the
// configuration.
func (s *Server) readBase(r *http.Request, team Team) (agedit.Snapshot, anvilglade.Revision, error) {
	match := r.Header.Get("If-Match")
	if match == "" && r.Header.Get("If-None-Match") != "*" {
		return agedit.Snapshot{}, 0, newProblem(typeConditionRequired, "send If-Match with the ETag of your last read, or If-None-Match: * for a new row")
	}
	var base uint64
	if match != "" && match != "*" {
		parsed, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
		if err != nil {
			return agedit.Snapshot{}, 0, newProblem(typeMalformed, "If-Match is not an ETag of this API")
		}
		base = parsed
	}
	editor := s.editor(team)
	for range maxStaleReads {
		snapshot, err := editor.Read(r.Context())
		if err != nil {
			return agedit.Snapshot{}, 0, err
		}
		if match == "" || match == "*" {
			return snapshot, snapshot.Revision, nil
		}
		if snapshot.Revision >= anvilglade.Revision(base) {
			return snapshot, anvilglade.Revision(base), nil
		}
		if err := sleep(r.Context(), staleReadPause); err != nil {
			return agedit.Snapshot{}, 0, err
		}
	}
	return agedit.Snapshot{}, 0, newProblem(typeUnavailable, fmt.Sprintf("the platform does not show revision %d yet", base))
}

func sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// submit checks the rights of the team, submits the edit and records the verdict as
// an audit event. The rights are checked on Before instead of the stored row: if
// the two differ, the edit is rejected as a conflict.
func (s *Server) submit(r *http.Request, team Team, base anvilglade.Revision, changes []agconfig.Change, exact bool) (response, error) {
	for _, change := range changes {
		if err := team.checkChange(change); err != nil {
			s.audit(APIAccessRefused, 0, fmt.Sprintf("team %s, %s %s: %v", team.Name, change.Table, change.Row, err))
			return response{}, newProblem(typeForbidden, err.Error())
		}
	}
	request := agedit.Request{
		ID: anvilglade.EditID(r.Header.Get("Edit-Id")), Base: base, Changes: changes, Exact: exact,
		Comment: r.Header.Get("Edit-Comment"), Force: r.URL.Query().Get("force") == "true" && team.Role == RoleOperator,
	}
	if request.ID != "" && !validEditID(request.ID) {
		return response{}, newProblem(typeMalformed, "Edit-Id is not 16 to 64 letters or digits")
	}
	if s.options.Hosts != nil {
		request.Known = s.options.Hosts()
	}
	verdict := s.editor(team).Submit(r.Context(), request)
	s.audit(APIEditDecided, verdict.Revision, fmt.Sprintf("team %s, edit %s: %s", team.Name, verdict.EditID, verdict.Outcome))
	if verdict.Outcome != agedit.Accepted {
		return response{}, newVerdictProblem(verdict)
	}
	return response{verdict.Revision, verdict}, nil
}

// validEditID reports whether an id has 16 to 64 letters or digits. Shorter ids
// could be equal by chance.
func validEditID(id anvilglade.EditID) bool {
	if len(id) < 16 || len(id) > 64 {
		return false
	}
	for _, r := range id {
		if (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') {
			return false
		}
	}
	return true
}

func (s *Server) getHistory(r *http.Request, team Team) (response, error) {
	snapshot, err := s.editor(team).Read(r.Context())
	if err != nil {
		return response{}, err
	}
	return response{snapshot.Revision, struct {
		Revision anvilglade.Revision
		Edits    []agconfig.Edit
	}{snapshot.Revision, snapshot.Document.History}}, nil
}

// decodeBody decodes a JSON body. Unknown fields are errors.
func decodeBody(r *http.Request, target any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return newProblem(typeMalformed, err.Error())
	}
	return nil
}

func (s *Server) rollback(r *http.Request, team Team) (response, error) {
	var wanted struct {
		Revision anvilglade.Revision
		EditID   anvilglade.EditID
	}
	if err := decodeBody(r, &wanted); err != nil {
		return response{}, err
	}
	if (wanted.Revision == 0) == (wanted.EditID == "") {
		return response{}, newProblem(typeMalformed, "give either Revision or EditID")
	}
	snapshot, err := s.editor(team).Read(r.Context())
	if err != nil {
		return response{}, err
	}
	var changes []agconfig.Change
	if wanted.EditID != "" {
		changes, err = agedit.RollbackEdit(snapshot, wanted.EditID, "")
	} else {
		changes, err = agedit.RollbackTo(snapshot, wanted.Revision, "")
	}
	if err != nil {
		return response{}, newProblem(typeNotFound, err.Error())
	}
	return s.submit(r, team, snapshot.Revision, changes, wanted.EditID == "")
}

// resolve determines the outcome of an edit whose verdict was Unknown. It may write
// an edit without changes, so that the role Viewer may not use it.
func (s *Server) resolve(r *http.Request, team Team) (response, error) {
	if team.Role == RoleViewer {
		return response{}, newProblem(typeForbidden, "role Viewer may not resolve edits")
	}
	var wanted struct{ Base anvilglade.Revision }
	if err := decodeBody(r, &wanted); err != nil {
		return response{}, err
	}
	verdict := s.editor(team).Resolve(r.Context(), anvilglade.EditID(r.PathValue("id")), wanted.Base)
	if verdict.Outcome == agedit.Unknown {
		return response{}, newVerdictProblem(verdict)
	}
	return response{verdict.Revision, verdict}, nil
}

var _ http.Handler = (*Server)(nil)
