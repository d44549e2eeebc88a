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

// A record with every field set is the same to the byte, and the recorded one is read back whole.
func TestGoldenRecord(t *testing.T) {
	wanted := golden.Filled[record](t)
	wanted.Schema = schema
	b, err := encode(wanted)
	if err != nil {
		t.Fatal(err)
	}
	recorded := golden.Compare(t, "record.log", b)
	got, size, err := next(recorded)
	if err != nil || size != len(recorded) {
		t.Fatal(size, err)
	}
	if diff := cmp.Diff(wanted, got); diff != "" {
		t.Error(diff)
	}
}

// changes makes each kind of change once.
func changes(t *testing.T, s *Store) (all []tenants.Change) {
	t.Helper()
	b, spec := s.Book, golden.Filled[tenants.Spec](t)
	spec.Operations = spec.Operations[:1]
	spec.Operations[0].Name, spec.Operations[0].Effect, spec.Operations[0].DedupScope = "render", tenants.Deduplicated, "cell"
	spec.Operations[0].LateBilledValue, spec.Limits.RetryRatio = 0.5, ptr(0.25)
	later := spec
	later.Weight = 7
	key := tenants.Credential{ID: "key", Hash: tenants.HashOf("secret"), Expires: noon.Add(time.Hour)}
	for _, step := range []func() (tenants.Change, error){
		func() (tenants.Change, error) {
			c, _, err := b.Put("ops", "one", spec, tenants.Match{}, noon, "-mark")
			return c, err
		},
		func() (tenants.Change, error) {
			c, _, err := b.Put("ops", "one", later, tenants.Match{}, noon, "-mark")
			return c, err
		},
		func() (tenants.Change, error) { return b.Grant("ops", "one", key, noon) },
		func() (tenants.Change, error) {
			c, _, err := b.SetState("ops", "one", tenants.Suspended, tenants.Match{}, noon)
			return c, err
		},
		func() (tenants.Change, error) {
			c, _, err := b.SetState("ops", "one", tenants.Active, tenants.Match{}, noon)
			return c, err
		},
		func() (tenants.Change, error) { return b.Revoke("ops", "one", "key", noon) },
		func() (tenants.Change, error) {
			c, _, err := b.Put("ops", "two", spec, tenants.Match{}, noon, "-other")
			return c, err
		},
		func() (tenants.Change, error) { return b.Remove("ops", "two", tenants.Match{}, noon) },
		func() (tenants.Change, error) { return b.Grant("ops", "one", key, noon) },
	} {
		c, err := step()
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Append(c); err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
	}
	return all
}

// opened is a store on recorded bytes.
func opened(t *testing.T, recorded []byte) *Store {
	t.Helper()
	w, n := newWorld(), &node{now: bytes.Clone(recorded), lasts: bytes.Clone(recorded)}
	w.names[logName], w.kept[logName] = n, n
	s, err := Open(w)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// A log with each kind of change, and the snapshot that it is compacted to, are the same to the byte on disk, and the recorded
// ones are read back with all that they hold; no list is written as an empty one.
func TestGoldenLog(t *testing.T) {
	w := newWorld()
	s, err := Open(w)
	if err != nil {
		t.Fatal(err)
	}
	all := changes(t, s)
	log := golden.Compare(t, "changes.log", w.names[logName].now)
	if err := s.Compact(); err != nil {
		t.Fatal(err)
	}
	compacted := golden.Compare(t, "snapshot.log", w.names[logName].now)
	for _, recorded := range [][]byte{log, compacted} {
		got := opened(t, recorded).Book
		if diff := cmp.Diff(all, got.Audit(0), cmpopts.EquateEmpty()); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(s.Book.All(), got.All(), cmpopts.EquateEmpty()); diff != "" || got.Revision != s.Book.Revision || got.Revision != 9 {
			t.Error(diff, got.Revision)
		}
	}
}
