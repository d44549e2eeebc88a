package handover

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// ListenReusePort listens at a TCP address at which another process may already listen (SO_REUSEPORT).
// It is the fallback if that process's listening socket can't be obtained.
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
		return nil // the system has no SO_REUSEPORT, so no process shares an address
	}
	return optErr
}

// AddressFree reports whether no process listens at a TCP address; true if that can't be determined. It
// only binds a socket and never listens, as the kernel would otherwise accept connections on it that no
// process serves.
func AddressFree(addr netip.AddrPort) bool {
	family, sockaddr := socketAddress(addr)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return true
	}
	defer unix.Close(fd)
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) // ignores connections in TIME_WAIT
	return !errors.Is(unix.Bind(fd, sockaddr), unix.EADDRINUSE)
}

func socketAddress(addr netip.AddrPort) (family int, sockaddr unix.Sockaddr) {
	if addr.Addr().Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
}
