package store

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"stoatweir/internal/tenants"
)

// logState is an open log and the position up to which it has been read or written.
type logState struct {
	file                 File   // nil if no log is open
	endOffset            int64  // end of the last complete record, in bytes from the start of the log
	changesSinceSnapshot int    // change records since the last snapshot
	lastRecord           extent // the last record that was read or written
}

// advance moves the end offset past one more record.
func (l *logState) advance(encoded []byte) {
	from := l.endOffset
	l.endOffset += int64(len(encoded))
	l.lastRecord = extent{from: from, to: l.endOffset, checksum: checksum(encoded)}
}

// extent is a range of bytes of the log, from inclusive and to exclusive, with their checksum.
type extent struct {
	from     int64
	to       int64
	checksum uint32
}

// isIntact reports whether the log still holds the same bytes at this range.
func (e extent) isIntact(log File) bool {
	b := make([]byte, e.to-e.from)
	n, err := log.ReadAt(b, e.from)
	if err != nil && !errors.Is(err, io.EOF) {
		return false
	}
	return n == len(b) && checksum(b) == e.checksum
}

// resetLog prepares to read a log from its start, into an empty directory.
func (s *Store) resetLog(file File) {
	s.log = logState{file: file}
	s.Directory = tenants.NewDirectory()
}

// catchUp applies the records after the end offset, except a last one that is only partly written.
// The error wraps ErrCorrupt or ErrNewerSchema if a record can't be read; the records before it have
// then been applied.
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

// readTail returns the bytes after the end offset.
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

// apply applies a record to the directory and to the count of changes since the last snapshot.
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

// checkTail returns nil if the tail, which can't be decoded, may be a last record that was only
// partly written. Anything else is damage and an error: acknowledged records may follow it, and
// truncating the log there would silently undo them. length and err are the results of decodeRecord
// for the tail.
func (s *Store) checkTail(tail []byte, length int, err error) error {
	if err == nil {
		if isTorn(tail) {
			return nil
		}
		return fmt.Errorf("%w: a record is longer than what follows, at byte %d", ErrCorrupt, s.log.endOffset)
	}
	// A power failure can make the file's new length durable without all of its content.
	wasInterrupted := length == len(tail) || isAllZero(tail)
	if wasInterrupted && !errors.Is(err, ErrNewerSchema) {
		return nil
	}
	return fmt.Errorf("%w, at byte %d", err, s.log.endOffset)
}

// isTorn reports whether the bytes can be the beginning of a single partly written record: no
// newline in them is followed by another record.
func isTorn(tail []byte) bool {
	newline := bytes.IndexByte(tail, '\n')
	return newline < 0 || newline == len(tail)-1
}

func isAllZero(b []byte) bool { return len(bytes.Trim(b, "\x00")) == 0 }

// appendRecord writes a record and syncs the log. If that fails, the log is truncated to the end of
// the record before.
func (s *Store) appendRecord(r record) error {
	encoded, err := encodeRecord(r)
	if err != nil {
		return err
	}
	if err := writeSynced(s.log.file, encoded); err != nil {
		// Some bytes of the record may be in the file. The change was never acknowledged, and if
		// they stayed, the next record would follow a torn one.
		s.truncateNotSynced = true
		s.truncateTail() // if this fails, recoverWrites tries again
		return err
	}
	s.log.advance(encoded)
	return nil
}

// writeSynced appends bytes to a file and makes them durable.
func writeSynced(file File, b []byte) error {
	if _, err := file.Write(b); err != nil {
		return err
	}
	return file.Sync()
}

// truncateTail durably truncates the log to the end of its last complete record, so that a rejected
// change does not reappear after a power failure.
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

// syncNames makes the directory entries of the store's files durable.
func (s *Store) syncNames() error {
	if err := s.files.Sync(); err != nil {
		return err
	}
	s.namesNotSynced = false
	return nil
}
