package load

import (
	"fmt"
	"net/netip"
)

// CheckLoopback returns an error unless addr is a loopback address with a port. A load that is sent to
// another machine by mistake is an attack on it.
func CheckLoopback(addr string) error {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("%q is not an IP address with a port", addr)
	}
	if !parsed.Addr().IsLoopback() {
		return fmt.Errorf("%s is not a loopback address: load is only sent to this machine", addr)
	}
	return nil
}
