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
	compactionFileName = "tenants.log.new" // a compacted log, before it replaces the log
	lockFileName       = "tenants.lock"
)

// Errors of a store. The errors that its functions return may wrap them.
var (
	ErrReadOnly    = errors.New("the store can't be written to")
	ErrNotWriter   = errors.New("another process writes to the store")
	ErrCorrupt     = errors.New("the store is damaged")
	ErrNewerSchema = errors.New("the store was written by a newer version")
)

// wrapReadOnly returns an error that wraps ErrReadOnly and has the text of its cause.
func wrapReadOnly(cause error) error { return fmt.Errorf("%w: %v", ErrReadOnly, cause) }

// Store is the log on disk together with the directory that its records give. It is not safe for
// concurrent use.
type Store struct {
	// Directory holds the tenants as of the last record that was read or written. Follow may replace
	// it.
	Directory *tenants.Directory
	// WriteError is the reason why nothing can be written, and wraps ErrReadOnly or ErrNotWriter. It
	// is nil if changes can be written.
	WriteError error

	files             Files
	log               logState
	isWriter          bool // this process holds the lock
	namesNotSynced    bool // directory entries of new or renamed files may not be durable yet
	truncateNotSynced bool // the log may not be durably truncated yet to undo a rejected change
}

// Open reads the store. If another process is the writer, or the disk can't be written to, this
// process becomes a follower and WriteError says why. The error wraps ErrCorrupt or ErrNewerSchema if
// the log can't be read.
func Open(files Files) (*Store, error) {
	s := &Store{Directory: tenants.NewDirectory(), files: files}
	s.WriteError = files.Lock(lockFileName)
	if s.WriteError == nil {
		s.isWriter = true
		files.Remove(compactionFileName) // left by a writer that was killed during a compaction
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

// openLog opens the log. The file is nil if there is no log and this process is not the writer. A
// writer that can't open the log for appending becomes a follower, because the log on a read-only
// disk can still be read.
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

// prepareLog truncates the log to its last complete record, and writes a snapshot as the first record
// of an empty log. Bytes after the last complete record were being written when their writer ended,
// and the change was never acknowledged.
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

// Append makes a change durable and then applies it to the directory. After an error nothing has
// changed. The error wraps ErrReadOnly or ErrNotWriter, or says that the change's revision is not the
// next one.
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
		s.Compact() // an error is ignored: the old log stays in use, or WriteError is set
	}
	return nil
}

// recoverWrites clears WriteError if the disk can be written to again. It first repeats what has
// failed before: truncating the log, making directory entries durable, and writing the first record.
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

// Writes reports whether this process is the writer, even if WriteError is set at present.
func (s *Store) Writes() bool { return s.isWriter }

// Close closes the log and, if this process is the writer, releases the lock.
func (s *Store) Close() {
	if s.log.file != nil {
		s.log.file.Close()
	}
	if s.isWriter {
		s.files.Unlock(lockFileName)
	}
}
