package trace

import (
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
)

// column is a column of a mapping, by its key.
type column string

const (
	columnTime      column = "time"
	columnWork      column = "work"
	columnEnd       column = "end"
	columnOperation column = "operation"
	columnTenant    column = "tenant"
	columnSlots     column = "slots"
)

// noColumn stands for the index of a column that is not there.
const noColumn = -1

// columnIndexes are where the columns of a mapping are in a row. Those that it leaves out are missing.
type columnIndexes struct {
	byColumn map[column]int
	last     int // the highest index
}

// has reports whether the mapping has a column.
func (c columnIndexes) has(col column) bool {
	_, has := c.byColumn[col]
	return has
}

// text is the value of a column.
func (c columnIndexes) text(fields []string, col column) string {
	return strings.TrimSpace(fields[c.byColumn[col]])
}

// number is the value of a column; false: it is no finite number.
func (c columnIndexes) number(fields []string, col column) (float64, bool) {
	v, err := strconv.ParseFloat(c.text(fields, col), 64)
	return v, err == nil && !math.IsNaN(v) && !math.IsInf(v, 0)
}

var errEmptyTrace = errors.New("the trace is empty")

// findColumns reads the header, if there is one, and finds the mapping's columns.
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
		found.last = max(found.last, index)
	}
	return found, nil
}

// readHeader returns the names of the columns; nil: the mapping goes by numbers.
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
		return nil, fmt.Errorf("the header: %w", err)
	}
	return header, nil
}

// columnIndex finds a column by its header, of equal ones the last, or by its number.
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
