package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// fileMode permits only the owner to read and write.
const fileMode = 0o600

// Disk implements Files by a directory of the operating system's file system.
type Disk struct {
	Dir      string
	lockFile *os.File // nil if not locked
}

func (d *Disk) path(name string) string { return filepath.Join(d.Dir, name) }

// Open opens a file of the directory, as described at Files.Open.
func (d *Disk) Open(name string, readOnly bool) (File, error) {
	flags := os.O_RDWR | os.O_CREATE | os.O_APPEND
	if readOnly {
		flags = os.O_RDONLY
	}
	f, err := os.OpenFile(d.path(name), flags, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Rename atomically replaces the file to by the file from.
func (d *Disk) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove removes a file.
func (d *Disk) Remove(name string) error { return os.Remove(d.path(name)) }

// Lock acquires an exclusive lock on a file. The kernel releases it when the process ends, even if
// the process is killed. The error is ErrNotWriter if another process holds the lock; any other error
// wraps ErrReadOnly.
func (d *Disk) Lock(name string) error {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrReadOnly, err)
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return ErrNotWriter
		}
		return fmt.Errorf("%w: %v", ErrReadOnly, err)
	}
	d.lockFile = f
	return nil
}

// Unlock releases the lock if it is held.
func (d *Disk) Unlock(string) {
	if d.lockFile != nil {
		d.lockFile.Close()
		d.lockFile = nil
	}
}

// Sync makes the directory's entries durable: files that were created, renamed or removed.
func (d *Disk) Sync() error {
	f, err := os.Open(d.Dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// osFile implements File by a file of the operating system.
type osFile struct{ *os.File }

// Size returns the present size in bytes.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Same reports whether both are the same file, even if it has been renamed since it was opened.
func (f osFile) Same(other File) bool {
	o, ok := other.(osFile)
	if !ok {
		return false
	}
	info, err := f.Stat()
	if err != nil {
		return false
	}
	otherInfo, err := o.Stat()
	if err != nil {
		return false
	}
	return os.SameFile(info, otherInfo)
}
