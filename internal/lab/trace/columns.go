package trace

import (
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
)

// column is the key of a column in the [columns] table of a mapping.
type column string

// The columns that a mapping can define.
const (
	columnTime      column = "time"
	columnWork      column = "work"
	columnEnd       column = "end"
	columnOperation column = "operation"
	columnTenant    column = "tenant"
	columnSlots     column = "slots"
)

// noColumn is the index of a column that the trace does not have.
const noColumn = -1

// columnIndexes holds the positions of a mapping's columns in a row. Columns that the mapping leaves
// out are not in it.
type columnIndexes struct {
	byColumn map[column]int
	highest  int // the highest index in byColumn
}

// has reports whether the mapping defines a column.
func (c columnIndexes) has(col column) bool {
	_, defined := c.byColumn[col]
	return defined
}

// text returns the value of a column without surrounding white space.
func (c columnIndexes) text(fields []string, col column) string {
	return strings.TrimSpace(fields[c.byColumn[col]])
}

// number returns the value of a column, and false if it is not a finite number.
func (c columnIndexes) number(fields []string, col column) (float64, bool) {
	v, err := strconv.ParseFloat(c.text(fields, col), 64)
	return v, err == nil && !math.IsNaN(v) && !math.IsInf(v, 0)
}

// errEmptyTrace reports a trace without a single line.
var errEmptyTrace = errors.New("the trace is empty")

// findColumns reads the header, if the trace has one, and locates the mapping's columns in it. A column
// that cannot be found is an error.
func findColumns(m Mapping, rows *rowReader) (columnIndexes, error) {
	header, err := readHeader(m, rows)
	if err != nil {
		return columnIndexes{}, err
	}
	found := columnIndexes{byColumn: map[column]int{}}
	for _, wanted := range []struct {
		column column
		name   string
	}{
		{columnTime, m.Columns.Time},
		{columnWork, m.Columns.Work},
		{columnEnd, m.Columns.End},
		{columnOperation, m.Columns.Operation},
		{columnTenant, m.Columns.Tenant},
		{columnSlots, m.Columns.Slots},
	} {
		if wanted.name == "" {
			continue
		}
		index := columnIndex(m, header, wanted.name)
		if index < 0 {
			return columnIndexes{}, fmt.Errorf("columns.%s: there is no column %q, but %q", wanted.column, wanted.name, header)
		}
		found.byColumn[wanted.column] = index
		found.highest = max(found.highest, index)
	}
	return found, nil
}

// readHeader returns the names of the columns, or nil if the mapping refers to columns by number.
func readHeader(m Mapping, rows *rowReader) ([]string, error) {
	if !m.Header {
		if rows.empty() {
			return nil, errEmptyTrace
		}
		return nil, nil
	}
	header, err := rows.next()
	if err == io.EOF {
		return nil, errEmptyTrace
	}
	if err != nil {
		return nil, fmt.Errorf("read the header: %w", err)
	}
	return header, nil
}

// columnIndex returns the index of a column, or noColumn. name is a title of the header, where the last
// of several equal titles counts, or without a header the column's number.
func columnIndex(m Mapping, header []string, name string) int {
	if !m.Header {
		number, err := strconv.Atoi(name)
		if err != nil {
			return noColumn
		}
		return number
	}
	index := noColumn
	for i, title := range header {
		if strings.TrimSpace(title) == name {
			index = i
		}
	}
	return index
}
