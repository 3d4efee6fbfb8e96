package agcommand

// Actions of all tables: get, edit, diff, remove, history and rollback.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agconfig"
	"github.com/anvilglade/anvilglade/internal/config/agedit"
)

// maxFile is the maximum size of a file of tables, in bytes.
const maxFile = 32 << 20

// tableFile is the format of a file of tables. Tables that are missing in the file
// are not changed. Revision is the revision at which the file was printed.
type tableFile struct {
	Revision    anvilglade.Revision       `json:",omitempty"`
	Routes      []anvilglade.Route        `json:",omitempty"`
	Pools       []anvilglade.Pool         `json:",omitempty"`
	DataCentres []anvilglade.DataCentre   `json:",omitempty"`
	Hosts       []anvilglade.HostOverride `json:",omitempty"`
}

// tableView describes one table to the common actions.
type tableView struct {
	command string
	table   string
	header  []string
	// subset returns tables in which all tables but this one are empty.
	subset func(tables anvilglade.Tables) anvilglade.Tables
	// rows returns the key and the columns of each row.
	rows func(tables anvilglade.Tables) [][]string
}

func (v *tableView) actions() []action {
	example := "anvilglade " + v.command + " "
	return []action{
		{
			name: "get", summary: "print the rows, or one of them", example: example + "get --yaml > rows.yaml",
			bind: func(c *operatorCommand) {
				c.positionalValue(&c.first, "ROW", "key of one row", false)
				c.subcommand.Bool(&c.yaml, "", "yaml", "print YAML that 'edit' accepts")
			},
			run: v.get,
		},
		{
			name: "edit", summary: "replace the table by an edited file", example: example + "edit rows.yaml --wait --admin 10.0.0.1:7900", edits: true,
			bind: func(c *operatorCommand) {
				c.positionalValue(&c.file, "FILE", "JSON or YAML as printed by 'get', '-' for standard input", true)
			},
			run: func(ctx context.Context, c *operatorCommand) int { return c.submit(ctx, false, v.fromFile(c)) },
		},
		{
			name: "diff", summary: "print what 'edit' would change", example: example + "diff rows.yaml",
			bind: func(c *operatorCommand) {
				c.positionalValue(&c.file, "FILE", "JSON or YAML as printed by 'get', '-' for standard input", true)
			},
			run: v.diff,
		},
		{
			name: "remove", summary: "remove a row", example: example + "remove ROW", edits: true,
			bind: func(c *operatorCommand) { c.positionalValue(&c.first, "ROW", "key of the row", true) },
			run:  v.remove,
		},
		{
			name: "history", summary: "print the newest edits, or resolve an edit with unknown outcome", example: example + "history --edit ID --base 41",
			bind: func(c *operatorCommand) {
				c.settings.Text(&c.editID, "edit", "id of the edit to resolve", "")
				c.settings.Text(&c.base, "base", "base revision of the edit, as its message says", "0")
			},
			run: v.history,
		},
		{
			name: "rollback", summary: "undo one edit, or return to a revision, as a new revision", example: example + "rollback --to 41", edits: true,
			bind: func(c *operatorCommand) {
				c.settings.Text(&c.editID, "edit", "id of the edit to undo", "")
				c.settings.Text(&c.revision, "to", "revision to return to", "")
			},
			run: v.rollback,
		},
	}
}

func (v *tableView) get(ctx context.Context, c *operatorCommand) int {
	snapshot, err := c.read(ctx)
	if err != nil {
		return c.fail(err)
	}
	subset := v.subset(snapshot.Document.Tables)
	file := tableFile{Revision: snapshot.Revision, Routes: subset.Routes, Pools: subset.Pools, DataCentres: subset.DataCentres, Hosts: subset.Hosts}
	if c.json {
		return c.printJSON(file)
	}
	if c.yaml {
		return c.printYAML(file)
	}
	var rows [][]string
	for _, row := range v.rows(subset) {
		if c.first == "" || c.first == row[0] {
			rows = append(rows, row[1:])
		}
	}
	if c.first != "" && len(rows) == 0 {
		return c.fail(fmt.Errorf("table %s has no row %q", v.table, c.first))
	}
	fmt.Printf("Revision %d\n", snapshot.Revision)
	printTable(v.header, rows)
	return ExitDone
}

// fromFile returns the changes between the revision that the file names and the
// file, so that edits made after that revision are kept or reported as conflicts.
func (v *tableView) fromFile(c *operatorCommand) changeBuilder {
	return func(snapshot agedit.Snapshot) ([]agconfig.Change, error) {
		file, err := readTables(c.file)
		if err != nil {
			return nil, err
		}
		if file.Revision == 0 && snapshot.Revision != 0 {
			return nil, fmt.Errorf("%w: the file names no Revision; start from 'anvilglade %s get --yaml'", errUsage, v.command)
		}
		return changesFrom(snapshot, file, v.subset)
	}
}

func changesFrom(snapshot agedit.Snapshot, file tableFile, subset func(anvilglade.Tables) anvilglade.Tables) ([]agconfig.Change, error) {
	base, err := agedit.TablesAt(snapshot, file.Revision)
	if err != nil {
		return nil, err
	}
	wanted := base
	if file.Routes != nil {
		wanted.Routes = file.Routes
	}
	if file.Pools != nil {
		wanted.Pools = file.Pools
	}
	if file.DataCentres != nil {
		wanted.DataCentres = file.DataCentres
	}
	if file.Hosts != nil {
		wanted.Hosts = file.Hosts
	}
	return agconfig.Diff(subset(base), subset(agconfig.WithDefaults(wanted)))
}

