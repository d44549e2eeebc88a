package store

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-json-experiment/json"

	"stoatweir/internal/tenants"
)

var noon = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

func ptr[T any](v T) *T { return &v }

func newSpec(weight float64) tenants.Spec {
	return tenants.Spec{Weight: weight, Operations: []tenants.Operation{{
		Name:                    "render",
		Effect:                  tenants.Idempotent,
		LatencyObjectiveSeconds: 1,
		ClientTimeoutSeconds:    2,
		BilledValue:             1,
	}}}
}

// directoryText returns a directory's tenants as text, so that directories can be compared.
func directoryText(d *tenants.Directory) string {
	text, err := json.Marshal(d.All())
	if err != nil {
		panic(err)
	}
	return string(text)
}

// put creates or changes a tenant.
func put(s *Store, name string, weight float64) error {
	c, _, err := s.Directory.Put("ops", name, newSpec(weight), tenants.Precondition{}, noon, "")
	if err != nil {
		return err
	}
	return s.Append(c)
}

// writeChanges makes nine changes with a compaction after the fifth, and stops at the first error. It
// returns the last acknowledged revision and, unless textByRevision is nil, stores the text of the
// directory after each change there.
func writeChanges(files Files, textByRevision map[uint64]string) (acknowledged uint64) {
	s, err := Open(files)
	if err != nil {
		return 0
	}
	for n := range 9 {
		if n == 6 {
			c, _ := s.Directory.Remove("ops", "t1", tenants.Precondition{}, noon)
			err = s.Append(c)
		} else {
			err = put(s, fmt.Sprint("t", n%3), float64(n+1))
		}
		if err != nil {
			return acknowledged
		}
		acknowledged = s.Directory.Revision
		if textByRevision != nil {
			textByRevision[acknowledged] = directoryText(s.Directory)
		}
		if n == 4 && s.Compact() != nil {
			return acknowledged
		}
	}
	return acknowledged
}

// The writer is killed at each step that changes the disk. Of the bytes that were not synced, all,
// some or none survive, and the unsynced directory entries survive or not. Whatever was acknowledged
// must still be there, and the store must accept changes again.
func TestAcknowledgedChangesSurviveAKillAtAnyStep(t *testing.T) {
	textByRevision := map[uint64]string{0: directoryText(tenants.NewDirectory())}
	uninterrupted := newMemFiles()
	if acknowledged := writeChanges(uninterrupted, textByRevision); acknowledged != 9 {
		t.Fatalf("got acknowledged revision %d, want 9", acknowledged)
	}
	kills := 0
	for step := 1; step <= uninterrupted.steps; step++ {
		for _, unsyncedFraction := range []float64{0, 0.5, 0.99, 1} {
			for _, keepUnsyncedNames := range []bool{false, true} {
				files := newMemFiles()
				files.killAtStep = step
				acknowledged := writeChanges(files, nil)
				after := files.afterPowerLoss(unsyncedFraction, keepUnsyncedNames)
				s, err := Open(after)
				if err != nil {
					t.Fatalf("killed at step %d, unsynced part %v, names %v: the store can't be opened: %v",
						step, unsyncedFraction, keepUnsyncedNames, err)
				}
				got := s.Directory.Revision
				if got < acknowledged || got > acknowledged+1 || directoryText(s.Directory) != textByRevision[got] {
					t.Fatalf("killed at step %d, unsynced part %v, names %v: got revision %d, acknowledged %d: %v",
						step, unsyncedFraction, keepUnsyncedNames, got, acknowledged, s.Directory.All())
				}
				if err := put(s, "later", 3); err != nil {
					t.Fatalf("killed at step %d, unsynced part %v: a later change fails: %v", step, unsyncedFraction, err)
				}
				s.Close()
				s, err = Open(after)
				if err != nil || s.Directory.Revision != got+1 {
					t.Fatalf("killed at step %d, unsynced part %v: got error %v on opening again, want none and the later change",
						step, unsyncedFraction, err)
				}
				kills++
			}
		}
	}
	t.Log(uninterrupted.steps, "steps,", kills, "kills")
}

func TestFullDiskRejectsChangesUntilThereIsSpace(t *testing.T) {
	files := newMemFiles()
	s, err := Open(files)
	if err != nil {
		t.Fatal(err)
	}
	if err := put(s, "a", 1); err != nil {
		t.Fatal(err)
	}
	files.isFull = true
	for range 2 {
		err := put(s, "b", 1)
		if !errors.Is(err, ErrReadOnly) || !strings.Contains(err.Error(), "no space left") {
			t.Error(err)
		}
	}
	if len(s.Directory.All()) != 1 {
		t.Errorf("got tenants %+v, want one", s.Directory.All())
	}
	files.isFull = false
	if err := put(s, "b", 1); err != nil || s.Directory.Revision != 2 {
		t.Error(err)
	}
	s.Close()
	s, err = Open(files)
	if err != nil || len(s.Directory.All()) != 2 {
		t.Error(err)
	}
}

// Damage other than a partly written last record must be reported and never skipped, because
// acknowledged records may follow it. Two kinds of tail are accepted: zeros, which a power failure
// can leave, and a repetition of the whole log, which begins with a snapshot.
func TestDamageIsReported(t *testing.T) {
	newLog := func() (*memFiles, *memFile) {
		files := newMemFiles()
		writeChanges(files, nil)
		return files, files.names[logFileName]
	}
	files, log := newLog()
	log.content[len(log.content)/2] ^= 1
	_, err := Open(files)
	if !errors.Is(err, ErrCorrupt) || !strings.Contains(err.Error(), "at byte") {
		t.Error("a flipped bit in the middle is not reported as damage: ", err)
	}
	files, log = newLog()
	log.content = append(log.content, make([]byte, 512)...)
	s, err := Open(files)
	if err != nil || s.Directory.Revision != 9 {
		t.Error("zeros after the end, as a power failure can leave them, are not accepted: ", err)
	}
	files, log = newLog()
	log.content = append(log.content, log.content...)
	s, err = Open(files)
	if err != nil || s.Directory.Revision != 9 {
		t.Error("a repeated log, which begins with a snapshot, is not accepted: ", err)
	}
	files, log = newLog()
	lastRecord := strings.LastIndex(strings.TrimSpace(string(log.content)), "\n") + 1
	log.content = append(log.content, log.content[lastRecord:]...)
	_, err = Open(files)
	if !errors.Is(err, ErrCorrupt) || !strings.Contains(err.Error(), "does not follow") {
		t.Error("a repeated record is not reported as damage: ", err)
	}
}
