package inventory

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strings"
)

// requiredColumns must be in the header and have a value in each row.
var requiredColumns = []string{columnName, columnAddress, columnGroup}

// csvRow is one row of a table with a header.
type csvRow struct {
	columns map[string]int // index of each column, by name in lower case
	fields  []string
}

// get returns the value of a column without surrounding space, or an empty string.
func (r *csvRow) get(column string) string {
	i, ok := r.columns[column]
	if !ok || i >= len(r.fields) {
		return ""
	}
	return strings.TrimSpace(r.fields[i])
}

// readCSV reads a CSV text with a header row. Columns may be in any order, unknown columns are
// ignored, and a line that begins with # is a comment.
func (t *table) readCSV(text []byte) error {
	reader := csv.NewReader(bytes.NewReader(text))
	reader.Comment = '#'
	reader.TrimLeadingSpace = true
	reader.FieldsPerRecord = -1 // rows may be shorter than the header
	var columns map[string]int
	for {
		fields, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return t.csvError(err)
		}
		line, _ := reader.FieldPos(0)
		if columns == nil {
			columns, err = t.readHeader(line, fields)
		} else {
			err = t.addCSVRow(line, &csvRow{columns, fields})
		}
		if err != nil {
			return err
		}
	}
}

// csvError adds the line to an error of the CSV reader.
func (t *table) csvError(err error) error {
	var parseError *csv.ParseError
	if errors.As(err, &parseError) {
		return t.errorAt(parseError.Line, parseError.Err)
	}
	return t.errorAt(1, err)
}

// readHeader returns the index of each column, by name in lower case.
func (t *table) readHeader(line int, fields []string) (map[string]int, error) {
	columns := map[string]int{}
	for i, name := range fields {
		columns[strings.ToLower(strings.TrimSpace(name))] = i
	}
	for _, name := range requiredColumns {
		if _, ok := columns[name]; !ok {
			return nil, t.errorAt(line, fmt.Errorf("missing column %s", name))
		}
	}
	return columns, nil
}

// addCSVRow adds the server of a row. Its name must not be a range of several hosts, as the row has
// one address.
func (t *table) addCSVRow(line int, row *csvRow) error {
	for _, name := range requiredColumns {
		if row.get(name) == "" {
			return t.errorAt(line, fmt.Errorf("column %s is empty or missing", name))
		}
	}
	name := row.get(columnName)
	hosts, err := expand(name)
	if err != nil {
		return t.errorAt(line, err)
	}
	if len(hosts) > 1 {
		return t.errorAt(line, fmt.Errorf("name %q stands for %d hosts, but the row has one address", name, len(hosts)))
	}
	return t.addRow(line, serverRow{
		name:    name,
		address: row.get(columnAddress),
		groups:  []string{row.get(columnGroup)},
		zone:    row.get(columnZone),
		weight:  row.get(columnWeight),
		state:   row.get(columnState),
	})
}
