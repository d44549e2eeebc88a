package store

import "io"

// Files is what a store needs of a file system; tests have one that fails at any step.
type Files interface {
	// Open opens a file for reading and, unless read is set, for appending; then it is created
	// if it does not exist. The error is fs.ErrNotExist if it is to be read and does not exist.
	Open(name string, readOnly bool) (File, error)
	// Rename replaces the file of the second name by that of the first.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// Lock acquires a lock for this process until Unlock, without waiting. The error is
	// ErrFollows if another process holds it.
	Lock(name string) error
	// Unlock releases a lock.
	Unlock(name string)
	// Sync makes the names of files durable.
	Sync() error
}

// File is an open file. Writes go to its end.
type File interface {
	io.ReaderAt
	io.Writer
	// Truncate cuts the file to a size in bytes.
	Truncate(size int64) error
	// Sync makes the content durable.
	Sync() error
	// Size returns the present size in bytes.
	Size() (int64, error)
	// Close closes the file.
	Close() error
}

// sameFiler is implemented by files that can report whether another one is the same, whatever the
// names of both.
type sameFiler interface {
	Same(other File) bool
}

// isSameFile reports whether both are known to be one file. The first may be nil.
func isSameFile(first, second File) bool {
	filer, ok := first.(sameFiler)
	return ok && filer.Same(second)
}
