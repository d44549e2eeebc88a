package handover

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// ListenReusePort listens at a TCP address that another process may listen at too (SO_REUSEPORT). It is what remains
// where that process's socket can't be had.
func ListenReusePort(addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: setReusePort}
	return config.Listen(context.Background(), "tcp", addr)
}

func setReusePort(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	if errors.Is(optErr, unix.ENOPROTOOPT) {
		return nil // a system without the option: no process shares an address
	}
	return optErr
}

// AddressFree reports whether no process listens at a TCP address yet, and true where that can't be found out. The
// socket that finds out never listens, as it would accept connections that nobody serves.
func AddressFree(addr netip.AddrPort) bool {
	family, sockaddr := socketAddress(addr)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return true
	}
	defer unix.Close(fd)
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) // closed connections do not count
	return !errors.Is(unix.Bind(fd, sockaddr), unix.EADDRINUSE)
}

func socketAddress(addr netip.AddrPort) (family int, sockaddr unix.Sockaddr) {
	if addr.Addr().Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
}
