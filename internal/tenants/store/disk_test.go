package store

import (
	"errors"
	"testing"
)

// Two stores share a directory on disk, as two processes would: only the first can write, and the
// second follows it through a compaction and takes over when the first is closed.
func TestDiskHasOneWriterAndAFollower(t *testing.T) {
	dir := t.TempDir()
	writer, err := Open(&Disk{Dir: dir})
	if err != nil {
		t.Fatal(err)
	}
	writeTenant := func(s *Store, name string) {
		t.Helper()
		if err := put(s, name, 1); err != nil {
			t.Fatal(err)
		}
	}
	writeTenant(writer, "a")
	follower, err := Open(&Disk{Dir: dir})
	if err != nil || follower.Writes() || len(follower.Directory.All()) != 1 {
		t.Fatal(err)
	}
	writeTenant(writer, "b")
	if err := writer.Compact(); err != nil {
		t.Fatal(err)
	}
	writeTenant(writer, "c")
	changed, err := follower.Follow()
	if !changed || err != nil || len(follower.Directory.All()) != 3 {
		t.Errorf("got changed %v and error %v, want a change to three tenants and no error", changed, err)
	}
	writer.Close()
	if _, err := follower.Follow(); err != nil || !follower.Writes() {
		t.Fatal(err)
	}
	writeTenant(follower, "d")
	follower.Close()
}

func TestMissingDirectoryIsReadOnly(t *testing.T) {
	s, err := Open(&Disk{Dir: t.TempDir() + "/missing"})
	if err != nil || !errors.Is(s.WriteError, ErrReadOnly) {
		t.Error(err)
	}
}
