package store

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"stoatweir/internal/golden"
	"stoatweir/internal/tenants"
)

// The encoding of a record with every field set must be the recorded bytes, and the recorded bytes
// must decode to the same record.
func TestGoldenRecord(t *testing.T) {
	want := golden.Filled[record](t)
	want.Schema = currentSchema
	encoded, err := encodeRecord(want)
	if err != nil {
		t.Fatal(err)
	}
	recorded := golden.Compare(t, "record.log", encoded)
	got, length, err := decodeRecord(recorded)
	if err != nil || length != len(recorded) {
		t.Fatalf("got length %d and error %v, want the length of the recorded bytes and no error", length, err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("decoded record (-want +got):\n%s", diff)
	}
}

// goldenSpec returns a spec with every field set to a valid value.
func goldenSpec(t *testing.T) tenants.Spec {
	t.Helper()
	spec := golden.Filled[tenants.Spec](t)
	spec.Limits.RetryRatio = ptr(0.25)
	spec.Operations = spec.Operations[:1]
	operation := &spec.Operations[0]
	operation.Name = "render"
	operation.Effect = tenants.Deduplicated
	operation.DedupScope = "cell"
	operation.LateBilledValue = 0.5
	return spec
}

// appendEveryKindOfChange appends each kind of change at least once and returns the changes.
func appendEveryKindOfChange(t *testing.T, s *Store) []tenants.Change {
	t.Helper()
	var all []tenants.Change
	appendChange := func(c tenants.Change, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Append(c); err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
	}
	putSpec := func(name string, spec tenants.Spec, mark string) {
		t.Helper()
		c, _, err := s.Directory.Put("ops", name, spec, tenants.Precondition{}, noon, mark)
		appendChange(c, err)
	}
	setState := func(state tenants.State) {
		t.Helper()
		c, _, err := s.Directory.SetState("ops", "one", state, tenants.Precondition{}, noon)
		appendChange(c, err)
	}
	later := goldenSpec(t)
	later.Weight = 7
	credential := tenants.Credential{ID: "key", Hash: tenants.HashSecret("secret"), Expires: noon.Add(time.Hour)}

	putSpec("one", goldenSpec(t), "-mark")
	putSpec("one", later, "-mark")
	appendChange(s.Directory.Grant("ops", "one", credential, noon))
	setState(tenants.Suspended)
	setState(tenants.Active)
	appendChange(s.Directory.Revoke("ops", "one", "key", noon))
	putSpec("two", goldenSpec(t), "-other")
	appendChange(s.Directory.Remove("ops", "two", tenants.Precondition{}, noon))
	appendChange(s.Directory.Grant("ops", "one", credential, noon))
	return all
}

// openRecorded opens a store whose log consists of recorded bytes.
func openRecorded(t *testing.T, recorded []byte) *Store {
	t.Helper()
	files := newMemFiles()
	log := &memFile{content: bytes.Clone(recorded), durable: bytes.Clone(recorded)}
	files.names[logFileName] = log
	files.durableNames[logFileName] = log
	s, err := Open(files)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// A log with each kind of change, and the snapshot that it is compacted to, must be the recorded
// bytes on disk. The recorded bytes must read back as the same directory and audit, where a nil list
// equals an empty one because it is written as such.
func TestGoldenLog(t *testing.T) {
	files := newMemFiles()
	s, err := Open(files)
	if err != nil {
		t.Fatal(err)
	}
	all := appendEveryKindOfChange(t, s)
	log := golden.Compare(t, "changes.log", files.names[logFileName].content)
	if err := s.Compact(); err != nil {
		t.Fatal(err)
	}
	compacted := golden.Compare(t, "snapshot.log", files.names[logFileName].content)
	for _, recorded := range [][]byte{log, compacted} {
		got := openRecorded(t, recorded).Directory
		if diff := cmp.Diff(all, got.Audit(0), cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("audit (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(s.Directory.All(), got.All(), cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("tenants (-want +got):\n%s", diff)
		}
		if got.Revision != s.Directory.Revision || got.Revision != 9 {
			t.Errorf("got revision %d, want 9 as in the store that wrote the log", got.Revision)
		}
	}
}
