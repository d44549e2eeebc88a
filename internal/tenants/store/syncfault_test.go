package store

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
)

var errIO = errors.New("input/output error")

// faultyFiles is a file system whose next syncs fail without making anything durable.
type faultyFiles struct {
	*memFiles
	remainingNameSyncFaults int // number of directory syncs that still fail
	remainingFileSyncFaults int // number of file syncs that still fail
}

func (f *faultyFiles) Sync() error {
	if f.remainingNameSyncFaults > 0 {
		f.remainingNameSyncFaults--
		return errIO
	}
	return f.memFiles.Sync()
}

func (f *faultyFiles) Open(name string, readOnly bool) (File, error) {
	file, err := f.memFiles.Open(name, readOnly)
	if err != nil {
		return nil, err
	}
	return &faultyFile{memHandle: file.(*memHandle), files: f}, nil
}

// faultyFile is an open file of faultyFiles.
type faultyFile struct {
	*memHandle
	files *faultyFiles
}

func (f *faultyFile) Same(other File) bool { return f.memHandle.Same(other.(*faultyFile).memHandle) }

func (f *faultyFile) Sync() error {
	if f.files.remainingFileSyncFaults > 0 {
		f.files.remainingFileSyncFaults--
		return errIO
	}
	return f.memHandle.Sync()
}

// The log is compacted, and the directory sync after the rename fails once, so a power failure could
// bring back the old log. Changes that are acknowledged afterwards must survive a power failure
// nevertheless.
func TestDoneChangesSurviveAFailedSyncOfNames(t *testing.T) {
	files := &faultyFiles{memFiles: newMemFiles()}
	s, err := Open(files)
	if err != nil {
		t.Fatal(err)
	}
	for n := range 3 {
		if err := put(s, fmt.Sprint("t-", n), 1); err != nil {
			t.Fatal(err)
		}
	}
	files.remainingNameSyncFaults = 1
	if err := s.Compact(); err == nil {
		t.Error("Compact returns no error although the directory sync failed")
	}
	acknowledged := s.Directory.Revision
	for n := range 3 {
		if err := put(s, fmt.Sprint("u-", n), 1); err == nil {
			acknowledged = s.Directory.Revision
		}
	}
	if acknowledged != s.Directory.Revision || acknowledged < 6 {
		t.Errorf("changes are still rejected after the fault: revision %d", acknowledged)
	}
	after, err := Open(files.afterPowerLoss(0, false))
	if err != nil {
		t.Fatal(err)
	}
	if after.Directory.Revision != acknowledged {
		t.Errorf("acknowledged revision: %d; revision after the power failure: %d", acknowledged, after.Directory.Revision)
	}
}

// A change is written and read by a follower before its sync fails, so it is rejected and the log is
// truncated. The follower must return to the content of the log and continue with later changes.
func TestFollowerWithdrawsWhatIsCutOff(t *testing.T) {
	files := &faultyFiles{memFiles: newMemFiles()}
	s, err := Open(files)
	if err != nil {
		t.Fatal(err)
	}
	if err := put(s, "first", 1); err != nil {
		t.Fatal(err)
	}
	files.lockedByPeer = true
	follower, err := Open(files)
	if err != nil {
		t.Fatal(err)
	}
	log := s.log.file.(*faultyFile)
	before := bytes.Clone(log.content)
	files.remainingFileSyncFaults = 1
	syncCalled := false
	s.log.file = &hookedFile{faultyFile: log, beforeSync: func() {
		syncCalled = true
		if len(log.content) > len(before) {
			if _, err := follower.Follow(); err != nil {
				t.Error(err)
			}
		}
	}}
	if err := put(s, "rejected", 1); err == nil || !syncCalled {
		t.Fatal("the change was accepted although its sync should fail")
	}
	s.log.file = log
	for n := range 2 {
		if err := put(s, fmt.Sprint("later-", n), 1); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := follower.Follow(); err != nil {
		t.Error(err)
	}
	got := directoryText(follower.Directory)
	want := directoryText(s.Directory)
	if got != want {
		t.Errorf("the follower has %s, the log %s", got, want)
	}
}

// hookedFile calls a function between a write and its sync, when another process may read the file.
type hookedFile struct {
	*faultyFile
	beforeSync func()
}

func (h *hookedFile) Sync() error {
	h.beforeSync()
	return h.faultyFile.Sync()
}
