package settings

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// golden compares a text with the recorded one, and returns the recorded one.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	recorded, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(recorded), string(got)); diff != "" {
		t.Errorf("%s (-recorded +written):\n%s", file, diff)
	}
	return recorded
}
