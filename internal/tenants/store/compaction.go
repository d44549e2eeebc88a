package store

// maxChangesBeforeCompaction is how many changes since the last snapshot make Append compact the log.
const maxChangesBeforeCompaction = 4096

// Compact replaces the log by one with a single snapshot. At any moment the log's name refers to a
// whole log. After an error the old log goes on, unless WriteError says that nothing can be written.
func (s *Store) Compact() error {
	encoded, err := encodeRecord(snapshotRecord(s.Directory))
	if err != nil {
		return err
	}
	file, err := s.replaceLog(encoded)
	if err != nil {
		return err
	}
	s.log.file.Close()
	s.log = logState{file: file}
	s.log.advance(encoded)
	// After a loss of power the name may refer to the old log: until it can't, nothing more is
	// reported as done.
	s.namesNotSynced = true
	err = s.syncNames()
	if err != nil {
		s.WriteError = wrapReadOnly(err)
	}
	return err
}

// replaceLog writes a new log and renames it into place.
func (s *Store) replaceLog(content []byte) (File, error) {
	s.files.Remove(compactionFileName)
	file, err := s.files.Open(compactionFileName, false)
	if err != nil {
		return nil, err
	}
	err = writeSynced(file, content)
	if err == nil {
		err = s.files.Rename(compactionFileName, logFileName)
	}
	if err != nil {
		file.Close()
		s.files.Remove(compactionFileName)
		return nil, err
	}
	return file, nil
}
