package agconfig

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/anvilglade/anvilglade"
)

// Names of the tables.
const (
	TableRoutes      = "Routes"
	TablePools       = "Pools"
	TableDataCentres = "DataCentres"
	TableHosts       = "Hosts"
)

// tableCodec converts one table to a map from row key to JSON, and a list of rows
// in JSON back to the table.
type tableCodec struct {
	name    string
	rows    func(tables *anvilglade.Tables) (map[string]json.RawMessage, error)
	setRows func(tables *anvilglade.Tables, rows []json.RawMessage) error
}

// tableList contains the tables in the order of Diff and TableNames.
var tableList = []tableCodec{
	{
		name: TableRoutes,
		rows: func(t *anvilglade.Tables) (map[string]json.RawMessage, error) {
			return encodeRows(len(t.Routes), func(i int) (string, any) { return RouteKey(t.Routes[i]), t.Routes[i] })
		},
		setRows: func(t *anvilglade.Tables, rows []json.RawMessage) error { return decodeRows(rows, &t.Routes) },
	},
	{
		name: TablePools,
		rows: func(t *anvilglade.Tables) (map[string]json.RawMessage, error) {
			return encodeRows(len(t.Pools), func(i int) (string, any) { return string(t.Pools[i].Service), t.Pools[i] })
		},
		setRows: func(t *anvilglade.Tables, rows []json.RawMessage) error { return decodeRows(rows, &t.Pools) },
	},
	{
		name: TableDataCentres,
		rows: func(t *anvilglade.Tables) (map[string]json.RawMessage, error) {
			return encodeRows(len(t.DataCentres), func(i int) (string, any) { return string(t.DataCentres[i].Name), t.DataCentres[i] })
		},
		setRows: func(t *anvilglade.Tables, rows []json.RawMessage) error { return decodeRows(rows, &t.DataCentres) },
	},
	{
		name: TableHosts,
		rows: func(t *anvilglade.Tables) (map[string]json.RawMessage, error) {
			return encodeRows(len(t.Hosts), func(i int) (string, any) { return string(t.Hosts[i].Name), t.Hosts[i] })
		},
		setRows: func(t *anvilglade.Tables, rows []json.RawMessage) error { return decodeRows(rows, &t.Hosts) },
	},
}

// RouteKey returns the key of a route, "IP:PORT/PROTOCOL".
func RouteKey(route anvilglade.Route) string {
	return route.Address.String() + "/" + string(route.Protocol)
}

func encodeRows(count int, row func(int) (string, any)) (map[string]json.RawMessage, error) {
	rows := make(map[string]json.RawMessage, count)
	for i := range count {
		key, value := row(i)
		if _, ok := rows[key]; ok {
			return nil, fmt.Errorf("row %q appears twice", key)
		}
		raw, err := json.Marshal(value)
		if err != nil {
			return nil, fmt.Errorf("row %q: %w", key, err)
		}
		rows[key] = raw
	}
	return rows, nil
}

func decodeRows(rows []json.RawMessage, target any) error {
	// Target points to the slice of a table.
	raw := append([]byte{'['}, bytes.Join(asBytes(rows), []byte{','})...)
	return json.Unmarshal(append(raw, ']'), target)
}

func asBytes(rows []json.RawMessage) [][]byte {
	converted := make([][]byte, len(rows))
	for i, row := range rows {
		converted[i] = row
	}
	return converted
}

// Diff returns a change for each row that differs, in the order of tableList and
// sorted by key. It returns an error if a key appears twice in a table.
func Diff(before, after anvilglade.Tables) ([]Change, error) {
	var changes []Change
	for _, table := range tableList {
		beforeRows, err := table.rows(&before)
		if err != nil {
			return nil, fmt.Errorf("table %s: %w", table.name, err)
		}
		afterRows, err := table.rows(&after)
		if err != nil {
			return nil, fmt.Errorf("table %s: %w", table.name, err)
		}
		changes = append(changes, diffRows(table.name, beforeRows, afterRows)...)
	}
	return changes, nil
}

func diffRows(table string, beforeRows, afterRows map[string]json.RawMessage) []Change {
	var changes []Change
	for key, before := range beforeRows {
		if after := afterRows[key]; !bytes.Equal(before, after) {
			changes = append(changes, Change{Table: table, Row: key, Before: before, After: after})
		}
	}
	for key, after := range afterRows {
		if _, ok := beforeRows[key]; !ok {
			changes = append(changes, Change{Table: table, Row: key, After: after})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Row, b.Row) })
	return changes
}

// AddPrecondition adds a change that does not modify the row but conflicts if the
// row differs from the one in the tables, unless the changes already contain the
// row. It is for an edit whose row already has the requested value, because the
// tables may come from a stale read.
func AddPrecondition(changes []Change, tables anvilglade.Tables, table, key string) ([]Change, error) {
	if slices.ContainsFunc(changes, func(change Change) bool { return change.Table == table && change.Row == key }) {
		return changes, nil
	}
	row, err := FindRow(tables, table, key)
	if err != nil {
		return nil, err
	}
	return append(changes, Change{Table: table, Row: key, Before: row, After: row}), nil
}

// Conflict is a change whose row no longer has the value that the edit was based
// on.
type Conflict struct {
	Change Change
	// Actual is the present row, empty if it does not exist.
	Actual json.RawMessage `json:",omitempty"`
	// By is the newest edit of the row. Its ID is empty if the history no longer
	// contains that edit.
	By Edit
}

// Apply returns the tables with the changes applied. A change whose row already
// has the value After is not included in applied. A change whose row has neither
// the value Before nor After is a conflict; result must not be used if there are
// conflicts. Apply does not set Conflict.By.
func Apply(tables anvilglade.Tables, changes []Change) (result anvilglade.Tables, applied []Change, conflicts []Conflict, err error) {
	for _, table := range tableList {
		rows, err := table.rows(&tables)
		if err != nil {
			return tables, nil, nil, fmt.Errorf("table %s: %w", table.name, err)
		}
		for _, change := range changes {
			if change.Table != table.name {
				continue
			}
			actual := rows[change.Row]
			switch {
			case bytes.Equal(actual, change.After):
			case !bytes.Equal(actual, change.Before):
				conflicts = append(conflicts, Conflict{Change: change, Actual: actual})
			default:
				applied = append(applied, change)
				setRow(rows, change)
			}
		}
		if err := table.setRows(&result, sortedRows(rows)); err != nil {
			return tables, nil, nil, fmt.Errorf("table %s: %w", table.name, err)
		}
	}
	return result, applied, conflicts, nil
}

func setRow(rows map[string]json.RawMessage, change Change) {
	if len(change.After) == 0 {
		delete(rows, change.Row)
		return
	}
	rows[change.Row] = change.After
}

func sortedRows(rows map[string]json.RawMessage) []json.RawMessage {
	keys := make([]string, 0, len(rows))
	for key := range rows {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	sorted := make([]json.RawMessage, len(keys))
	for i, key := range keys {
		sorted[i] = rows[key]
	}
	return sorted
}

// Inverse returns the changes that revert the given ones.
func Inverse(changes []Change) []Change {
	inverse := make([]Change, len(changes))
	for i, change := range changes {
		inverse[i] = Change{Table: change.Table, Row: change.Row, Before: change.After, After: change.Before}
	}
	return inverse
}
