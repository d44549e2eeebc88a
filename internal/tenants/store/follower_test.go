package store

import (
	"bytes"
	"errors"
	"testing"
)

// A follower reads what another process writes, also after a compaction and while a record is only
// partly written. It keeps its directory while the log can't be read, and takes over when the writer
// has ended.
func TestFollowerAppliesChangesAndTakesOver(t *testing.T) {
	files := newMemFiles()
	writer, err := Open(files)
	if err != nil {
		t.Fatal(err)
	}
	writeTenant := func(name string) {
		t.Helper()
		if err := put(writer, name, 1); err != nil {
			t.Fatal(err)
		}
	}
	writeTenant("a")
	follower, err := Open(files)
	if err != nil || follower.Writes() || follower.Directory.Revision != 1 {
		t.Fatal(err)
	}
	if err := put(follower, "b", 1); !errors.Is(err, ErrNotWriter) {
		t.Fatal(err)
	}
	follow := func(wantChanged bool, wantRevision uint64, wantErr error) {
		t.Helper()
		changed, err := follower.Follow()
		if changed != wantChanged || !errors.Is(err, wantErr) || follower.Directory.Revision != wantRevision {
			t.Errorf("got changed %v, error %v and revision %d, want %v, %v and %d",
				changed, err, follower.Directory.Revision, wantChanged, wantErr, wantRevision)
		}
	}
	follow(false, 1, nil)
	writeTenant("b")
	follow(true, 2, nil)
	if err := writer.Compact(); err != nil {
		t.Fatal(err)
	}
	writeTenant("c")
	follow(true, 3, nil)
	log := files.names[logFileName]
	undamaged := bytes.Clone(log.content)
	log.content = append(log.content, "0000"...)
	follow(false, 3, nil)
	log.content = append(bytes.Clone(undamaged), "nonsense that is longer than a head\n{}\n{}"...)
	follow(false, 3, ErrCorrupt)
	log.content = undamaged
	writeTenant("d")
	follow(true, 4, nil)
	writer.Close()
	follow(false, 4, nil)
	if !follower.Writes() {
		t.Error("the follower did not become the writer after the writer was closed")
	}
	if err := put(follower, "e", 1); err != nil {
		t.Error(err)
	}
}
