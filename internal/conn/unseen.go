package conn

import (
	"errors"
	"sync"

	"golang.org/x/sys/unix"
)

// unseenInput records whether bytes, or an end, were received that the handler of a connection has
// not seen. They are held by the system, or on their way through the reader and the loop's queue.
// The lock is held over the system call that takes them out of the one and the mark that shows them
// in the other: between the two they would be seen in neither.
type unseenInput struct {
	mu     sync.Mutex
	marked bool
}

// read reads what there is without waiting, and marks it.
func (u *unseenInput) read(fd int, b []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	n, err := ignoringEINTR(func() (int, error) { return System.Read(fd, b) })
	u.marked = u.marked || !errors.Is(err, unix.EAGAIN)
	return n, err
}

// mark enters that something was received in another way.
func (u *unseenInput) mark() {
	u.mu.Lock()
	u.marked = true
	u.mu.Unlock()
}

// clear enters that the handler has what was received.
func (u *unseenInput) clear() {
	u.mu.Lock()
	u.marked = false
	u.mu.Unlock()
}

// present reports whether something is marked, or held by the system as heldBySystem has it.
func (u *unseenInput) present(heldBySystem func() bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.marked || heldBySystem()
}
