package conn

import (
	"errors"
	"sync"

	"golang.org/x/sys/unix"
)

// unseenInput records whether bytes, an EOF or an error were received that the handler of a
// connection has not seen yet. Such input is either still in the kernel, or on its way through the
// reader and the loop's task queue, which is what marked records. The lock is held during both the
// read system call and the setting of marked: between the two, the input would be found in neither
// place.
type unseenInput struct {
	mu     sync.Mutex
	marked bool
}

// read reads the available bytes without blocking and marks them as unseen.
func (u *unseenInput) read(fd int, b []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	n, err := ignoringEINTR(func() (int, error) { return DefaultSystemCalls.Read(fd, b) })
	u.marked = u.marked || !errors.Is(err, unix.EAGAIN)
	return n, err
}

// mark records that input was received other than by read.
func (u *unseenInput) mark() {
	u.mu.Lock()
	u.marked = true
	u.mu.Unlock()
}

// clear records that all received input has been passed to the handler.
func (u *unseenInput) clear() {
	u.mu.Lock()
	u.marked = false
	u.mu.Unlock()
}

// present reports whether there is unseen input: marked, or in the kernel as reported by inKernel.
func (u *unseenInput) present(inKernel func() bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.marked || inKernel()
}
