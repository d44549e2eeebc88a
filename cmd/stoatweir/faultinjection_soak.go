//go:build soak

package main

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"stoatweir/internal/conn"
	"stoatweir/internal/lab/soak"
)

// faultPollInterval is how often the file is read that says which faults to inject.
const faultPollInterval = 20 * time.Millisecond

var errnosByName = map[string]syscall.Errno{
	"EADDRNOTAVAIL": syscall.EADDRNOTAVAIL,
	"ENETUNREACH":   syscall.ENETUNREACH,
	"ENOBUFS":       syscall.ENOBUFS,
	"ENFILE":        syscall.ENFILE,
	"EMFILE":        syscall.EMFILE,
	"ECONNABORTED":  syscall.ECONNABORTED,
}

// faultInjector has the faults to inject now, as the soak test has written them to a file.
type faultInjector struct {
	path   string
	faults atomic.Pointer[soak.Faults]
}

// installFaultInjection injects faults between the program and the system: connections that can't be made or accepted for a
// while, interrupted polls of sockets, and a wall clock that is stepped.
func installFaultInjection(s *service) {
	path := os.Getenv(soak.ShimsVariable)
	if path == "" {
		return
	}
	f := &faultInjector{path: path}
	f.read()
	go f.follow()
	f.wrapDial(s)
	f.wrapAccept(s)
	f.wrapSystemCalls()
	s.endpoints.WallClock = func() time.Time { return time.Now().Add(f.faults.Load().WallStep) }
}

// read reads the file. One that is being written changes nothing; without one there are no faults.
func (f *faultInjector) read() {
	var faults soak.Faults
	text, err := os.ReadFile(f.path)
	if err == nil && json.Unmarshal(text, &faults) != nil {
		return
	}
	f.faults.Store(&faults)
}

// follow reads the file again and again. It does not return.
func (f *faultInjector) follow() {
	for range time.Tick(faultPollInterval) {
		f.read()
	}
}

func (f *faultInjector) wrapDial(s *service) {
	dial := s.loop.DialContext
	s.loop.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if errno, fails := errnosByName[f.faults.Load().Connect]; fails {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", errno)}
		}
		return dial(ctx, network, addr)
	}
}

// wrapAccept has half of all accepts fail.
func (f *faultInjector) wrapAccept(s *service) {
	s.clients.Accept = func(l net.Listener) (net.Conn, error) {
		if errno, fails := errnosByName[f.faults.Load().Accept]; fails && rand.IntN(2) == 0 {
			return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
		}
		return l.Accept()
	}
}

func (f *faultInjector) wrapSystemCalls() {
	interrupted := func() bool { return rand.Float64() < f.faults.Load().Interrupted }
	peek := conn.System.Peek
	conn.System.Peek = func(fd int, b []byte) (int, error) {
		if interrupted() {
			return -1, unix.EINTR
		}
		return peek(fd, b)
	}
	poll := conn.System.Poll
	conn.System.Poll = func(fds []unix.PollFd, timeout int) (int, error) {
		if interrupted() {
			return -1, unix.EINTR
		}
		return poll(fds, timeout)
	}
}
