package handover

import (
	"fmt"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// verifyPeerUser returns an error unless the peer runs as the same user: anybody else who can reach the directory must
// neither get our socket nor give us one.
func verifyPeerUser(c *net.UnixConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var peer *unix.Ucred
	var credErr error
	err = raw.Control(func(fd uintptr) {
		peer, credErr = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	})
	if err != nil {
		return err
	}
	if credErr != nil {
		return credErr
	}
	if int(peer.Uid) != os.Geteuid() {
		return fmt.Errorf("the peer runs as user %d", peer.Uid)
	}
	return nil
}
