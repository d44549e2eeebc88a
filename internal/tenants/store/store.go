// Package store keeps the book of tenants on disk: an append-only log with a checksum a record, one writer, many readers.
package store

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"strconv"

	"github.com/go-json-experiment/json"

	"stoatweir/internal/tenants"
)

const (
	logName, freshName, lockName = "tenants.log", "tenants.log.new", "tenants.lock"
	// compactAfter so many changes since the last snapshot, all is written anew.
	compactAfter = 4096
	// recordMost is more than the largest snapshot needs; a length beyond it is no length.
	recordMost = 256 << 20
	headLen    = 8 + 1 + 8 + 1 // checksum, blank, length, blank, in hexadecimal digits
)

// schema is the form of the records that are written, and migrations turn the text of an earlier one into that of the next.
// There has been one form so far; tests have others.
var (
	schema     = 1
	migrations = map[int]func([]byte) ([]byte, error){}
)

// Errors of a store.
var (
	ErrReadOnly = errors.New("the store can't be written to")
	ErrFollows  = errors.New("another process writes to the store")
	ErrCorrupt  = errors.New("the store is damaged")
	ErrNewer    = errors.New("the store was written by a newer version")
)

// Files is what a store needs of a file system; tests have one that fails at any step.
type Files interface {
	// Open gives a file for reading and, unless read is set, for appending; it is made if it is not there.
	Open(name string, read bool) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// Lock takes the name for this process until Unlock; ErrFollows: another one has it.
	Lock(name string) error
	Unlock(name string)
	// Sync makes names last.
	Sync() error
}

// File is an open file.
type File interface {
	io.ReaderAt
	io.Writer
	Truncate(size int64) error
	Sync() error
	Size() (int64, error)
	Close() error
}

// record is what stands in the log; the first one of a log is a snapshot.
type record struct {
	Schema   int               `json:"schema,omitzero"`
	Snapshot *tenants.Snapshot `json:"snapshot,omitzero"`
	Change   *tenants.Change   `json:"change,omitzero"`
}

var table = crc32.MakeTable(crc32.Castagnoli)

func encode(r record) ([]byte, error) {
	text, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	text = append(text, '\n')
	return append(fmt.Appendf(nil, "%08x %08x ", crc32.Checksum(text, table), len(text)), text...), nil
}

// next reads the record at the beginning of b. None is there yet if size is 0.
func next(b []byte) (r record, size int, err error) {
	if len(b) < headLen {
		return r, 0, nil
	}
	sum, err1 := strconv.ParseUint(string(b[:8]), 16, 32)
	length, err2 := strconv.ParseUint(string(b[9:17]), 16, 32)
	if err1 != nil || err2 != nil || b[8] != ' ' || b[17] != ' ' || length > recordMost {
		return r, 0, fmt.Errorf("%w: no head of a record", ErrCorrupt)
	}
	size = headLen + int(length)
	if len(b) < size {
		return r, 0, nil
	}
	text := b[headLen:size]
	if crc32.Checksum(text, table) != uint32(sum) {
		return r, size, fmt.Errorf("%w: a checksum does not hold", ErrCorrupt)
	}
	if r, err = read(text); err != nil {
		return r, size, err
	}
	return r, size, nil
}

