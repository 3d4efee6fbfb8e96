package agconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/anvilglade/anvilglade"
)

// ErrNoTable means that there is no table with the given name.
var ErrNoTable = errors.New("no such table")

// TableNames returns the names of the tables in the order in which Diff and the
// commands list them.
func TableNames() []string {
	names := make([]string, len(tableList))
	for i, table := range tableList {
		names[i] = table.name
	}
	return names
}

func findTable(name string) (tableCodec, error) {
	for _, table := range tableList {
		if table.name == name {
			return table, nil
		}
	}
	return tableCodec{}, fmt.Errorf("%w: %q", ErrNoTable, name)
}

// Row decodes the JSON of one row and returns its key and its canonical JSON with
// defaults set, in which rows are compared. It returns ErrNoTable for an unknown
// table and an error for unknown fields or anything but one row.
func Row(table string, raw json.RawMessage) (key string, row json.RawMessage, err error) {
	found, err := findTable(table)
	if err != nil {
		return "", nil, err
	}
	var tables anvilglade.Tables
	if err := decodeStrict(table, raw, &tables); err != nil {
		return "", nil, fmt.Errorf("row of table %s: %w", table, err)
	}
	tables = WithDefaults(tables)
	rows, err := found.rows(&tables)
	if err != nil {
		return "", nil, err
	}
	for key, row := range rows {
		return key, row, nil
	}
	return "", nil, fmt.Errorf("row of table %s is empty", table)
}

// decodeStrict decodes a row into the otherwise empty tables. It returns an error
// for unknown fields and unless raw is exactly one row.
func decodeStrict(table string, raw json.RawMessage, tables *anvilglade.Tables) error {
	if !json.Valid(raw) {
		return errors.New("not one JSON object")
	}
	wrapped := fmt.Appendf(nil, `{%q:[`, table)
	wrapped = append(append(wrapped, raw...), `]}`...)
	decoder := json.NewDecoder(bytes.NewReader(wrapped))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(tables); err != nil {
		return err
	}
	if count := len(tables.Routes) + len(tables.Pools) + len(tables.DataCentres) + len(tables.Hosts); count != 1 || decoder.More() {
		return errors.New("not one JSON object")
	}
	return nil
}

// FindRow returns the JSON of a row, which is empty if the row does not exist. It
// returns ErrNoTable for an unknown table.
func FindRow(tables anvilglade.Tables, table, key string) (json.RawMessage, error) {
	rows, err := tableAsRows(tables, table)
	return rows[key], err
}

// Rows returns the rows of a table as JSON, sorted by key. It returns ErrNoTable
// for an unknown table.
func Rows(tables anvilglade.Tables, table string) ([]json.RawMessage, error) {
	rows, err := tableAsRows(tables, table)
	return sortedRows(rows), err
}

func tableAsRows(tables anvilglade.Tables, table string) (map[string]json.RawMessage, error) {
	found, err := findTable(table)
	if err != nil {
		return nil, err
	}
	return found.rows(&tables)
}
