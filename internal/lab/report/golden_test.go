package report

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"stoatweir/internal/golden"
	"stoatweir/internal/lab/model"
)

// The JSON of a report with every field set equals the golden file byte for byte, and reading the golden
// file restores the report.
func TestGoldenReport(t *testing.T) {
	r := golden.Filled[Report](t)
	r.ViolationCounts = map[string]int{}
	for n, rule := range []model.Rule{model.OneAnswer, model.OneEffect, model.NoSendToDraining, model.NoOverload} {
		r.ViolationCounts[rule.String()] = n + 1
	}
	var encoded, trace bytes.Buffer
	if err := r.JSON(&encoded); err != nil {
		t.Fatal(err)
	}
	var got Report
	if err := json.Unmarshal(golden.Compare(t, "report.json", encoded.Bytes()), &got); err != nil {
		t.Fatal(err)
	}
	// The encoder has indented the raw JSON of Trace too.
	if err := json.Compact(&trace, got.Trace); err != nil {
		t.Fatal(err)
	}
	got.Trace = trace.Bytes()
	if diff := cmp.Diff(r, got); diff != "" {
		t.Errorf("decoded report (-want +got):\n%s", diff)
	}
}

// The JSON of an empty report leaves out all optional fields.
func TestGoldenEmptyReport(t *testing.T) {
	var encoded bytes.Buffer
	if err := (Report{}).JSON(&encoded); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "empty.json", encoded.Bytes())
}
