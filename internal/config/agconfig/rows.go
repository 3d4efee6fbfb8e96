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

// tableRows converts one table from and to its rows as JSON by key.
type tableRows struct {
	name  string
	rows  func(tables *anvilglade.Tables) (map[string]json.RawMessage, error)
	store func(tables *anvilglade.Tables, rows []json.RawMessage) error
}

// tableList names the tables in the order of reports.
var tableList = []tableRows{
	{
		name: TableRoutes,
		rows: func(t *anvilglade.Tables) (map[string]json.RawMessage, error) {
			return rowsOf(len(t.Routes), func(i int) (string, any) { return RouteKey(t.Routes[i]), t.Routes[i] })
		},
		store: func(t *anvilglade.Tables, rows []json.RawMessage) error { return joinRows(rows, &t.Routes) },
	},
	{
		name: TablePools,
		rows: func(t *anvilglade.Tables) (map[string]json.RawMessage, error) {
			return rowsOf(len(t.Pools), func(i int) (string, any) { return string(t.Pools[i].Service), t.Pools[i] })
		},
		store: func(t *anvilglade.Tables, rows []json.RawMessage) error { return joinRows(rows, &t.Pools) },
	},
	{
		name: TableDataCentres,
		rows: func(t *anvilglade.Tables) (map[string]json.RawMessage, error) {
			return rowsOf(len(t.DataCentres), func(i int) (string, any) { return string(t.DataCentres[i].Name), t.DataCentres[i] })
		},
		store: func(t *anvilglade.Tables, rows []json.RawMessage) error { return joinRows(rows, &t.DataCentres) },
	},
	{
		name: TableHosts,
		rows: func(t *anvilglade.Tables) (map[string]json.RawMessage, error) {
			return rowsOf(len(t.Hosts), func(i int) (string, any) { return string(t.Hosts[i].Name), t.Hosts[i] })
		},
		store: func(t *anvilglade.Tables, rows []json.RawMessage) error { return joinRows(rows, &t.Hosts) },
	},
}

// RouteKey returns the key of a route.
func RouteKey(route anvilglade.Route) string {
	return route.Address.String() + "/" + string(route.Protocol)
}

func rowsOf(count int, row func(int) (string, any)) (map[string]json.RawMessage, error) {
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

func joinRows(rows []json.RawMessage, target any) error {
	raw := append([]byte{'['}, bytes.Join(asSlices(rows), []byte{','})...)
	return json.Unmarshal(append(raw, ']'), target)
}

func asSlices(rows []json.RawMessage) [][]byte {
	slicesOf := make([][]byte, len(rows))
	for i, row := range rows {
		slicesOf[i] = row
	}
	return slicesOf
}

// Diff returns the rows that differ, by table and key. It returns an error if a
// key appears twice in a table.
func Diff(before, after anvilglade.Tables) ([]Change, error) {
	var changes []Change
	for _, table := range tableList {
		old, err := table.rows(&before)
		if err != nil {
			return nil, fmt.Errorf("table %s: %w", table.name, err)
		}
		next, err := table.rows(&after)
		if err != nil {
			return nil, fmt.Errorf("table %s: %w", table.name, err)
		}
		changes = append(changes, diffRows(table.name, old, next)...)
	}
	return changes, nil
}

func diffRows(table string, old, next map[string]json.RawMessage) []Change {
	var changes []Change
	for key, before := range old {
		if after := next[key]; !bytes.Equal(before, after) {
			changes = append(changes, Change{Table: table, Row: key, Before: before, After: after})
		}
	}
	for key, after := range next {
		if _, ok := old[key]; !ok {
			changes = append(changes, Change{Table: table, Row: key, After: after})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Row, b.Row) })
	return changes
}

// AddPrecondition adds the row to the changes, if it is not among them, as one that must be
// as in the tables. An edit that finds a row as wanted relies on it: the tables
// may come from a stale read.
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

// Conflict is a change whose row is no longer as the edit saw it.
type Conflict struct {
	Change Change
	// Actual is the row now, empty if it does not exist.
	Actual json.RawMessage `json:",omitempty"`
	// By is the newest edit of the row; its ID is empty if the history no
	// longer holds it.
	By Edit
}

// Apply returns the tables with the changes. A change whose row already has the
// wanted value is left out of applied; one whose row has neither the old nor the
// wanted value is a conflict, and the tables are then not to be used.
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
		if err := table.store(&result, sortedRows(rows)); err != nil {
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

// Inverse returns the changes that undo the given ones.
func Inverse(changes []Change) []Change {
	inverse := make([]Change, len(changes))
	for i, change := range changes {
		inverse[i] = Change{Table: change.Table, Row: change.Row, Before: change.After, After: change.Before}
	}
	return inverse
}