func (v *tableView) diff(ctx context.Context, c *operatorCommand) int {
	snapshot, err := c.read(ctx)
	if err != nil {
		return c.fail(err)
	}
	changes, err := v.fromFile(c)(snapshot)
	if err != nil {
		return c.fail(err)
	}
	return c.dryRun(snapshot, changes)
}

// dryRun prints the effect of changes without submitting them. It returns
// ExitRejected if they would be rejected.
func (c *operatorCommand) dryRun(snapshot agedit.Snapshot, changes []agconfig.Change) int {
	tables, applied, conflicts, err := agconfig.Apply(snapshot.Document.Tables, changes)
	if err != nil {
		return c.fail(err)
	}
	for i := range conflicts {
		conflicts[i].By, _ = snapshot.Document.LastChange(conflicts[i].Change.Table, conflicts[i].Change.Row)
	}
	var faults agconfig.FaultsError
	if len(conflicts) == 0 {
		faults = agconfig.ValidateEdit(tables, agconfig.Options{Before: snapshot.Document.Tables, Force: c.force})
	}
	code := ExitDone
	if len(conflicts) > 0 || len(faults) > 0 {
		code = ExitRejected
	}
	if c.json {
		c.printJSON(map[string]any{"Revision": snapshot.Revision, "Changes": applied, "Conflicts": conflicts, "Faults": faults})
		return code
	}
	fmt.Printf("Against revision %d:\n", snapshot.Revision)
	printChanges(applied)
	printConflicts(conflicts)
	for _, fault := range faults {
		fmt.Println("  " + fault.String())
	}
	return code
}

func (v *tableView) remove(ctx context.Context, c *operatorCommand) int {
	return c.submit(ctx, false, func(snapshot agedit.Snapshot) ([]agconfig.Change, error) {
		all, err := agconfig.Diff(v.subset(snapshot.Document.Tables), anvilglade.Tables{})
		if err != nil {
			return nil, err
		}
		for _, change := range all {
			if change.Row == c.first {
				return []agconfig.Change{change}, nil
			}
		}
		return nil, fmt.Errorf("table %s has no row %q at revision %d", v.table, c.first, snapshot.Revision)
	})
}

func (v *tableView) history(ctx context.Context, c *operatorCommand) int {
	if c.editID != "" {
		return c.resolve(ctx)
	}
	snapshot, err := c.read(ctx)
	if err != nil {
		return c.fail(err)
	}
	document := snapshot.Document
	var edits []agconfig.Edit
	var rows [][]string
	for _, edit := range document.History {
		changeCount := 0
		for _, change := range edit.Changes {
			if change.Table == v.table {
				changeCount++
			}
		}
		if changeCount == 0 {
			continue
		}
		_, revision, _ := document.Find(edit.ID, snapshot.Revision)
		edits = append(edits, edit)
		rows = append(rows, []string{
			strconv.FormatUint(uint64(revision), 10), edit.Time.Format(time.RFC3339), edit.Author, string(edit.ID), strconv.Itoa(changeCount), edit.Comment,
		})
	}
	if c.json {
		return c.printJSON(edits)
	}
	printTable([]string{"REVISION", "TIME", "AUTHOR", "EDIT", "ROWS", "COMMENT"}, rows)
	return ExitDone
}

func (c *operatorCommand) resolve(ctx context.Context) int {
	base, err := strconv.ParseUint(c.base, 10, 64)
	if err != nil {
		return c.fail(fmt.Errorf("%w: --base %q is not a revision", errUsage, c.base))
	}
	editor, stop, err := c.editor()
	if err != nil {
		return c.fail(err)
	}
	defer stop()
	verdict := editor.Resolve(ctx, anvilglade.EditID(c.editID), anvilglade.Revision(base))
	code := c.printVerdict(verdict)
	if verdict.Outcome == agedit.Rejected {
		// The outcome of the edit is now certain: the edit did not take effect.
		return ExitRejected
	}
	return code
}

func (v *tableView) rollback(ctx context.Context, c *operatorCommand) int {
	if (c.editID == "") == (c.revision == "") {
		return c.fail(fmt.Errorf("%w: give either --to or --edit", errUsage))
	}
	return c.submit(ctx, c.editID == "", func(snapshot agedit.Snapshot) ([]agconfig.Change, error) {
		if c.editID != "" {
			return agedit.RollbackEdit(snapshot, anvilglade.EditID(c.editID), v.table)
		}
		revision, err := strconv.ParseUint(c.revision, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%w: --to %q is not a revision", errUsage, c.revision)
		}
		return agedit.RollbackTo(snapshot, anvilglade.Revision(revision), v.table)
	})
}

// readTables reads a file of tables in JSON or YAML; JSON is a subset of YAML.
// Unknown names are errors, because a misspelt field would otherwise get its
// default without a message.
func readTables(path string) (tableFile, error) {
	var file tableFile
	raw, err := readFile(path)
	if err != nil {
		return file, err
	}
	var plain any
	if err := yaml.Unmarshal(raw, &plain); err != nil {
		return file, fmt.Errorf("%w: %s: %w", errUsage, path, err)
	}
	text, err := json.Marshal(plain)
	if err != nil {
		return file, fmt.Errorf("%w: %s: %w", errUsage, path, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return file, fmt.Errorf("%w: %s: %w", errUsage, path, err)
	}
	return file, nil
}

func readFile(path string) ([]byte, error) {
	input := io.Reader(os.Stdin)
	if path != "-" {
		file, err := os.Open(path) // #nosec G304 -- the operator names the file
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errUsage, err)
		}
		defer func() { _ = file.Close() }()
		input = file
	}
	raw, err := io.ReadAll(io.LimitReader(input, maxFile+1))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	if len(raw) > maxFile {
		return nil, fmt.Errorf("%w: %s has more than %d bytes", errUsage, path, maxFile)
	}
	return raw, nil
}