// read takes a record of this schema or an earlier one.
func read(text []byte) (r record, err error) {
	var form struct {
		Schema int `json:"schema"`
	}
	if err := json.Unmarshal(text, &form); err != nil {
		return r, fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	if form.Schema > schema {
		return r, fmt.Errorf("%w: schema %d, this one knows %d", ErrNewer, form.Schema, schema)
	}
	for from := max(1, form.Schema); from < schema; from++ {
		step := migrations[from]
		if step == nil {
			return r, fmt.Errorf("%w: no way from schema %d", ErrCorrupt, from)
		}
		if text, err = step(text); err != nil {
			return r, fmt.Errorf("%w: schema %d: %v", ErrCorrupt, from, err)
		}
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return r, fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	return r, nil
}

// Store is the log, with the book that it gives.
type Store struct {
	Book   *tenants.Directory
	Failed error // why nothing can be written; nil: it can
	files  Files
	log    File
	end    int64 // of what is whole
	since  int   // changes after the snapshot
	last   span  // the last record that was read or written
	writes bool
	// What has been done to the disk and may not last: the names of files, and the end of the log behind a change that was refused.
	namesUnsynced, endUnsynced bool
}

// span is a run of bytes of the log, with their checksum.
type span struct {
	from, to int64
	sum      uint32
}

// stands tells whether the bytes are there still, and the same.
func (s span) stands(log File) bool {
	b := make([]byte, s.to-s.from)
	n, err := log.ReadAt(b, s.from)
	return n == len(b) && (err == nil || errors.Is(err, io.EOF)) && crc32.Checksum(b, table) == s.sum
}

// Open reads the store. Where another process writes, or nothing can be written, this one follows: Failed says why.
func Open(files Files) (*Store, error) {
	s := &Store{Book: tenants.NewDirectory(), files: files}
	switch err := files.Lock(lockName); {
	case err == nil:
		s.writes = true
		files.Remove(freshName) // left by one that ended between two steps
	default:
		s.Failed = err
	}
	if err := s.load(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Store) load() error {
	log, err := s.files.Open(logName, !s.writes)
	if errors.Is(err, fs.ErrNotExist) && !s.writes {
		return nil // whoever writes has not begun
	}
	if err != nil && s.writes { // a read-only disk still has what was there
		s.Failed, s.writes = fmt.Errorf("%w: %v", ErrReadOnly, err), false
		s.files.Unlock(lockName)
		if log, err = s.files.Open(logName, true); errors.Is(err, fs.ErrNotExist) {
			return nil
		}
	}
	if err != nil {
		return err
	}
	s.begin(log)
	if _, err = s.catchUp(); err != nil {
		return err
	}
	if !s.writes {
		return nil
	}
	// What is behind the last whole record was being written when its writer ended, and was never told to anybody.
	size, err := log.Size()
	if err == nil && size > s.end {
		err = log.Truncate(s.end)
	}
	if err == nil && s.end == 0 {
		s.namesUnsynced = true
		if err = s.append(record{Schema: schema, Snapshot: ptr(s.Book.Snapshot())}); err == nil {
			err = s.syncNames()
		}
	}
	if err != nil {
		s.Failed = fmt.Errorf("%w: %v", ErrReadOnly, err)
	}
	return nil
}

// begin forgets what was read: all of a log is to be read.
func (s *Store) begin(log File) {
	s.log, s.end, s.since, s.last, s.Book = log, 0, 0, span{}, tenants.NewDirectory()
}

func ptr[T any](v T) *T { return &v }

// catchUp reads what the log has beyond what is known, and tells whether that was anything.
func (s *Store) catchUp() (news bool, err error) {
	size, err := s.log.Size()
	if err != nil || size == s.end {
		return false, err
	}
	if size < s.end {
		return false, fmt.Errorf("%w: it has become shorter", ErrCorrupt)
	}
	b := make([]byte, size-s.end)
	n, err := s.log.ReadAt(b, s.end)
	if err != nil && !errors.Is(err, io.EOF) {
		return false, err
	}
	for b = b[:n]; ; {
		r, used, err := next(b)
		if err != nil && !errors.Is(err, ErrNewer) && (used == len(b) || len(bytes.Trim(b, "\x00")) == 0) {
			return news, nil // the last one: its length came to the disk and its text did not yet, or never will
		}
		if err != nil {
			// Bytes behind it may be records that were told as done: to cut them off would undo them in silence.
			return news, fmt.Errorf("%w, at byte %d", err, s.end)
		}
		if used == 0 {
			if torn(b) {
				return news, nil
			}
			return news, fmt.Errorf("%w: a record is longer than what follows, at byte %d", ErrCorrupt, s.end)
		}
		switch {
		case r.Snapshot != nil:
			s.Book, s.since = tenants.Restore(*r.Snapshot), 0
		case r.Change != nil:
			if err := s.Book.Apply(*r.Change); err != nil {
				return news, fmt.Errorf("%w: %v, at byte %d", ErrCorrupt, err, s.end)
			}
			s.since++
		}
		news = true
		s.last = span{s.end, s.end + int64(used), crc32.Checksum(b[:used], table)}
		s.end += int64(used)
		b = b[used:]
	}
}

// torn tells whether what is left can be the beginning of one record: no other begins in it.
func torn(b []byte) bool {
	at := bytes.IndexByte(b, '\n')
	return at < 0 || at == len(b)-1
}

// Append makes a change last, then has the book take it over. Where it can't, nothing has changed.
func (s *Store) Append(c tenants.Change) error {
	if s.Failed != nil {
		s.mend()
	}
	if s.Failed != nil {
		return s.Failed
	}
	if c.Revision != s.Book.Revision+1 {
		return fmt.Errorf("revision %d does not follow %d", c.Revision, s.Book.Revision)
	}
	if err := s.append(record{Schema: schema, Change: &c}); err != nil {
		s.Failed = fmt.Errorf("%w: %v", ErrReadOnly, err)
		return s.Failed
	}
	s.Book.Apply(c)
	if s.since++; s.since >= compactAfter {
		s.Compact() // a failure leaves a log that is whole, and its name
	}
	return nil
}

func (s *Store) append(r record) error {
	b, err := encode(r)
	if err != nil {
		return err
	}
	if _, err = s.log.Write(b); err == nil {
		err = s.log.Sync()
	}
	if err != nil {
		// What may stand there now was never told as done. Were it left, the next record would follow a torn one.
		s.endUnsynced = true
		s.cutEnd()
		return err
	}
	s.last = span{s.end, s.end + int64(len(b)), crc32.Checksum(b, table)}
	s.end = s.last.to
	return nil
}

// cutEnd cuts off what stands behind the last whole record, and has that last: refused is refused, also after a loss of power.
func (s *Store) cutEnd() error {
	if err := s.log.Truncate(s.end); err != nil {
		return err
	}
	if err := s.log.Sync(); err != nil {
		return err
	}
	s.endUnsynced = false
	return nil
}

// syncNames has the names of files last as they are.
func (s *Store) syncNames() error {
	if err := s.files.Sync(); err != nil {
		return err
	}
	s.namesUnsynced = false
	return nil
}

// mend finds out whether the disk can be written to again. It begins with the log as it is: what could not be cut off may
// stand there.
func (s *Store) mend() {
	if !s.writes {
		return
	}
	size, err := s.log.Size()
	if err == nil && (size != s.end || s.endUnsynced) {
		err = s.cutEnd()
	}
	if err == nil && s.namesUnsynced {
		err = s.syncNames()
	}
	if err == nil && s.end == 0 {
		err = s.append(record{Schema: schema, Snapshot: ptr(s.Book.Snapshot())})
	}
	if err == nil {
		s.Failed = nil
	}
}

// Compact writes the log anew with one snapshot. At any moment the name stands for a whole log.
func (s *Store) Compact() error {
	b, err := encode(record{Schema: schema, Snapshot: ptr(s.Book.Snapshot())})
	if err != nil {
		return err
	}
	s.files.Remove(freshName)
	fresh, err := s.files.Open(freshName, false)
	if err != nil {
		return err
	}
	if _, err = fresh.Write(b); err == nil {
		err = fresh.Sync()
	}
	if err == nil {
		err = s.files.Rename(freshName, logName)
	}
	if err != nil {
		fresh.Close()
		s.files.Remove(freshName)
		return err
	}
	s.log.Close()
	s.log, s.end, s.since, s.last = fresh, int64(len(b)), 0, span{0, int64(len(b)), crc32.Checksum(b, table)}
	// After a loss of power the name may stand for the old log: until that can't be, nothing more is told as done.
	s.namesUnsynced = true
	if err = s.syncNames(); err != nil {
		s.Failed = fmt.Errorf("%w: %v", ErrReadOnly, err)
	}
	return err
}

// Follow takes over what the writer has published since. A log that was written anew is read from its beginning, and so is one whose last record
// as we have it is no longer there: its writer could not make it last, and has refused it.
func (s *Store) Follow() (news bool, err error) {
	if s.writes {
		return false, nil
	}
	before := s.Book.Revision
	if s.files.Lock(lockName) == nil { // whoever wrote has ended
		return s.succeed()
	}
	log, err := s.files.Open(logName, true)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	old, end, since, last, book := s.log, s.end, s.since, s.last, s.Book
	same, cut := false, false
	if old != nil {
		if o, is := old.(interface{ Same(File) bool }); is {
			same = o.Same(log)
		}
	}
	if cut = same && !s.last.stands(log); cut {
		before-- // the one that was refused
	}
	if s.log = log; !same || cut {
		s.begin(log)
	}
	if _, err = s.catchUp(); err == nil && s.Book.Revision < before {
		err = fmt.Errorf("%w: revision %d after %d", ErrCorrupt, s.Book.Revision, before)
	}
	if err != nil { // the last good state goes on
		log.Close()
		s.log, s.end, s.since, s.last, s.Book = old, end, since, last, book
		return false, err
	}
	if old != nil {
		old.Close()
	}
	return cut || s.Book.Revision != before, nil
}

// succeed makes this process the one that writes. Where the log can't be read the lock goes back.
func (s *Store) succeed() (news bool, err error) {
	log, end, since, last, book, failed := s.log, s.end, s.since, s.last, s.Book, s.Failed
	s.log, s.writes, s.Failed = nil, true, nil
	if err = s.load(); err == nil && s.Book.Revision < book.Revision {
		err = fmt.Errorf("%w: revision %d after %d", ErrCorrupt, s.Book.Revision, book.Revision)
	}
	if err != nil {
		if s.log != nil {
			s.log.Close()
		}
		s.files.Unlock(lockName)
		s.log, s.end, s.since, s.last, s.Book, s.Failed, s.writes = log, end, since, last, book, failed, false
		return false, err
	}
	if log != nil {
		log.Close()
	}
	return s.Book.Revision != book.Revision, nil
}

// Writes tells whether this process is the one that writes.
func (s *Store) Writes() bool { return s.writes }

// Close lets the store go.
func (s *Store) Close() {
	if s.log != nil {
		s.log.Close()
	}
	if s.writes {
		s.files.Unlock(lockName)
	}
}
