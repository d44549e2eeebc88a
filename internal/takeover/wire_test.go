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

// The files testdata/*.golden hold the texts that processes of other builds read and write. Go's names of fields must not move them.

// compareLine holds a text without an end of line to the recorded line, and returns the latter.
func compareLine(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	recorded := golden.Compare(t, name+".golden", append(bytes.Clone(got), '\n'))
	return bytes.TrimSuffix(recorded, []byte("\n"))
}

// roundTrip holds a value's text to the recorded one, and reads the recorded one, as it comes from a process of another build.
func roundTrip[T any](t *testing.T, name string, written T) {
	t.Helper()
	text, err := json.Marshal(written)
	if err != nil {
		t.Fatal(err)
	}
	var read T
	if err := json.Unmarshal(compareLine(t, name, text), &read); err != nil {
		t.Fatal(err)
	}
	// A new field is unset in the recorded text and shows here, a lost one in the text.
	if diff := cmp.Diff(written, read, cmp.AllowUnexported(snapshotPart{}, migratedRequest{}), cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Errorf("read as something else (-written +read):\n%s", diff)
	}
}

// What one process sends to the other, with all fields set and with none, as the later parts of a snapshot nearly are.
func TestEncodedFormsAreAsRecorded(t *testing.T) {
	roundTrip(t, "part", golden.FilledByLeaf[snapshotPart](t))
	roundTrip(t, "part_empty", snapshotPart{})
	roundTrip(t, "legacy", golden.FilledByLeaf[migratedRequest](t))
	roundTrip(t, "legacy_empty", migratedRequest{})
}
