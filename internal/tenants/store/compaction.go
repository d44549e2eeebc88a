package store

// maxChangesBeforeCompaction is the number of changes since the last snapshot at which Append
// compacts the log.
const maxChangesBeforeCompaction = 4096

// Compact replaces the log by a new one that holds a single snapshot. At every moment the log's name
// refers to a complete log. After an error the old log stays in use, unless WriteError is set: then
// nothing can be written.
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
	// Until the rename is durable, the name may refer to the old log after a power failure, so no
	// further change may be acknowledged.
	s.namesNotSynced = true
	err = s.syncNames()
	if err != nil {
		s.WriteError = wrapReadOnly(err)
	}
	return err
}

// replaceLog writes a new log under a temporary name, syncs it and renames it to the log's name.
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
