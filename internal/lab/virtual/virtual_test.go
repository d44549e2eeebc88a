package virtual

import (
	"bytes"
	"context"
	"os"
	"testing"

	"stoatweir/internal/lab/report"
	"stoatweir/internal/lab/scenario"
)

func playText(t *testing.T, s scenario.Scenario, maker Maker) (report.Report, string) {
	t.Helper()
	d := New(s, maker)
	if err := d.Play(context.Background(), nil); err != nil {
		t.Fatal(err)
	}
	r := report.Of(d.World).Name(s.Name, "virtual", "module", s.Seed, s.Schedulers.Count, len(d.World.Fleet.Machines), s.Length.D())
	var b bytes.Buffer
	r.Text(&b)
	return r, b.String()
}

func TestLook(t *testing.T) {
	s, err := scenario.Read("../../../deploy/lab/hang.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, text := playText(t, s, Module)
	os.Stdout.WriteString(text)
}
