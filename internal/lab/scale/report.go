package scale

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"slices"
)

// Report is the result of a sweep: one step for each value of its key.
type Report struct {
	Name    string `json:"name"`
	Key     string `json:"key"`
	Program string `json:"program"`
	Command string `json:"command"`
	Steps   []Step `json:"steps"`
}

// Add adds a step, or replaces the one of the same value. Steps stay sorted by value.
func (r *Report) Add(added Step) {
	r.Steps = slices.DeleteFunc(r.Steps, func(s Step) bool { return s.Value == added.Value })
	r.Steps = append(r.Steps, added)
	slices.SortFunc(r.Steps, func(a, b Step) int { return cmp.Compare(a.Value, b.Value) })
}

// ReadReport reads a report that WriteJSON has written to a file. It returns an empty report if there is
// no such file.
func ReadReport(file string) (r Report, err error) {
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return r, nil
	}
	if err != nil {
		return r, fmt.Errorf("%s: %w", file, err)
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return r, fmt.Errorf("%s: %w", file, err)
	}
	return r, nil
}

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(r)
}
