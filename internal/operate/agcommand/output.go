package agcommand

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"go.yaml.in/yaml/v3"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agconfig"
	"github.com/anvilglade/anvilglade/internal/config/agedit"
)

// tablesCopy is a copy of the tables that an action may modify.
type tablesCopy struct {
	anvilglade.Tables
}

func copyTables(tables anvilglade.Tables) *tablesCopy {
	return &tablesCopy{Tables: anvilglade.Tables{
		Routes: slices.Clone(tables.Routes), Pools: slices.Clone(tables.Pools),
		DataCentres: slices.Clone(tables.DataCentres), Hosts: slices.Clone(tables.Hosts),
	}}
}

// printJSON prints a value as indented JSON.
func (c *operatorCommand) printJSON(value any) int {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return c.fail(err)
	}
	return ExitDone
}

// printYAML prints a value as YAML with the field names of its JSON form.
func (c *operatorCommand) printYAML(value any) int {
	raw, err := json.Marshal(value)
	if err != nil {
		return c.fail(err)
	}
	var plain any
	if err := json.Unmarshal(raw, &plain); err != nil {
		return c.fail(err)
	}
	text, err := yaml.Marshal(plain)
	if err != nil {
		return c.fail(err)
	}
	fmt.Print(string(text))
	return ExitDone
}

// printTable prints a header and rows in aligned columns.
func printTable(header []string, rows [][]string) {
	writer := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, strings.Join(header, "\t"))
	for _, row := range rows {
		_, _ = fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	_ = writer.Flush()
}

// verdictCode returns the exit code of a verdict.
func verdictCode(verdict agedit.Verdict) int {
	switch {
	case verdict.Outcome == agedit.Accepted:
		return ExitDone
	case verdict.Outcome == agedit.Unknown:
		return ExitUnknown
	case len(verdict.Faults) > 0 || len(verdict.Conflicts) > 0 || verdict.Outdated:
		return ExitRejected
	default:
		return ExitFailed
	}
}

// printVerdict prints a verdict and returns its exit code.
func (c *operatorCommand) printVerdict(verdict agedit.Verdict) int {
	code := verdictCode(verdict)
	if c.json {
		c.printJSON(verdict)
		return code
	}
	switch verdict.Outcome {
	case agedit.Accepted:
		fmt.Printf("Accepted: revision %d, edit %s.\n", verdict.Revision, verdict.EditID)
		printChanges(verdict.Changes)
	case agedit.Rejected:
		fmt.Printf("Rejected: %s.\n", verdict.Reason)
		for _, fault := range verdict.Faults {
			fmt.Println("  " + fault.String())
		}
		printConflicts(verdict.Conflicts)
	default:
		fmt.Printf("Unknown: the edit may have taken effect or still may: %s.\n", verdict.Reason)
		if verdict.EditID != "" {
			fmt.Printf("Resolve it with: anvilglade routes history --edit %s --base %d\n", verdict.EditID, verdict.Base)
		}
	}
	return code
}

func printChanges(changes []agconfig.Change) {
	if len(changes) == 0 {
		fmt.Println("  No row differs.")
	}
	for _, change := range changes {
		fmt.Printf("  %s %s\n", change.Table, change.Row)
		printRow("-", change.Before)
		printRow("+", change.After)
	}
}

func printRow(sign string, row json.RawMessage) {
	if len(row) > 0 {
		fmt.Printf("    %s %s\n", sign, row)
	}
}

// printConflicts prints, for each row in conflict, the row as the operator read
// it, the operator's edit and the present row with the author of its last edit.
func printConflicts(conflicts []agconfig.Conflict) {
	for _, conflict := range conflicts {
		fmt.Printf("  %s %s\n", conflict.Change.Table, conflict.Change.Row)
		printRow("as you saw it: ", conflict.Change.Before)
		printRow("your edit:     ", conflict.Change.After)
		if len(conflict.Change.After) == 0 {
			fmt.Println("    your edit:      removes the row")
		}
		by := "an edit that the history no longer holds"
		if conflict.By.ID != "" {
			by = fmt.Sprintf("%s, edit %s", conflict.By.Author, conflict.By.ID)
		}
		if len(conflict.Actual) == 0 {
			fmt.Printf("    now:            removed (by %s)\n", by)
			continue
		}
		fmt.Printf("    now:            %s (by %s)\n", conflict.Actual, by)
	}
}
