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

// faultPollInterval is how often the file with the faults to inject is read.
const faultPollInterval = 20 * time.Millisecond

// errnosByName maps the names of errors in the fault file to their numbers.
var errnosByName = map[string]syscall.Errno{
	"EADDRNOTAVAIL": syscall.EADDRNOTAVAIL,
	"ENETUNREACH":   syscall.ENETUNREACH,
	"ENOBUFS":       syscall.ENOBUFS,
	"ENFILE":        syscall.ENFILE,
	"EMFILE":        syscall.EMFILE,
	"ECONNABORTED":  syscall.ECONNABORTED,
}

// faultInjector holds the faults that are currently injected. The soak test sets them by writing a
// file.
type faultInjector struct {
	path   string
	faults atomic.Pointer[soak.Faults]
}

// installFaultInjection injects faults at the boundary to the operating system: failing dials and
// accepts, interrupted system calls on sockets, and steps of the wall clock. Without the
// environment variable that names the fault file it does nothing.
func installFaultInjection(s *service) {
	path := os.Getenv(soak.FaultsFileVariable)
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

// read loads the fault file. A partly written file is ignored; if the file does not exist, no
// faults are injected.
func (f *faultInjector) read() {
	var faults soak.Faults
	text, err := os.ReadFile(f.path)
	if err == nil && json.Unmarshal(text, &faults) != nil {
		return
	}
	f.faults.Store(&faults)
}

// follow reloads the fault file periodically. It does not return.
func (f *faultInjector) follow() {
	for range time.Tick(faultPollInterval) {
		f.read()
	}
}

// wrapDial makes dials fail with the error of the fault file, if it names one.
func (f *faultInjector) wrapDial(s *service) {
	dial := s.loop.DialContext
	s.loop.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if errno, fails := errnosByName[f.faults.Load().Connect]; fails {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", errno)}
		}
		return dial(ctx, network, addr)
	}
}

// wrapAccept makes half of all accepts fail with the error of the fault file, if it names one.
func (f *faultInjector) wrapAccept(s *service) {
	s.clients.Accept = func(l net.Listener) (net.Conn, error) {
		if errno, fails := errnosByName[f.faults.Load().Accept]; fails && rand.IntN(2) == 0 {
			return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
		}
		return l.Accept()
	}
}

// wrapSystemCalls makes the share of calls of peek and poll that the fault file gives fail with
// EINTR.
func (f *faultInjector) wrapSystemCalls() {
	interrupted := func() bool { return rand.Float64() < f.faults.Load().Interrupted }
	peek := conn.DefaultSystemCalls.Peek
	conn.DefaultSystemCalls.Peek = func(fd int, b []byte) (int, error) {
		if interrupted() {
			return -1, unix.EINTR
		}
		return peek(fd, b)
	}
	poll := conn.DefaultSystemCalls.Poll
	conn.DefaultSystemCalls.Poll = func(fds []unix.PollFd, timeout int) (int, error) {
		if interrupted() {
			return -1, unix.EINTR
		}
		return poll(fds, timeout)
	}
}
