package store

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"maps"
)

var (
	errKilled  = errors.New("killed")
	errNoSpace = errors.New("no space left")
)

// memFiles is a file system in memory. It distinguishes what is durable from what a power failure
// would undo, and can fail from a chosen step on as if the process had been killed.
type memFiles struct {
	names        map[string]*memFile // directory entries, as processes see them
	durableNames map[string]*memFile // directory entries, as they are after a power failure
	isLocked     bool
	steps        int  // number of operations so far that change the disk
	killAtStep   int  // number of the first step that fails, as do all after it; 0 if none fails
	isFull       bool // writes store only half of their bytes and fail
	lockedByPeer bool // another process holds the lock
}

type memFile struct {
	content []byte // as processes see it
	durable []byte // as it is after a power failure
}

func newMemFiles() *memFiles {
	return &memFiles{names: map[string]*memFile{}, durableNames: map[string]*memFile{}}
}

// step counts an operation that changes the disk, and fails if the process is killed by then.
func (m *memFiles) step() error {
	m.steps++
	if m.killAtStep > 0 && m.steps >= m.killAtStep {
		return errKilled
	}
	return nil
}

// afterPowerLoss returns the files as they are after a power failure: the given fraction of the bytes
// that were not synced has survived, and the directory entries are the synced ones or, if
// keepUnsyncedNames is set, the present ones.
func (m *memFiles) afterPowerLoss(unsyncedFraction float64, keepUnsyncedNames bool) *memFiles {
	after := newMemFiles()
	names := m.durableNames
	if keepUnsyncedNames {
		names = m.names
	}
	for name, file := range names {
		content := bytes.Clone(file.durable)
		if len(file.content) >= len(file.durable) {
			unsynced := file.content[len(file.durable):]
			content = append(content, unsynced[:int(unsyncedFraction*float64(len(unsynced)))]...)
		}
		copied := &memFile{content: content, durable: content}
		after.names[name] = copied
		after.durableNames[name] = copied
	}
	return after
}

func (m *memFiles) Open(name string, readOnly bool) (File, error) {
	file := m.names[name]
	if file == nil && readOnly {
		return nil, fs.ErrNotExist
	}
	if file == nil {
		if err := m.step(); err != nil {
			return nil, err
		}
		file = &memFile{}
		m.names[name] = file
	}
	return &memHandle{files: m, memFile: file}, nil
}

func (m *memFiles) Rename(from, to string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memFiles) Remove(name string) error {
	if err := m.step(); err != nil {
		return err
	}
	delete(m.names, name)
	return nil
}

func (m *memFiles) Lock(string) error {
	if m.lockedByPeer || m.isLocked {
		return ErrNotWriter
	}
	m.isLocked = true
	return nil
}

func (m *memFiles) Unlock(string) { m.isLocked = false }

func (m *memFiles) Sync() error {
	if err := m.step(); err != nil {
		return err
	}
	m.durableNames = maps.Clone(m.names)
	return nil
}

// memHandle is an open memFile.
type memHandle struct {
	files *memFiles
	*memFile
}

func (h *memHandle) Write(b []byte) (int, error) {
	if h.files.isFull {
		written := len(b) / 2
		h.content = append(h.content, b[:written]...)
		return written, errNoSpace
	}
	if err := h.files.step(); err != nil {
		h.content = append(h.content, b...) // the bytes may have been written before the kill
		return 0, err
	}
	h.content = append(h.content, b...)
	return len(b), nil
}

func (h *memHandle) Sync() error {
	if err := h.files.step(); err != nil {
		return err
	}
	h.durable = bytes.Clone(h.content)
	return nil
}

func (h *memHandle) Truncate(size int64) error {
	if err := h.files.step(); err != nil {
		return err
	}
	h.content = h.content[:size]
	return nil
}

func (h *memHandle) ReadAt(b []byte, offset int64) (int, error) {
	n := copy(b, h.content[min(offset, int64(len(h.content))):])
	if n < len(b) {
		return n, io.EOF
	}
	return len(b), nil
}

func (h *memHandle) Size() (int64, error) { return int64(len(h.content)), nil }
func (h *memHandle) Close() error         { return nil }
func (h *memHandle) Same(other File) bool { return other.(*memHandle).memFile == h.memFile }
