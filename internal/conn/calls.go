package conn

import "golang.org/x/sys/unix"

// SystemCalls are those that connections make by themselves, beside the library's. Whoever tests what happens when they fail replaces them.
type SystemCalls struct {
	Read  func(fd int, b []byte) (int, error)
	Write func(fd int, b []byte) (int, error)
	Peek  func(fd int, b []byte) (int, error) // reads and leaves it there, without waiting
	Poll  func(fds []unix.PollFd, timeout int) (int, error)
}

// System is what connections use.
var System = SystemCalls{Read: unix.Read, Write: unix.Write, Poll: unix.Poll, Peek: func(fd int, b []byte) (int, error) {
	n, _, err := unix.Recvfrom(fd, b, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}}
