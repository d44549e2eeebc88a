package store

import (
	"errors"
	"fmt"
	"testing"
)

var errIO = errors.New("input/output error")

// flaky is a file system whose next syncs fail, of the folder or of files. What was to be synced does not last.
type flaky struct {
	*world
	folder, files int
}

func (f *flaky) Sync() error {
	if f.folder > 0 {
		f.folder--
		return errIO
	}
	return f.world.Sync()
}

func (f *flaky) Open(name string, read bool) (File, error) {
	opened, err := f.world.Open(name, read)
	if err != nil {
		return nil, err
	}
	return &flakyFile{opened.(*handle), f}, nil
}

type flakyFile struct {
	*handle
	on *flaky
}

func (f *flakyFile) Same(other File) bool { return f.handle.Same(other.(*flakyFile).handle) }

func (f *flakyFile) Sync() error {
	if f.on.files > 0 {
		f.on.files--
		return errIO
	}
	return f.handle.Sync()
}

// The log is written anew, and the sync of its folder fails once behind the rename. What is told as done from then on lasts through a loss of
// power all the same.
func TestFolderSyncFails(t *testing.T) {
	f := &flaky{world: newWorld()}
	s, err := Open(f)
	if err != nil {
		t.Fatal(err)
	}
	for n := range 3 {
		if err := put(s, fmt.Sprint("t-", n), 1); err != nil {
			t.Fatal(err)
		}
	}
	f.folder = 1
	if err := s.Compact(); err == nil {
		t.Error("a failed sync is not told")
	}
	done := s.Book.Revision
	for n := range 3 {
		if err := put(s, fmt.Sprint("u-", n), 1); err == nil {
			done = s.Book.Revision
		}
	}
	if done != s.Book.Revision || done < 6 {
		t.Errorf("changes are not taken once the folder is well again: revision %d", done)
	}
	after, err := Open(f.cut(0, false))
	if err != nil {
		t.Fatal(err)
	}
	if after.Book.Revision != done {
		t.Errorf("told as done: %d; after the loss of power: %d", done, after.Book.Revision)
	}
}

// A change is written, read by a follower, and not synced: it is refused and cut off. The follower goes back to what the log has, and on
// with what comes.
func TestFollowerReadsWhatIsCutOff(t *testing.T) {
	f := &flaky{world: newWorld()}
	s, err := Open(f)
	if err != nil {
		t.Fatal(err)
	}
	if err := put(s, "first", 1); err != nil {
		t.Fatal(err)
	}
	f.locks = true
	follower, err := Open(f)
	if err != nil {
		t.Fatal(err)
	}
	log := s.log.(*flakyFile)
	whole := append([]byte(nil), log.now...)
	f.files = 1
	read := false
	s.log = &readMeanwhile{log, func() {
		if read = true; len(log.now) > len(whole) {
			follower.Follow()
		}
	}}
	if err := put(s, "refused", 1); err == nil || !read {
		t.Fatal("the sync does not fail")
	}
	s.log = log
	for n := range 2 {
		if err := put(s, fmt.Sprint("later-", n), 1); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := follower.Follow(); err != nil {
		t.Error(err)
	}
	if got, want := text(follower.Book), text(s.Book); got != want {
		t.Errorf("the follower has %s, the log %s", got, want)
	}
}

// readMeanwhile has somebody read between a write and its sync.
type readMeanwhile struct {
	*flakyFile
	read func()
}

func (r *readMeanwhile) Sync() error {
	r.read()
	return r.flakyFile.Sync()
}
