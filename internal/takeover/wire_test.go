package takeover

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"stoatweir/internal/golden"
)

// The files testdata/*.golden hold the JSON that processes of other builds read and write. Renaming a Go
// field must not change it.

// compareGoldenLine compares a text without a trailing newline with the golden file, and returns the
// golden text, also without a trailing newline.
func compareGoldenLine(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	goldenText := golden.Compare(t, name+".golden", append(bytes.Clone(got), '\n'))
	return bytes.TrimSuffix(goldenText, []byte("\n"))
}

// checkGoldenRoundTrip checks that a value is encoded as in the golden file, and that the golden text, as
// a process of another build would send it, decodes to the same value.
func checkGoldenRoundTrip[T any](t *testing.T, name string, written T) {
	t.Helper()
	encoded, err := json.Marshal(written)
	if err != nil {
		t.Fatal(err)
	}
	var read T
	if err := json.Unmarshal(compareGoldenLine(t, name, encoded), &read); err != nil {
		t.Fatal(err)
	}
	// A field that is missing from the golden text shows here; one that is no longer encoded shows in
	// the comparison of the texts.
	if diff := cmp.Diff(written, read, cmp.AllowUnexported(snapshotPart{}, migratedRequest{}),
		cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Errorf("golden text decodes to another value (-written +read):\n%s", diff)
	}
}

// The encodings of a snapshot part and of a migrated request stay as recorded, both with all fields set
// and with none. Parts of a snapshot after the first leave some fields unset.
func TestEncodedFormsMatchGolden(t *testing.T) {
	checkGoldenRoundTrip(t, "part", golden.FilledByLeaf[snapshotPart](t))
	checkGoldenRoundTrip(t, "part_empty", snapshotPart{})
	checkGoldenRoundTrip(t, "legacy", golden.FilledByLeaf[migratedRequest](t))
	checkGoldenRoundTrip(t, "legacy_empty", migratedRequest{})
}
