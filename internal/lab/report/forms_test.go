package report

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"stoatweir/internal/golden"
	"stoatweir/internal/lab/model"
)

// A report with every field set is the same to the byte, and the recorded one is read back whole.
func TestGoldenReport(t *testing.T) {
	r := golden.Filled[Report](t)
	r.ViolationCounts = map[string]int{}
	for n, rule := range []model.Rule{model.OneAnswer, model.OneEffect, model.NoSendToDraining, model.NoOverload} {
		r.ViolationCounts[rule.String()] = n + 1
	}
	var text, trace bytes.Buffer
	if err := r.JSON(&text); err != nil {
		t.Fatal(err)
	}
	var got Report
	if err := json.Unmarshal(golden.Compare(t, "report.json", text.Bytes()), &got); err != nil {
		t.Fatal(err)
	}
	// Raw JSON is indented with all the rest.
	if err := json.Compact(&trace, got.Trace); err != nil {
		t.Fatal(err)
	}
	got.Trace = trace.Bytes()
	if diff := cmp.Diff(r, got); diff != "" {
		t.Error(diff)
	}
}

// What may be left out is left out.
func TestGoldenEmptyReport(t *testing.T) {
	var text bytes.Buffer
	if err := (Report{}).JSON(&text); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "empty.json", text.Bytes())
}
