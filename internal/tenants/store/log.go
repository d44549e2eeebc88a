package store

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"stoatweir/internal/tenants"
)

// logState is an open log, as far as it has been read or written.
type logState struct {
	file                 File   // nil: none is open
	endOffset            int64  // of the last whole record, in bytes
	changesSinceSnapshot int    // records since the last snapshot
	lastRecord           extent // that was read or written
}

// advance moves the end behind one more record.
func (l *logState) advance(encoded []byte) {
	from := l.endOffset
	l.endOffset += int64(len(encoded))
	l.lastRecord = extent{from: from, to: l.endOffset, checksum: checksum(encoded)}
}

// extent is a run of bytes of the log, with their checksum.
type extent struct {
	from     int64
	to       int64
	checksum uint32
}

// isIntact reports whether the bytes are still in the log unchanged.
func (e extent) isIntact(log File) bool {
	b := make([]byte, e.to-e.from)
	n, err := log.ReadAt(b, e.from)
	if err != nil && !errors.Is(err, io.EOF) {
		return false
	}
	return n == len(b) && checksum(b) == e.checksum
}

// resetLog begins to read a log from its start, with an empty directory.
func (s *Store) resetLog(file File) {
	s.log = logState{file: file}
	s.Directory = tenants.NewDirectory()
}

// catchUp applies the records behind the end, and leaves one that is being written. The error wraps
// ErrCorrupt or ErrNewer where the log can't be read on; what was read before it has been applied.
func (s *Store) catchUp() error {
	tail, err := s.readTail()
	if err != nil {
		return err
	}
	for {
		r, length, err := decodeRecord(tail)
		if err != nil || length == 0 {
			return s.checkTail(tail, length, err)
		}
		if err := s.apply(r); err != nil {
			return err
		}
		s.log.advance(tail[:length])
		tail = tail[length:]
	}
}

// readTail returns the bytes behind the end.
func (s *Store) readTail() ([]byte, error) {
	size, err := s.log.file.Size()
	if err != nil || size == s.log.endOffset {
		return nil, err
	}
	if size < s.log.endOffset {
		return nil, fmt.Errorf("%w: it has become shorter", ErrCorrupt)
	}
	tail := make([]byte, size-s.log.endOffset)
	n, err := s.log.file.ReadAt(tail, s.log.endOffset)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return tail[:n], nil
}

// apply applies a record to the directory.
func (s *Store) apply(r record) error {
	switch {
	case r.Snapshot != nil:
		s.Directory = tenants.Restore(*r.Snapshot)
		s.log.changesSinceSnapshot = 0
	case r.Change != nil:
		if err := s.Directory.Apply(*r.Change); err != nil {
			return fmt.Errorf("%w: %v, at byte %d", ErrCorrupt, err, s.log.endOffset)
		}
		s.log.changesSinceSnapshot++
	}
	return nil
}

// checkTail decides whether what can't be decoded may be a last record that was not written whole:
// then there is no error. Anything else is damage: behind it may be records that were reported as
// done, and to cut them off would undo them silently.
func (s *Store) checkTail(tail []byte, length int, err error) error {
	if err == nil {
		if isTorn(tail) {
			return nil
		}
		return fmt.Errorf("%w: a record is longer than what follows, at byte %d", ErrCorrupt, s.log.endOffset)
	}
	wasInterrupted := length == len(tail) || isAllZero(tail) // the length came to the disk, the text did not
	if wasInterrupted && !errors.Is(err, ErrNewerSchema) {
		return nil
	}
	return fmt.Errorf("%w, at byte %d", err, s.log.endOffset)
}

// isTorn reports whether the bytes can be the beginning of one record: no other begins in them.
func isTorn(tail []byte) bool {
	newline := bytes.IndexByte(tail, '\n')
	return newline < 0 || newline == len(tail)-1
}

func isAllZero(b []byte) bool { return len(bytes.Trim(b, "\x00")) == 0 }

// appendRecord writes a record and syncs it. Where that fails the log is cut off before it.
func (s *Store) appendRecord(r record) error {
	encoded, err := encodeRecord(r)
	if err != nil {
		return err
	}
	if err := writeSynced(s.log.file, encoded); err != nil {
		// What may be there now was never reported as done. Were it left, the next record
		// would follow a torn one.
		s.truncateNotSynced = true
		s.truncateTail() // tried again by recoverWrites
		return err
	}
	s.log.advance(encoded)
	return nil
}

func writeSynced(file File, b []byte) error {
	if _, err := file.Write(b); err != nil {
		return err
	}
	return file.Sync()
}

// truncateTail cuts off what is behind the last whole record, durably: a change that was rejected
// stays so, also after a loss of power.
func (s *Store) truncateTail() error {
	if err := s.log.file.Truncate(s.log.endOffset); err != nil {
		return err
	}
	if err := s.log.file.Sync(); err != nil {
		return err
	}
	s.truncateNotSynced = false
	return nil
}

// syncNames makes the names of files durable.
func (s *Store) syncNames() error {
	if err := s.files.Sync(); err != nil {
		return err
	}
	s.namesNotSynced = false
	return nil
}
