package store

import "io"

// Files is the part of a file system that a store needs. Tests have an implementation that can fail
// at any step.
type Files interface {
	// Open opens a file for reading and, unless readOnly is set, for appending. With readOnly the
	// error is fs.ErrNotExist if the file does not exist; otherwise the file is created.
	Open(name string, readOnly bool) (File, error)
	// Rename atomically replaces the file to by the file from.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// Lock acquires a lock for this process until Unlock, without waiting. The error is
	// ErrNotWriter if another process holds the lock.
	Lock(name string) error
	// Unlock releases a lock that Lock acquired.
	Unlock(name string)
	// Sync makes directory entries durable: files that were created, renamed or removed.
	Sync() error
}

// File is an open file. Writes append to its end.
type File interface {
	io.ReaderAt
	io.Writer
	// Truncate shortens the file to a size in bytes.
	Truncate(size int64) error
	// Sync makes the file's content durable.
	Sync() error
	// Size returns the present size in bytes.
	Size() (int64, error)
	// Close closes the file.
	Close() error
}

// sameFiler is implemented by files that can report whether another open file is the same one, even
// if it has been renamed in between.
type sameFiler interface {
	Same(other File) bool
}

// isSameFile reports whether both are known to be the same file. The first may be nil.
func isSameFile(first, second File) bool {
	filer, ok := first.(sameFiler)
	return ok && filer.Same(second)
}
