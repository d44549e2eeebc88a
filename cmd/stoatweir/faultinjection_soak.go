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

var errnosByName = map[string]syscall.Errno{"EADDRNOTAVAIL": syscall.EADDRNOTAVAIL, "ENETUNREACH": syscall.ENETUNREACH, "ENOBUFS": syscall.ENOBUFS,
	"ENFILE": syscall.ENFILE, "EMFILE": syscall.EMFILE, "ECONNABORTED": syscall.ECONNABORTED}

// installFaultInjection injects faults between the program and the system: connections that can't be made or accepted for a
// while, interrupted polls of sockets, and a wall clock that is stepped.
func installFaultInjection(s *service) {
	path := os.Getenv(soak.ShimsVariable)
	if path == "" {
		return
	}
	var now atomic.Pointer[soak.Faults]
	read := func() {
		var f soak.Faults
		if text, err := os.ReadFile(path); err == nil && json.Unmarshal(text, &f) != nil {
			return // being written
		}
		now.Store(&f)
	}
	read()
	go func() {
		for range time.Tick(faultPollInterval) {
			read()
		}
	}()
	dial := s.loop.DialContext
	s.loop.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if errno, fails := errnosByName[now.Load().Connect]; fails {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", errno)}
		}
		return dial(ctx, network, addr)
	}
	s.clients.Accept = func(l net.Listener) (net.Conn, error) {
		if errno, fails := errnosByName[now.Load().Accept]; fails && rand.IntN(2) == 0 {
			return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
		}
		return l.Accept()
	}
	peek, poll := conn.System.Peek, conn.System.Poll
	interrupted := func() bool { return rand.Float64() < now.Load().Interrupted }
	conn.System.Peek = func(fd int, b []byte) (int, error) {
		if interrupted() {
			return -1, unix.EINTR
		}
		return peek(fd, b)
	}
	conn.System.Poll = func(fds []unix.PollFd, timeout int) (int, error) {
		if interrupted() {
			return -1, unix.EINTR
		}
		return poll(fds, timeout)
	}
	s.endpoints.WallClock = func() time.Time { return time.Now().Add(now.Load().WallStep) }
}
