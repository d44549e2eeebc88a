package handover

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// Reuse listens at an address that another process may listen at too, which is the way left where that one's socket
// can't be had.
func Reuse(addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		if raw := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}); raw != nil {
			return raw
		}
		if errors.Is(err, unix.ENOPROTOOPT) {
			return nil // then nobody shares an address here
		}
		return err
	}}
	return config.Listen(context.Background(), "tcp", addr)
}

// Free tells whether nobody listens at an address yet. The socket that finds out never listens, as it would take
// connections in that nobody serves.
func Free(addr netip.AddrPort) bool {
	family, at := unix.AF_INET6, unix.Sockaddr(&unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()})
	if addr.Addr().Is4() {
		family, at = unix.AF_INET, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return true // it can't be known; then the usual case holds
	}
	defer unix.Close(fd)
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) // connections that are over do not count
	return !errors.Is(unix.Bind(fd, at), unix.EADDRINUSE)
}
