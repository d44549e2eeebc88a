package store

import (
	"errors"
	"fmt"
	"io/fs"

	"stoatweir/internal/tenants"
)

// Names of the files of a store.
const (
	logFileName        = "tenants.log"
	compactionFileName = "tenants.log.new" // a log that is being compacted
	lockFileName       = "tenants.lock"
)

// Errors of a store.
var (
	ErrReadOnly    = errors.New("the store can't be written to")
	ErrNotWriter   = errors.New("another process writes to the store")
	ErrCorrupt     = errors.New("the store is damaged")
	ErrNewerSchema = errors.New("the store was written by a newer version")
)

func wrapReadOnly(cause error) error { return fmt.Errorf("%w: %v", ErrReadOnly, cause) }

// Store is the log and the directory that it gives. It is not safe for concurrent use.
type Store struct {
	// Directory is the directory, as of the last record that was read or written. Follow may replace
	// it.
	Directory *tenants.Directory
	// WriteError is why nothing can be written: it wraps ErrReadOnly or ErrFollows; nil: it can.
	WriteError error

	files             Files
	log               logState
	isWriter          bool // this process holds the lock
	namesNotSynced    bool // names of files have been changed and may not be durable
	truncateNotSynced bool // the end of the log behind a rejected change may not have been cut off durably
}

// Open reads the store. Where another process writes, or nothing can be written, this one follows,
// and WriteError says why. The error wraps ErrCorrupt or ErrNewer where the log can't be read.
func Open(files Files) (*Store, error) {
	s := &Store{Directory: tenants.NewDirectory(), files: files}
	s.WriteError = files.Lock(lockFileName)
	if s.WriteError == nil {
		s.isWriter = true
		files.Remove(compactionFileName) // of a writer that was killed while it compacted
	}
	if err := s.load(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// load reads the log and, for a writer, prepares it for appending.
func (s *Store) load() error {
	file, err := s.openLog()
	if err != nil || file == nil {
		return err
	}
	s.resetLog(file)
	if err := s.catchUp(); err != nil {
		return err
	}
	if s.isWriter {
		if err := s.prepareLog(); err != nil {
			s.WriteError = wrapReadOnly(err)
		}
	}
	return nil
}

// openLog opens the log; it is nil where there is none and this process does not write. A writer
// that can't append to it becomes a follower: a read-only disk still has what was there.
func (s *Store) openLog() (File, error) {
	file, err := s.files.Open(logFileName, !s.isWriter)
	if err != nil && s.isWriter {
		s.WriteError = wrapReadOnly(err)
		s.isWriter = false
		s.files.Unlock(lockFileName)
		file, err = s.files.Open(logFileName, true)
	}
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	return file, err
}

// prepareLog makes the log end behind its last whole record, and begin with a snapshot. What is
// behind the last whole record was being written when its writer ended, and was never reported as
// done.
func (s *Store) prepareLog() error {
	size, err := s.log.file.Size()
	if err != nil {
		return err
	}
	if size > s.log.endOffset {
		if err := s.log.file.Truncate(s.log.endOffset); err != nil {
			return err
		}
	}
	if s.log.endOffset > 0 {
		return nil
	}
	s.namesNotSynced = true
	if err := s.appendRecord(snapshotRecord(s.Directory)); err != nil {
		return err
	}
	return s.syncNames()
}

// Append makes a change durable, and then applies it to the directory. After an error nothing has
// changed; it wraps ErrReadOnly or ErrFollows, or is that of a change out of order.
func (s *Store) Append(c tenants.Change) error {
	if s.WriteError != nil {
		s.recoverWrites()
	}
	if s.WriteError != nil {
		return s.WriteError
	}
	if c.Revision != s.Directory.Revision+1 {
		return fmt.Errorf("revision %d does not follow %d", c.Revision, s.Directory.Revision)
	}
	if err := s.appendRecord(record{Schema: currentSchema, Change: &c}); err != nil {
		s.WriteError = wrapReadOnly(err)
		return s.WriteError
	}
	if err := s.Directory.Apply(c); err != nil {
		return err
	}
	s.log.changesSinceSnapshot++
	if s.log.changesSinceSnapshot >= maxChangesBeforeCompaction {
		s.Compact() // after a failure the log and its name are still whole
	}
	return nil
}

// recoverWrites clears WriteError if the disk can be written to again. It first cuts off what could not
// be cut off before.
func (s *Store) recoverWrites() {
	if !s.isWriter {
		return
	}
	size, err := s.log.file.Size()
	if err == nil && (size != s.log.endOffset || s.truncateNotSynced) {
		err = s.truncateTail()
	}
	if err == nil && s.namesNotSynced {
		err = s.syncNames()
	}
	if err == nil && s.log.endOffset == 0 {
		err = s.appendRecord(snapshotRecord(s.Directory))
	}
	if err == nil {
		s.WriteError = nil
	}
}

// Writes reports whether this process is the writer.
func (s *Store) Writes() bool { return s.isWriter }

// Close closes the log and releases the lock.
func (s *Store) Close() {
	if s.log.file != nil {
		s.log.file.Close()
	}
	if s.isWriter {
		s.files.Unlock(lockFileName)
	}
}
