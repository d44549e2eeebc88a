package handover

import (
	"fmt"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// verifyPeerUser returns an error unless the peer process runs as the same user as this one. Another user
// who can access the directory of the Unix socket must neither receive the listening socket nor pass one
// to this process.
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
		return fmt.Errorf("peer process runs as user ID %d, which is not the user of this process", peer.Uid)
	}
	return nil
}
