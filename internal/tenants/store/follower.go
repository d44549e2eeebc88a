package store

import (
	"errors"
	"fmt"
	"io/fs"
)

// Follow applies what the writer has published since, and reports whether the directory has
// changed. A log that was compacted is read from its beginning, and so is one whose last record, as
// it was read, is no longer there: its writer could not make it durable, and has rejected the
// change. After an error the last good directory stays. Once the writer has ended, this process
// takes over. For the writer itself there is nothing to do.
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

// takeOver makes this process, which has acquired the lock, the writer. The lock is released again
// where the log can't be read.
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

// checkRevision returns an error if the directory is older than it has been.
func (s *Store) checkRevision(minRevision uint64) error {
	if s.Directory.Revision < minRevision {
		return fmt.Errorf("%w: revision %d after %d", ErrCorrupt, s.Directory.Revision, minRevision)
	}
	return nil
}
