package store

import (
	"errors"
	"fmt"
	"io/fs"
)

// Follow applies what the writer has appended since the last call, and reports whether the directory
// has changed. The log is read from its beginning if it was compacted. It is also read from its
// beginning if the last record that was read is no longer there: the writer could not make that
// record durable and has rejected its change. After an error the previous directory stays. If the
// writer has ended, this process becomes the writer. For the writer itself Follow does nothing.
func (s *Store) Follow() (changed bool, err error) {
	if s.isWriter {
		return false, nil
	}
	if s.files.Lock(lockFileName) == nil {
		return s.takeOver()
	}
	file, err := s.files.Open(logFileName, true)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	previousLog := s.log
	previousDirectory := s.Directory
	minRevision := s.Directory.Revision
	isSameLog := isSameFile(s.log.file, file)
	lastRecordWithdrawn := isSameLog && !s.log.lastRecord.isIntact(file)
	if lastRecordWithdrawn {
		minRevision--
	}
	if isSameLog && !lastRecordWithdrawn {
		s.log.file = file
	} else {
		s.resetLog(file)
	}
	err = s.catchUp()
	if err == nil {
		err = s.checkRevision(minRevision)
	}
	if err != nil {
		file.Close()
		s.log = previousLog
		s.Directory = previousDirectory
		return false, err
	}
	if previousLog.file != nil {
		previousLog.file.Close()
	}
	return lastRecordWithdrawn || s.Directory.Revision != minRevision, nil
}

// takeOver makes this process the writer after it has acquired the lock. If the log can't be read,
// the lock is released and the process stays a follower.
func (s *Store) takeOver() (changed bool, err error) {
	previousLog := s.log
	previousDirectory := s.Directory
	previousWriteError := s.WriteError
	s.log.file = nil
	s.isWriter = true
	s.WriteError = nil
	err = s.load()
	if err == nil {
		err = s.checkRevision(previousDirectory.Revision)
	}
	if err != nil {
		if s.log.file != nil {
			s.log.file.Close()
		}
		s.files.Unlock(lockFileName)
		s.log = previousLog
		s.Directory = previousDirectory
		s.WriteError = previousWriteError
		s.isWriter = false
		return false, err
	}
	if previousLog.file != nil {
		previousLog.file.Close()
	}
	return s.Directory.Revision != previousDirectory.Revision, nil
}

// checkRevision returns an error if the directory is older than a revision that was read before.
func (s *Store) checkRevision(minRevision uint64) error {
	if s.Directory.Revision < minRevision {
		return fmt.Errorf("%w: revision %d after %d", ErrCorrupt, s.Directory.Revision, minRevision)
	}
	return nil
}
