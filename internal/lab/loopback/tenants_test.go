package loopback

import (
	"bytes"
	"context"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"stoatweir/internal/lab/report"
	"stoatweir/internal/lab/scenario"
)

// Two tenants of real programs, through the death of a scheduler and of a worker, one of them at
// ten times its quota with clients that retry at once: the other has nearly what it has alone, each
// invocation ends once, and no rule is broken.
func TestTenantKeepsItsQuotaBesideFlood(t *testing.T) {
	program := build(t)
	tmp := t.TempDir()
	t.Setenv("TMPDIR", tmp)
	play := func(file string) (r report.Report, text string) {
		s, err := scenario.Read(filepath.Join("../../../deploy/lab", file))
		if err != nil {
			t.Fatal(err)
		}
		s.Length = scenario.Span(8 * time.Second)
		r, err = Play(context.Background(), s, nil, program)
		if err != nil {
			t.Fatal(err)
		}
		var b bytes.Buffer
		r.Text(&b)
		if a := r.All; r.Broken() > 0 || a.InTime+a.Late+a.Throttled+a.Errored+a.Unanswered != a.Offered {
			t.Error(b.String())
		}
		return r, b.String()
	}
	alone, _ := play("hosted-alone.toml")
	flood, text := play("hosted-flood.toml")
	share := func(l report.Service) float64 { return float64(l.InTime) / float64(max(1, l.Offered)) }
	calm := share(flood.Tenants[0])
	solo := share(alone.Tenants[0])
	t.Logf("alone %.3f of %d, beside the flood %.3f of %d, the flood %.3f of %d", solo, alone.Tenants[0].Offered,
		calm, flood.Tenants[0].Offered, share(flood.Tenants[1]), flood.Tenants[1].Offered)
	if alone.Void != "" || flood.Void != "" {
		t.Log("this machine could not send the load in time: ", alone.Void, flood.Void) // rules and answers held all the same
	} else if calm < 0.85*solo || solo < 0.8 || // 0.98 alone on the machine, 0.95 beside all other tests; 0.45 without shares
		!strings.HasPrefix(flood.Tenants[0].Name, "calm") {
		t.Error(text)
	}
	checkNothingLeft(t, program, tmp)
}
